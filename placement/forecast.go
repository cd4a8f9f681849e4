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
type Forecast struct {
	// HalfLife is the age at which a window counts half.
	HalfLife time.Duration
	// Median takes each expert's median of the last three windows first, so that
	// one wrong counter can't start a move.
	Median bool

	shape  Shape
	sum    []float64
	weight float64
	ref    time.Time
	seen   []time.Time
	recent []Load
}

// Reset forgets all windows.
func (f *Forecast) Reset(s Shape) {
	*f = Forecast{HalfLife: f.HalfLife, Median: f.Median, shape: s}
	f.sum = make([]float64, s.Layers*s.Experts)
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
	f.add(at, f.filtered(f.shares(load)))
	return true
}

// Latest is the end of the latest window; zero if there is none.
func (f *Forecast) Latest() time.Time { return f.ref }

// Load is the forecast: shares that sum to the number of ranks in each layer, so
// that the mean rank has load 1. It is nil without windows.
func (f *Forecast) Load() Load {
	if f.weight == 0 {
		return nil
	}
	out := make(Load, len(f.sum))
	for i, v := range f.sum {
		out[i] = v / f.weight
	}
	return out
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

func (f *Forecast) add(at time.Time, load Load) {
	if f.ref.IsZero() {
		f.ref = at
	}
	w := 1.0
	if at.After(f.ref) {
		f.decay(f.fade(at.Sub(f.ref)))
		f.ref = at
	} else {
		w = f.fade(f.ref.Sub(at))
	}
	for i, v := range load {
		f.sum[i] += w * v
	}
	f.weight += w
}

func (f *Forecast) fade(age time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(f.HalfLife))
}

func (f *Forecast) decay(by float64) {
	for i := range f.sum {
		f.sum[i] *= by
	}
	f.weight *= by
}
