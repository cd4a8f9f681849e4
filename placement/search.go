package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Limits bounds one plan.
type Limits struct {
	// Horizon is the time for which a gain is expected to last.
	Horizon time.Duration
	// Horizons, if set, replaces Horizon with a value per layer.
	Horizons []time.Duration
	// Margin is the ratio of gain to price that a layer's moves must exceed; 1 is break-even.
	Margin float64
	// MinGain is the least skew that each move must save in its layer on average. It prevents
	// moves for gains below the error of the forecast.
	MinGain float64
	// MinGains, if set, replaces MinGain with a value per layer.
	MinGains []float64
	// MaxMoves bounds the moves of the plan; 0 means no bound.
	MaxMoves int
	// Slowdown is the factor by which each rank takes longer than its load explains; nil means that
	// no rank does.
	Slowdown []float64
}

const (
	// maxLayerSteps bounds the search in one layer.
	maxLayerSteps = 16
	// maxPlanSteps bounds the search of a plan over all layers. Layers are searched in
	// descending order of skew; those that are left out get their turn in later plans.
	maxPlanSteps = 192
	// exchangeRanks is the number of least loaded ranks that are considered for exchanging two
	// experts, the expensive part of the search.
	exchangeRanks = 7
	// maxPartners is the number of experts on such a rank that are tried as the exchange
	// partner of each expert of the busiest rank.
	maxPartners = 2
	// perturbSkew is the skew above which a search in a local optimum continues from a worse
	// map, at most maxPerturbations times.
	perturbSkew      = 1.03
	maxPerturbations = 1
	// maxSideways is the number of consecutive steps that may lower the skew by less than
	// minProgress, as happens where several ranks are equally busy.
	maxSideways = 3
	minProgress = 0.002
)

// Improve looks for the few moves that lower the forecast skew most, and keeps those whose gain
// within the horizon exceeds their price. It is a local search. Every move overwrites an expert
// that has another replica, so the map is valid after each move. The load must be scaled like
// the result of Forecast.Load.
func Improve(s Shape, c Cost, m *Map, load Load, lim Limits) Decision {
	if lim.Slowdown == nil {
		lim.Slowdown = slices.Repeat([]float64{1}, s.Ranks)
	}
	sr := &search{s: s, lim: lim}
	sr.weight = c.SkewWeight / float64(s.Layers)
	sr.price = c.Price(s, 1)
	var found []layerPlan
	states, before := sr.states(m, load)
	stepsLeft := maxPlanSteps
	for _, st := range states {
		p := sr.planLayer(st, min(stepsLeft, maxLayerSteps))
		stepsLeft -= len(p.steps)
		if p.best > 0 {
			found = append(found, p)
		}
	}
	chosen := sr.choose(found)
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
	d.Price = sr.price * float64(len(d.Moves))
	if len(d.Moves) == 0 {
		d.Reason = fmt.Sprintf("skew %.3f, no move is worth its cost", d.SkewBefore)
		return d
	}
	next, err := Apply(s, m, d.Moves)
	if err != nil {
		return Decision{Reason: err.Error()}
	}
	d.Next = next
	d.Reason = fmt.Sprintf("%d moves in %d layers, skew %.3f to %.3f, gain %.3g s at a cost of %.3g s",
		len(d.Moves), len(chosen), d.SkewBefore, d.SkewAfter, d.Gain, d.Price)
	return d
}

// search holds the parameters of one call of Improve.
type search struct {
	s   Shape
	lim Limits
	// weight is the value of saving a skew of 1 in one layer for a second; price is the cost of
	// one move.
	weight, price float64
}

// value returns the value of saving a skew of 1 in a layer over its horizon.
func (sr *search) value(layer int) float64 {
	if sr.lim.Horizons != nil {
		return sr.weight * sr.lim.Horizons[layer].Seconds()
	}
	return sr.weight * sr.lim.Horizon.Seconds()
}

