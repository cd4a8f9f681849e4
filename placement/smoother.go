package placement

import (
	"math"
	"time"
)

// smoother is one half-life's weighted sum of windows, and its recent squared error
// in each layer. One with a trend fits a line through the windows in place of their
// mean: it needs a longer half-life for the same noise, but doesn't lag behind a
// steady drift.
type smoother struct {
	half  time.Duration
	trend bool
	// sum is of the weighted shares, aged of the same times the windows' ages.
	sum, aged []float64
	// weight, age and age2 sum the windows' weights, times their ages to the power of
	// 0, 1 and 2; squares sums the squared weights.
	weight, age, age2, squares float64
	errors                     []float64
}

func newSmoother(half time.Duration, trend bool, s Shape) smoother {
	sm := smoother{half: half, trend: trend, sum: make([]float64, s.Layers*s.Experts), errors: make([]float64, s.Layers)}
	if trend {
		sm.aged = make([]float64, len(sm.sum))
	}
	return sm
}

// line holds the factors by which a forecast follows from a smoother's sums, and the
// variance of its error over that of one window.
type line struct{ sum, aged, variance float64 }

// minTrendWindows is the number of effective windows below which a line through them
// would be mostly noise.
const minTrendWindows = 6

// minTrendSpread is the standard deviation of the windows' ages below which a line isn't
// followed: counters of a second each are soon many, but a line through half a minute of
// them, followed for two minutes, leads anywhere.
const minTrendSpread = 40 * time.Second

// ahead is the forecast for a time after the newest window.
func (sm *smoother) ahead(by time.Duration) line {
	l := line{sum: 1 / sm.weight, variance: sm.squares / (sm.weight * sm.weight)}
	mean := sm.age / sm.weight
	spread := sm.age2/sm.weight - mean*mean
	if !sm.trend || l.variance*minTrendWindows > 1 || spread < minTrendSpread.Seconds()*minTrendSpread.Seconds() {
		return l
	}
	off := -by.Seconds() - mean
	slope := off / spread
	l.sum *= 1 - mean*slope
	l.aged = slope / sm.weight
	l.variance *= 1 + off*off/spread
	return l
}

func (sm *smoother) at(i int, l line) float64 {
	v := sm.sum[i] * l.sum
	if l.aged != 0 {
		v += sm.aged[i] * l.aged
	}
	return max(v, 0)
}

// judge adds the error about a window that is the newest so far.
func (sm *smoother) judge(load Load, after time.Duration, by float64) {
	experts := len(load) / len(sm.errors)
	l := sm.ahead(after)
	for layer := range sm.errors {
		sum := 0.0
		for i := layer * experts; i < (layer+1)*experts; i++ {
			d := load[i] - sm.at(i, l)
			sum += d * d
		}
		sm.errors[layer] = sm.errors[layer]*by + sum
	}
}

// add takes a window of an age.
func (sm *smoother) add(load Load, age time.Duration, weight float64) {
	w := weight * fade(age, sm.half)
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

// minWeight keeps sums from vanishing over a long gap: only their ratio counts.
const minWeight = 1e-9

// pass lets all windows grow older.
func (sm *smoother) pass(by time.Duration) {
	f := max(fade(by, sm.half), minWeight/sm.weight)
	s := by.Seconds()
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

// forget drops all windows and errors.
func (sm *smoother) forget() {
	clear(sm.sum)
	clear(sm.aged)
	clear(sm.errors)
	sm.weight, sm.age, sm.age2, sm.squares = 0, 0, 0, 0
}

func fade(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }
