package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// stragglerFactor is by how much a rank must exceed the others to be called slow.
	stragglerFactor = 1.15
	// stragglerWindows is in how many windows in a row it must do so: a pause for
	// garbage or a burst of long prompts is not a slow rank.
	stragglerWindows = 4
)

// TimesObserver is a planner that also takes the ranks' busy times, the time of a
// step without waiting for other ranks.
type TimesObserver interface {
	ObserveTimes(times []time.Duration, current *Map)
}

// Slowness compares ranks' busy times with those of the median rank: their time, and
// their time per token. Both are nil if times or loads are missing.
func Slowness(s Shape, m *Map, load Load, times []time.Duration) (byTime, byToken []float64) {
	if len(times) != s.Ranks || load == nil {
		return nil, nil
	}
	tokens := make([]float64, s.Ranks)
	for layer := range s.Layers {
		for r, v := range m.RankLoads(s, layer, load) {
			tokens[r] += v
		}
	}
	byTime, byToken = make([]float64, s.Ranks), make([]float64, s.Ranks)
	for r, d := range times {
		if d <= 0 || tokens[r] <= 0 {
			return nil, nil
		}
		byTime[r] = d.Seconds()
		byToken[r] = d.Seconds() / tokens[r]
	}
	overMedian(byTime)
	overMedian(byToken)
	return byTime, byToken
}

func overMedian(v []float64) {
	m := median(v)
	for i := range v {
		v[i] /= m
	}
}

func median(v []float64) float64 {
	sorted := slices.Sorted(slices.Values(v))
	return sorted[(len(sorted)-1)/2]
}

// stragglerWatch turns the slowness of single windows into a lasting one.
//
// How much of a step's time grows with load isn't known. So a rank becomes slow only
// by the lesser of its ratios: a rank with the hottest expert is long because of its
// load. Once it is slow it stays so by its time per token alone: if it is given less
// load its time is as the others', and it would be loaded again and again. The ratio
// is kept as it was found, so that it can't grow by the lightening itself.
type stragglerWatch struct {
	runs []int
	slow []float64
}

// observe takes one window.
func (w *stragglerWatch) observe(byTime, byToken []float64) {
	if w.runs == nil {
		w.runs = make([]int, len(byTime))
		w.slow = slices.Repeat([]float64{1}, len(byTime))
	}
	for r := range byTime {
		known := w.runs[r] >= stragglerWindows
		lesser := min(byTime[r], byToken[r])
		switch {
		case known && byToken[r] >= stragglerFactor:
		case !known && lesser >= stragglerFactor:
			w.runs[r]++
			w.slow[r] += (lesser - w.slow[r]) / float64(w.runs[r])
		default:
			w.runs[r], w.slow[r] = 0, 1
		}
	}
}

// lasting is the slowness of the ranks that have been slow for long enough, 1 for
// others; nil if there are none.
func (w *stragglerWatch) lasting() []float64 {
	var out []float64
	for r, n := range w.runs {
		if n < stragglerWindows {
			continue
		}
		if out == nil {
			out = slices.Repeat([]float64{1}, len(w.runs))
		}
		out[r] = w.slow[r]
	}
	return out
}

// report says which ranks are slow, for Decision.Why.
func (w *stragglerWatch) report() string {
	var b strings.Builder
	for r, v := range w.lasting() {
		if v > 1 {
			fmt.Fprintf(&b, "; rank %d takes %.2f times what its load explains", r, v)
		}
	}
	return b.String()
}
