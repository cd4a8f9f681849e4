package placement

import (
	"math"
	"slices"
	"time"
)

// maxSeenWindows bounds the window ends that are remembered to drop duplicates.
const maxSeenWindows = 32

// Forecast predicts the load of the near future by exponential smoothing of each expert's share
// of its layer. Windows may be late, out of order, duplicated or missing: the weight of a
// window depends only on its end. Shares are smoothed rather than tokens, so that a busy hour
// doesn't outweigh the quiet hour after it.
//
// Several smoothers run in parallel, with different half-lives and with or without a trend.
// Each layer is forecast by the smoother whose one-step-ahead error has been lowest recently. A
// sudden change of the load starts a new regime and discards the windows before it, see
// regimeHistory.
type Forecast struct {
	// HalfLives are the half-lives of the smoothers without a trend.
	HalfLives []time.Duration
	// TrendHalfLives are the half-lives of the smoothers with a trend.
	TrendHalfLives []time.Duration
	// Lookahead is the time after the newest window that is forecast; trends are extrapolated that
	// far.
	Lookahead time.Duration
	// ErrorHalfLife is the half-life of the errors by which smoothers are compared.
	ErrorHalfLife time.Duration
	// Robust clips outliers of single counters, so that one wrong counter can't cause a move,
	// and enables the detection of sudden changes.
	Robust bool

	shape     Shape
	smoothers []smoother
	newestEnd time.Time
	seenEnds  []time.Time
	noise     noise
	regimes   regimeHistory
}

// Reset discards all windows and sets the group's shape.
func (f *Forecast) Reset(s Shape) {
	*f = Forecast{
		HalfLives: f.HalfLives, TrendHalfLives: f.TrendHalfLives, Lookahead: f.Lookahead,
		ErrorHalfLife: f.ErrorHalfLife, Robust: f.Robust, shape: s,
	}
	for _, half := range f.HalfLives {
		f.smoothers = append(f.smoothers, newSmoother(half, false, s))
	}
	for _, half := range f.TrendHalfLives {
		f.smoothers = append(f.smoothers, newSmoother(half, true, s))
	}
}

// Observe adds a window that ended at the given time. It returns false if the window is
// dropped: invalid, a duplicate, or from before the current regime.
func (f *Forecast) Observe(at time.Time, load Load) bool {
	if !validLoad(f.shape, load) || slices.ContainsFunc(f.seenEnds, at.Equal) {
		return false
	}
	f.seenEnds = append(f.seenEnds, at)
	if len(f.seenEnds) > maxSeenWindows {
		f.seenEnds = slices.Delete(f.seenEnds, 0, 1)
	}
	if at.Before(f.regimes.since) {
		return false
	}
	f.addWindow(at, f.shares(load))
	return true
}

// Latest returns the end of the newest window, or the zero time if there is none.
func (f *Forecast) Latest() time.Time { return f.newestEnd }

// Load returns the forecast, or nil without windows. The shares of each layer sum to the number
// of ranks, so that the mean rank has load 1.
func (f *Forecast) Load() Load {
	if f.newestEnd.IsZero() {
		return nil
	}
	return f.loadAfter(f.Lookahead)
}

// loadAfter returns the forecast for a time after the newest window.
func (f *Forecast) loadAfter(by time.Duration) Load {
	projections := make([]projection, len(f.smoothers))
	for i := range f.smoothers {
		projections[i] = f.smoothers[i].project(by)
	}
	out := make(Load, f.shape.Layers*f.shape.Experts)
	trend := false
	for layer := range f.shape.Layers {
		k := f.bestSmoother(layer)
		trend = trend || f.smoothers[k].trend
		for i := layer * f.shape.Experts; i < (layer+1)*f.shape.Experts; i++ {
			out[i] = f.smoothers[k].value(i, projections[k])
		}
	}
	if trend {
		return f.shares(out) // projections below zero were cut off, which changes the sums
	}
	return out
}

