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
// Several half-lives run side by side; each layer is forecast by the one that has
// lately erred least about the next window. So noise is smoothed away where the load
// stands still, and a sudden change is followed quickly.
type Forecast struct {
	// HalfLives are the ages at which a window counts half.
	HalfLives []time.Duration
	// ErrorHalfLife is the age at which an error about a window counts half.
	ErrorHalfLife time.Duration
	// Median takes each expert's median of the last three windows first, so that
	// one wrong counter can't start a move.
	Median bool

	shape     Shape
	smoothers []smoother
	ref       time.Time
	seen      []time.Time
	recent    []Load
}

// smoother is one half-life's weighted sum of windows, and its recent squared error
// in each layer.
type smoother struct {
	half   time.Duration
	sum    []float64
	weight float64
	errors []float64
}

// Reset forgets all windows.
func (f *Forecast) Reset(s Shape) {
	*f = Forecast{HalfLives: f.HalfLives, ErrorHalfLife: f.ErrorHalfLife, Median: f.Median, shape: s}
	for _, half := range f.HalfLives {
		f.smoothers = append(f.smoothers, smoother{
			half: half, sum: make([]float64, s.Layers*s.Experts), errors: make([]float64, s.Layers),
		})
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
	raw := f.shares(load)
	f.add(at, raw, f.filtered(raw))
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
	out := make(Load, 0, f.shape.Layers*f.shape.Experts)
	for layer := range f.shape.Layers {
		sm := f.best(layer)
		for _, v := range sm.sum[layer*f.shape.Experts : (layer+1)*f.shape.Experts] {
			out = append(out, v/sm.weight)
		}
	}
	return out
}

// HalfLife is the half-life by which a layer is forecast now: short after a sudden
// change, long where the load stands still.
func (f *Forecast) HalfLife(layer int) time.Duration { return f.best(layer).half }

func (f *Forecast) best(layer int) *smoother {
	best := &f.smoothers[0]
	for i := range f.smoothers {
		if f.smoothers[i].errors[layer] < best.errors[layer] {
			best = &f.smoothers[i]
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

func (f *Forecast) filtered(load Load) Load {
	if !f.Median {
		return load
	}
	f.recent = append(f.recent, load)
	if len(f.recent) > 3 {
		f.recent = slices.Delete(f.recent, 0, 1)
	}
	if len(f.recent) < 3 {
		return load
	}
	out := make(Load, len(load))
	for i := range out {
		a, b, c := f.recent[0][i], f.recent[1][i], f.recent[2][i]
		out[i] = max(min(a, b), min(max(a, b), c))
	}
	return f.shares(out)
}

// add takes a window into all smoothers. They are judged by the raw window: medians
// of overlapping windows resemble each other, which would favour the quickest one.
func (f *Forecast) add(at time.Time, raw, load Load) {
	first := f.ref.IsZero()
	if first {
		f.ref = at
	}
	age := f.ref.Sub(at)
	for i := range f.smoothers {
		sm := &f.smoothers[i]
		if age < 0 {
			sm.judge(raw, fade(-age, f.ErrorHalfLife))
			sm.decay(fade(-age, sm.half))
		}
		sm.add(load, fade(max(age, 0), sm.half))
	}
	if age < 0 {
		f.ref = at
	}
}

// judge adds the error about a window that is the newest so far.
func (sm *smoother) judge(load Load, by float64) {
	experts := len(load) / len(sm.errors)
	for layer := range sm.errors {
		sum := 0.0
		for i := layer * experts; i < (layer+1)*experts; i++ {
			d := load[i] - sm.sum[i]/sm.weight
			sum += d * d
		}
		sm.errors[layer] = sm.errors[layer]*by + sum
	}
}

func (sm *smoother) add(load Load, w float64) {
	for i, v := range load {
		sm.sum[i] += w * v
	}
	sm.weight += w
}

// minWeight keeps sums from vanishing over a long gap: only their ratio counts.
const minWeight = 1e-9

func (sm *smoother) decay(by float64) {
	by = max(by, minWeight/sm.weight)
	for i := range sm.sum {
		sm.sum[i] *= by
	}
	sm.weight *= by
}

func fade(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }
