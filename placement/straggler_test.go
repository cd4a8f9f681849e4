package placement

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func evenTimes(s Shape) []time.Duration {
	return slices.Repeat([]time.Duration{5 * time.Millisecond}, s.Ranks)
}

// A rank that stays slow with an even load is reported to the operator, but not before
// stragglerWindows windows and not after it has recovered.
func TestStragglerIsReportedAfterSeveralWindows(t *testing.T) {
	s := Shape{Ranks: 4, Experts: 8, Layers: 2, Slots: 3}
	p := NewIncremental()
	p.Reset(s, testCost(1, 1000))
	m := Contiguous(s)
	p.Observe(startTime, Load(slices.Repeat([]float64{10}, 16)))
	times := evenTimes(s)
	times[2] = 6500 * time.Microsecond
	for i := range stragglerWindows {
		why := p.Plan(startTime, m).Reason
		assert.Assert(t, !strings.Contains(why, "rank 2"), "after %d windows: %s", i, why)
		p.ObserveTimes(times, m)
	}
	assert.Assert(t, strings.Contains(p.Plan(startTime, m).Reason, "rank 2 takes 1.30 times as long as its load explains"))
	p.ObserveTimes(evenTimes(s), m)
	assert.Assert(t, !strings.Contains(p.Plan(startTime, m).Reason, "rank 2"))
}

// A rank that takes longer because it holds the hottest expert is not a straggler.
func TestRankWithHotExpertIsNoStraggler(t *testing.T) {
	s := Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 2}
	load := Load{10, 10, 10, 10, 60, 10, 10, 10}
	m := Contiguous(s)
	times := evenTimes(s)
	times[2] = 17500 * time.Microsecond
	var w stragglerDetector
	for range 2 * stragglerWindows {
		w.observe(RankSlowdown(s, m, load, times))
	}
	assert.Assert(t, w.stragglers() == nil)

	byTime, _ := RankSlowdown(s, m, load, times[:2])
	assert.Assert(t, byTime == nil)
	times[0] = 0
	byTime, _ = RankSlowdown(s, m, load, times)
	assert.Assert(t, byTime == nil)
}

// A straggler with reduced load takes as long as other ranks. If that cleared it, it would get
// its load back and the map would oscillate.
func TestStragglerWithReducedLoadStaysStraggler(t *testing.T) {
	var w stragglerDetector
	for range stragglerWindows {
		w.observe([]float64{1, 1.3, 1}, []float64{1, 1.3, 1})
	}
	w.observe([]float64{1, 1, 1}, []float64{1, 1.4, 1})
	assert.DeepEqual(t, w.stragglers(), []float64{1, 1.3, 1})
	w.observe([]float64{1, 1, 1}, []float64{1, 1.05, 1})
	assert.Assert(t, w.stragglers() == nil)
}
