package admit

import (
	"math"
	"time"
)

// peers is the demand and use of the other entries of a subject, split into those in the
// slots before the entry's own and after it.
type peers struct {
	before, after totals
	// turn is the current rotation turn; see turnAt.
	turn int
	// contended is set when others still use a part that the entry could use, rotating when
	// the entry's part comes and goes with the turns.
	contended, rotating bool
}

// used returns what the others may be using.
func (p *peers) used() Amounts { return p.before.used.add(p.after.used) }

// askingEntries returns how many entries ask for a share, including the entry itself.
func (p *peers) askingEntries() int { return p.before.askers + 1 + p.after.askers }

// portions returns the entry's part of each measure of a limit.
func (p *peers) portions(limit Amounts, d Demand) Amounts {
	avail, used := grantable(limit), p.used()
	return Amounts{
		Requests:   p.portion(avail.Requests, used.Requests, minRequestShare(limit.Requests), false, d, requestsOf),
		Tokens:     p.portion(avail.Tokens, used.Tokens, 0, false, d, tokensOf),
		Concurrent: p.portion(avail.Concurrent, used.Concurrent, 1, true, d, concurrentOf),
	}
}

// portion returns the entry's part of one measure, within what the others leave free. A
// part smaller than unit serves no request and is left to others.
func (p *peers) portion(pool, used, unit float64, whole bool, d Demand, measure func(Amounts) float64) float64 {
	if measure(d.Wanted) <= 0 {
		return 0
	}
	if math.IsInf(pool, 1) {
		return pool
	}
	fair := p.fairPortion(pool, unit, whole, measure(d.Wanted), measure)
	granted := min(max(pool-used, 0), fair)
	if granted < sufficientFraction*min(fair, measure(d.Wanted)) {
		p.contended = true
	}
	if whole {
		granted = math.Floor(granted)
	}
	if granted < unit*(1-roundingTolerance) {
		return 0
	}
	return granted
}

// sufficientFraction of what an entry could use is enough to wait for the next regular
// renewal: measured demands vary by as much.
const sufficientFraction = 0.8

// renewInterval returns when the entry should ask again: soon if others use some of its
// part, and when a turn ends.
func (p *peers) renewInterval(since time.Duration, limit float64) time.Duration {
	interval := renewAfter
	if p.contended {
		interval = contendedRenewAfter
	}
	if p.rotating {
		length := turnLength(limit)
		interval = min(interval, length-since%length)
	}
	return max(interval, ShareCheckInterval)
}

// fairPortion returns the entry's part of a pool that is divided in proportion to demand,
// above a base for each entry that asks.
func (p *peers) fairPortion(pool, unit float64, whole bool, demand float64, measure func(Amounts) float64) float64 {
	n := float64(p.askingEntries())
	if units := math.Floor(pool / max(unit, math.SmallestNonzeroFloat32)); units < n {
		return p.rotatingPortion(pool, max(units, 1))
	}
	base := min(max(unit, pool/n*minGrantFraction), pool/n)
	before := measure(p.before.wanted)
	rest := (pool - base*n) / (before + demand + measure(p.after.wanted))
	part := base + rest*demand
	if !whole {
		return part
	}
	return p.wholePortion(base*float64(p.before.askers)+rest*before, part)
}

// wholePortion returns the entry's part in whole units. The parts are laid end to end from
// zero to the pool, and each gets the units that begin in it. The grid of units shifts with
// the turns, so that over all turns each part gets its fraction on average. In each turn
// the whole parts sum to the pool.
func (p *peers) wholePortion(start, part float64) float64 {
	shift := float64(p.turn%p.askingEntries()) / float64(p.askingEntries())
	return wholeUnits(start+part+shift) - wholeUnits(start+shift)
}

// wholeUnits rounds down to a whole number, tolerating rounding errors.
func wholeUnits(v float64) float64 { return math.Floor(v + roundingTolerance*max(v, 1)) }

// rotatingPortion returns the entry's part of a pool that has fewer units than entries that
// ask. In each turn, some of the entries get a unit each: parts smaller than a unit would
// serve no request.
func (p *peers) rotatingPortion(pool, units float64) float64 {
	p.rotating = true
	if float64(p.rotationRank()) >= units {
		return 0
	}
	return pool / units
}

// rotationRank returns the entry's rank among those that ask, which advances with the
// turns.
func (p *peers) rotationRank() int { return (p.before.askers + p.turn) % p.askingEntries() }

// turnAt returns the number of turns since the allocator began to grant.
func turnAt(since time.Duration, limit float64) int { return int(since / turnLength(limit)) }

// turnLength returns how long an entry keeps a unit. A limit below one request per second
// is held for at least two requests' time, since tokens accumulated towards a request are
// lost with the share.
func turnLength(limit float64) time.Duration {
	return max(minTurnLength, time.Duration(2/limit*float64(time.Second)))
}
