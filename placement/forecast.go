package placement

import (
	"math"
	"slices"
	"time"
)

// seenWindows is how many window ends are kept to drop doubled windows.
const seenWindows = 32

// Forecast predicts the load of the coming time by exponential smoothing of each
// expert's share. Windows may come late, out of order or doubled, and may be
// missing: a window's weight depends on its end alone. Shares are smoothed, not
// tokens, so a busy hour doesn't outweigh the quiet one that follows it.
//
// Several half-lives run side by side, with and without a trend; each layer is
// forecast by the one that has lately erred least about the next window. So noise is
// smoothed away where the load stands still or drifts steadily. A sudden change ends
// a regime, see regimes: what came before it counts no more.
type Forecast struct {
	// HalfLives are the ages at which a window counts half.
	HalfLives []time.Duration
	// Trends are the half-lives of the smoothers with a trend.
	Trends []time.Duration
	// Ahead is for how long after the newest window a trend is followed.
	Ahead time.Duration
	// ErrorHalfLife is the age at which an error about a window counts half.
	ErrorHalfLife time.Duration
	// Robust clips single wrong counters, so that none can start a move, and tells
	// sudden changes from them.
	Robust bool

	shape     Shape
	smoothers []smoother
	ref       time.Time
	seen      []time.Time
	noise     noise
	regimes   regimes
}

// Reset forgets all windows.
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

// Observe takes a window; it says whether the window was used.
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

// Latest is the end of the latest window; zero if there is none.
func (f *Forecast) Latest() time.Time { return f.ref }

// Load is the forecast: shares that sum to the number of ranks in each layer, so
// that the mean rank has load 1. It is nil without windows.
func (f *Forecast) Load() Load {
	if f.ref.IsZero() {
		return nil
	}
	return f.after(f.Ahead)
}

// after is the forecast for a time after the newest window.
func (f *Forecast) after(by time.Duration) Load {
	lines := make([]line, len(f.smoothers))
	for i := range f.smoothers {
		lines[i] = f.smoothers[i].ahead(by)
	}
	out := make(Load, f.shape.Layers*f.shape.Experts)
	trend := false
	for layer := range f.shape.Layers {
		k := f.best(layer)
		trend = trend || f.smoothers[k].trend
		for i := layer * f.shape.Experts; i < (layer+1)*f.shape.Experts; i++ {
			out[i] = f.smoothers[k].at(i, lines[k])
		}
	}
	if trend {
		return f.shares(out) // a line may have been cut at zero
	}
	return out
}

// trendLife is the share of a trend's half-life for which a gain is trusted like that
// of a smoother without: the drift that it follows goes on.
const trendLife = 0.2

// HalfLife is the half-life by which a layer is forecast now: short after a sudden
// change, long where the load stands still.
func (f *Forecast) HalfLife(layer int) time.Duration {
	sm := &f.smoothers[f.best(layer)]
	if sm.trend {
		return time.Duration(trendLife * float64(sm.half))
	}
	return sm.half
}

// Lasting is for how long regimes have lasted on average; zero if none has ended.
func (f *Forecast) Lasting() time.Duration { return f.regimes.mean() }

// Error is the standard error of the forecast load of a rank, by the counters' noise,
// where the mean rank has load 1.
func (f *Forecast) Error(layer int) float64 {
	if f.noise.squares == nil {
		return 0
	}
	variance := f.smoothers[f.best(layer)].ahead(f.Ahead).variance
	return math.Sqrt(f.noise.of(layer) * variance / float64(f.shape.Ranks))
}

// best is the number of the smoother by which a layer is forecast.
func (f *Forecast) best(layer int) int {
	best := 0
	for i := range f.smoothers {
		if f.smoothers[i].errors[layer] < f.smoothers[best].errors[layer] {
			best = i
		}
	}
	return best
}

// shares scales each layer to a sum of Ranks. A layer without tokens says nothing
// about its experts: they count as equal.
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

// add takes a window into all smoothers. They are judged by the raw window: clipped
// ones resemble the forecast.
func (f *Forecast) add(at time.Time, raw Load) {
	if f.ref.IsZero() {
		f.ref = at
	}
	age := f.ref.Sub(at)
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

// newest takes the newest window so far, and gives what the smoothers are to add; nil
// if they have been set anew.
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

// turn begins a regime at a window.
func (f *Forecast) turn(at time.Time, raw Load) {
	start, weight := f.regimes.next(at, f.after(0), raw, f.noise.total())
	for i := range f.smoothers {
		f.smoothers[i].forget()
		f.smoothers[i].add(start, 0, weight)
	}
	f.ref = at
}
