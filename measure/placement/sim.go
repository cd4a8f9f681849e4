package main

import (
	"math"
	"slices"
	"time"

	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/placement/trace"
)

// start is the virtual time at which each trace begins.
var start = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// futureLoad returns the mean true load of a number of windows that begin at from.
type futureLoad func(from, windows int) placement.Load

// offlinePlanner is a planner that knows the future load.
type offlinePlanner interface {
	setFutureLoad(window int, p futureLoad)
}

// run is the state of one planner on one trace.
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

// result holds the figures of a planner on one trace.
type result struct {
	name     string
	p50, p95 float64
	obj      placement.Objective
	j        float64
	slowest  time.Duration
	skews    []float64
}

// sim steps all planners through a trace together, so that the trace needn't be held in
// memory.
type sim struct {
	shape     placement.Shape
	cost      placement.Cost
	loadTrace *trace.Trace
	runs      []*run
	bound     []float64
	upcoming  []placement.Load // true loads of the current and the following windows
}

func simulate(s placement.Shape, c placement.Cost, t *trace.Trace, runs []*run) []result {
	sm := &sim{shape: s, cost: c, loadTrace: t, runs: runs}
	for _, r := range runs {
		r.planner.Reset(s, c)
		r.current = placement.Contiguous(s)
	}
	for w := range t.Windows {
		sm.window(w)
	}
	results := []result{sm.summary("bound", sm.bound, placement.Objective{TimeLost: sm.lost(sm.bound)})}
	for _, r := range runs {
		r.obj.TimeLost = sm.lost(r.skews)
		res := sm.summary(r.name, r.skews, r.obj)
		res.slowest = r.slowest
		results = append(results, res)
	}
	return results
}

func (sm *sim) window(w int) {
	now := start.Add(time.Duration(w) * sm.loadTrace.Window)
	load := sm.load(w, 0)
	reports := sm.loadTrace.Reports(w)
	for _, r := range sm.runs {
		for _, rep := range reports {
			r.planner.Observe(start.Add(time.Duration(rep.Window+1)*sm.loadTrace.Window), rep.Load)
		}
		if c, ok := r.planner.(offlinePlanner); ok {
			c.setFutureLoad(w, func(from, n int) placement.Load { return sm.mean(w, from, n) })
		}
		sm.plan(r, now)
		r.skews = append(r.skews, groupSkew(sm.shape, r.current, load))
	}
	sum := 0.0
	for layer := range sm.shape.Layers {
		sum += placement.SkewBound(sm.shape, layer, load)
	}
	sm.bound = append(sm.bound, sum/float64(sm.shape.Layers))
	sm.upcoming = slices.Delete(sm.upcoming, 0, 1)
}

// plan activates a staged map once its weights are loaded, and then asks the planner
// for the next map.
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
	loading := time.Duration(len(d.Moves)) * sm.cost.LoadTime()
	r.effective = now.Add(max(loading, sm.loadTrace.Window))
	r.obj.Moves += len(d.Moves)
	r.obj.Bytes += float64(len(d.Moves)) * sm.cost.ExpertBytes
	r.obj.CapacityLost += loading / time.Duration(sm.shape.Ranks)
}

// load returns the true load of the window that is after windows later than the current
// one.
func (sm *sim) load(now, after int) placement.Load {
	for len(sm.upcoming) <= after {
		sm.upcoming = append(sm.upcoming, sm.loadTrace.Load(now+len(sm.upcoming)))
	}
	return sm.upcoming[after]
}

func (sm *sim) mean(now, from, n int) placement.Load {
	out := make(placement.Load, sm.shape.Layers*sm.shape.Experts)
	scale := float64(sm.shape.Ranks) / (1000 * float64(sm.shape.Experts) * float64(n))
	for i := range n {
		for e, v := range sm.load(now, from-now+i) {
			out[e] += v * scale
		}
	}
	return out
}

// lost returns the extra time that the steps took compared with balanced ranks. Each
// window counts the steps that balanced ranks would make in it.
func (sm *sim) lost(skews []float64) time.Duration {
	sum := 0.0
	for _, v := range skews {
		sum += v - 1
	}
	return time.Duration(sum * float64(sm.loadTrace.Window))
}

func (sm *sim) summary(name string, skews []float64, obj placement.Objective) result {
	sorted := slices.Sorted(slices.Values(skews))
	at := func(q float64) float64 { return sorted[int(math.Ceil(q*float64(len(sorted))))-1] }
	return result{name: name, p50: at(0.5), p95: at(0.95), obj: obj, j: obj.Value(sm.cost), skews: skews}
}

// groupSkew returns the time of a step relative to balanced ranks: the mean over the
// layers of the highest rank load divided by the mean.
func groupSkew(s placement.Shape, m *placement.Map, load placement.Load) float64 {
	sum := 0.0
	for layer := range s.Layers {
		sum += m.Skew(s, layer, load)
	}
	return sum / float64(s.Layers)
}
