package placement

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// ErrNoSpare means that a map can't be reached: no expert has a second copy, so
// whatever slot is overwritten first leaves an expert without a rank.
var ErrNoSpare = merry.Sentinel("no spare slot to move through")

// ErrMove means that a move doesn't follow from the map it is applied to.
var ErrMove = merry.Sentinel("move doesn't fit the map")

// index is the place of a slot in Map.Slots.
func (mv Move) index(s Shape) int {
	return (mv.Layer*s.Ranks+mv.Rank)*s.Slots + mv.Slot
}

// Apply makes the map that follows from a map and moves, with the next epoch.
func Apply(s Shape, m *Map, moves []Move) (*Map, error) {
	next := &Map{Epoch: m.Epoch + 1, Slots: slices.Clone(m.Slots)}
	for _, mv := range moves {
		i := mv.index(s)
		if i < 0 || i >= len(next.Slots) || next.Slots[i] != mv.From {
			return nil, merry.Prependf(ErrMove, "layer %d, rank %d, slot %d", mv.Layer, mv.Rank, mv.Slot)
		}
		next.Slots[i] = mv.To
	}
	return next, nil
}

// Order lists moves that lead from one map to another such that the map after
// each of them is valid. A cycle of experts that have one copy each can't be
// turned in place: it is opened by a move through a spare slot, one more move for
// each cycle. Slots of one rank may come out in another order than in to; the
// map that is reached is returned beside the moves.
func Order(s Shape, from, to *Map) ([]Move, *Map, error) {
	if err := from.Check(s); err != nil {
		return nil, nil, err
	}
	if err := to.Check(s); err != nil {
		return nil, nil, err
	}
	var moves []Move
	for layer := range s.Layers {
		o := newOrderer(s, from, to, layer)
		if err := o.run(); err != nil {
			return nil, nil, err
		}
		moves = append(moves, o.moves...)
	}
	next, err := Apply(s, from, moves)
	return moves, next, err
}

// orderer orders the moves of one layer.
type orderer struct {
	s      Shape
	layer  int
	now    []int32 // rank by rank, slot by slot
	want   []int32
	copies []int
	moves  []Move
}

func newOrderer(s Shape, from, to *Map, layer int) *orderer {
	size := s.Ranks * s.Slots
	o := &orderer{s: s, layer: layer, copies: make([]int, s.Experts)}
	o.now = slices.Clone(from.Slots[layer*size : (layer+1)*size])
	o.want = slices.Clone(to.Slots[layer*size : (layer+1)*size])
	for _, e := range o.now {
		o.copies[e]++
	}
	for rank := range s.Ranks {
		alignRank(o.rank(o.now, rank), o.rank(o.want, rank))
	}
	return o
}

func (o *orderer) rank(slots []int32, rank int) []int32 {
	return slots[rank*o.s.Slots : (rank+1)*o.s.Slots]
}

// alignRank reorders want so that experts that stay keep their slots: the order
// within a rank means nothing, and moving them would cost bytes.
func alignRank(now, want []int32) {
	for i, e := range now {
		if j := slices.Index(want, e); j >= 0 {
			want[i], want[j] = want[j], want[i]
		}
	}
}

func (o *orderer) run() error {
	for {
		progress, left := o.pass()
		if left == 0 {
			return nil
		}
		if progress {
			continue
		}
		if err := o.open(); err != nil {
			return err
		}
	}
}

// pass makes each wanted move that leaves a valid map.
func (o *orderer) pass() (progress bool, left int) {
	for i := range o.now {
		if o.now[i] == o.want[i] {
			continue
		}
		if o.copies[o.now[i]] < 2 {
			left++
			continue
		}
		o.move(i, o.want[i])
		progress = true
	}
	return progress, left
}

// open starts a cycle when no move is left that a pass could make. Then every
// unsettled slot holds the only copy of its expert, so these slots hold what
// others of them want: a permutation. One expert is copied over an expert that can
// be spared, on another rank; its own slot then takes what it wants, and passes
// turn the rest of the cycle and give the spare slot its expert back.
func (o *orderer) open() error {
	for i, e := range o.now {
		if e == o.want[i] {
			continue
		}
		for j, c := range o.now {
			if o.copies[c] > 1 && !o.holds(j/o.s.Slots, e) {
				o.move(j, e)
				o.move(i, o.want[i])
				return nil
			}
		}
	}
	return ErrNoSpare
}

func (o *orderer) holds(rank int, e int32) bool {
	return slices.Contains(o.rank(o.now, rank), e)
}

func (o *orderer) move(i int, e int32) {
	o.moves = append(o.moves, Move{
		Layer: o.layer, Rank: i / o.s.Slots, Slot: i % o.s.Slots, From: o.now[i], To: e,
	})
	o.copies[o.now[i]]--
	o.copies[e]++
	o.now[i] = e
	rank := i / o.s.Slots
	alignRank(o.rank(o.now, rank), o.rank(o.want, rank))
}
