package main

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/placement/trace"
)

// stragglerRatio is the time of the slow rank relative to others with the same load.
const stragglerRatio = 1.3

// measureStraggler measures a group with one slow rank, with and without shifting load
// away from it: the step time relative to balanced ranks of normal speed, and the
// objective.
func measureStraggler(o options, z size) error {
	fmt.Printf("rank 3 takes %.1f times as long; %.0f h, tuning seeds: %v\n", stragglerRatio, z.hours, o.Tuning)
	for _, u := range users[:3] {
		seed := trace.HeldOutSeeds(u.kind)[0]
		if o.Tuning {
			seed = trace.TuningSeeds(u.kind)[0]
		}
		for _, reduceLoad := range []bool{false, true} {
			p := placement.NewIncremental()
			p.ReduceStragglerLoad = reduceLoad
			r := &run{name: "ours", planner: p}
			res := simulateStraggler(z, u, seed, r)
			fmt.Printf("%-15s lighten %-5v p50 %.3f p95 %.3f lost %.0fs moves %d J %.0f\n",
				u.name, reduceLoad, res.p50, res.p95, res.obj.TimeLost.Seconds(), res.obj.Moves, res.j)
		}
	}
	return nil
}

func simulateStraggler(z size, u user, seed uint64, r *run) result {
	t := newTrace(z, u.kind, seed)
	sm := &sim{shape: z.shape, cost: z.cost(u), loadTrace: t, runs: []*run{r}}
	r.planner.Reset(sm.shape, sm.cost)
	r.current = placement.Contiguous(sm.shape)
	slow := make([]float64, z.shape.Ranks)
	for i := range slow {
		slow[i] = 1
	}
	slow[3] = stragglerRatio
	for w := range t.Windows {
		for _, rep := range t.Reports(w) {
			r.planner.Observe(start.Add(time.Duration(rep.Window+1)*window), rep.Load)
		}
		sm.plan(r, start.Add(time.Duration(w)*window))
		skew, times := stragglerStep(sm, r.current, t.Load(w), slow)
		r.skews = append(r.skews, skew)
		r.planner.(placement.TimesObserver).ObserveTimes(times, r.current)
	}
	r.obj.TimeLost = sm.lost(r.skews)
	return sm.summary(r.name, r.skews, r.obj)
}

// stragglerStep returns the time of a step relative to balanced ranks of normal speed,
// and the busy time of each rank.
func stragglerStep(sm *sim, m *placement.Map, load placement.Load, slow []float64) (float64, []time.Duration) {
	mean := 1000 * float64(sm.shape.Experts) / float64(sm.shape.Ranks)
	busy := make([]float64, sm.shape.Ranks)
	sum := 0.0
	for layer := range sm.shape.Layers {
		most := 0.0
		for rank, v := range m.RankLoads(sm.shape, layer, load) {
			took := v / mean * slow[rank]
			busy[rank] += took / float64(sm.shape.Layers)
			most = max(most, took)
		}
		sum += most
	}
	times := make([]time.Duration, sm.shape.Ranks)
	for rank, v := range busy {
		times[rank] = time.Duration(v * float64(sm.cost.StepTime))
	}
	return sum / float64(sm.shape.Layers), times
}
