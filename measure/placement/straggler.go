package main

import (
	"fmt"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/placement/trace"
)

// slowRatio is how much longer the slow rank takes for the same load.
const slowRatio = 1.3

// slowRank measures a group of which one rank is slow: the step's time over that of
// even ordinary ranks, and J, with and without lightening the slow rank.
func slowRank(o options, z size) error {
	fmt.Printf("rank 3 takes %.1f times as long; %.0f h, tuning seeds: %v\n", slowRatio, z.hours, o.Tuning)
	for _, u := range users[:3] {
		seed := trace.HeldOutSeeds(u.kind)[0]
		if o.Tuning {
			seed = trace.TuningSeeds(u.kind)[0]
		}
		for _, lighten := range []bool{false, true} {
			p := placement.NewIncremental()
			p.Lighten = lighten
			r := &run{name: "ours", planner: p}
			res := slowSim(z, u, seed, r)
			fmt.Printf("%-15s lighten %-5v p50 %.3f p95 %.3f lost %.0fs moves %d J %.0f\n",
				u.name, lighten, res.p50, res.p95, res.obj.Lost.Seconds(), res.obj.Moves, res.j)
		}
	}
	return nil
}

func slowSim(z size, u user, seed uint64, r *run) result {
	t := newTrace(z, u.kind, seed)
	sm := &sim{s: z.shape, c: z.cost(u), t: t, runs: []*run{r}}
	r.planner.Reset(sm.s, sm.c)
	r.current = placement.Contiguous(sm.s)
	slow := make([]float64, z.shape.Ranks)
	for i := range slow {
		slow[i] = 1
	}
	slow[3] = slowRatio
	for w := range t.Windows {
		for _, rep := range t.Reports(w) {
			r.planner.Observe(start.Add(time.Duration(rep.Window+1)*window), rep.Load)
		}
		sm.plan(r, start.Add(time.Duration(w)*window))
		skew, times := slowStep(sm, r.current, t.Load(w), slow)
		r.skews = append(r.skews, skew)
		r.planner.(placement.TimesObserver).ObserveTimes(times, r.current)
	}
	r.obj.Lost = sm.lost(r.skews)
	return sm.summary(r.name, r.skews, r.obj)
}

// slowStep gives the time of a step over that of even ordinary ranks, and each rank's
// own busy time.
func slowStep(sm *sim, m *placement.Map, load placement.Load, slow []float64) (float64, []time.Duration) {
	mean := 1000 * float64(sm.s.Experts) / float64(sm.s.Ranks)
	busy := make([]float64, sm.s.Ranks)
	sum := 0.0
	for layer := range sm.s.Layers {
		most := 0.0
		for rank, v := range m.RankLoads(sm.s, layer, load) {
			took := v / mean * slow[rank]
			busy[rank] += took / float64(sm.s.Layers)
			most = max(most, took)
		}
		sum += most
	}
	times := make([]time.Duration, sm.s.Ranks)
	for rank, v := range busy {
		times[rank] = time.Duration(v * float64(sm.c.StepTime))
	}
	return sum / float64(sm.s.Layers), times
}
