package outage

import "time"

const (
	// minRateTime is the least time over which the rate of returning callers is measured. Over less
	// the first few would stand for a flood.
	minRateTime = 500 * time.Millisecond
	// maxSpread bounds the time over which returning callers are spread.
	maxSpread = 5 * time.Second
)

// Returns counts the callers of a service that come back after an outage, by priority, and spreads
// them over the time that its groups need to admit them.
//
// It guards against all callers of an outage coming back at the same moment. Each gateway spreads
// its own callers at random over the same parts of that time, so that those of all gateways
// together come evenly, however many gateways there are.
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

// Offset returns how long after the recovery a caller is to come back. The most urgent come first,
// and those of one priority at random within its part of the time. perSecond is how many of this
// gateway's requests the groups admit a second after the recovery, and random is in [0, 1).
func (r *Returns) Offset(now time.Time, f Forecast, priority uint32, perSecond, random float64) time.Duration {
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
	seconds := (before + random*own) / max(perSecond, 1)
	return time.Duration(min(seconds, maxSpread.Seconds()) * float64(time.Second))
}

// expected returns how many callers of a priority are told to come back until the recovery, if they
// keep coming at the rate so far.
func (r *Returns) expected(now time.Time, f Forecast, priority uint32) float64 {
	count := float64(r.counts[priority])
	so := max(now.Sub(r.since), minRateTime).Seconds()
	return count * max(f.Expected.Sub(r.since).Seconds()/so, 1)
}
