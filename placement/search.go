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
	// Horizons, if given, replace Horizon layer by layer.
	Horizons []time.Duration
	// Margin is by how much a gain must exceed its price: 1 is break-even.
	Margin float64
	// MinGain is the least skew that one move must save in its layer; it holds back
	// moves for gains that are smaller than the forecast's error.
	MinGain float64
	// MinGains, if given, replace MinGain layer by layer.
	MinGains []float64
	// MaxMoves bounds the moves of the plan, 0 is no bound.
	MaxMoves int
	// Slow is the time that a rank takes over what its load explains; nil if all
	// ranks are alike.
	Slow []float64
}

const (
	// maxSteps bounds the search in one layer and so the time of a plan.
	maxSteps = 16
	// planSteps bounds the search of one plan over all layers; the least even layers
	// come first, and the others' turn comes with the next plans.
	planSteps = 192
	// exchangeRanks is how many of the emptiest ranks are looked at for exchanges
	// of two experts, the costly part of the search.
	exchangeRanks = 7
	// maxPartners is how many experts of such a rank are tried for each one of the
	// busy rank.
	maxPartners = 2
	// kickSkew is the skew above which a search that is stuck goes on from a worse map,
	// maxKicks how often.
	kickSkew = 1.03
	maxKicks = 1
	// maxSideways is the number of steps in a row that may bring less than progress, as
	// where several ranks are equally busy.
	maxSideways = 3
	progress    = 0.002
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
	search.weight = c.SkewWeight / float64(s.Layers)
	search.price = c.Price(s, 1)
	var found []layerPlan
	states, before := search.states(m, load)
	left := planSteps
	for _, st := range states {
		p := search.plan(st, min(left, maxSteps))
		left -= len(p.steps)
		if p.best > 0 {
			found = append(found, p)
		}
	}
	chosen := search.choose(found)
	gain := 0.0
	d := Decision{SkewBefore: before}
	for _, p := range chosen {
		gain += p.gain(p.best)
		d.Gain += p.value * p.gain(p.best)
		for _, st := range p.steps[:p.best] {
			d.Moves = append(d.Moves, st.moves[:st.n]...)
		}
	}
	d.SkewAfter = before - gain/float64(s.Layers)
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
	d.Why = fmt.Sprintf("%d moves in %d layers, skew %.3f to %.3f, gain %.3g s for a price of %.3g s",
		len(d.Moves), len(chosen), d.SkewBefore, d.SkewAfter, d.Gain, d.Price)
	return d
}

// search is the state of one call of Improve.
type search struct {
	s   Shape
	lim Limits
	// weight is what 1 of skew saved in one layer is worth for a second; price what a
	// move costs.
	weight, price float64
}

// value is what 1 of skew saved in a layer is worth over its horizon.
func (sr *search) value(layer int) float64 {
	if sr.lim.Horizons != nil {
		return sr.weight * sr.lim.Horizons[layer].Seconds()
	}
	return sr.weight * sr.lim.Horizon.Seconds()
}

// minGain is the least skew that one move must save in a layer.
func (sr *search) minGain(layer int) float64 {
	if sr.lim.MinGains != nil {
		return sr.lim.MinGains[layer]
	}
	return sr.lim.MinGain
}

// layerPlan is the steps found for one layer; the first best of them are worth
// their price. skews and moves hold what follows after each number of steps.
type layerPlan struct {
	value, minGain float64
	steps          []step
	skews          []float64
	moves          []int
	best           int
}

func (p *layerPlan) gain(steps int) float64 { return p.skews[0] - p.skews[steps] }

func (sr *search) net(p *layerPlan, steps int) float64 {
	return p.value*p.gain(steps) - sr.price*float64(p.moves[steps])
}

// pays says whether the first steps are worth their price.
func (sr *search) pays(p *layerPlan, steps int) bool {
	moves := float64(p.moves[steps])
	gain := p.gain(steps)
	return gain > p.minGain*moves && p.value*gain > sr.lim.Margin*sr.price*moves
}

