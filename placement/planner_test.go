package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var startTime = time.Unix(0, 0).UTC()

func testCost(skew, move float64) Cost {
	return Cost{SkewWeight: skew, MoveWeight: move, ExpertBytes: 44e6, StoreRate: 1e9, StepTime: 5 * time.Millisecond}
}

func drawCost(t *rapid.T) Cost {
	return testCost(rapid.Float64Range(0, 8).Draw(t, "skew"), rapid.Float64Range(0, 8).Draw(t, "move"))
}

func drawPlanner(t *rapid.T) Planner {
	p, err := NewPlanner(rapid.SampledFrom([]string{"static", "repack", "incremental"}).Draw(t, "planner"))
	assert.NilError(t, err)
	return p
}

// Tokens routed to an expert without a rank fail, so the map must be valid after every move of
// any planner, whatever the load.
func TestPlansAreValidAfterEachMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := drawShape(t), drawCost(t)
		p := drawPlanner(t)
		p.Reset(s, c)
		current := Contiguous(s)
		now := startTime
		for range 4 {
			p.Observe(now, drawLoad(t, s))
			d := p.Plan(now, current)
			assert.Assert(t, d.Reason != "")
			if d.Next != nil {
				checkPrefixes(t, s, current, d.Moves, d.Next)
				current = d.Next
			}
			now = now.Add(31 * time.Minute)
		}
	})
}

// Every plan must be worth its price by its own figures, and these must match the map that
// results from it.
func TestIncrementalPlansAreWorthTheirPrice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := drawShape(t), drawCost(t)
		p := NewIncremental()
		p.Margin = rapid.Float64Range(1, 8).Draw(t, "margin")
		p.Reset(s, c)
		load := drawLoad(t, s)
		p.Observe(startTime, load)
		current := Contiguous(s)
		d := p.Plan(startTime, current)
		assert.Assert(t, math.Abs(d.SkewBefore-meanSkew(s, current, load)) < 1e-9)
		if d.Next == nil {
			return
		}
		assert.Assert(t, d.Gain > p.Margin*d.Price)
		assert.Assert(t, math.Abs(d.SkewAfter-meanSkew(s, d.Next, load)) < 1e-9)
		assert.Assert(t, d.SkewAfter < d.SkewBefore)
		assert.Assert(t, len(d.Moves) <= int(p.MaxStoreBusySeconds/c.LoadTime().Seconds()))
	})
}

func TestNoMoveIfPriceExceedsAnyGain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShape(t)
		p := NewIncremental()
		// maxGain is the gain of spreading the load of a single rank over all ranks. One move costs
		// slightly more.
		maxGain := p.HorizonFactor * p.HalfLifeSeconds * halfLifeFactor * halfLifeFactor * float64(s.Ranks)
		c := testCost(1, 0)
		c.MoveWeight = maxGain / c.LoadTime().Seconds()
		p.Reset(s, c)
		p.Observe(startTime, drawLoad(t, s))
		d := p.Plan(startTime, Contiguous(s))
		assert.Assert(t, d.Next == nil)
		assert.Equal(t, len(d.Moves), 0)
	})
}

// Control leaders that observed the same windows must make the same plan.
func TestPlansAreDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := drawShape(t), drawCost(t)
		loads := []Load{drawLoad(t, s), drawLoad(t, s), drawLoad(t, s)}
		plan := func() Decision {
			p := NewIncremental()
			p.Reset(s, c)
			for i, l := range loads {
				p.Observe(startTime.Add(time.Duration(i)*time.Minute), l)
			}
			return p.Plan(startTime.Add(3*time.Minute), Contiguous(s))
		}
		assert.DeepEqual(t, plan(), plan())
	})
}

