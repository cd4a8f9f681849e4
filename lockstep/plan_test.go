package lockstep

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var small = Shape{Ranks: 16, Sets: 4, Experts: 64, Places: 5, Spare: 2}

// initialMap is the first map of a group: experts are assigned to the ranks in turn, and spare
// places are empty.
func initialMap(s Shape) Map {
	m := make(Map, s.Sets)
	for set := range m {
		m[set] = make([][]uint32, s.Ranks)
		for e := range s.Experts {
			r := e % s.Ranks
			m[set][r] = append(m[set][r], uint32(e))
		}
	}
	return m
}

// zipf is a Zipf-distributed load. shift rotates the order of the experts.
func zipf(s Shape, skew float64, shift int) [][]float64 {
	load := zeros(s)
	for set := range load {
		for e := range load[set] {
			load[set][(e*7+shift+set)%s.Experts] = math.Pow(float64(e+1), -skew)
		}
	}
	return load
}

// maxCopies returns the most experts that any rank must copy, in one set and over all sets.
func maxCopies(from, to Map) (perSet, perRank int) {
	ranks := make([]int, len(from[0]))
	for set := range from {
		for r := range from[set] {
			n := 0
			for _, e := range to[set][r] {
				if !slices.Contains(from[set][r], e) {
					n++
				}
			}
			perSet = max(perSet, n)
			ranks[r] += n
		}
	}
	return perSet, slices.Max(ranks)
}

// At a high skew, switches of one copy per rank must lower it below 1.5 within a few switches,
// after which no switch is worth its copies.
func TestHighSkewIsReducedByFewCopiesPerSwitch(t *testing.T) {
	current := initialMap(small)
	load := zipf(small, 1.1, 3)
	assert.Assert(t, current.Skew(load, nil) > 2.5, "skew %f", current.Skew(load, nil))
	switches := 0
	for ; switches < 20; switches++ {
		p, ok := Plan(small, DefaultPlanSettings(), current, load, nil)
		if !ok {
			break
		}
		assert.NilError(t, p.Map.Check(small))
		perSet, perRank := maxCopies(current, p.Map)
		assert.Assert(t, perSet <= small.Spare)
		if p.SkewBefore >= DefaultPlanSettings().HighSkew {
			assert.Assert(t, perRank <= 1, "%d copies at one rank while the skew is %f", perRank, p.SkewBefore)
		}
		assert.Assert(t, p.SkewAfter < p.SkewBefore)
		current = p.Map
	}
	assert.Assert(t, current.Skew(load, nil) < 1.5, "skew %f after %d switches", current.Skew(load, nil), switches)
	assert.Assert(t, switches < 8, "%d switches", switches)
}

// The old map stays in use until the last copy of a switch is done. So each switch must bring a
// rank two experts at most, lower the skew noticeably, and all switches together must balance
// the group.
func TestCopiesPerRankAreBounded(t *testing.T) {
	s := Shape{Ranks: 24, Sets: 16, Experts: 96, Places: 5, Spare: 2}
	current := initialMap(s)
	load := zipf(s, 1, 5)
	initial := current.Skew(load, nil)
	for n := range 12 {
		p, ok := Plan(s, DefaultPlanSettings(), current, load, nil)
		if !ok {
			break
		}
		_, perRank := maxCopies(current, p.Map)
		assert.Assert(t, perRank <= 2, "%d copies at a rank in switch %d", perRank, n)
		if n >= 1 && p.SkewBefore > 1.4 {
			assert.Assert(t, p.SkewBefore-p.SkewAfter > 0.1, "switch %d: %f to %f", n, p.SkewBefore, p.SkewAfter)
		}
		current = p.Map
	}
	assert.Assert(t, current.Skew(load, nil) < 1.35, "skew %f, initially %f", current.Skew(load, nil), initial)
}

// Small differences of the load are not worth a copy.
func TestNoPlanForBalancedGroup(t *testing.T) {
	load := zeros(small)
	for set := range load {
		for e := range load[set] {
			load[set][e] = 1 + 0.05*float64(e%3)
		}
	}
	_, ok := Plan(small, DefaultPlanSettings(), initialMap(small), load, nil)
	assert.Assert(t, !ok)
}

// For any load, a plan is a valid map within the limits of one switch and is never worse; the
// current map is not modified.
func TestPlansAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{
			Ranks: rapid.IntRange(1, 8).Draw(t, "ranks"), Sets: rapid.IntRange(1, 3).Draw(t, "sets"),
			Experts: rapid.IntRange(1, 12).Draw(t, "experts"), Spare: rapid.IntRange(0, 3).Draw(t, "spare"),
		}
		s.Places = (s.Experts+s.Ranks-1)/s.Ranks + rapid.IntRange(0, 2).Draw(t, "more places")
		load := zeros(s)
		for set := range load {
			for e := range load[set] {
				load[set][e] = rapid.Float64Range(0, 100).Draw(t, "load")
			}
		}
		current := initialMap(s)
		before := current.Clone()
		var slowdown Slowdown
		if rapid.Bool().Draw(t, "some slow") {
			for range s.Ranks {
				slowdown = append(slowdown, rapid.SampledFrom([]float64{1, 1, 1.5, 5}).Draw(t, "slowdown"))
			}
		}
		settings := PlanSettings{MinGain: rapid.Float64Range(0, 0.1).Draw(t, "gain"), MaxCopiesHighSkew: rapid.IntRange(0, 2).Draw(t, "per rank"), HighSkew: 1.2}
		p, ok := Plan(s, settings, current, load, slowdown)
		assert.DeepEqual(t, current, before)
		if !ok {
			return
		}
		if err := p.Map.Check(s); err != nil {
			t.Fatal(err)
		}
		if perSet, _ := maxCopies(current, p.Map); perSet > s.Spare {
			t.Fatalf("%d copies in one set of a rank", perSet)
		}
		if p.SkewAfter > p.SkewBefore+1e-9 {
			t.Fatalf("skew %f, %f before", p.SkewAfter, p.SkewBefore)
		}
	})
}

