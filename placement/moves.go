package placement

import (
	"slices"

	"github.com/ansel1/merry/v2"
)

// ErrNoSpareSlot is returned if a map can't be reached: every expert has a single replica, so
// any first move would leave an expert without a rank.
var ErrNoSpareSlot = merry.Sentinel("no spare slot to move through")

// ErrMove is returned for a move whose slot doesn't hold the expert that it replaces.
var ErrMove = merry.Sentinel("move does not match the map")

// index returns the index of the move's slot in Map.Slots.
func (mv Move) index(s Shape) int {
	return (mv.Layer*s.Ranks+mv.Rank)*s.Slots + mv.Slot
}

// Apply returns the map that results from the moves, with the next epoch.
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

// Order returns moves that lead from one map to another such that the map is valid after each
// of them. A cycle of experts with one replica each can't be resolved in place: it takes one
// more move, through a spare slot. The slots of a rank may end up in another order than in to;
// the resulting map is returned with the moves. If no replica can be spared, the error is
// ErrNoSpareSlot.
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

// orderer computes the moves of one layer.
type orderer struct {
	s        Shape
	layer    int
	now      []int32 // current experts, ordered by rank and slot
	want     []int32 // target, in the same order
	replicas []int   // replicas of each expert in now
	moves    []Move
}

func newOrderer(s Shape, from, to *Map, layer int) *orderer {
	size := s.Ranks * s.Slots
	o := &orderer{s: s, layer: layer, replicas: make([]int, s.Experts)}
	o.now = slices.Clone(from.Slots[layer*size : (layer+1)*size])
	o.want = slices.Clone(to.Slots[layer*size : (layer+1)*size])
	for _, e := range o.now {
		o.replicas[e]++
	}
	for rank := range s.Ranks {
		alignRank(o.rankSlots(o.now, rank), o.rankSlots(o.want, rank))
	}
	return o
}

// rankSlots returns the part of slots that belongs to a rank.
func (o *orderer) rankSlots(slots []int32, rank int) []int32 {
	return slots[rank*o.s.Slots : (rank+1)*o.s.Slots]
}

// alignRank reorders want so that experts that stay on the rank keep their slots. The order
// within a rank has no meaning, but every changed slot costs a load.
func alignRank(now, want []int32) {
	for i, e := range now {
		if j := slices.Index(want, e); j >= 0 {
			want[i], want[j] = want[j], want[i]
		}
	}
}

func (o *orderer) run() error {
	for {
		progress, blocked := o.pass()
		if blocked == 0 {
			return nil
		}
		if progress {
			continue
		}
		if err := o.breakCycle(); err != nil {
			return err
		}
	}
}

// pass makes every wanted move that leaves a valid map. It returns the number of slots that it
// couldn't change yet.
func (o *orderer) pass() (progress bool, blocked int) {
	for i := range o.now {
		if o.now[i] == o.want[i] {
			continue
		}
		if o.replicas[o.now[i]] < 2 {
			blocked++
			continue
		}
		o.move(i, o.want[i])
		progress = true
	}
	return progress, blocked
}

// breakCycle makes the first two moves of a cycle. It is called when pass makes no progress:
// each remaining slot then holds the only replica of its expert, so these slots permute their
// experts among themselves. One such expert is copied over a replica that can be spared on
// another rank, and its own slot gets the expert that it wants. Later passes resolve the rest
// of the cycle and restore the overwritten replica.
func (o *orderer) breakCycle() error {
	for i, e := range o.now {
		if e == o.want[i] {
			continue
		}
		for j, c := range o.now {
			if o.replicas[c] > 1 && !o.holds(j/o.s.Slots, e) {
				o.move(j, e)
				o.move(i, o.want[i])
				return nil
			}
		}
	}
	return ErrNoSpareSlot
}

func (o *orderer) holds(rank int, e int32) bool {
	return slices.Contains(o.rankSlots(o.now, rank), e)
}

// move loads an expert into a slot and records the move.
func (o *orderer) move(i int, e int32) {
	o.moves = append(o.moves, Move{
		Layer: o.layer, Rank: i / o.s.Slots, Slot: i % o.s.Slots, From: o.now[i], To: e,
	})
	o.replicas[o.now[i]]--
	o.replicas[e]++
	o.now[i] = e
	rank := i / o.s.Slots
	alignRank(o.rankSlots(o.now, rank), o.rankSlots(o.want, rank))
}
