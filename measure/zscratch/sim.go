package main

import (
	"math"
	"slices"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/placement/trace"
)

// start is when each trace begins, midnight.
var start = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// peek gives the mean true load of windows to come, for planners that may see the
// trace.
type peek func(from, windows int) placement.Load

// clairvoyant is a planner that sees the trace.
type clairvoyant interface{ see(window int, p peek) }

// run is one planner on one trace.
type run struct {
	name    string
	planner placement.Planner

	current   *placement.Map
	staged    *placement.Map
	effective time.Time
	skews     []float64
	obj       placement.Objective
	slowest   time.Duration
}

// result is what a planner came to on one trace.
type result struct {
	name     string
	p50, p95 float64
	obj      placement.Objective
	j        float64
	slowest  time.Duration
	skews    []float64
}

// sim steps planners through a trace, all of them at once, so that a long trace
// needn't be kept.
type sim struct {
	s     placement.Shape
	c     placement.Cost
	t     *trace.Trace
	runs  []*run
	bound []float64
	ahead []placement.Load // true loads of the windows from now on
}

func simulate(s placement.Shape, c placement.Cost, t *trace.Trace, runs []*run) []result {
	sm := &sim{s: s, c: c, t: t, runs: runs}
	for _, r := range runs {
		r.planner.Reset(s, c)
		r.current = placement.Contiguous(s)
	}
	for w := range t.Windows {
		sm.window(w)
	}
	results := []result{sm.summary("bound", sm.bound, placement.Objective{Lost: sm.lost(sm.bound)})}
	for _, r := range runs {
		r.obj.Lost = sm.lost(r.skews)
		res := sm.summary(r.name, r.skews, r.obj)
		res.slowest = r.slowest
		results = append(results, res)
	}
	return results
}

func (sm *sim) window(w int) {
	now := start.Add(time.Duration(w) * sm.t.Window)
	load := sm.load(w, 0)
	reports := sm.t.Reports(w)
	for _, r := range sm.runs {
		for _, rep := range reports {
			r.planner.Observe(start.Add(time.Duration(rep.Window+1)*sm.t.Window), rep.Load)
		}
		if c, ok := r.planner.(clairvoyant); ok {
			c.see(w, func(from, n int) placement.Load { return sm.mean(w, from, n) })
		}
		sm.plan(r, now)
		r.skews = append(r.skews, groupSkew(sm.s, r.current, load))
	}
	sum := 0.0
	for layer := range sm.s.Layers {
		sum += placement.Bound(sm.s, layer, load)
	}
	sm.bound = append(sm.bound, sum/float64(sm.s.Layers))
	sm.ahead = slices.Delete(sm.ahead, 0, 1)
}

// plan switches to a staged map once its weights are loaded, and asks for the next.
func (sm *sim) plan(r *run, now time.Time) {
	if r.staged != nil {
		if now.Before(r.effective) {
			return
		}
		r.current, r.staged = r.staged, nil
	}
	began := time.Now()
	d := r.planner.Plan(now, r.current)
	r.slowest = max(r.slowest, time.Since(began))
	if d.Next == nil {
		return
	}
	r.staged = d.Next
	loading := time.Duration(len(d.Moves)) * sm.c.LoadTime()
	r.effective = now.Add(max(loading, sm.t.Window))
	r.obj.Moves += len(d.Moves)
	r.obj.Bytes += float64(len(d.Moves)) * sm.c.ExpertBytes
	r.obj.CapacityLost += loading / time.Duration(sm.s.Ranks)
}

// load is the true load of a window at or after the one that runs.
func (sm *sim) load(now, after int) placement.Load {
	for len(sm.ahead) <= after {
		sm.ahead = append(sm.ahead, sm.t.Load(now+len(sm.ahead)))
	}
	return sm.ahead[after]
}

func (sm *sim) mean(now, from, n int) placement.Load {
	out := make(placement.Load, sm.s.Layers*sm.s.Experts)
	scale := float64(sm.s.Ranks) / (1000 * float64(sm.s.Experts) * float64(n))
	for i := range n {
		for e, v := range sm.load(now, from-now+i) {
			out[e] += v * scale
		}
	}
	return out
}

// lost is the time by which steps were longer than on even ranks: each window holds
// the steps that even ranks make in it.
func (sm *sim) lost(skews []float64) time.Duration {
	sum := 0.0
	for _, v := range skews {
		sum += v - 1
	}
	return time.Duration(sum * float64(sm.t.Window))
}

func (sm *sim) summary(name string, skews []float64, obj placement.Objective) result {
	sorted := slices.Sorted(slices.Values(skews))
	at := func(q float64) float64 { return sorted[int(math.Ceil(q*float64(len(sorted))))-1] }
	return result{name: name, p50: at(0.5), p95: at(0.95), obj: obj, j: obj.J(sm.c), skews: skews}
}

// groupSkew is a step's time over that of even ranks: the mean over its layers of
// the busiest rank over the mean.
func groupSkew(s placement.Shape, m *placement.Map, load placement.Load) float64 {
	sum := 0.0
	for layer := range s.Layers {
		sum += m.Skew(s, layer, load)
	}
	return sum / float64(s.Layers)
}
