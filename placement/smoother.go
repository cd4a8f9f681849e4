package placement

import (
	"math"
	"time"
)

// smoother is an exponentially weighted sum of windows with one half-life, and its recent
// squared error in each layer. With a trend it fits a line to the windows instead of taking
// their mean: it then needs a longer half-life for the same noise, but doesn't lag behind a
// steady drift.
type smoother struct {
	half  time.Duration
	trend bool
	// sum holds the weighted shares, aged the weighted shares times the windows' ages in
	// seconds.
	sum, aged []float64
	// weight, age and age2 are the sums of the weights times the windows' ages to the power of
	// 0, 1 and 2. squares is the sum of the squared weights.
	weight, age, age2, squares float64
	// errors is the decayed sum of squared errors in each layer.
	errors []float64
}

func newSmoother(half time.Duration, trend bool, s Shape) smoother {
	sm := smoother{half: half, trend: trend, sum: make([]float64, s.Layers*s.Experts), errors: make([]float64, s.Layers)}
	if trend {
		sm.aged = make([]float64, len(sm.sum))
	}
	return sm
}

// projection holds the factors that turn a smoother's sums into a forecast, and the variance of
// the forecast relative to that of a single window.
type projection struct{ sum, aged, variance float64 }

// minTrendWindows is the effective number of windows below which no trend is fitted, because it
// would mostly follow noise.
const minTrendWindows = 6

// minTrendSpread is the standard deviation of the windows' ages below which no trend is fitted.
// Many windows over a short time pass minTrendWindows, but their trend can't be extrapolated
// for minutes.
const minTrendSpread = 40 * time.Second

// project returns the projection for a time after the newest window.
func (sm *smoother) project(by time.Duration) projection {
	p := projection{sum: 1 / sm.weight, variance: sm.squares / (sm.weight * sm.weight)}
	mean := sm.age / sm.weight
	spread := sm.age2/sm.weight - mean*mean
	if !sm.trend || p.variance*minTrendWindows > 1 || spread < minTrendSpread.Seconds()*minTrendSpread.Seconds() {
		return p
	}
	offset := -by.Seconds() - mean
	slope := offset / spread
	p.sum *= 1 - mean*slope
	p.aged = slope / sm.weight
	p.variance *= 1 + offset*offset/spread
	return p
}

// value returns the forecast for index i of a load, at least 0.
func (sm *smoother) value(i int, p projection) float64 {
	v := sm.sum[i] * p.sum
	if p.aged != 0 {
		v += sm.aged[i] * p.aged
	}
	return max(v, 0)
}

// score adds the squared error of the forecast for a window that is newer than all others by
// the given time. Earlier errors are multiplied by decay.
func (sm *smoother) score(load Load, after time.Duration, decay float64) {
	experts := len(load) / len(sm.errors)
	p := sm.project(after)
	for layer := range sm.errors {
		sum := 0.0
		for i := layer * experts; i < (layer+1)*experts; i++ {
			d := load[i] - sm.value(i, p)
			sum += d * d
		}
		sm.errors[layer] = sm.errors[layer]*decay + sum
	}
}

// add adds a window of the given age that counts as weight windows.
func (sm *smoother) add(load Load, age time.Duration, weight float64) {
	w := weight * decayFactor(age, sm.half)
	a := age.Seconds()
	for i, v := range load {
		sm.sum[i] += w * v
	}
	if sm.trend {
		for i, v := range load {
			sm.aged[i] += w * a * v
		}
	}
	sm.weight += w
	sm.age += w * a
	sm.age2 += w * a * a
	sm.squares += w * w / weight
}

// minWeight keeps the sums from underflowing over a long gap; only their ratios matter.
const minWeight = 1e-9

// advance moves the reference time forward: all windows become older by the given time.
func (sm *smoother) advance(elapsed time.Duration) {
	f := max(decayFactor(elapsed, sm.half), minWeight/sm.weight)
	s := elapsed.Seconds()
	if sm.trend {
		for i := range sm.aged {
			sm.aged[i] = f * (sm.aged[i] + s*sm.sum[i])
		}
	}
	for i := range sm.sum {
		sm.sum[i] *= f
	}
	sm.age2 = f * (sm.age2 + 2*s*sm.age + s*s*sm.weight)
	sm.age = f * (sm.age + s*sm.weight)
	sm.weight *= f
	sm.squares *= f * f
}

// reset discards all windows and errors.
func (sm *smoother) reset() {
	clear(sm.sum)
	clear(sm.aged)
	clear(sm.errors)
	sm.weight, sm.age, sm.age2, sm.squares = 0, 0, 0, 0
}

// decayFactor returns the weight of a window of the given age, 1 for age 0.
func decayFactor(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }
