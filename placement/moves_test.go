package placement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawShape draws a small shape, with or without spare slots; experts need not divide evenly.
func drawShape(t *rapid.T) Shape {
	s := Shape{Ranks: rapid.IntRange(2, 6).Draw(t, "ranks"), Layers: rapid.IntRange(1, 3).Draw(t, "layers")}
	s.Experts = rapid.IntRange(s.Ranks, 18).Draw(t, "experts")
	minSlots := (s.Experts + s.Ranks - 1) / s.Ranks
	s.Slots = min(minSlots+rapid.IntRange(0, 2).Draw(t, "spare"), s.Experts)
	return s
}

func drawLoad(t *rapid.T, s Shape) Load {
	rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "load"), 1))
	load := make(Load, s.Layers*s.Experts)
	for i := range load {
		load[i] = rnd.ExpFloat64() * 100
		if rnd.IntN(5) == 0 {
			load[i] *= 8
		}
	}
	return load
}

// checkPrefixes checks that the map is valid after each move and that the moves lead to want.
func checkPrefixes(t rapid.TB, s Shape, from *Map, moves []Move, want *Map) {
	m := &Map{Epoch: from.Epoch, Slots: slices.Clone(from.Slots)}
	for i, mv := range moves {
		at := &m.At(s, mv.Layer, mv.Rank)[mv.Slot]
		if *at != mv.From {
			t.Fatalf("move %d overwrites expert %d, want %d", i, *at, mv.From)
		}
		*at = mv.To
		if err := m.Check(s); err != nil {
			t.Fatalf("after move %d: %v", i, err)
		}
	}
	if !slices.Equal(m.Slots, want.Slots) {
		t.Fatalf("the moves don't lead to the wanted map")
	}
	if want.Epoch != from.Epoch+1 {
		t.Fatalf("got epoch %d after epoch %d", want.Epoch, from.Epoch)
	}
}

// Experts are loaded in place, one at a time: overwriting an expert's only replica would leave
// its tokens without a rank until it is loaded again.
func TestOrderKeepsEachPrefixValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShape(t)
		from, to := Pack(s, drawLoad(t, s)), Pack(s, drawLoad(t, s))
		moves, next, err := Order(s, from, to)
		if s.Ranks*s.Slots == s.Experts {
			if err != nil {
				assert.ErrorIs(t, err, ErrNoSpareSlot)
				return
			}
		}
		assert.NilError(t, err)
		checkPrefixes(t, s, from, moves, next)
		for layer := range s.Layers {
			for r := range s.Ranks {
				got, want := slices.Clone(next.At(s, layer, r)), slices.Clone(to.At(s, layer, r))
				slices.Sort(got)
				slices.Sort(want)
				assert.DeepEqual(t, got, want)
			}
		}
	})
}

// Two ranks exchange experts with one replica each, through the spare slot of a third rank,
// which gets its own expert back.
func TestOrderResolvesCycleThroughSpareSlot(t *testing.T) {
	s := Shape{Ranks: 3, Experts: 5, Layers: 1, Slots: 2}
	from := &Map{Epoch: 1, Slots: []int32{0, 4, 1, 2, 3, 4}}
	to := &Map{Epoch: 1, Slots: []int32{1, 4, 0, 2, 3, 4}}
	moves, next, err := Order(s, from, to)
	assert.NilError(t, err)
	checkPrefixes(t, s, from, moves, next)
	assert.Equal(t, len(moves), 4)
	assert.DeepEqual(t, next.Slots, to.Slots)
}

// Without a second replica of any expert, any first move would leave an expert without a rank.
func TestOrderRejectsCycleWithoutSpareSlot(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 4, Layers: 1, Slots: 2}
	_, _, err := Order(s, Contiguous(s), &Map{Epoch: 1, Slots: []int32{0, 2, 1, 3}})
	assert.ErrorIs(t, err, ErrNoSpareSlot)
}

func TestApplyRejectsMismatchedMove(t *testing.T) {
	s := Shape{Ranks: 2, Experts: 4, Layers: 1, Slots: 3}
	_, err := Apply(s, Contiguous(s), []Move{{Rank: 1, Slot: 0, From: 0, To: 1}})
	assert.ErrorIs(t, err, ErrMove)
}
