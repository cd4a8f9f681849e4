package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// forecastFeed observes windows with 5% noise, half a minute apart.
type forecastFeed struct {
	f   Forecast
	rnd *rand.Rand
	at  time.Time
}

var feedShape = Shape{Ranks: 4, Experts: 32, Layers: 4, Slots: 9}

func newForecastFeed() *forecastFeed {
	fd := &forecastFeed{f: NewIncremental().NewForecast(), rnd: rand.New(rand.NewPCG(1, 1)), at: startTime}
	fd.f.Reset(feedShape)
	return fd
}

func (fd *forecastFeed) observe(n int, load Load) {
	for range n {
		noisy := slices.Clone(load)
		for i := range noisy {
			noisy[i] *= 1 + 0.05*fd.rnd.NormFloat64()
		}
		fd.at = fd.at.Add(30 * time.Second)
		fd.f.Observe(fd.at, noisy)
	}
}

// relativeError returns the forecast's squared distance from load, divided by that of other.
func (fd *forecastFeed) relativeError(load, other Load) float64 {
	want := fd.f.shares(load)
	return squaredDistance(fd.f.Load(), want) / squaredDistance(fd.f.shares(other), want)
}

func evenLoad() Load { return slices.Repeat([]float64{100}, feedShape.Layers*feedShape.Experts) }

// hotLoad has two hot experts in each layer, first and first+7.
func hotLoad(first int, by float64) Load {
	l := evenLoad()
	for layer := range feedShape.Layers {
		l[layer*feedShape.Experts+first] *= by
		l[layer*feedShape.Experts+first+7] *= by
	}
	return l
}

// The first window of a recurring hot set shows only part of the increase; following it window
// by window would be too late.
func TestRecurringHotSetIsRecognisedFromFirstWindow(t *testing.T) {
	fd := newForecastFeed()
	calm, hot, other := evenLoad(), hotLoad(3, 8), hotLoad(11, 8)
	for _, l := range []Load{calm, hot, calm, other, calm} {
		fd.observe(12, l)
	}
	assert.Equal(t, len(fd.f.regimes.patterns), 3)
	fd.observe(1, hotLoad(3, 3))
	assert.Assert(t, fd.relativeError(hot, calm) < 0.02, "%v", fd.relativeError(hot, calm))
	// The set stays weaker than before, so the forecast must follow the windows.
	fd.observe(3, hotLoad(3, 4))
	assert.Assert(t, fd.relativeError(hotLoad(3, 4), calm) < 0.05, "%v", fd.relativeError(hotLoad(3, 4), calm))
	fd.observe(1, calm)
	assert.Assert(t, fd.relativeError(calm, hot) < 0.02, "%v", fd.relativeError(calm, hot))
}

// The forecast must follow a sudden change of all layers after one window, and ignore a late
// window from before it.
func TestSuddenChangeIsFollowedAfterOneWindow(t *testing.T) {
	fd := newForecastFeed()
	fd.observe(12, evenLoad())
	fd.observe(1, hotLoad(5, 8))
	assert.Assert(t, fd.relativeError(hotLoad(5, 8), evenLoad()) < 0.02)
	before := fd.f.Load()
	assert.Assert(t, !fd.f.Observe(fd.at.Add(-15*time.Second), evenLoad()))
	assert.DeepEqual(t, fd.f.Load(), before)
}

// A counter that is ten times too high in a single window must not cause moves; if the next
// windows confirm it, it is real.
func TestSingleOutlierIsClipped(t *testing.T) {
	fd := newForecastFeed()
	fd.observe(12, evenLoad())
	wrong := evenLoad()
	wrong[9] *= 10
	fd.observe(1, wrong)
	assert.Assert(t, fd.f.Load()[9] < 1.1*fd.f.Load()[10])
	fd.observe(3, wrong)
	assert.Assert(t, fd.f.Load()[9] > 2*fd.f.Load()[10])
}

// A weighted mean of windows lags behind a steady drift; a smoother with a trend must not.
func TestTrendFollowsSteadyDrift(t *testing.T) {
	trend, level := newForecastFeed(), newForecastFeed()
	level.f.TrendHalfLives = nil
	level.f.Reset(feedShape)
	var now Load
	for i := range 80 {
		now = hotLoad(3, 1+0.1*float64(i))
		trend.observe(1, now)
		level.observe(1, now)
	}
	coming := hotLoad(3, 1+0.1*(79+trend.f.Lookahead.Seconds()/30))
	assert.Assert(t, trend.relativeError(coming, now) < level.relativeError(coming, now)/2, "%v, %v", trend.relativeError(coming, now), level.relativeError(coming, now))
}

// A minute of windows of one second has many windows, but a trend fitted to them and
// extrapolated for two minutes would be mostly noise.
func TestNoTrendFromShortTimeSpan(t *testing.T) {
	fd := newForecastFeed()
	fd.f.HalfLives = nil
	fd.f.Reset(feedShape)
	for range 60 {
		fd.at = fd.at.Add(-29 * time.Second)
		fd.observe(1, evenLoad())
	}
	assert.Assert(t, fd.f.Load()[0] > 0)
	for i, v := range fd.f.Load() {
		assert.Assert(t, math.Abs(v*8-1) < 0.05, "expert %d: %v", i, v*8)
	}
}

func TestRememberedRegimesAreBounded(t *testing.T) {
	fd := newForecastFeed()
	for first := range 20 {
		fd.observe(6, hotLoad(first, 8))
	}
	assert.Equal(t, len(fd.f.regimes.patterns), maxPatterns)
}

// One expert accounts for a whole rank's load, among spare replicas of light experts. Any
// single step makes another rank the busiest, so the search must accept a worse map in between.
func TestSearchLeavesLocalOptimum(t *testing.T) {
	s := Shape{Ranks: 4, Experts: 16, Layers: 1, Slots: 5}
	load := Load{
		4.8, 0.1, 0.1, 0.1, 0.1,
		1, 1, 1, 0.9,
		1, 1, 1, 1,
		1, 1, 0.9,
	}
	m := &Map{Epoch: 1, Slots: []int32{
		0, 1, 2, 3, 4,
		5, 6, 7, 8, 1,
		9, 10, 11, 12, 2,
		13, 14, 15, 3, 4,
	}}
	assert.NilError(t, m.Check(s))
	f := Forecast{HalfLives: []time.Duration{time.Minute}, ErrorHalfLife: time.Minute}
	f.Reset(s)
	f.Observe(startTime, load)
	d := Improve(s, testCost(4, 1), m, f.Load(), Limits{Horizon: time.Hour, Margin: 1})
	assert.Assert(t, d.Next != nil, d.Reason)
	assert.Assert(t, d.SkewAfter < 1.08, d.Reason)
	checkPrefixes(t, s, m, d.Moves, d.Next)
}
