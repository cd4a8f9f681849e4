package lockstep

import (
	"cmp"
	"math"
	"slices"
)

// PlanSettings bound a plan.
type PlanSettings struct {
	// MinGain is the least skew that an expert which is copied must save in its
	// set: less is within the error of the estimate, and each copy slows the
	// passes while it is made. It is that of groups of gainRanks ranks, and less in
	// proportion in larger ones.
	MinGain float64
	// MaxPerRank is how many experts one rank may copy in a switch, over all sets,
	// while the skew is above Steep; 0 is no bound. A rank copies one after the other,
	// and until the last one is there all ranks run with the old map: a first switch
	// with the few copies that matter most comes in force sooner.
	MaxPerRank int
	Steep      float64
	// MaxPerRankEven is the same below Steep. Without a bound the last switch after a shift copied eight experts
	// a rank: for 0.7 s all ran with the old map, at a skew of 1.6 to 1.8 and with passes that copying makes
	// longer, and the next shift came as it was done. Switches of two copies a rank take 0.25 s each, and
	// the skew falls with each of them.
	MaxPerRankEven int
	// MinTotal is the least skew, averaged over the sets, that a switch must save.
	MinTotal float64
}

// DefaultPlanSettings are those of a control replica. With half the least gain a third
// more copies are made, with twice of it passes stay longer; on the played days of both
// users neither served callers better.
func DefaultPlanSettings() PlanSettings {
	return PlanSettings{MinGain: 0.025, MinTotal: 0.15, MaxPerRank: 1, Steep: 1.8, MaxPerRankEven: 2}
}

// gainRanks is the size of the groups for which MinGain was measured.
//
// A larger group has more ranks near the top, so that one copy gains less, and all of them
// copy at once, so that one more doesn't take longer. With the same least gain for each copy a
// group of 192 ranks stayed at a skew of 1.7 to 2.1 after a shift, where as many switches as
// in a group of 24 now bring it to 1.3.
const gainRanks = 24

// leastGain is the gain that a copy must have in a group of a size.
func (p *PlanSettings) leastGain(ranks int) float64 {
	return p.MinGain * min(1, gainRanks/float64(ranks))
}

const (
	// peakPower makes a sum of powers stand for the maximum, but also tell apart two
	// maps that differ only in the next busiest rank.
	peakPower = 16
	// partners is how many of the emptiest ranks are tried for each change.
	partners = 16
	// stepsPerRank bounds the search in one set.
	stepsPerRank = 3
)

// Proposal is a better map.
type Proposal struct {
	Map Map
	// Copies is how many experts ranks must copy.
	Copies int
	// Before and After are the skews by the estimate.
	Before, After float64
}

// Plan looks for a better map than the one in force, by the load of each expert and
// the pace of each rank; ok is false if none is worth its copies.
func Plan(s Shape, settings PlanSettings, current Map, load [][]float64, pace Pace) (p Proposal, ok bool) {
	p.Before = current.Skew(load, pace)
	if p.Before < 1+settings.MinTotal {
		// No map has a skew below one.
		return p, false
	}
	p.Map = current.Clone()
	if p.Before < settings.Steep {
		settings.MaxPerRank = settings.MaxPerRankEven
	}
	copies := make([]int, s.Ranks)
	var sets []*setState
	for set := range p.Map {
		if st := newSetState(s, settings, p.Map[set], load[set], pace); st != nil {
			st.set, st.perRank = set, copies
			sets = append(sets, st)
		}
	}
	search(sets)
	for _, st := range sets {
		p.Copies += st.copied
		st.restoreOrder()
		p.Map[st.set] = st.hold
	}
	p.After = p.Map.Skew(load, pace)
	return p, p.Before-p.After >= settings.MinTotal && p.Copies > 0
}

// search makes one change after the other, in the least even set first, so that ranks
// copy first what matters most.
func search(all []*setState) {
	sets := slices.Clone(all)
	for len(sets) > 0 {
		worst := slices.MaxFunc(sets, func(a, b *setState) int { return cmp.Compare(a.most, b.most) })
		best, ok := worst.best()
		worst.steps++
		if !ok || worst.steps > stepsPerRank*worst.s.Ranks {
			sets = slices.DeleteFunc(sets, func(st *setState) bool { return st == worst })
			continue
		}
		worst.keep(best)
	}
}

