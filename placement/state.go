package placement

import "slices"

// layerState is one layer of a map with the forecast loads of its ranks. The search changes it
// move by move. Loads are scaled so that the mean rank has load 1.
type layerState struct {
	s     Shape
	layer int
	// share is the forecast load of each expert. slowdown is the factor by which each rank takes
	// longer for the same load, 1 for an ordinary rank.
	share, slowdown []float64
	// slots holds the experts, ordered by rank and slot; holders the ranks of each expert's replicas.
	slots   []int32
	holders [][]int32
	// load is the load of each rank, multiplied by its slowdown.
	load []float64
	// peak approximates the maximum of load, see peakTerm; highPower selects a higher power.
	peak      float64
	highPower bool
	// perturbed is the expert that perturb has copied, -1 if none. Its replicas stay where they
	// are, otherwise the next step would undo the perturbation.
	perturbed int32
	// undo holds the loads that a trial has overwritten.
	undo []savedLoad
	// partners is scratch space of offerExchanges.
	partners []int
}

type savedLoad struct {
	rank int32
	load float64
}

// step is a change that is made as a whole, of one to three moves.
type step struct {
	moves [3]Move
	n     int
}

func (st *step) add(mv Move) {
	st.moves[st.n] = mv
	st.n++
}

// highPowerSkew is the skew below which peak sums 64th powers instead of 16th. They distinguish
// small differences, but next to large ones a sum of them would lose precision.
const highPowerSkew = 1.25

// peakTerm returns a rank's contribution to the peak, a high power of its load. The sum of
// these follows the busiest rank closely, but also distinguishes two maps that differ only in
// the next busiest rank, so that the search doesn't stop where several ranks are equally busy.
func (st *layerState) peakTerm(load float64) float64 {
	p := load * load
	p *= p
	p *= p
	p *= p
	if st.highPower {
		p *= p
		p *= p
	}
	return p
}

func newLayerState(s Shape, layer int, slots []int32, share, slow []float64) *layerState {
	st := &layerState{
		s: s, layer: layer, perturbed: -1, share: share, slowdown: slow, slots: slices.Clone(slots),
		holders: make([][]int32, s.Experts), load: make([]float64, s.Ranks),
	}
	// One allocation for all holders; each list has room for two more replicas.
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
	st.recompute()
	return st
}

// recompute derives loads and peak from the slots, so that rounding errors don't accumulate.
func (st *layerState) recompute() {
	clear(st.load)
	for i, e := range st.slots {
		rank := i / st.s.Slots
		st.load[rank] += st.share[e] / float64(len(st.holders[e])) * st.slowdown[rank]
	}
	st.highPower = st.skew() < highPowerSkew
	st.peak = 0
	for _, v := range st.load {
		st.peak += st.peakTerm(v)
	}
}

func (st *layerState) holds(rank int, e int32) bool {
	return slices.Contains(st.rankSlots(rank), e)
}

func (st *layerState) rankSlots(rank int) []int32 {
	return st.slots[rank*st.s.Slots : (rank+1)*st.s.Slots]
}

// mayOverwrite reports whether the search may overwrite a replica of an expert.
func (st *layerState) mayOverwrite(e int32) bool { return st.hasSpare(e) && e != st.perturbed }

// replicaLoad returns the load of one replica of an expert.
func (st *layerState) replicaLoad(e int32) float64 { return st.share[e] / float64(len(st.holders[e])) }

// hasSpare reports whether an expert has more than one replica.
func (st *layerState) hasSpare(e int32) bool { return len(st.holders[e]) > 1 }

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

// peakAfter returns the peak that would follow from loading an expert into a slot whose current
// expert has another replica. The state is left unchanged.
func (st *layerState) peakAfter(rank, slot int, e int32) float64 {
	before := st.peak
	st.undo = st.undo[:0]
	c := st.rankSlots(rank)[slot]
	st.changeReplicas(c, -1, rank)
	st.changeReplicas(e, 1, rank)
	result := st.peak
	for i := len(st.undo) - 1; i >= 0; i-- {
		st.load[st.undo[i].rank] = st.undo[i].load
	}
	st.peak = before
	return result
}

// changeReplicas updates the loads as if an expert gained (by is 1) or lost (by is -1) a
// replica on a rank.
func (st *layerState) changeReplicas(e int32, by int, rank int) {
	n := float64(len(st.holders[e]))
	before, after := st.share[e]/n, st.share[e]/(n+float64(by))
	if by > 0 {
		st.addLoad(int32(rank), after)
	}
	for _, h := range st.holders[e] {
		if by < 0 && int(h) == rank {
			st.addLoad(h, -before)
			continue
		}
		st.addLoad(h, after-before)
	}
}

// addLoad adds to the load of a rank and saves the old value in undo.
func (st *layerState) addLoad(rank int32, by float64) {
	old := st.load[rank]
	st.undo = append(st.undo, savedLoad{rank, old})
	v := old + by*st.slowdown[rank]
	st.load[rank] = v
	st.peak += st.peakTerm(v) - st.peakTerm(old)
}

// applyMove loads an expert into a slot and returns the move. The expert in the slot must have
// another replica.
func (st *layerState) applyMove(rank, slot int, e int32) Move {
	i := rank*st.s.Slots + slot
	c := st.slots[i]
	st.undo = st.undo[:0]
	st.changeReplicas(c, -1, rank)
	st.changeReplicas(e, 1, rank)
	st.slots[i] = e
	st.holders[e] = append(st.holders[e], int32(rank))
	at := slices.Index(st.holders[c], int32(rank))
	st.holders[c] = slices.Delete(st.holders[c], at, at+1)
	return Move{Layer: st.layer, Rank: rank, Slot: slot, From: c, To: e}
}