// states makes the layers' states, the least even layer first, and gives their mean
// skew.
func (sr *search) states(m *Map, load Load) ([]*layerState, float64) {
	size := sr.s.Ranks * sr.s.Slots
	states := make([]*layerState, sr.s.Layers)
	sum := 0.0
	for layer := range states {
		share := load[layer*sr.s.Experts : (layer+1)*sr.s.Experts]
		states[layer] = newLayerState(sr.s, layer, m.Slots[layer*size:(layer+1)*size], share, sr.lim.Slow)
		sum += states[layer].skew()
	}
	slices.SortStableFunc(states, func(a, b *layerState) int { return cmp.Compare(b.skew(), a.skew()) })
	return states, sum / float64(sr.s.Layers)
}

// plan searches one layer.
func (sr *search) plan(st *layerState, steps int) layerPlan {
	p := layerPlan{value: sr.value(st.layer), minGain: sr.minGain(st.layer), skews: []float64{st.skew()}, moves: []int{0}}
	mark, sideways, kicks := st.skew(), 0, 0
	for len(p.steps) < steps && sr.mayPay(st) {
		found := step{}
		if sideways < maxSideways {
			found = st.bestStep()
		}
		if found.n == 0 && kicks < maxKicks && st.skew() > kickSkew {
			found = st.kick()
			kicks++
			mark, sideways = st.skew(), -1
		}
		if found.n == 0 {
			break
		}
		sideways++
		if st.skew() < mark-progress {
			mark, sideways = st.skew(), 0
		}
		p.steps = append(p.steps, found)
		p.skews = append(p.skews, st.skew())
		p.moves = append(p.moves, p.moves[len(p.moves)-1]+found.n)
	}
	p.best = sr.bestPrefix(&p, math.MaxInt)
	return p
}

