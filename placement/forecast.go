package placement

import (
	"math"
	"slices"
	"time"
)

// maxSeenWindows bounds the window ends that are remembered to drop duplicates.
const seenWindows = 32

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
	Trends []time.Duration
	// Lookahead is the time after the newest window that is forecast; trends are extrapolated that
	// far.
	Ahead time.Duration
	// ErrorHalfLife is the half-life of the errors by which smoothers are compared.
	ErrorHalfLife time.Duration
	// Robust clips outliers of single counters, so that one wrong counter can't cause a move,
	// and enables the detection of sudden changes.
	Robust bool

	shape     Shape
	smoothers []smoother
	ref       time.Time
	seen      []time.Time
	noise     noise
	regimes   regimes
}

// Reset discards all windows and sets the group's shape.
func (f *Forecast) Reset(s Shape) {
	*f = Forecast{
		HalfLives: f.HalfLives, Trends: f.Trends, Ahead: f.Ahead,
		ErrorHalfLife: f.ErrorHalfLife, Robust: f.Robust, shape: s,
	}
	for _, half := range f.HalfLives {
		f.smoothers = append(f.smoothers, newSmoother(half, false, s))
	}
	for _, half := range f.Trends {
		f.smoothers = append(f.smoothers, newSmoother(half, true, s))
	}
}

// Observe adds a window that ended at the given time. It returns false if the window is
// dropped: invalid, a duplicate, or from before the current regime.
func (f *Forecast) Observe(at time.Time, load Load) bool {
	if !usable(f.shape, load) || slices.ContainsFunc(f.seen, at.Equal) {
		return false
	}
	f.seen = append(f.seen, at)
	if len(f.seen) > seenWindows {
		f.seen = slices.Delete(f.seen, 0, 1)
	}
	if at.Before(f.regimes.since) {
		return false
	}
	f.add(at, f.shares(load))
	return true
}

// Latest returns the end of the newest window, or the zero time if there is none.
func (f *Forecast) Latest() time.Time { return f.ref }

// Load returns the forecast, or nil without windows. The shares of each layer sum to the number
// of ranks, so that the mean rank has load 1.
func (f *Forecast) Load() Load {
	if f.ref.IsZero() {
		return nil
	}
	return f.after(f.Ahead)
}

// loadAfter returns the forecast for a time after the newest window.
func (f *Forecast) after(by time.Duration) Load {
	projections := make([]line, len(f.smoothers))
	for i := range f.smoothers {
		projections[i] = f.smoothers[i].ahead(by)
	}
	out := make(Load, f.shape.Layers*f.shape.Experts)
	trend := false
	for layer := range f.shape.Layers {
		k := f.best(layer)
		trend = trend || f.smoothers[k].trend
		for i := layer * f.shape.Experts; i < (layer+1)*f.shape.Experts; i++ {
			out[i] = f.smoothers[k].at(i, projections[k])
		}
	}
	if trend {
		return f.shares(out) // projections below zero were cut off, which changes the sums
	}
	return out
}

// trendLifetime is the fraction of a trend's half-life that HalfLife returns: a drift goes on,
// so a gain lasts for a shorter time than without a trend.
const trendLife = 0.2

// HalfLife returns the half-life by which a layer is currently forecast, scaled by
// trendLifetime if it is forecast with a trend.
func (f *Forecast) HalfLife(layer int) time.Duration {
	sm := &f.smoothers[f.best(layer)]
	if sm.trend {
		return time.Duration(trendLife * float64(sm.half))
	}
	return sm.half
}

// MeanRegime returns the mean duration of past regimes, 0 if none has ended.
func (f *Forecast) Lasting() time.Duration { return f.regimes.mean() }

// Error returns the standard error of a rank's forecast load that follows from the noise of the
// counters. The mean rank has load 1.
func (f *Forecast) Error(layer int) float64 {
	if f.noise.squares == nil {
		return 0
	}
	variance := f.smoothers[f.best(layer)].ahead(f.Ahead).variance
	return math.Sqrt(f.noise.of(layer) * variance / float64(f.shape.Ranks))
}

// bestSmoother returns the index of the smoother by which a layer is forecast.
func (f *Forecast) best(layer int) int {
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
func (f *Forecast) add(at time.Time, raw Load) {
	if f.ref.IsZero() {
		f.ref = at
	}
	age := f.ref.Sub(at) // negative for a window that is newer than all others
	load := raw
	if age < 0 {
		load = f.newest(at, -age, raw)
	} else if f.Robust && f.noise.squares != nil {
		load = f.noise.clip(raw, f.after(-age))
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
func (f *Forecast) newest(at time.Time, after time.Duration, raw Load) Load {
	load := raw
	if f.Robust {
		expected := f.after(after)
		if f.noise.squares != nil && f.noise.jump(f.shape, raw, expected) {
			f.turn(at, raw)
			return nil
		}
		load = f.noise.clip(raw, expected)
		f.noise.learn(f.shape, load, expected, fade(after, f.ErrorHalfLife))
	}
	for i := range f.smoothers {
		f.smoothers[i].judge(raw, after, fade(after, f.ErrorHalfLife))
		f.smoothers[i].pass(after)
	}
	f.ref = at
	f.regimes.windows++
	return load
}

// startRegime resets the smoothers at a window that starts a new regime.
func (f *Forecast) turn(at time.Time, raw Load) {
	start, weight := f.regimes.next(at, f.after(0), raw, f.noise.total())
	for i := range f.smoothers {
		f.smoothers[i].forget()
		f.smoothers[i].add(start, 0, weight)
	}
	f.ref = at
}
