package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Limits bound one plan.
type Limits struct {
	// Horizon is for how long a gain is expected to last.
	Horizon time.Duration
	// Margin is by how much a gain must exceed its price: 1 is break-even.
	Margin float64
	// MinGain is the least skew that one move must save in its layer; it holds back
	// moves for gains that are smaller than the forecast's error.
	MinGain float64
	// MaxMoves bounds the moves of the plan, 0 is no bound.
	MaxMoves int
	// Slow is the time that a rank takes over what its load explains; nil if all
	// ranks are alike.
	Slow []float64
}

const (
	// maxSteps bounds the search in one layer and so the time of a plan.
	maxSteps = 16
	// exchangeRanks is how many of the emptiest ranks are looked at for exchanges
	// of two experts, the costly part of the search.
	exchangeRanks = 7
)

// Improve looks for the few moves that lower the forecast skew most, and keeps
// those whose gain within the horizon pays for them. It is a local search: every
// move overwrites a copy that has another one elsewhere, so each prefix of the
// moves is a valid map. Load is scaled as by Forecast.Load.
func Improve(s Shape, c Cost, m *Map, load Load, lim Limits) Decision {
	if lim.Slow == nil {
		lim.Slow = slices.Repeat([]float64{1}, s.Ranks)
	}
	search := &search{s: s, lim: lim}
	search.value = c.SkewWeight * lim.Horizon.Seconds() / float64(s.Layers)
	search.price = c.Price(s, 1)
	var found []layerPlan
	before, after := 0.0, 0.0
	for layer := range s.Layers {
		p := search.layer(m, layer, load)
		before += p.skews[0]
		after += p.skews[0]
		if p.best > 0 {
			found = append(found, p)
		}
	}
	chosen, gain := search.choose(found)
	after -= gain
	d := Decision{SkewBefore: before / float64(s.Layers), SkewAfter: after / float64(s.Layers)}
	for _, p := range chosen {
		for _, st := range p.steps[:p.best] {
			d.Moves = append(d.Moves, st.moves[:st.n]...)
		}
	}
	d.Gain = search.value * gain
	d.Price = search.price * float64(len(d.Moves))
	if len(d.Moves) == 0 {
		d.Why = fmt.Sprintf("skew %.3f, no move pays", d.SkewBefore)
		return d
	}
	next, err := Apply(s, m, d.Moves)
	if err != nil {
		return Decision{Why: err.Error()}
	}
	d.Next = next
	d.Why = fmt.Sprintf("%d moves in %d layers, skew %.3f to %.3f, gain %.3g s over %v for a price of %.3g s",
		len(d.Moves), len(chosen), d.SkewBefore, d.SkewAfter, d.Gain, lim.Horizon, d.Price)
	return d
}

// search is the state of one call of Improve.
type search struct {
	s   Shape
	lim Limits
	// value is what 1 of skew saved in one layer is worth; price what a move costs.
	value, price float64
}

// layerPlan is the steps found for one layer; the first best of them are worth
// their price. skews and moves hold what follows after each number of steps.
type layerPlan struct {
	steps []step
	skews []float64
	moves []int
	best  int
}

func (p *layerPlan) gain(steps int) float64 { return p.skews[0] - p.skews[steps] }

func (sr *search) net(p *layerPlan, steps int) float64 {
	return sr.value*p.gain(steps) - sr.price*float64(p.moves[steps])
}

// pays says whether the first steps are worth their price.
func (sr *search) pays(p *layerPlan, steps int) bool {
	moves := float64(p.moves[steps])
	gain := p.gain(steps)
	return gain > sr.lim.MinGain*moves && sr.value*gain > sr.lim.Margin*sr.price*moves
}

func (sr *search) layer(m *Map, layer int, load Load) layerPlan {
	size := sr.s.Ranks * sr.s.Slots
	share := load[layer*sr.s.Experts : (layer+1)*sr.s.Experts]
	st := newLayerState(sr.s, m.Slots[layer*size:(layer+1)*size], share, sr.lim.Slow)
	p := layerPlan{skews: []float64{st.skew()}, moves: []int{0}}
	for len(p.steps) < maxSteps && sr.mayPay(st, share) {
		found, ok := st.bestStep(layer)
		if !ok {
			break
		}
		p.steps = append(p.steps, found)
		p.skews = append(p.skews, st.skew())
		p.moves = append(p.moves, p.moves[len(p.moves)-1]+found.n)
	}
	p.best = sr.bestPrefix(&p, math.MaxInt)
	return p
}

// mayPay says whether reaching the lower bound would pay for one more move.
func (sr *search) mayPay(st *layerState, share []float64) bool {
	room := st.skew() - 1
	if room <= sr.lim.MinGain || sr.value*room <= sr.lim.Margin*sr.price {
		return false
	}
	room = st.skew() - boundOf(sr.s, share)
	return room > sr.lim.MinGain && sr.value*room > sr.lim.Margin*sr.price
}

func (sr *search) bestPrefix(p *layerPlan, maxMoves int) int {
	best := 0
	for n := 1; n < len(p.skews); n++ {
		if p.moves[n] <= maxMoves && sr.pays(p, n) && sr.net(p, n) > sr.net(p, best) {
			best = n
		}
	}
	return best
}

// choose fills the bound on moves with the layers that gain most per move.
func (sr *search) choose(found []layerPlan) (chosen []layerPlan, gain float64) {
	slices.SortStableFunc(found, func(a, b layerPlan) int {
		return cmp.Compare(sr.net(&b, b.best)/float64(b.moves[b.best]), sr.net(&a, a.best)/float64(a.moves[a.best]))
	})
	left := math.MaxInt
	if sr.lim.MaxMoves > 0 {
		left = sr.lim.MaxMoves
	}
	for _, p := range found {
		p.best = sr.bestPrefix(&p, left)
		if p.best == 0 {
			continue
		}
		left -= p.moves[p.best]
		gain += p.gain(p.best)
		chosen = append(chosen, p)
	}
	return chosen, gain
}

