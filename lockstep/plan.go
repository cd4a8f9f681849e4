package lockstep

import (
	"cmp"
	"math"
	"slices"
)

// PlanSettings bounds a plan.
type PlanSettings struct {
	// MinGain is the least skew that each copied expert must save in its set, for groups of up
	// to referenceRanks ranks; see minCopyGain for larger ones. Smaller gains are within the
	// error of the estimate, and passes are slower during a copy.
	MinGain float64
	// MaxCopiesHighSkew bounds the experts that one rank copies in a switch, over all sets,
	// while the skew is at least HighSkew; 0 means no bound. A rank copies one expert at a
	// time, and the old map stays in use until the last copy is done. So a high skew falls
	// sooner with few copies per switch.
	MaxCopiesHighSkew int
	HighSkew          float64
	// MaxCopiesLowSkew replaces MaxCopiesHighSkew below HighSkew.
	MaxCopiesLowSkew int
	// MinTotalGain is the least skew, averaged over the sets, that a switch must save.
	MinTotalGain float64
}

// DefaultPlanSettings returns the settings that control replicas use.
func DefaultPlanSettings() PlanSettings {
	return PlanSettings{MinGain: 0.025, MinTotalGain: 0.15, MaxCopiesHighSkew: 1, HighSkew: 1.8, MaxCopiesLowSkew: 2}
}

// referenceRanks is the group size up to which MinGain applies unchanged.
const referenceRanks = 24

// minCopyGain returns the gain that each copy must have in a group of a given size. In larger
// groups more ranks are close to the busiest one, so a single copy gains less, while copies on
// different ranks run in parallel.
func (p *PlanSettings) minCopyGain(ranks int) float64 {
	return p.MinGain * min(1, referenceRanks/float64(ranks))
}

const (
	// peakPower is the exponent of the power sum that approximates the load of the busiest
	// rank. Unlike the maximum it also distinguishes two maps that differ only in the next
	// busiest rank.
	peakPower = 16
	// maxTargets is the number of least loaded ranks that are tried as the target of a change.
	maxTargets = 16
	// maxStepsPerRank bounds the search in one set, relative to the number of ranks.
	maxStepsPerRank = 3
)

// Proposal is a map that improves on the current one.
type Proposal struct {
	Map Map
	// Copies is the number of experts that ranks must copy.
	Copies int
	// SkewBefore and SkewAfter are the skews of the current and the proposed map under the
	// estimated load.
	SkewBefore, SkewAfter float64
}

// Plan looks for a better map than the current one, given the load of each expert and the
// slowdown of each rank. ok is false if the improvement is below MinTotalGain or no expert would
// be copied.
func Plan(s Shape, settings PlanSettings, current Map, load [][]float64, slowdown Slowdown) (p Proposal, ok bool) {
	p.SkewBefore = current.Skew(load, slowdown)
	if p.SkewBefore < 1+settings.MinTotalGain {
		// The skew of a map is at least 1, so MinTotalGain can't be saved.
		return p, false
	}
	p.Map = current.Clone()
	if p.SkewBefore < settings.HighSkew {
		settings.MaxCopiesHighSkew = settings.MaxCopiesLowSkew
	}
	copies := make([]int, s.Ranks)
	var sets []*setState
	for set := range p.Map {
		if st := newSetState(s, settings, p.Map[set], load[set], slowdown); st != nil {
			st.set, st.rankCopies = set, copies
			sets = append(sets, st)
		}
	}
	improveSets(sets)
	for _, st := range sets {
		p.Copies += st.setCopies
		st.restoreOrder()
		p.Map[st.set] = st.held
	}
	p.SkewAfter = p.Map.Skew(load, slowdown)
	return p, p.SkewBefore-p.SkewAfter >= settings.MinTotalGain && p.Copies > 0
}

// improveSets makes one change at a time in the set with the highest skew, so that the copies
// that the limits per rank allow go where they matter most.
func improveSets(all []*setState) {
	sets := slices.Clone(all)
	for len(sets) > 0 {
		steepest := slices.MaxFunc(sets, func(a, b *setState) int { return cmp.Compare(a.maxLoad, b.maxLoad) })
		best, ok := steepest.bestChange()
		steepest.steps++
		if !ok || steepest.steps > maxStepsPerRank*steepest.s.Ranks {
			sets = slices.DeleteFunc(sets, func(st *setState) bool { return st == steepest })
			continue
		}
		steepest.commit(best)
	}
}

// setState is the state of the search in one set. Loads are scaled so that the mean rank has
// load 1; that of a slow rank is multiplied by its slowdown.
type setState struct {
	s        Shape
	settings PlanSettings
	slowdown Slowdown
	// load is that of each expert, held lists the experts of each rank.
	load []float64
	held [][]uint32
	// base lists what each rank held before the search. A rank that gets such an expert back
	// needs no copy.
	base [][]uint32
	// holders lists the ranks of each expert, rankLoad the load of each rank.
	holders  [][]int
	rankLoad []float64
	// power is the sum of the ranks' loads to the power of peakPower. It is updated
	// incrementally, because summing it for every tried change is expensive in large groups.
	power float64
	// maxLoad is the load of the busiest rank as of the last change that was made.
	maxLoad float64
	// setCopies counts the copies in this set.
	setCopies int
	set       int
	steps     int
	// rankCopies counts the copies of each rank, shared by all sets.
	rankCopies []int
}

// newSetState returns nil for a set without load.
func newSetState(s Shape, settings PlanSettings, held [][]uint32, load []float64, slowdown Slowdown) *setState {
	total := 0.0
	for _, v := range load {
		total += v
	}
	if total <= 0 {
		return nil
	}
	st := &setState{s: s, settings: settings, slowdown: slowdown, load: make([]float64, len(load)), held: held, holders: make([][]int, len(load)), rankLoad: make([]float64, len(held))}
	for e, v := range load {
		st.load[e] = v * float64(s.Ranks) / total
	}
	for r, experts := range held {
		st.base = append(st.base, slices.Clone(experts))
		for _, e := range experts {
			st.holders[e] = append(st.holders[e], r)
		}
	}
	for r, experts := range held {
		for _, e := range experts {
			st.rankLoad[r] += st.replicaLoad(e) * slowdown.of(r)
		}
	}
	st.recompute()
	return st
}

// replicaLoad returns the load of an expert on each rank that holds it.
func (st *setState) replicaLoad(e uint32) float64 { return st.load[e] / float64(len(st.holders[e])) }

// noRank is the target of a change that only drops an expert.
const noRank = -1

// change puts expert in, which the busy rank holds, onto a rank. With replaces it takes the
// place of expert out there. With swap the busy rank gets out in return for in; with leaves it
// drops in without a replacement. gain is the decrease of the peak per copy.
type change struct {
	rank, busy int
	in, out    uint32
	replaces   bool
	swap       bool
	leaves     bool
	copies     int
	gain       float64
}

// commit makes a change permanently.
func (st *setState) commit(c change) {
	if c.rank != noRank {
		st.rankCopies[c.rank] += st.copyCost(c.rank, c.in)
	}
	if c.swap {
		st.rankCopies[c.busy] += st.copyCost(c.busy, c.out)
	}
	st.apply(c)
	// Rounding errors of tried changes must not accumulate.
	st.recompute()
	st.setCopies += c.copies
}

// bestChange returns the change that lowers the peak most per copy. ok is false if none gains
// enough.
func (st *setState) bestChange() (best change, ok bool) {
	busy := st.busiest()
	// Undoing a tried change may reorder the lists, so iterate over a copy.
	onBusy := slices.Clone(st.held[busy])
	slow := st.slowdown.of(busy) > 1
	for _, e := range onBusy {
		if slow && len(st.holders[e]) > 1 {
			st.tryChange(change{rank: noRank, busy: busy, in: e, leaves: true}, &best)
		}
	}
	for _, r := range st.leastLoaded(busy) {
		for _, e := range onBusy {
			if !slices.Contains(st.held[r], e) {
				st.tryVariants(change{rank: r, busy: busy, in: e}, &best)
				if slow {
					st.tryVariants(change{rank: r, busy: busy, in: e, leaves: true}, &best)
				}
			}
		}
	}
	return best, best.gain > 0
}

// tryVariants tries all variants of a change that puts an expert of the busy rank onto another
// rank.
func (st *setState) tryVariants(c change, best *change) {
	if len(st.held[c.rank]) < st.s.Places {
		st.tryChange(c, best)
	}
	c.replaces = true
	for _, x := range slices.Clone(st.held[c.rank]) {
		c.out = x
		if len(st.holders[x]) > 1 {
			st.tryChange(c, best)
		}
		if !c.leaves && !slices.Contains(st.held[c.busy], x) && st.replicaLoad(x) < st.replicaLoad(c.in) {
			swap := c
			swap.swap = true
			st.tryChange(swap, best)
		}
	}
}

// tryChange replaces best by a change that is within the copy limits and gains more per copy. A
// change without copies counts as one.
func (st *setState) tryChange(c change, best *change) {
	if c.rank != noRank {
		c.copies = st.copyCost(c.rank, c.in)
		if st.exceedsLimit(c.rank, c.in) {
			return
		}
	}
	if c.swap {
		c.copies += st.copyCost(c.busy, c.out)
		if st.exceedsLimit(c.busy, c.out) {
			return
		}
	}
	peakBefore, powerBefore := st.peak(), st.power
	st.apply(c)
	gain := peakBefore - st.peak()
	st.undo(c)
	st.power = powerBefore
	if gain < st.settings.minCopyGain(st.s.Ranks)*float64(max(c.copies, 1)) {
		return
	}
	c.gain = gain / float64(max(c.copies, 1))
	if c.gain > best.gain {
		*best = c
	}
}

// restoreOrder restores the original list of each rank that holds the same experts as before
// the search. Tried changes reorder the lists, and maps are encoded as the lists that differ.
func (st *setState) restoreOrder() {
	for r, experts := range st.held {
		if len(experts) == len(st.base[r]) && !slices.ContainsFunc(experts, func(e uint32) bool { return st.copyCost(r, e) > 0 }) {
			st.held[r] = st.base[r]
		}
	}
}

// copyCost returns 1 if a rank would have to copy an expert, otherwise 0.
func (st *setState) copyCost(r int, e uint32) int {
	if slices.Contains(st.base[r], e) {
		return 0
	}
	return 1
}

// exceedsLimit reports whether another expert would exceed the copies that a rank may make in
// one switch.
func (st *setState) exceedsLimit(r int, e uint32) bool {
	if st.copyCost(r, e) == 0 {
		return false
	}
	if limit := st.settings.MaxCopiesHighSkew; limit > 0 && st.rankCopies[r] >= limit {
		return true
	}
	copies := 0
	for _, x := range st.held[r] {
		copies += st.copyCost(r, x)
	}
	return copies >= st.s.Spare
}

// peak approximates the load of the busiest rank.
func (st *setState) peak() float64 { return math.Pow(st.power, 1.0/peakPower) }

// recompute derives power and maxLoad from the ranks' loads.
func (st *setState) recompute() {
	st.power, st.maxLoad = 0, 0
	for _, v := range st.rankLoad {
		st.power += toPeakPower(v)
		st.maxLoad = max(st.maxLoad, v)
	}
}

// toPeakPower returns v to the power of peakPower.
func toPeakPower(v float64) float64 {
	v *= v
	v *= v
	v *= v
	return v * v
}

func (st *setState) apply(c change) {
	if c.swap {
		st.drop(c.busy, c.in)
		st.add(c.busy, c.out)
	}
	if c.replaces {
		st.drop(c.rank, c.out)
	}
	if c.rank != noRank {
		st.add(c.rank, c.in)
	}
	if c.leaves {
		st.drop(c.busy, c.in)
	}
}

func (st *setState) undo(c change) {
	if c.leaves {
		st.add(c.busy, c.in)
	}
	if c.rank != noRank {
		st.drop(c.rank, c.in)
	}
	if c.replaces {
		st.add(c.rank, c.out)
	}
	if c.swap {
		st.drop(c.busy, c.out)
		st.add(c.busy, c.in)
	}
}

// add makes a rank hold an expert. An expert may temporarily have no holder during a swap.
func (st *setState) add(r int, e uint32) {
	st.addReplicaLoad(e, -1)
	st.held[r] = append(st.held[r], e)
	st.holders[e] = append(st.holders[e], r)
	st.addReplicaLoad(e, 1)
}

func (st *setState) drop(r int, e uint32) {
	st.addReplicaLoad(e, -1)
	st.held[r] = remove(st.held[r], e)
	st.holders[e] = remove(st.holders[e], r)
	st.addReplicaLoad(e, 1)
}

// addReplicaLoad adds sign times an expert's load per replica to the load of its holders.
func (st *setState) addReplicaLoad(e uint32, sign float64) {
	for _, r := range st.holders[e] {
		before := st.rankLoad[r]
		st.rankLoad[r] += sign * st.replicaLoad(e) * st.slowdown.of(r)
		st.power += toPeakPower(st.rankLoad[r]) - toPeakPower(before)
	}
}

func remove[T comparable](list []T, v T) []T {
	i := slices.Index(list, v)
	return slices.Delete(list, i, i+1)
}

func (st *setState) busiest() int {
	best := 0
	for r, v := range st.rankLoad {
		if v > st.rankLoad[best] {
			best = r
		}
	}
	return best
}

// leastLoaded returns up to maxTargets ranks in ascending order of load, without one of them.
// It avoids sorting all ranks of a large group, which took a third of a plan's time.
func (st *setState) leastLoaded(except int) []int {
	list := make([]int, 0, maxTargets+1)
	for r, v := range st.rankLoad {
		if r == except || len(list) == maxTargets && v >= st.rankLoad[list[maxTargets-1]] {
			continue
		}
		at := len(list)
		for at > 0 && st.rankLoad[list[at-1]] > v {
			at--
		}
		list = slices.Insert(list, at, r)
		list = list[:min(maxTargets, len(list))]
	}
	return list
}
