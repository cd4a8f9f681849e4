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

var epoch0 = time.Unix(0, 0).UTC()

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

// Whatever the counters say, and however the load jumps, each planned map and each
// prefix of its moves must be valid: an expert without a rank fails every token
// that is routed to it.
func TestEachPlanIsValidAtEachMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := drawShape(t), drawCost(t)
		p := drawPlanner(t)
		p.Reset(s, c)
		current := Contiguous(s)
		now := epoch0
		for range 4 {
			p.Observe(now, drawLoad(t, s))
			d := p.Plan(now, current)
			assert.Assert(t, d.Why != "")
			if d.Next != nil {
				checkPrefixes(t, s, current, d.Moves, d.Next)
				current = d.Next
			}
			now = now.Add(31 * time.Minute)
		}
	})
}

// A plan that costs more than it saves slows the group: whatever is planned must pay
// by its own figures, and these figures must be those of the map it leads to.
func TestIncrementalMovesOnlyWhatPays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := drawShape(t), drawCost(t)
		p := NewIncremental()
		p.Margin = rapid.Float64Range(1, 8).Draw(t, "margin")
		p.Reset(s, c)
		load := drawLoad(t, s)
		p.Observe(epoch0, load)
		current := Contiguous(s)
		d := p.Plan(epoch0, current)
		assert.Assert(t, math.Abs(d.SkewBefore-meanSkew(s, current, load)) < 1e-9)
		if d.Next == nil {
			return
		}
		assert.Assert(t, d.Gain > p.Margin*d.Price)
		assert.Assert(t, math.Abs(d.SkewAfter-meanSkew(s, d.Next, load)) < 1e-9)
		assert.Assert(t, d.SkewAfter < d.SkewBefore)
		assert.Assert(t, len(d.Moves) <= int(p.PaceSeconds/c.LoadTime().Seconds()))
	})
}

func TestNoMoveWhenThePriceExceedsAnyGain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShape(t)
		p := NewIncremental()
		// Even a fall from one rank with everything to even ranks is worth less than
		// one move.
		worth := p.HorizonFactor * p.HalfLifeSeconds * halfLifeFactor * halfLifeFactor * float64(s.Ranks)
		c := testCost(1, 0)
		c.MoveWeight = worth / c.LoadTime().Seconds()
		p.Reset(s, c)
		p.Observe(epoch0, drawLoad(t, s))
		d := p.Plan(epoch0, Contiguous(s))
		assert.Assert(t, d.Next == nil)
		assert.Equal(t, len(d.Moves), 0)
	})
}

// Two control leaders that saw the same windows must come to the same plan.
func TestPlansAreDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := drawShape(t), drawCost(t)
		loads := []Load{drawLoad(t, s), drawLoad(t, s), drawLoad(t, s)}
		plan := func() Decision {
			p := NewIncremental()
			p.Reset(s, c)
			for i, l := range loads {
				p.Observe(epoch0.Add(time.Duration(i)*time.Minute), l)
			}
			return p.Plan(epoch0.Add(3*time.Minute), Contiguous(s))
		}
		assert.DeepEqual(t, plan(), plan())
	})
}

// allMaps calls back with each valid assignment of one layer, up to the order of
// slots within a rank.
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

// With one expert a rank, the hottest sets the pace under any map; with a copy on each
// rank, none does.
func TestBoundIsReachedWhereOneExpertDecides(t *testing.T) {
	load := Load{3, 1}
	assert.Assert(t, math.Abs(Bound(Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 1}, 0, load)-1.5) < 1e-9)
	assert.Equal(t, Bound(Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 2}, 0, load), 1.0)
	assert.Equal(t, Bound(Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 1}, 0, Load{0, 0}), 1.0)
}