// addCounts adds about n choices per set to the counters of each rank.
func addCounts(counts [][]uint64, load [][]float64, n float64) {
	for r := range counts {
		for set := range load {
			total := 0.0
			for _, v := range load[set] {
				total += v
			}
			for e, v := range load[set] {
				counts[r][set*len(load[set])+e] += uint64(n * v / total)
			}
		}
	}
}

// The first window after a sudden shift may hold choices from before; after two more the
// estimate must follow the new demand only. A rank restart is not a shift.
func TestShiftIsDetectedWithinTwoWindows(t *testing.T) {
	settings := DefaultDemandSettings()
	d := NewDemandEstimate(settings, small)
	counts := make([][]uint64, small.Ranks)
	for r := range counts {
		counts[r] = make([]uint64, small.Sets*small.Experts)
	}
	choices := make([]ChoiceCounter, small.Ranks)
	incarnations := slices.Repeat([]uint64{1}, small.Ranks)
	now := time.Unix(1000, 0)
	window := func(load [][]float64) {
		now = now.Add(settings.Window)
		addCounts(counts, load, 10_000)
		for r := range counts {
			d.Observe(now, choices[r].Delta(1, incarnations[r], slices.Clone(counts[r])))
		}
	}
	before, after := zipf(small, 1.1, 0), zipf(small, 1.1, 29)
	for range 20 {
		window(before)
	}
	assert.Assert(t, d.Stable())
	assert.Equal(t, d.Shifts(), 0)
	assert.Assert(t, distance(d.Load(), normalize(before)) < 0.01)
	window(after)
	window(after)
	assert.Equal(t, d.Shifts(), 1)
	assert.Assert(t, !d.Stable(), "the first window may hold choices from before")
	window(after)
	assert.Assert(t, d.Stable())
	assert.Assert(t, distance(d.Load(), normalize(after)) < 0.05, "%f", distance(d.Load(), normalize(after)))

	shifts := d.Shifts()
	clear(counts[3])
	incarnations[3] = 2
	d.Observe(now, choices[3].Delta(1, incarnations[3], slices.Clone(counts[3])))
	for range 5 {
		window(after)
	}
	assert.Equal(t, d.Shifts(), shifts)
}

// The experts of a slow rank must move to other ranks within a few switches, without
// overloading these.
func TestSlowRankIsRelieved(t *testing.T) {
	for name, shape := range map[string]Shape{"small": small, "large": large} {
		t.Run(name, func(t *testing.T) {
			const slow = 3
			load := zipf(shape, 0.5, 0)
			current := initialMap(shape)
			slowdown := slices.Repeat(Slowdown{1}, shape.Ranks)
			slowdown[slow] = 5
			assert.Assert(t, current.Skew(load, slowdown) > 4, "%f", current.Skew(load, slowdown))
			switches := 0
			for ; switches < 8; switches++ {
				p, ok := Plan(shape, DefaultPlanSettings(), current, load, slowdown)
				if !ok {
					break
				}
				assert.NilError(t, p.Map.Check(shape))
				perSet, _ := maxCopies(current, p.Map)
				assert.Assert(t, perSet <= shape.Spare)
				current = p.Map
			}
			assert.Assert(t, switches <= 6, "%d switches", switches)
			assert.Assert(t, current.Skew(load, slowdown) < 1.6, "%f after %d switches", current.Skew(load, slowdown), switches)
			assert.Assert(t, current.Skew(load, nil) < 1.6, "%f for the others", current.Skew(load, nil))
		})
	}
}

// Any map must survive encoding, also one that leaves a rank without experts; truncated or
// malformed data must not decode to another map.
func TestMapEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets, ranks := rapid.IntRange(1, 4).Draw(t, "sets"), rapid.IntRange(1, 8).Draw(t, "ranks")
		m := make(Map, sets)
		for set := range m {
			for range ranks {
				m[set] = append(m[set], rapid.SliceOfN(rapid.Uint32Max(300), 0, 4).Draw(t, "experts"))
			}
		}
		data := m.encode()
		back, err := DecodeMap(data, nil)
		if err != nil {
			t.Fatal(err)
		}
		for set := range m {
			for r := range m[set] {
				if !slices.Equal(m[set][r], back[set][r]) {
					t.Fatalf("got %v, want %v", back, m)
				}
			}
		}
		if cut, err := DecodeMap(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")], nil); err == nil && len(cut) == len(m) && len(m) > 0 && !slices.EqualFunc(cut[0], m[0], slices.Equal[[]uint32]) {
			t.Fatalf("truncated map decodes to %v, want an error or %v", cut, m)
		}
	})
	none, err := DecodeMap(nil, nil)
	assert.NilError(t, err)
	assert.Assert(t, none == nil)
	_, err = DecodeMap([]byte{0xff}, nil)
	assert.ErrorIs(t, err, ErrMap)
}

// In a large group each single copy gains little, but together they must balance the group.
func TestLargeGroupIsBalanced(t *testing.T) {
	m, load := initialMap(huge), zipf(huge, 0.6, 0)
	switches := 0
	for {
		p, ok := Plan(huge, DefaultPlanSettings(), m, load, nil)
		if !ok {
			break
		}
		assert.NilError(t, p.Map.Check(huge))
		m = p.Map
		switches++
	}
	assert.Assert(t, switches <= 4, "%d switches", switches)
	assert.Assert(t, m.Skew(load, nil) < 1.4, "%f", m.Skew(load, nil))
}
