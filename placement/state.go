package placement

import "slices"

// layerState is one layer of a map with the forecast loads of its ranks, changed
// move by move. Loads are scaled so that the mean rank has 1.
type layerState struct {
	s     Shape
	layer int
	// share is the forecast of each expert; slow is by how much a rank's time for
	// the same load exceeds the others', 1 for an ordinary rank.
	share, slow []float64
	slots       []int32
	holders     [][]int32
	load        []float64
	// peak is the sum of high powers of the loads, see peakOf; steep takes higher
	// ones.
	peak  float64
	steep bool
	// kicked is the expert that the search copied against its own measure, -1 if none: its
	// copies stay, else the next step would take the change back.
	kicked int32
	// undo holds what a trial has overwritten.
	undo []savedLoad
	// partners is scratch space of the search.
	partners []int
}

type savedLoad struct {
	rank int32
	load float64
}

// step is a change that is made as a whole: one to three moves.
type step struct {
	moves [3]Move
	n     int
}

func (st *step) add(mv Move) {
	st.moves[st.n] = mv
	st.n++
}

// steepBelow is the skew below which the peak takes 64th powers in place of 16th:
// they tell small differences apart but would overflow the precision of a sum
// with large ones.
const steepBelow = 1.25

// peakOf stands for the maximum in the search: a sum of high powers follows the
// busiest rank closely, but also tells apart two maps that differ only in the next
// busiest, so the search doesn't stop where several ranks are equally busy.
func (st *layerState) peakOf(load float64) float64 {
	p := load * load
	p *= p
	p *= p
	p *= p
	if st.steep {
		p *= p
		p *= p
	}
	return p
}

func newLayerState(s Shape, layer int, slots []int32, share, slow []float64) *layerState {
	st := &layerState{
		s: s, layer: layer, kicked: -1, share: share, slow: slow, slots: slices.Clone(slots),
		holders: make([][]int32, s.Experts), load: make([]float64, s.Ranks),
	}
	backing := make([]int32, 0, len(slots)+4*s.Experts)
	counts := make([]int, s.Experts)
	for _, e := range slots {
		counts[e]++
	}
	for e, n := range counts {
		at := len(backing)
		backing = backing[:at+n+2]
		st.holders[e] = backing[at : at : at+n+2]
	}
	for i, e := range slots {
		st.holders[e] = append(st.holders[e], int32(i/s.Slots))
	}
	st.settle()
	return st
}

// settle computes loads and peak anew, so rounding can't build up.
func (st *layerState) settle() {
	clear(st.load)
	for i, e := range st.slots {
		rank := i / st.s.Slots
		st.load[rank] += st.share[e] / float64(len(st.holders[e])) * st.slow[rank]
	}
	st.steep = st.skew() < steepBelow
	st.peak = 0
	for _, v := range st.load {
		st.peak += st.peakOf(v)
	}
}

func (st *layerState) holds(rank int, e int32) bool {
	return slices.Contains(st.rankSlots(rank), e)
}

func (st *layerState) rankSlots(rank int) []int32 {
	return st.slots[rank*st.s.Slots : (rank+1)*st.s.Slots]
}

// free says whether the search may overwrite a copy of an expert.
func (st *layerState) free(e int32) bool { return st.spare(e) && e != st.kicked }

// each is the load of one copy of an expert.
func (st *layerState) each(e int32) float64 { return st.share[e] / float64(len(st.holders[e])) }

func (st *layerState) spare(e int32) bool { return len(st.holders[e]) > 1 }

func (st *layerState) busiest() int {
	best := 0
	for r, v := range st.load {
		if v > st.load[best] {
			best = r
		}
	}
	return best
}

func (st *layerState) skew() float64 { return st.load[st.busiest()] }

// try gives the peak that follows from putting an expert into a slot whose own
// expert has another copy; the state is left as it was.
func (st *layerState) try(rank, slot int, e int32) float64 {
	was := st.peak
	st.undo = st.undo[:0]
	c := st.rankSlots(rank)[slot]
	st.shift(c, -1, rank)
	st.shift(e, 1, rank)
	result := st.peak
	for i := len(st.undo) - 1; i >= 0; i-- {
		st.load[st.undo[i].rank] = st.undo[i].load
	}
	st.peak = was
	return result
}

// shift changes loads as if an expert gained (by is 1) or lost (-1) a copy on a
// rank.
func (st *layerState) shift(e int32, by int, rank int) {
	n := float64(len(st.holders[e]))
	before, after := st.share[e]/n, st.share[e]/(n+float64(by))
	if by > 0 {
		st.bump(int32(rank), after)
	}
	for _, h := range st.holders[e] {
		if by < 0 && int(h) == rank {
			st.bump(h, -before)
			continue
		}
		st.bump(h, after-before)
	}
}

func (st *layerState) bump(rank int32, by float64) {
	old := st.load[rank]
	st.undo = append(st.undo, savedLoad{rank, old})
	v := old + by*st.slow[rank]
	st.load[rank] = v
	st.peak += st.peakOf(v) - st.peakOf(old)
}

// put makes a move and returns it. The expert in the slot must have another copy.
func (st *layerState) put(rank, slot int, e int32) Move {
	i := rank*st.s.Slots + slot
	c := st.slots[i]
	st.undo = st.undo[:0]
	st.shift(c, -1, rank)
	st.shift(e, 1, rank)
	st.slots[i] = e
	st.holders[e] = append(st.holders[e], int32(rank))
	at := slices.Index(st.holders[c], int32(rank))
	st.holders[c] = slices.Delete(st.holders[c], at, at+1)
	return Move{Layer: st.layer, Rank: rank, Slot: slot, From: c, To: e}
}