// minGain returns the least skew that each move must save in a layer.
func (sr *search) minGain(layer int) float64 {
	if sr.lim.MinGains != nil {
		return sr.lim.MinGains[layer]
	}
	return sr.lim.MinGain
}

// layerPlan holds the steps found for one layer. The first best of them are worth their price.
// skews and moves are the layer's skew and the number of moves after each number of steps.
type layerPlan struct {
	value, minGain float64
	steps          []step
	skews          []float64
	moves          []int
	best           int
}

// gain returns the skew that the first steps save.
func (p *layerPlan) gain(steps int) float64 { return p.skews[0] - p.skews[steps] }

// netValue returns the value of the first steps minus their price.
func (sr *search) netValue(p *layerPlan, steps int) float64 {
	return p.value*p.gain(steps) - sr.price*float64(p.moves[steps])
}

// worthPrice reports whether the first steps exceed the required gain and margin.
func (sr *search) worthPrice(p *layerPlan, steps int) bool {
	moves := float64(p.moves[steps])
	gain := p.gain(steps)
	return gain > p.minGain*moves && p.value*gain > sr.lim.Margin*sr.price*moves
}

// states returns the states of all layers in descending order of skew, and the mean skew.
func (sr *search) states(m *Map, load Load) ([]*layerState, float64) {
	size := sr.s.Ranks * sr.s.Slots
	states := make([]*layerState, sr.s.Layers)
	sum := 0.0
	for layer := range states {
		share := load[layer*sr.s.Experts : (layer+1)*sr.s.Experts]
		states[layer] = newLayerState(sr.s, layer, m.Slots[layer*size:(layer+1)*size], share, sr.lim.Slowdown)
		sum += states[layer].skew()
	}
	slices.SortStableFunc(states, func(a, b *layerState) int { return cmp.Compare(b.skew(), a.skew()) })
	return states, sum / float64(sr.s.Layers)
}

// planLayer searches one layer with a bounded number of steps.
func (sr *search) planLayer(st *layerState, steps int) layerPlan {
	p := layerPlan{value: sr.value(st.layer), minGain: sr.minGain(st.layer), skews: []float64{st.skew()}, moves: []int{0}}
	lastSkew, sideways, perturbations := st.skew(), 0, 0
	for len(p.steps) < steps && sr.canPay(st) {
		found := step{}
		if sideways < maxSideways {
			found = st.applyBestStep()
		}
		if found.n == 0 && perturbations < maxPerturbations && st.skew() > perturbSkew {
			found = st.perturb()
			perturbations++
			lastSkew, sideways = st.skew(), -1
		}
		if found.n == 0 {
			break
		}
		sideways++
		if st.skew() < lastSkew-minProgress {
			lastSkew, sideways = st.skew(), 0
		}
		p.steps = append(p.steps, found)
		p.skews = append(p.skews, st.skew())
		p.moves = append(p.moves, p.moves[len(p.moves)-1]+found.n)
	}
	p.best = sr.bestPrefix(&p, math.MaxInt)
	return p
}

// canPay reports whether a single move that reached the lower bound of the skew would be worth
// its price.
func (sr *search) canPay(st *layerState) bool {
	reducible, value, least := st.skew()-1, sr.value(st.layer), sr.minGain(st.layer)
	if reducible <= least || value*reducible <= sr.lim.Margin*sr.price {
		return false
	}
	reducible = st.skew() - layerBound(sr.s, st.share)
	return reducible > least && value*reducible > sr.lim.Margin*sr.price
}

// bestPrefix returns the number of steps with the highest net value within a bound on the
// moves; 0 if no steps are worth their price.
func (sr *search) bestPrefix(p *layerPlan, maxMoves int) int {
	best := 0
	for n := 1; n < len(p.skews); n++ {
		if p.moves[n] <= maxMoves && sr.worthPrice(p, n) && sr.netValue(p, n) > sr.netValue(p, best) {
			best = n
		}
	}
	return best
}

// choose spends the bound on moves on the layers in descending order of net value per move.
func (sr *search) choose(found []layerPlan) (chosen []layerPlan) {
	slices.SortStableFunc(found, func(a, b layerPlan) int {
		return cmp.Compare(sr.netValue(&b, b.best)/float64(b.moves[b.best]), sr.netValue(&a, a.best)/float64(a.moves[a.best]))
	})
	movesLeft := math.MaxInt
	if sr.lim.MaxMoves > 0 {
		movesLeft = sr.lim.MaxMoves
	}
	for _, p := range found {
		p.best = sr.bestPrefix(&p, movesLeft)
		if p.best == 0 {
			continue
		}
		movesLeft -= p.moves[p.best]
		chosen = append(chosen, p)
	}
	return chosen
}

// candidate is the best step found so far, by the decrease of the peak per move.
type candidate struct {
	step step
	fall float64
}

// offer replaces the candidate if the moves lower the peak by more per move. fall is the
// decrease of all moves together.
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

// applyBestStep makes the step that lowers the peak most per move. The result has no moves if
// no step lowers it noticeably.
func (st *layerState) applyBestStep() step {
	busy := st.busiest()
	best := &candidate{fall: st.peak * 1e-6}
	st.offerCopies(busy, best)
	st.offerDrops(busy, best)
	for _, rank := range st.leastLoaded(busy) {
		st.offerExchanges(busy, rank, best)
	}
	for i, mv := range best.step.moves[:best.step.n] {
		best.step.moves[i] = st.applyMove(mv.Rank, mv.Slot, mv.To)
	}
	st.recompute()
	return best.step
}

// perturb copies the heaviest expert of the busiest rank over a spare replica on another rank,
// the one that leaves that rank with the least load, even if it then becomes the busiest. This
// leads out of a local optimum: if an expert accounts for a whole rank's load, no single step
// helps, because each other rank must be unloaded first. The following steps are kept only if
// they are worth their price together with this one.
func (st *layerState) perturb() step {
	busy := st.busiest()
	heaviest := st.rankSlots(busy)[0]
	for _, e := range st.rankSlots(busy) {
		if st.replicaLoad(e) > st.replicaLoad(heaviest) {
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
			if remaining := st.load[r] - st.replicaLoad(c)*st.slowdown[r]; st.hasSpare(c) && remaining < least {
				rank, slot, least = r, i, remaining
			}
		}
	}
	found := step{}
	if rank >= 0 {
		found.add(st.applyMove(rank, slot, heaviest))
		st.perturbed = heaviest
		st.recompute()
	}
	return found
}

// offerCopies offers every replication of an expert of the busy rank into a spare slot of
// another rank.
func (st *layerState) offerCopies(busy int, best *candidate) {
	for rank := range st.s.Ranks {
		if rank == busy {
			continue
		}
		for slot, c := range st.rankSlots(rank) {
			if !st.mayOverwrite(c) {
				continue
			}
			for _, e := range st.rankSlots(busy) {
				if e != c && !st.holds(rank, e) {
					best.offer(st.peak-st.peakAfter(rank, slot, e), Move{st.layer, rank, slot, c, e})
				}
			}
		}
	}
}

// offerDrops offers every replacement of a spare replica on the busy rank by a lighter expert.
func (st *layerState) offerDrops(busy int, best *candidate) {
	for slot, c := range st.rankSlots(busy) {
		if !st.mayOverwrite(c) {
			continue
		}
		saved := st.share[c] / float64(len(st.holders[c]))
		for e := range int32(st.s.Experts) {
			if st.share[e]/float64(len(st.holders[e])+1) >= saved || st.holds(busy, e) {
				continue
			}
			best.offer(st.peak-st.peakAfter(busy, slot, e), Move{st.layer, busy, slot, c, e})
		}
	}
}