// On tiny shapes all maps can be tried: none may be below the bound, and free moves
// must come close to the best of them.
func TestAgainstAllMapsOfTinyShapes(t *testing.T) {
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
		bound := Bound(s, 0, load)
		assert.Assert(t, bound <= best+1e-9, "seed %d: bound %v, best map %v", seed, bound, best)

		p := NewIncremental()
		p.MinGain = 0
		p.Reset(s, testCost(1, 0))
		p.Observe(epoch0, load)
		current := Contiguous(s)
		for range 5 {
			if d := p.Plan(epoch0.Add(time.Second), current); d.Next != nil {
				current = d.Next
			}
			p.busy = time.Time{}
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

// The search changes rank loads step by step; each trial must agree with the loads
// of the whole map counted anew, otherwise it takes steps that don't even anything.
func TestTrialsAgreeWithWholeMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShape(t)
		s.Layers = 1
		load := drawLoad(t, s)
		f := Forecast{HalfLives: []time.Duration{time.Minute}, ErrorHalfLife: time.Minute}
		f.Reset(s)
		f.Observe(epoch0, load)
		m := Contiguous(s)
		slow := slices.Repeat([]float64{1}, s.Ranks)
		st := newLayerState(s, 0, m.Slots, f.Load(), slow)
		for rank := range s.Ranks {
			for slot, c := range m.At(s, 0, rank) {
				for e := range int32(s.Experts) {
					if !st.spare(c) || st.holds(rank, e) {
						continue
					}
					got := st.try(rank, slot, e)
					next, err := Apply(s, m, []Move{{0, rank, slot, c, e}})
					assert.NilError(t, err)
					want := 0.0
					for _, v := range next.RankLoads(s, 0, f.Load()) {
						want += st.peakOf(v)
					}
					assert.Assert(t, math.Abs(got-want) <= 1e-6*max(want, st.peak), "%v, not %v", got, want)
				}
			}
		}
	})
}

// The engines of a group fall silent, or the control leader has just started: the
// load now is unknown, and moves made by old counters would be paid for nothing.
func TestIncrementalHoldsWithoutFreshCounters(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 4, Layers: 1, Slots: 3}
	p := NewIncremental()
	p.Reset(s, testCost(4, 1))
	assert.Assert(t, p.Plan(epoch0, Contiguous(s)).Next == nil)
	p.Observe(epoch0, Load{1, 100, 1, 1})
	d := p.Plan(epoch0.Add(11*time.Minute), Contiguous(s))
	assert.Assert(t, d.Next == nil)
	assert.Equal(t, d.Why, "incremental: counters are 11m0s old")
	assert.Assert(t, p.Plan(epoch0.Add(time.Minute), Contiguous(s)).Next != nil)
}

// The store still gives out the last plan's weights: another plan would queue behind
// it, and be old when it is in force.
func TestIncrementalWaitsForTheStore(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 4, Layers: 1, Slots: 3}
	p := NewIncremental()
	c := testCost(4, 0)
	c.StoreRate = c.ExpertBytes / 30
	p.Reset(s, c)
	p.Observe(epoch0, Load{1, 100, 1, 1})
	first := p.Plan(epoch0, Contiguous(s))
	assert.Assert(t, first.Next != nil)
	assert.Assert(t, len(first.Moves) <= 2)
	again := p.Plan(epoch0.Add(29*time.Second), Contiguous(s))
	assert.Equal(t, again.Why, "incremental: the store still gives out the last plan's weights")
}

// A wrong counter must not poison the forecast: a window of another size, with a
// negative, infinite or undefined value, or that arrives twice, is dropped.
func TestForecastDropsUnusableWindows(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 4, Layers: 1, Slots: 3}
	f := NewIncremental().NewForecast()
	f.Reset(s)
	for _, bad := range []Load{{1, 2, 3}, {1, 2, 3, -1}, {1, 2, 3, math.NaN()}, {1, 2, 3, math.Inf(1)}} {
		assert.Assert(t, !f.Observe(epoch0, bad))
	}
	assert.Assert(t, f.Load() == nil)
	assert.Assert(t, f.Observe(epoch0, Load{1, 2, 3, 2}))
	assert.Assert(t, !f.Observe(epoch0, Load{9, 9, 9, 9}))
	assert.DeepEqual(t, f.Load(), Load{0.25, 0.5, 0.75, 0.5})
}

// Without the median, late windows count as if they had come in time.
func TestLateWindowsCountByTheirEnd(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 2}
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order")
		forecast := func(order []int) Load {
			f := Forecast{HalfLives: []time.Duration{time.Minute}, ErrorHalfLife: time.Minute}
			f.Reset(s)
			for _, i := range order {
				f.Observe(epoch0.Add(time.Duration(i)*time.Minute), Load{float64(i + 1), 1})
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

// An operator's row names more spare slots than there are experts to fill them. No
// valid map exists; the planners must say so by not moving, and not fail.
func TestNoPlanForAnImpossibleShape(t *testing.T) {
	for _, s := range []Shape{{Ranks: 2, Experts: 4, Layers: 1, Slots: 5}, {Ranks: 2, Experts: 8, Layers: 1, Slots: 3}, {}} {
		assert.ErrorIs(t, s.Check(), ErrShape)
		for _, name := range []string{"static", "repack", "incremental"} {
			p, err := NewPlanner(name)
			assert.NilError(t, err)
			p.Reset(s, testCost(1, 1))
			p.Observe(epoch0, make(Load, s.Layers*s.Experts))
			assert.Assert(t, p.Plan(epoch0, Contiguous(s)).Next == nil)
		}
	}
}