// setState is one set of a map while it is searched. Loads are scaled so that the
// mean rank has 1; that of a slow rank counts as many times as it takes longer.
type setState struct {
	s        Shape
	settings PlanSettings
	pace     Pace
	load     []float64
	hold     [][]uint32
	// base is what each rank held before the search; taking one of these back is
	// no copy.
	base    [][]uint32
	holders [][]int
	ranks   []float64
	// power is the sum of the ranks' loads to the peakPower. It is kept up while changes
	// are tried: summed anew for each of them, plans of 192 ranks took three times as long.
	power float64
	// most is the load of the busiest rank.
	most   float64
	copied int
	set    int
	steps  int
	// perRank counts the copies of each rank over all sets.
	perRank []int
}

// newSetState returns nil for a set without any load.
func newSetState(s Shape, settings PlanSettings, hold [][]uint32, load []float64, pace Pace) *setState {
	total := 0.0
	for _, v := range load {
		total += v
	}
	if total <= 0 {
		return nil
	}
	st := &setState{s: s, settings: settings, pace: pace, load: make([]float64, len(load)), hold: hold, holders: make([][]int, len(load)), ranks: make([]float64, len(hold))}
	for e, v := range load {
		st.load[e] = v * float64(s.Ranks) / total
	}
	for r, experts := range hold {
		st.base = append(st.base, slices.Clone(experts))
		for _, e := range experts {
			st.holders[e] = append(st.holders[e], r)
		}
	}
	for r, experts := range hold {
		for _, e := range experts {
			st.ranks[r] += st.each(e) * pace.of(r)
		}
	}
	st.sum()
	return st
}

func (st *setState) each(e uint32) float64 { return st.load[e] / float64(len(st.holders[e])) }

// nobody is the rank of a change that puts nothing anywhere.
const nobody = -1

// change puts expert in onto a rank, in place of expert out if that is not none. A
// swap also puts out onto the busy rank in place of in; with leaves the busy rank
// drops in and gets nothing for it.
type change struct {
	rank, busy int
	in, out    uint32
	replaces   bool
	swap       bool
	leaves     bool
	copies     int
	gain       float64
}

// keep makes a change for good.
func (st *setState) keep(c change) {
	if c.rank != nobody {
		st.perRank[c.rank] += st.cost(c.rank, c.in)
	}
	if c.swap {
		st.perRank[c.busy] += st.cost(c.busy, c.out)
	}
	st.apply(c)
	// What was rounded off while changes were tried must not add up.
	st.sum()
	st.copied += c.copies
}

// best is the change that relieves the busiest rank most for each copy, if any gains
// enough.
func (st *setState) best() (best change, ok bool) {
	busy := st.busiest()
	// Trials change the lists and change them back, in another order.
	held := slices.Clone(st.hold[busy])
	slow := st.pace.of(busy) > 1
	for _, e := range held {
		if slow && len(st.holders[e]) > 1 {
			st.try(change{rank: nobody, busy: busy, in: e, leaves: true}, &best)
		}
	}
	for _, r := range st.emptiest(busy) {
		for _, e := range held {
			if !slices.Contains(st.hold[r], e) {
				st.offer(change{rank: r, busy: busy, in: e}, &best)
				if slow {
					st.offer(change{rank: r, busy: busy, in: e, leaves: true}, &best)
				}
			}
		}
	}
	return best, best.gain > 0
}

// offer tries all ways of making a change that takes work for an expert of the busy
// rank to another.
func (st *setState) offer(c change, best *change) {
	if len(st.hold[c.rank]) < st.s.Places {
		st.try(c, best)
	}
	c.replaces = true
	for _, x := range slices.Clone(st.hold[c.rank]) {
		c.out = x
		if len(st.holders[x]) > 1 {
			st.try(c, best)
		}
		if !c.leaves && !slices.Contains(st.hold[c.busy], x) && st.each(x) < st.each(c.in) {
			swap := c
			swap.swap = true
			st.try(swap, best)
		}
	}
}