// allMaps calls visit with every valid map of one layer, up to the order of slots within a
// rank.
func allMaps(s Shape, visit func(*Map)) {
	m := &Map{Epoch: 1, Slots: make([]int32, s.Ranks*s.Slots)}
	var fill func(i int)
	fill = func(i int) {
		if i == len(m.Slots) {
			if m.Check(s) == nil {
				visit(m)
			}
			return
		}
		first := int32(0)
		if i%s.Slots > 0 {
			first = m.Slots[i-1] + 1
		}
		for e := first; int(e) < s.Experts; e++ {
			m.Slots[i] = e
			fill(i + 1)
		}
	}
	fill(0)
}

// With one expert per rank, the hottest expert determines the skew of any map; with a replica
// on every rank, the load can be spread evenly.
func TestBoundWithOneHotExpert(t *testing.T) {
	load := Load{3, 1}
	assert.Assert(t, math.Abs(SkewBound(Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 1}, 0, load)-1.5) < 1e-9)
	assert.Equal(t, SkewBound(Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 2}, 0, load), 1.0)
	assert.Equal(t, SkewBound(Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 1}, 0, Load{0, 0}), 1.0)
}

// Compares with all maps of tiny shapes: none may be below the bound, and repeated planning
// with free moves must come close to the best one.
func TestBoundAndPlansAgainstAllMaps(t *testing.T) {
	worst := 1.0
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		s := Shape{Ranks: 2 + rnd.IntN(2), Experts: 4, Layers: 1, Slots: 2 + rnd.IntN(2)}
		load := make(Load, s.Experts)
		for i := range load {
			load[i] = rnd.ExpFloat64()
		}
		best := math.Inf(1)
		allMaps(s, func(m *Map) { best = min(best, m.Skew(s, 0, load)) })
		bound := SkewBound(s, 0, load)
		assert.Assert(t, bound <= best+1e-9, "seed %d: bound %v, best map %v", seed, bound, best)

		p := NewIncremental()
		p.MinGain = 0
		p.Reset(s, testCost(1, 0))
		p.Observe(startTime, load)
		current := Contiguous(s)
		for range 5 {
			if d := p.Plan(startTime.Add(time.Second), current); d.Next != nil {
				current = d.Next
			}
			p.storeBusyUntil = time.Time{}
		}
		if s.Ranks*s.Slots == s.Experts {
			assert.DeepEqual(t, current, Contiguous(s)) // no spare slot, no move
		} else {
			worst = max(worst, current.Skew(s, 0, load)/best)
		}
		packed := Pack(s, load)
		assert.NilError(t, packed.Check(s))
	}
	t.Logf("worst skew over that of the best map: %.3f", worst)
	assert.Assert(t, worst <= 1.25)
}

// The search updates rank loads incrementally; a wrong result would make it take steps that
// don't lower the skew.
func TestPeakAfterMatchesRecomputedLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShape(t)
		s.Layers = 1
		load := drawLoad(t, s)
		f := Forecast{HalfLives: []time.Duration{time.Minute}, ErrorHalfLife: time.Minute}
		f.Reset(s)
		f.Observe(startTime, load)
		m := Contiguous(s)
		slow := slices.Repeat([]float64{1}, s.Ranks)
		st := newLayerState(s, 0, m.Slots, f.Load(), slow)
		for rank := range s.Ranks {
			for slot, c := range m.At(s, 0, rank) {
				for e := range int32(s.Experts) {
					if !st.hasSpare(c) || st.holds(rank, e) {
						continue
					}
					got := st.peakAfter(rank, slot, e)
					next, err := Apply(s, m, []Move{{0, rank, slot, c, e}})
					assert.NilError(t, err)
					want := 0.0
					for _, v := range next.RankLoads(s, 0, f.Load()) {
						want += st.peakTerm(v)
					}
					assert.Assert(t, math.Abs(got-want) <= 1e-6*max(want, st.peak), "got %v, want %v", got, want)
				}
			}
		}
	})
}

