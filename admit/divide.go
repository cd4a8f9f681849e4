package admit

import (
	"math"
	"time"
)

// others is what the other entries of a subject have and want: those in the slots
// before an entry's own and after it.
type others struct {
	before, after sums
	turn          int
	// short is set when others hold some of a part that the entry could use, inTurns
	// when its part comes and goes with the turns.
	short, inTurns bool
}

// used is what the others may be using.
func (o *others) used() Amounts { return o.before.used.add(o.after.used) }

// entries is how many ask, with the entry itself.
func (o *others) entries() int { return o.before.asking + 1 + o.after.asking }

// portions are an entry's parts of a limit.
func (o *others) portions(limit Amounts, d Demand) Amounts {
	p, used := pool(limit), o.used()
	return Amounts{
		Requests:   o.portion(p.Requests, used.Requests, requestUnit(limit.Requests), false, d, requestsOf),
		Tokens:     o.portion(p.Tokens, used.Tokens, 0, false, d, tokensOf),
		Concurrent: o.portion(p.Concurrent, used.Concurrent, 1, true, d, concurrentOf),
	}
}

// portion is an entry's part of one measure, within what the others leave free.
// A part of less than a unit is of no use to it and is left to others.
func (o *others) portion(pool, used, unit float64, whole bool, d Demand, measure func(Amounts) float64) float64 {
	if measure(d.Wanted) <= 0 {
		return 0
	}
	if math.IsInf(pool, 1) {
		return pool
	}
	fair := o.fair(pool, unit, whole, measure(d.Wanted), measure)
	got := min(max(pool-used, 0), fair)
	if got < enoughPart*min(fair, measure(d.Wanted)) {
		o.short = true
	}
	if whole {
		got = math.Floor(got)
	}
	if got < unit*(1-rounding) {
		return 0
	}
	return got
}

// enoughPart of what an entry could use is enough: measured demands move by as much,
// and the rest comes with the next question.
const enoughPart = 0.8

// again is when the entry should ask again: soon if others hold some of its part, and
// when a turn ends.
func (o *others) again(since time.Duration, limit float64) time.Duration {
	again := renewAfter
	if o.short {
		again = shortAfter
	}
	if o.inTurns {
		length := turnLength(limit)
		again = min(again, length-since%length)
	}
	return max(again, ShareCheck)
}

// fair divides a pool by demand, above a base that each entry gets that asks.
func (o *others) fair(pool, unit float64, whole bool, demand float64, measure func(Amounts) float64) float64 {
	n := float64(o.entries())
	if units := math.Floor(pool / max(unit, math.SmallestNonzeroFloat32)); units < n {
		return o.inTurn(pool, max(units, 1))
	}
	base := min(max(unit, pool/n*minGrantPart), pool/n)
	before := measure(o.before.wanted)
	rest := (pool - base*n) / (before + demand + measure(o.after.wanted))
	part := base + rest*demand
	if !whole {
		return part
	}
	return o.wholePart(base*float64(o.before.asking)+rest*before, part)
}

// wholePart is an entry's part in whole units. The parts stand one behind the other
// from zero to the pool, and each has the units that begin in it; the units' grid
// moves with the turns, so that a part gets its fraction in that part of the turns.
// They sum to the pool, and none needs to know the others' fractions.
func (o *others) wholePart(start, part float64) float64 {
	shift := float64(o.turn%o.entries()) / float64(o.entries())
	return wholeUnits(start+part+shift) - wholeUnits(start+shift)
}

// wholeUnits rounds down what is not a whole number but for rounding errors.
func wholeUnits(v float64) float64 { return math.Floor(v + rounding*max(v, 1)) }

// inTurn gives the units of a limit that has too few for all that ask to some of
// them, and to others later. Parts smaller than a unit would serve nobody.
func (o *others) inTurn(pool, units float64) float64 {
	o.inTurns = true
	if float64(o.place()) >= units {
		return 0
	}
	return pool / units
}

// place is the entry's rank among those that ask, which moves on with the turns.
func (o *others) place() int { return (o.before.asking + o.turn) % o.entries() }

// turnAt counts the turns since the home began.
func turnAt(since time.Duration, limit float64) int { return int(since / turnLength(limit)) }

// turnLength is how long an entry keeps a unit. The whole of a limit below one
// request a second is held for two requests at least: what was saved up towards
// one is lost with the share.
func turnLength(limit float64) time.Duration {
	return max(turnTime, time.Duration(2/limit*float64(time.Second)))
}
