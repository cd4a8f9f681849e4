package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// stragglerFactor is the ratio to the median rank from which a rank counts as slow.
	stragglerFactor = 1.15
	// stragglerWindows is the number of consecutive slow windows after which a rank is a
	// straggler. A garbage collection pause or a burst of long prompts ends before that.
	stragglerWindows = 4
)

// TimesObserver is implemented by planners that also use the busy time of each rank: the
// duration of a step without the time spent waiting for other ranks.
type TimesObserver interface {
	ObserveTimes(times []time.Duration, current *Map)
}

// RankSlowdown returns each rank's busy time and its busy time per token, both relative to the
// median rank. Both are nil if the load or a rank's time is missing.
func RankSlowdown(s Shape, m *Map, load Load, times []time.Duration) (byTime, byToken []float64) {
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
	divideByMedian(byTime)
	divideByMedian(byToken)
	return byTime, byToken
}

// divideByMedian divides all values by their median in place.
func divideByMedian(v []float64) {
	m := median(v)
	for i := range v {
		v[i] /= m
	}
}

// median returns the middle value, the lower one of two.
func median(v []float64) float64 {
	sorted := slices.Sorted(slices.Values(v))
	return sorted[(len(sorted)-1)/2]
}

// stragglerDetector finds ranks that stay slow over several windows.
//
// Which part of a step's time grows with the load is unknown. So a rank becomes a straggler
// only by the smaller of its two ratios: the rank with the hottest expert takes long because of
// its load. Once it is a straggler, only its time per token can clear it: after its load has
// been reduced its step time equals that of the others, and clearing it by that would make the
// map oscillate. The slowdown is not updated after detection, so reducing the load can't
// increase it.
type stragglerDetector struct {
	// slowWindows counts consecutive slow windows of each rank, up to detection; slowdown is
	// the mean ratio in them, 1 for a rank that isn't slow.
	slowWindows []int
	slowdown    []float64
}

// observe takes the ratios of one window as returned by RankSlowdown.
func (w *stragglerDetector) observe(byTime, byToken []float64) {
	if w.slowWindows == nil {
		w.slowWindows = make([]int, len(byTime))
		w.slowdown = slices.Repeat([]float64{1}, len(byTime))
	}
	for r := range byTime {
		detected := w.slowWindows[r] >= stragglerWindows
		ratio := min(byTime[r], byToken[r])
		switch {
		case detected && byToken[r] >= stragglerFactor:
		case !detected && ratio >= stragglerFactor:
			w.slowWindows[r]++
			w.slowdown[r] += (ratio - w.slowdown[r]) / float64(w.slowWindows[r])
		default:
			w.slowWindows[r], w.slowdown[r] = 0, 1
		}
	}
}

// stragglers returns the slowdown of each straggler and 1 for other ranks; nil if there are no
// stragglers.
func (w *stragglerDetector) stragglers() []float64 {
	var out []float64
	for r, n := range w.slowWindows {
		if n < stragglerWindows {
			continue
		}
		if out == nil {
			out = slices.Repeat([]float64{1}, len(w.slowWindows))
		}
		out[r] = w.slowdown[r]
	}
	return out
}

// summary describes the stragglers for Decision.Reason.
func (w *stragglerDetector) summary() string {
	var b strings.Builder
	for r, v := range w.stragglers() {
		if v > 1 {
			fmt.Fprintf(&b, "; rank %d takes %.2f times as long as its load explains", r, v)
		}
	}
	return b.String()
}
