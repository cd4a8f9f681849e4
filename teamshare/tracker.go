package teamshare

import "time"

const (
	// contendedFor is how long a service counts as contended after a request was queued or refused.
	contendedFor = 2 * time.Second
	// totalsLifetime is how long the sums over all gateways are used. Demands of teams change slowly
	// against it, and a replica that is lost is replaced by the next one within a second.
	totalsLifetime = 5 * time.Second
	// idleAfter is how long a service without requests is remembered.
	idleAfter = 30 * time.Second
)

// Sources of the sums that shares are computed from.
const (
	sourceNone   = ""
	sourceTotals = "all-gateways"
	sourceOwn    = "own-counts"
)

// tracker tracks one service at a gateway. It isn't safe for concurrent use.
type tracker struct {
	counter Counter
	// lastAt is the time of the last event, contendedAt that of the last sign of contention.
	lastAt, contendedAt time.Time
	// reportedAt is when the service was last reported.
	reportedAt time.Time
	replicas   replicaOrder
	// totals are the latest sums, gathered at totalsAt; nil if there are none.
	totals   []Demand
	totalsAt time.Time
	// source says what the shares in force are computed from.
	source string
}

// contended reports whether requests have been queued or refused lately.
func (t *tracker) contended(now time.Time) bool {
	return !t.contendedAt.IsZero() && now.Sub(t.contendedAt) < contendedFor
}

// markContended records a sign of contention, and reports whether it is the first one.
func (t *tracker) markContended(now time.Time) (began bool) {
	began = !t.contended(now)
	t.contendedAt = now
	return began
}

// reportDue reports whether the service is to be reported now. As contention of another service may begin at
// any time, this is asked more often than once in reportInterval; half of it allows for late ticks.
func (t *tracker) reportDue(now time.Time) bool {
	return t.contended(now) && now.Sub(t.reportedAt) >= reportInterval/2
}

// setTotals records sums that are as old as age.
func (t *tracker) setTotals(now time.Time, age time.Duration, totals []Demand) {
	t.totals, t.totalsAt = totals, now.Add(-age)
}

// shares returns the shares to use from now on; nil if the service isn't contended. gateways is the number
// of gateways.
func (t *tracker) shares(now time.Time, gateways int) *Shares {
	t.source = sourceNone
	if !t.contended(now) {
		t.totals = nil
		return nil
	}
	if t.totals != nil && now.Sub(t.totalsAt) < totalsLifetime {
		t.source = sourceTotals
		return NewShares(t.totals)
	}
	// That all gateways count the same changes nothing in the shares but the level. The counts aren't
	// scaled up, as they would seem to vary less than they do.
	t.source = sourceOwn
	s := NewShares(t.counter.Recent(now))
	s.scale(gateways)
	return s
}