// trendLifetime is the fraction of a trend's half-life that HalfLife returns: a drift goes on,
// so a gain lasts for a shorter time than without a trend.
const trendLifetime = 0.2

// HalfLife returns the half-life by which a layer is currently forecast, scaled by
// trendLifetime if it is forecast with a trend.
func (f *Forecast) HalfLife(layer int) time.Duration {
	sm := &f.smoothers[f.bestSmoother(layer)]
	if sm.trend {
		return time.Duration(trendLifetime * float64(sm.half))
	}
	return sm.half
}

// MeanRegime returns the mean duration of past regimes, 0 if none has ended.
func (f *Forecast) MeanRegime() time.Duration { return f.regimes.meanDuration() }

// Error returns the standard error of a rank's forecast load that follows from the noise of the
// counters. The mean rank has load 1.
func (f *Forecast) Error(layer int) float64 {
	if f.noise.squaredErrors == nil {
		return 0
	}
	variance := f.smoothers[f.bestSmoother(layer)].project(f.Lookahead).variance
	return math.Sqrt(f.noise.squaredError(layer) * variance / float64(f.shape.Ranks))
}

// bestSmoother returns the index of the smoother by which a layer is forecast.
func (f *Forecast) bestSmoother(layer int) int {
	best := 0
	for i := range f.smoothers {
		if f.smoothers[i].errors[layer] < f.smoothers[best].errors[layer] {
			best = i
		}
	}
	return best
}

// shares scales each layer to a sum of Ranks. The experts of a layer without tokens get equal
// shares.
func (f *Forecast) shares(load Load) Load {
	out := make(Load, len(load))
	for layer := range f.shape.Layers {
		from, to := layer*f.shape.Experts, (layer+1)*f.shape.Experts
		total := 0.0
		for _, v := range load[from:to] {
			total += v
		}
		for i := from; i < to; i++ {
			out[i] = float64(f.shape.Ranks) / float64(f.shape.Experts)
			if total > 0 {
				out[i] = load[i] * float64(f.shape.Ranks) / total
			}
		}
	}
	return out
}

// addWindow adds a window to all smoothers. If Robust, a late window is clipped against the
// forecast for its own time.
func (f *Forecast) addWindow(at time.Time, raw Load) {
	if f.newestEnd.IsZero() {
		f.newestEnd = at
	}
	age := f.newestEnd.Sub(at) // negative for a window that is newer than all others
	load := raw
	if age < 0 {
		load = f.addNewest(at, -age, raw)
	} else if f.Robust && f.noise.squaredErrors != nil {
		load = f.noise.clip(raw, f.loadAfter(-age))
	}
	if load == nil {
		return
	}
	for i := range f.smoothers {
		f.smoothers[i].add(load, max(age, 0), 1)
	}
}

// addNewest handles a window that is newer than all others. It returns the load that the
// smoothers are to add, or nil if the window has started a new regime. Smoothers are scored
// against the raw window, because a clipped one resembles the forecast.
func (f *Forecast) addNewest(at time.Time, after time.Duration, raw Load) Load {
	load := raw
	if f.Robust {
		expected := f.loadAfter(after)
		if f.noise.squaredErrors != nil && f.noise.suddenChange(f.shape, raw, expected) {
			f.startRegime(at, raw)
			return nil
		}
		load = f.noise.clip(raw, expected)
		f.noise.observe(f.shape, load, expected, decayFactor(after, f.ErrorHalfLife))
	}
	for i := range f.smoothers {
		f.smoothers[i].score(raw, after, decayFactor(after, f.ErrorHalfLife))
		f.smoothers[i].advance(after)
	}
	f.newestEnd = at
	f.regimes.windows++
	return load
}

// startRegime resets the smoothers at a window that starts a new regime.
func (f *Forecast) startRegime(at time.Time, raw Load) {
	start, weight := f.regimes.startNext(at, f.loadAfter(0), raw, f.noise.totalSquaredError())
	for i := range f.smoothers {
		f.smoothers[i].reset()
		f.smoothers[i].add(start, 0, weight)
	}
	f.newestEnd = at
}