// try keeps a change if it is allowed and gains more for its copies than the best.
func (st *setState) try(c change, best *change) {
	if c.rank != nobody {
		c.copies = st.cost(c.rank, c.in)
		if st.over(c.rank, c.in) {
			return
		}
	}
	if c.swap {
		c.copies += st.cost(c.busy, c.out)
		if st.over(c.busy, c.out) {
			return
		}
	}
	before, power := st.peak(), st.power
	st.apply(c)
	gain := before - st.peak()
	st.undo(c)
	st.power = power
	if gain < st.settings.leastGain(st.s.Ranks)*float64(max(c.copies, 1)) {
		return
	}
	c.gain = gain / float64(max(c.copies, 1))
	if c.gain > best.gain {
		*best = c
	}
}

// restoreOrder gives ranks that hold what they held before the search the same list: trials
// change the order, and a map is told as what differs from the one before.
func (st *setState) restoreOrder() {
	for r, experts := range st.hold {
		if len(experts) == len(st.base[r]) && !slices.ContainsFunc(experts, func(e uint32) bool { return st.cost(r, e) > 0 }) {
			st.hold[r] = st.base[r]
		}
	}
}

// cost is 1 if a rank would have to copy an expert.
func (st *setState) cost(r int, e uint32) int {
	if slices.Contains(st.base[r], e) {
		return 0
	}
	return 1
}

// over says whether another new expert is more than a rank may copy in one switch.
func (st *setState) over(r int, e uint32) bool {
	if st.cost(r, e) == 0 {
		return false
	}
	if m := st.settings.MaxPerRank; m > 0 && st.perRank[r] >= m {
		return true
	}
	fresh := 0
	for _, x := range st.hold[r] {
		fresh += st.cost(r, x)
	}
	return fresh >= st.s.Spare
}

// peak is close to the busiest rank's load.
func (st *setState) peak() float64 { return math.Pow(st.power, 1.0/peakPower) }

// sum makes power and most from the ranks' loads.
func (st *setState) sum() {
	st.power, st.most = 0, 0
	for _, v := range st.ranks {
		st.power += powered(v)
		st.most = max(st.most, v)
	}
}

// powered is v to the peakPower.
func powered(v float64) float64 {
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
	if c.rank != nobody {
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
	if c.rank != nobody {
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

// add and drop change who holds an expert. An expert may have no holder between the
// two halves of a swap.
func (st *setState) add(r int, e uint32) {
	st.share(e, -1)
	st.hold[r] = append(st.hold[r], e)
	st.holders[e] = append(st.holders[e], r)
	st.share(e, 1)
}

func (st *setState) drop(r int, e uint32) {
	st.share(e, -1)
	st.hold[r] = remove(st.hold[r], e)
	st.holders[e] = remove(st.holders[e], r)
	st.share(e, 1)
}

// share adds an expert's load to its holders, or takes it off them.
func (st *setState) share(e uint32, sign float64) {
	for _, r := range st.holders[e] {
		before := st.ranks[r]
		st.ranks[r] += sign * st.each(e) * st.pace.of(r)
		st.power += powered(st.ranks[r]) - powered(before)
	}
}

func remove[T comparable](list []T, v T) []T {
	i := slices.Index(list, v)
	return slices.Delete(list, i, i+1)
}

func (st *setState) busiest() int {
	best := 0
	for r, v := range st.ranks {
		if v > st.ranks[best] {
			best = r
		}
	}
	return best
}

// emptiest returns the ranks with the least load, but for one. Of hundreds of ranks only a
// few are wanted: sorting all of them was a third of a plan's time.
func (st *setState) emptiest(except int) []int {
	list := make([]int, 0, partners+1)
	for r, v := range st.ranks {
		if r == except || len(list) == partners && v >= st.ranks[list[partners-1]] {
			continue
		}
		at := len(list)
		for at > 0 && st.ranks[list[at-1]] > v {
			at--
		}
		list = slices.Insert(list, at, r)
		list = list[:min(partners, len(list))]
	}
	return list
}