// offerExchanges offers to move an expert of the busy rank to another rank, and to exchange two
// experts. The moves go through a slot with a spare replica on either rank, so that every
// expert stays on some rank in between.
func (st *layerState) offerExchanges(busy, rank int, best *candidate) {
	for from, e := range st.rankSlots(busy) {
		if e == st.perturbed || st.holds(rank, e) {
			continue
		}
		st.partners = st.partnersOf(busy, rank, e, st.partners[:0])
		for slot, c := range st.rankSlots(rank) {
			if st.mayOverwrite(c) {
				st.offerThroughOther(busy, from, rank, slot, best)
			}
		}
		for slot, c := range st.rankSlots(busy) {
			if slot != from && st.mayOverwrite(c) {
				st.offerThroughBusy(busy, from, rank, slot, best)
			}
		}
	}
}

// partnersOf appends the slots of a rank whose experts are considered for an exchange with e of
// the busy rank, at most maxPartners. The load that an exchange moves must be below the
// difference of the two ranks, or the other rank would become as busy; slots are sorted by how
// close it is to half of that difference. This saves most trials of the search.
func (st *layerState) partnersOf(busy, rank int, e int32, slots []int) []int {
	gap := st.load[busy] - st.load[rank]
	loadOfE := st.share[e] / float64(len(st.holders[e]))
	var off [maxPartners]float64
	for slot, x := range st.rankSlots(rank) {
		moved := loadOfE - st.share[x]/float64(len(st.holders[x]))
		if moved <= 0 || moved >= gap || x == st.perturbed || st.holds(busy, x) {
			continue
		}
		d := math.Abs(moved - gap/2)
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

// offerThroughOther exchanges through a spare replica c on the other rank: e overwrites c, and
// the old slot of e gets c or a partner of e. In the latter case c may then take the partner's
// slot.
func (st *layerState) offerThroughOther(busy, from, rank, spareSlot int, best *candidate) {
	e, c := st.rankSlots(busy)[from], st.rankSlots(rank)[spareSlot]
	canMoveSpare := !st.holds(busy, c)
	if !canMoveSpare && len(st.partners) == 0 {
		return
	}
	peak := st.peak
	first := st.applyMove(rank, spareSlot, e)
	peakAfterFirst := st.peak
	if canMoveSpare {
		best.offer(peak-st.peakAfter(busy, from, c), first, Move{st.layer, busy, from, e, c})
	}
	for _, slot := range st.partners {
		if slot == spareSlot {
			continue
		}
		x := st.rankSlots(rank)[slot]
		second := st.applyMove(busy, from, x)
		best.offer(peak-st.peak, first, second)
		best.offer(peak-st.peakAfter(rank, slot, c), first, second, Move{st.layer, rank, slot, x, c})
		st.undoMove(second)
		st.peak = peakAfterFirst
	}
	st.undoMove(first)
	st.peak = peak
}

// offerThroughBusy exchanges through a spare replica c on the busy rank: a partner x of e
// overwrites c, e takes the slot of x, and c may then take the old slot of e.
func (st *layerState) offerThroughBusy(busy, from, rank, spareSlot int, best *candidate) {
	peak := st.peak
	e, c := st.rankSlots(busy)[from], st.rankSlots(busy)[spareSlot]
	for _, slot := range st.partners {
		x := st.rankSlots(rank)[slot]
		if x == c {
			continue
		}
		first := st.applyMove(busy, spareSlot, x)
		second := st.applyMove(rank, slot, e)
		best.offer(peak-st.peak, first, second)
		best.offer(peak-st.peakAfter(busy, from, c), first, second, Move{st.layer, busy, from, e, c})
		st.undoMove(second)
		st.undoMove(first)
		st.peak = peak
	}
}

// undoMove reverses the latest move.
func (st *layerState) undoMove(mv Move) { st.applyMove(mv.Rank, mv.Slot, mv.From) }

// leastLoaded returns up to exchangeRanks ranks in ascending order of load, without one of
// them.
func (st *layerState) leastLoaded(except int) []int {
	ranks := make([]int, 0, st.s.Ranks)
	for r := range st.s.Ranks {
		if r != except {
			ranks = append(ranks, r)
		}
	}
	slices.SortFunc(ranks, func(a, b int) int { return cmp.Compare(st.load[a], st.load[b]) })
	return ranks[:min(exchangeRanks, len(ranks))]
}