// mayPay says whether reaching the lower bound would pay for one more move.
func (sr *search) mayPay(st *layerState) bool {
	room, value, least := st.skew()-1, sr.value(st.layer), sr.minGain(st.layer)
	if room <= least || value*room <= sr.lim.Margin*sr.price {
		return false
	}
	room = st.skew() - boundOf(sr.s, st.share)
	return room > least && value*room > sr.lim.Margin*sr.price
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
func (sr *search) choose(found []layerPlan) (chosen []layerPlan) {
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
		chosen = append(chosen, p)
	}
	return chosen
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
func (st *layerState) bestStep() step {
	busy := st.busiest()
	best := &candidate{fall: st.peak * 1e-6}
	st.offerCopies(busy, best)
	st.offerDrops(busy, best)
	for _, rank := range st.emptiest(busy) {
		st.offerExchanges(busy, rank, best)
	}
	for i, mv := range best.step.moves[:best.step.n] {
		best.step.moves[i] = st.put(mv.Rank, mv.Slot, mv.To)
	}
	st.settle()
	return best.step
}

// kick copies the heaviest expert of the busiest rank to the rank that has least with
// it, even if that one becomes the busiest. An expert with a rank's whole load ends up
// alone among spare copies of light ones; no single step relieves it, as each other
// rank has to be unloaded next. What follows counts only if it pays as a whole.
func (st *layerState) kick() step {
	busy := st.busiest()
	heaviest := st.rankSlots(busy)[0]
	for _, e := range st.rankSlots(busy) {
		if st.each(e) > st.each(heaviest) {
			heaviest = e
		}
	}
	rank, slot := -1, -1
	least := math.Inf(1)
	for r := range st.s.Ranks {
		if st.holds(r, heaviest) {
			continue
		}
		for i, c := range st.rankSlots(r) {
			if with := st.load[r] - st.each(c)*st.slow[r]; st.spare(c) && with < least {
				rank, slot, least = r, i, with
			}
		}
	}
	found := step{}
	if rank >= 0 {
		found.add(st.put(rank, slot, heaviest))
		st.kicked = heaviest
		st.settle()
	}
	return found
}

// offerCopies looks at copying an expert of the busy rank to a spare slot.
func (st *layerState) offerCopies(busy int, best *candidate) {
	for rank := range st.s.Ranks {
		if rank == busy {
			continue
		}
		for slot, c := range st.rankSlots(rank) {
			if !st.free(c) {
				continue
			}
			for _, e := range st.rankSlots(busy) {
				if e != c && !st.holds(rank, e) {
					best.offer(st.peak-st.try(rank, slot, e), Move{st.layer, rank, slot, c, e})
				}
			}
		}
	}
}

// offerDrops looks at overwriting a spare copy on the busy rank by a lighter expert.
func (st *layerState) offerDrops(busy int, best *candidate) {
	for slot, c := range st.rankSlots(busy) {
		if !st.free(c) {
			continue
		}
		dropped := st.share[c] / float64(len(st.holders[c]))
		for e := range int32(st.s.Experts) {
			if st.share[e]/float64(len(st.holders[e])+1) >= dropped || st.holds(busy, e) {
				continue
			}
			best.offer(st.peak-st.try(busy, slot, e), Move{st.layer, busy, slot, c, e})
		}
	}
}

// offerExchanges looks at moving an expert of the busy rank to another one, and at
// exchanging two experts. A slot with a spare copy on either rank is used to pass
// through, so no expert is without a rank in between.
func (st *layerState) offerExchanges(busy, rank int, best *candidate) {
	for from, e := range st.rankSlots(busy) {
		if e == st.kicked || st.holds(rank, e) {
			continue
		}
		st.partners = st.partnersOf(busy, rank, e, st.partners[:0])
		for slot, c := range st.rankSlots(rank) {
			if st.free(c) {
				st.offerThroughOther(busy, from, rank, slot, best)
			}
		}
		for slot, c := range st.rankSlots(busy) {
			if slot != from && st.free(c) {
				st.offerThroughBusy(busy, from, rank, slot, best)
			}
		}
	}
}

// partnersOf lists the slots of a rank whose expert may be exchanged for e of the
// busy rank, at most maxPartners. What passes over must be less than the difference of
// the ranks, otherwise the other one becomes as busy; half of it evens them best.
// This spares the search most trials.
func (st *layerState) partnersOf(busy, rank int, e int32, slots []int) []int {
	gap := st.load[busy] - st.load[rank]
	given := st.share[e] / float64(len(st.holders[e]))
	var off [maxPartners]float64
	for slot, x := range st.rankSlots(rank) {
		passed := given - st.share[x]/float64(len(st.holders[x]))
		if passed <= 0 || passed >= gap || x == st.kicked || st.holds(busy, x) {
			continue
		}
		d := math.Abs(passed - gap/2)
		at := len(slots)
		if at < maxPartners {
			slots = append(slots, slot)
		} else if at--; d >= off[at] {
			continue
		}
		for at > 0 && d < off[at-1] {
			slots[at], off[at] = slots[at-1], off[at-1]
			at--
		}
		slots[at], off[at] = slot, d
	}
	return slots
}

// offerThroughOther copies e over a spare copy c of the other rank; the old slot of e
// then gets c or a partner, and in the latter case c may come back.
func (st *layerState) offerThroughOther(busy, from, rank, spareSlot int, best *candidate) {
	e, c := st.rankSlots(busy)[from], st.rankSlots(rank)[spareSlot]
	restored := !st.holds(busy, c)
	if !restored && len(st.partners) == 0 {
		return
	}
	peak := st.peak
	first := st.put(rank, spareSlot, e)
	base := st.peak
	if restored {
		best.offer(peak-st.try(busy, from, c), first, Move{st.layer, busy, from, e, c})
	}
	for _, slot := range st.partners {
		if slot == spareSlot {
			continue
		}
		x := st.rankSlots(rank)[slot]
		second := st.put(busy, from, x)
		best.offer(peak-st.peak, first, second)
		best.offer(peak-st.try(rank, slot, c), first, second, Move{st.layer, rank, slot, x, c})
		st.take(second)
		st.peak = base
	}
	st.take(first)
	st.peak = peak
}

// offerThroughBusy passes through the busy rank's own spare copy: a partner comes
// over it, e takes the partner's slot, and the spare copy comes back in the slot of e.
func (st *layerState) offerThroughBusy(busy, from, rank, spareSlot int, best *candidate) {
	peak := st.peak
	e, c := st.rankSlots(busy)[from], st.rankSlots(busy)[spareSlot]
	for _, slot := range st.partners {
		x := st.rankSlots(rank)[slot]
		if x == c {
			continue
		}
		first := st.put(busy, spareSlot, x)
		second := st.put(rank, slot, e)
		best.offer(peak-st.peak, first, second)
		best.offer(peak-st.try(busy, from, c), first, second, Move{st.layer, busy, from, e, c})
		st.take(second)
		st.take(first)
		st.peak = peak
	}
}

// take reverses a move that was the last one made.
func (st *layerState) take(mv Move) { st.put(mv.Rank, mv.Slot, mv.From) }

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