// candidate is a step that is being compared, by the fall of the peak per move.
type candidate struct {
	step step
	fall float64
}

func (best *candidate) offer(fall float64, moves ...Move) {
	if fall /= float64(len(moves)); fall <= best.fall {
		return
	}
	best.fall = fall
	best.step = step{}
	for _, mv := range moves {
		best.step.add(mv)
	}
}

// bestStep finds the best change that relieves the busiest rank and makes it.
func (st *layerState) bestStep(layer int) (step, bool) {
	busy := st.busiest()
	best := &candidate{fall: st.peak * 1e-6}
	st.offerCopies(layer, busy, best)
	st.offerDrops(layer, busy, best)
	for _, rank := range st.emptiest(busy) {
		st.offerExchanges(layer, busy, rank, best)
	}
	if best.step.n == 0 {
		return step{}, false
	}
	skew := st.skew()
	for i, mv := range best.step.moves[:best.step.n] {
		best.step.moves[i] = st.put(layer, mv.Rank, mv.Slot, mv.To)
	}
	st.settle()
	return best.step, st.skew() < skew
}

// offerCopies looks at copying an expert of the busy rank to a spare slot.
func (st *layerState) offerCopies(layer, busy int, best *candidate) {
	for rank := range st.s.Ranks {
		if rank == busy {
			continue
		}
		for slot, c := range st.rankSlots(rank) {
			if !st.spare(c) {
				continue
			}
			for _, e := range st.rankSlots(busy) {
				if e != c && !st.holds(rank, e) {
					best.offer(st.peak-st.try(rank, slot, e), Move{layer, rank, slot, c, e})
				}
			}
		}
	}
}

// offerDrops looks at overwriting a spare copy on the busy rank by a lighter expert.
func (st *layerState) offerDrops(layer, busy int, best *candidate) {
	for slot, c := range st.rankSlots(busy) {
		if !st.spare(c) {
			continue
		}
		dropped := st.share[c] / float64(len(st.holders[c]))
		for e := range int32(st.s.Experts) {
			if st.share[e]/float64(len(st.holders[e])+1) >= dropped || st.holds(busy, e) {
				continue
			}
			best.offer(st.peak-st.try(busy, slot, e), Move{layer, busy, slot, c, e})
		}
	}
}

// offerExchanges looks at moving an expert of the busy rank to another one, and at
// exchanging two experts. A slot with a spare copy on either rank is used to pass
// through, so no expert is without a rank in between.
func (st *layerState) offerExchanges(layer, busy, rank int, best *candidate) {
	peak := st.peak
	for from, e := range st.rankSlots(busy) {
		if st.holds(rank, e) {
			continue
		}
		for slot, c := range st.rankSlots(rank) {
			if !st.spare(c) {
				continue
			}
			first := st.put(layer, rank, slot, e)
			st.offerReturns(layer, busy, from, rank, first, peak, best)
			st.take(first)
			st.peak = peak
		}
		for slot, c := range st.rankSlots(busy) {
			if slot != from && st.spare(c) {
				st.offerThroughBusy(layer, busy, from, rank, slot, best)
			}
		}
	}
}

// offerReturns completes an exchange whose first move copied e to the other rank:
// the old slot of e gets the expert that was overwritten or one of the other rank's,
// and in the latter case the overwritten one may come back.
func (st *layerState) offerReturns(layer, busy, from, rank int, first Move, peak float64, best *candidate) {
	e, base := first.To, st.peak
	if !st.holds(busy, first.From) {
		second := Move{layer, busy, from, e, first.From}
		best.offer(peak-st.try(busy, from, first.From), first, second)
	}
	for slot, x := range st.rankSlots(rank) {
		if x == e || st.share[x] >= st.share[e] || st.holds(busy, x) {
			continue
		}
		second := st.put(layer, busy, from, x)
		best.offer(peak-st.peak, first, second)
		if c := first.From; !st.holds(rank, c) {
			best.offer(peak-st.try(rank, slot, c), first, second, Move{layer, rank, slot, x, c})
		}
		st.take(second)
		st.peak = base
	}
}

// offerThroughBusy looks at exchanges that pass through the busy rank's own spare
// copy: an expert x comes over it, e takes the slot of x, and the spare copy comes
// back in the slot of e.
func (st *layerState) offerThroughBusy(layer, busy, from, rank, spareSlot int, best *candidate) {
	peak := st.peak
	e, c := st.rankSlots(busy)[from], st.rankSlots(busy)[spareSlot]
	for slot, x := range st.rankSlots(rank) {
		if st.share[x] >= st.share[e] || x == c || st.holds(busy, x) {
			continue
		}
		first := st.put(layer, busy, spareSlot, x)
		second := st.put(layer, rank, slot, e)
		best.offer(peak-st.peak, first, second)
		best.offer(peak-st.try(busy, from, c), first, second, Move{layer, busy, from, e, c})
		st.take(second)
		st.take(first)
		st.peak = peak
	}
}

// take reverses a move that was the last one made.
func (st *layerState) take(mv Move) { st.put(mv.Layer, mv.Rank, mv.Slot, mv.From) }

func (st *layerState) emptiest(except int) []int {
	ranks := make([]int, 0, st.s.Ranks)
	for r := range st.s.Ranks {
		if r != except {
			ranks = append(ranks, r)
		}
	}
	slices.SortFunc(ranks, func(a, b int) int { return cmp.Compare(st.load[a], st.load[b]) })
	return ranks[:min(exchangeRanks, len(ranks))]
}
