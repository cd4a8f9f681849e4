package admit

import (
	"math"
	"time"
)

// others is what the other entries of a subject have and want.
type others struct {
	used    Amounts
	demands []Amounts
	// rank is the entry's place among those that ask, by ID.
	rank, turn int
}

func othersOf(now time.Time, byEntry map[string]*account, entry string) *others {
	o := &others{}
	for id, acc := range byEntry {
		if id == entry {
			continue
		}
		o.used = o.used.add(acc.live(now))
		if !acc.asking(now) {
			continue
		}
		o.demands = append(o.demands, acc.demand)
		if id < entry {
			o.rank++
		}
	}
	return o
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
	if whole {
		got = math.Floor(got)
	}
	if got < unit*(1-rounding) {
		return 0
	}
	return got
}

// fair divides a pool by demand, above a base that each entry gets that asks.
func (o *others) fair(pool, unit float64, whole bool, demand float64, measure func(Amounts) float64) float64 {
	n := float64(len(o.demands) + 1)
	if units := math.Floor(pool / max(unit, math.SmallestNonzeroFloat32)); units < n {
		return o.inTurn(pool, max(units, 1))
	}
	base := min(max(unit, pool/n*minGrantPart), pool/n)
	total := demand
	for _, other := range o.demands {
		total += measure(other)
	}
	part := func(demand float64) float64 { return base + (pool-base*n)*demand/total }
	if !whole {
		return part(demand)
	}
	left := pool - math.Floor(part(demand))
	for _, other := range o.demands {
		left -= math.Floor(part(measure(other)))
	}
	if float64(o.place()) < left {
		return math.Floor(part(demand)) + 1
	}
	return math.Floor(part(demand))
}

// inTurn gives the units of a limit that has too few for all that ask to some of
// them, and to others later. Parts smaller than a unit would serve nobody.
func (o *others) inTurn(pool, units float64) float64 {
	if float64(o.place()) >= units {
		return 0
	}
	return pool / units
}

// place is the entry's rank, which moves on with the turns.
func (o *others) place() int { return (o.rank + o.turn) % (len(o.demands) + 1) }

// turnAt counts the turns since the home began. The whole of a limit below one
// request a second is held for two requests at least: what was saved up towards
// one is lost with the share.
func turnAt(since time.Duration, limit float64) int {
	length := max(turnTime.Seconds(), 2/limit)
	return int(since.Seconds() / length)
}
