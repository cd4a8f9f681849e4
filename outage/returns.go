package outage

import "time"

// minRateTime is the least time over which the rate of returning callers is measured. Over less the
// first few would stand for a flood.
const minRateTime = 500 * time.Millisecond

// Returns counts the callers of a service that come back after an outage, by priority, and orders
// them, so that they can be spread over the time that its groups need to admit them.
//
// It guards against all callers of an outage coming back at the same moment. Each gateway orders
// its own callers at random and has its share of the slots, so that those of all gateways together
// come evenly, however many gateways there are.
type Returns struct {
	// downSince identifies the outage, and since is when the first caller was told to come back.
	downSince, since time.Time
	counts           map[uint32]int
}

// Record counts a caller that has been told to come back after the recovery.
func (r *Returns) Record(now time.Time, f Forecast, priority uint32) {
	if r.counts == nil || !f.DownSince.Equal(r.downSince) {
		*r = Returns{downSince: f.DownSince, since: now, counts: map[uint32]int{}}
	}
	r.counts[priority]++
}

// Position returns how many callers are to come back before another one. The most urgent come first,
// and those of one priority in random order. random is in [0, 1).
func (r *Returns) Position(now time.Time, f Forecast, priority uint32, random float64) float64 {
	before, own := 0.0, 1.0
	if f.DownSince.Equal(r.downSince) {
		for p := range r.counts {
			switch {
			case p < priority:
				before += r.expected(now, f, p)
			case p == priority:
				own += r.expected(now, f, p)
			}
		}
	}
	return before + random*own
}

// expected returns how many callers of a priority are told to come back until the recovery, if they
// keep coming at the rate so far.
func (r *Returns) expected(now time.Time, f Forecast, priority uint32) float64 {
	count := float64(r.counts[priority])
	soFar := max(now.Sub(r.since), minRateTime).Seconds()
	return count * max(f.Expected.Sub(r.since).Seconds()/soFar, 1)
}