// Without counters, or with outdated ones, the current load is unknown and no move must be
// made.
func TestIncrementalRequiresRecentCounters(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 4, Layers: 1, Slots: 3}
	p := NewIncremental()
	p.Reset(s, testCost(4, 1))
	assert.Assert(t, p.Plan(startTime, Contiguous(s)).Next == nil)
	p.Observe(startTime, Load{1, 100, 1, 1})
	d := p.Plan(startTime.Add(11*time.Minute), Contiguous(s))
	assert.Assert(t, d.Next == nil)
	assert.Equal(t, d.Reason, "incremental: counters are 11m0s old")
	assert.Assert(t, p.Plan(startTime.Add(time.Minute), Contiguous(s)).Next != nil)
}

// A plan made while the store is still serving the last one would be queued behind it and
// outdated when it takes effect.
func TestIncrementalWaitsForWeightStore(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 4, Layers: 1, Slots: 3}
	p := NewIncremental()
	c := testCost(4, 0)
	c.StoreRate = c.ExpertBytes / 30
	p.Reset(s, c)
	p.Observe(startTime, Load{1, 100, 1, 1})
	first := p.Plan(startTime, Contiguous(s))
	assert.Assert(t, first.Next != nil)
	assert.Assert(t, len(first.Moves) <= 2)
	again := p.Plan(startTime.Add(29*time.Second), Contiguous(s))
	assert.Equal(t, again.Reason, "incremental: weight store is still serving the last plan")
}

// Windows of another size, with a negative, infinite or NaN value, and duplicates are dropped.
func TestForecastDropsInvalidWindows(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 4, Layers: 1, Slots: 3}
	f := NewIncremental().NewForecast()
	f.Reset(s)
	for _, bad := range []Load{{1, 2, 3}, {1, 2, 3, -1}, {1, 2, 3, math.NaN()}, {1, 2, 3, math.Inf(1)}} {
		assert.Assert(t, !f.Observe(startTime, bad))
	}
	assert.Assert(t, f.Load() == nil)
	assert.Assert(t, f.Observe(startTime, Load{1, 2, 3, 2}))
	assert.Assert(t, !f.Observe(startTime, Load{9, 9, 9, 9}))
	assert.DeepEqual(t, f.Load(), Load{0.25, 0.5, 0.75, 0.5})
}

// Without Robust the forecast doesn't depend on the order in which windows arrive.
func TestForecastIgnoresArrivalOrder(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 2}
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order")
		forecast := func(order []int) Load {
			f := Forecast{HalfLives: []time.Duration{time.Minute}, ErrorHalfLife: time.Minute}
			f.Reset(s)
			for _, i := range order {
				f.Observe(startTime.Add(time.Duration(i)*time.Minute), Load{float64(i + 1), 1})
			}
			return f.Load()
		}
		a, b := forecast(order), forecast([]int{0, 1, 2, 3})
		for i := range a {
			assert.Assert(t, math.Abs(a[i]-b[i]) < 1e-12)
		}
	})
}

func TestPlannersAreRegistered(t *testing.T) {
	for _, name := range []string{"static", "repack", "incremental"} {
		_, err := NewPlanner(name)
		assert.NilError(t, err)
	}
}

// A row may configure a shape that no valid map exists for; planners must then make no plan and
// not fail.
func TestNoPlanForInvalidShape(t *testing.T) {
	for _, s := range []Shape{{Ranks: 2, Experts: 4, Layers: 1, Slots: 5}, {Ranks: 2, Experts: 8, Layers: 1, Slots: 3}, {}} {
		assert.ErrorIs(t, s.Check(), ErrShape)
		for _, name := range []string{"static", "repack", "incremental"} {
			p, err := NewPlanner(name)
			assert.NilError(t, err)
			p.Reset(s, testCost(1, 1))
			p.Observe(startTime, make(Load, s.Layers*s.Experts))
			assert.Assert(t, p.Plan(startTime, Contiguous(s)).Next == nil)
		}
	}
}
