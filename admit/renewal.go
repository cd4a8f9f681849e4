package admit

import (
	"math"
	"time"
)

// An entry asks the allocator to renew a share when its grant is about to expire, when the
// allocator told it to, when its demand has changed, and when it has something to give back.
// Asking for every subject in every half second would dominate the cost of limits.
const (
	// minAskInterval is the shortest time between two demands for a subject, however fast
	// its demand changes.
	minAskInterval = ShareCheckInterval
	// askBatchWindow lets demands that become due within it be sent along with one that is
	// due.
	askBatchWindow = 750 * time.Millisecond
	// changeFraction is the relative change of a demand, beyond random variation, that is
	// reported early.
	changeFraction = 0.25
	// noiseSigmas is how many standard deviations of a count are taken for random
	// variation.
	noiseSigmas = 2
	// minRequestRate is the rate, in requests per second, below which a subject asks for no
	// share.
	minRequestRate = 0.05
	// idleTimeout is how long a subject without requests is kept. A bucket starts empty, so
	// dropping and recreating a subject gains nothing.
	idleTimeout = 10 * time.Second
	// A share is released once inactiveRequests would have arrived at the latest rate and
	// inactivePauses times the longest recent pause between requests has passed, but not
	// before inactiveMin and not after inactiveMax.
	inactiveRequests = 8
	inactivePauses   = 2
	inactiveMin      = 200 * time.Millisecond
	inactiveMax      = 2 * time.Second
)

// renewal is the state of an entry's demands for one subject.
type renewal struct {
	demand Demand
	sentAt time.Time
	// answeredSentAt is when the demand that was answered last was sent. askBy is when to
	// ask again at the latest, as told by that answer.
	answeredSentAt, askBy time.Time
	// stale is set when the grant was made for another version of the limit, or for a
	// shorter timeout than a request needs.
	stale bool
	// reduced is set by a grant that is smaller than the one before. The allocator counts the
	// larger one until the new epoch is acknowledged.
	reduced bool
}

func (q *renewal) recordAnswer(sent time.Time, g Share, before Amounts) {
	q.answeredSentAt = sent
	again := g.RenewAfter
	if again <= 0 {
		// A leader of an earlier release doesn't send RenewAfter.
		again = ShareRetryInterval
	}
	q.askBy = sent.Add(again)
	q.reduced = significantlyLess(g.Amounts, before)
}

// significantlyLess reports whether a is so much smaller than before in any measure that
// other entries can use the difference.
func significantlyLess(a, before Amounts) bool {
	less := func(a, b float64) bool { return a < b*(1-changeFraction/2) }
	return less(a.Requests, before.Requests) || less(a.Tokens, before.Tokens) || less(a.Concurrent, before.Concurrent)
}

// due reports whether the allocator must be asked for the subject now.
func (loc *localShare) due(now time.Time, d Demand) bool {
	q := &loc.renewal
	since := now.Sub(q.sentAt)
	switch {
	case q.sentAt.IsZero():
		return d.Wanted != Amounts{} || d.Running > 0
	case q.reduced:
		return true
	case since < minAskInterval:
		return false
	case q.answeredSentAt.Before(q.sentAt):
		return since >= ShareRetryInterval
	case q.stale:
		return true
	case d.Wanted == Amounts{} && q.demand.Wanted == Amounts{}:
		return decreased(q.demand.Running, d.Running, 1)
	}
	return !now.Before(q.askBy) || loc.demandChanged(now, d)
}

// demandChanged reports whether the demand has outgrown the share, or has shrunk so far
// since the last report that other entries can use the difference.
func (loc *localShare) demandChanged(now time.Time, d Demand) bool {
	if (d.Wanted == Amounts{}) != (loc.renewal.demand.Wanted == Amounts{}) {
		return true
	}
	reported, current, share := loc.renewal.demand.Wanted, d.Wanted, loc.share(now)
	perSecond := 1 / meterWindow.Seconds()
	tokensPerRequest := 0.0
	if current.Requests+reported.Requests > 0 {
		tokensPerRequest = (current.Tokens + reported.Tokens) / (current.Requests + reported.Requests)
	}
	return measureChanged(reported.Requests, current.Requests, share.Requests, perSecond) ||
		measureChanged(reported.Tokens, current.Tokens, share.Tokens, tokensPerRequest*perSecond) ||
		measureChanged(reported.Concurrent, current.Concurrent, share.Concurrent, 1)
}

func measureChanged(reported, current, share, unit float64) bool {
	return decreased(reported, current, unit) || current > share && decreased(current, reported, unit)
}

// decreased reports whether an amount that is counted in units has decreased by more than
// random variation explains.
func decreased(before, after, unit float64) bool {
	return before-after > before*changeFraction+noiseSigmas*math.Sqrt(before*unit)
}

// inactive reports whether requests have stopped arriving, so that the share is of no use
// here.
func (loc *localShare) inactive(now time.Time) bool {
	requests, _ := loc.arrivals.rates(now)
	after := inactiveMax
	if requests > 0 {
		byRate := time.Duration(inactiveRequests / requests * float64(time.Second))
		after = min(after, max(byRate, inactivePauses*loc.pauses.longest()))
	}
	return now.Sub(loc.lastRequest) >= max(after, inactiveMin)
}

// pauseTracker tracks the longest pause between requests over the last one to two
// pauseWindow intervals. A share that is released between two bursts of requests would lose the
// burst that it has accumulated.
type pauseTracker struct {
	windowStart       time.Time
	current, previous time.Duration
}

const pauseWindow = 10 * time.Second

func (p *pauseTracker) longest() time.Duration { return max(p.current, p.previous) }

// record adds a pause that has ended. Pauses of inactiveMax or longer are left out: the
// share was released during them.
func (p *pauseTracker) record(now time.Time, pause time.Duration) {
	if now.Sub(p.windowStart) >= pauseWindow {
		p.windowStart, p.previous, p.current = now, p.current, 0
	}
	if pause < inactiveMax {
		p.current = max(p.current, pause)
	}
}

// Due reports whether the allocator must be asked for any subject now.
func (l *Limiter) Due(now time.Time) bool {
	for _, loc := range l.subjects {
		if loc.due(now, l.demand(now, loc)) {
			return true
		}
	}
	return false
}

// DueFor reports whether the allocator must be asked for a subject now.
func (l *Limiter) DueFor(now time.Time, s Subject) bool {
	loc := l.subjects[s]
	return loc != nil && loc.due(now, l.demand(now, loc))
}

// Report returns the demands to send to the allocator. The report is full, and not partial,
// until the allocator has answered a full one. The caller sets Entry and Incarnation.
func (l *Limiter) Report(now time.Time) (Report, map[Subject]Demand) {
	full := l.allocator == "" || l.allocator != l.fullReportTo
	demands := map[Subject]Demand{}
	for s, loc := range l.subjects {
		if now.Sub(loc.lastRequest) > idleTimeout && loc.running == 0 {
			delete(l.subjects, s)
			continue
		}
		d := l.demand(now, loc)
		if !full && !loc.due(now.Add(askBatchWindow), d) {
			continue
		}
		if (d.Wanted == Amounts{}) && (loc.activeGrant(now) != Amounts{}) {
			loc.releaseGrant(now)
			d = l.demand(now, loc)
		}
		loc.renewal.recordSent(now, d)
		demands[s] = d
	}
	l.seq++
	return Report{Seq: l.seq, Allocator: l.allocator, Partial: !full}, demands
}

func (q *renewal) recordSent(now time.Time, d Demand) {
	q.sentAt, q.demand = now, d
	q.stale, q.reduced = false, false
}

// demand returns what to ask for. It is nothing once the subject is inactive, whatever its
// rate was, so that its share becomes free before the grant expires.
func (l *Limiter) demand(now time.Time, loc *localShare) Demand {
	d := Demand{Running: max(float64(loc.running)-Floor(loc.limit, loc.ringSize).Concurrent, 0)}
	if loc.allocator == l.allocator {
		d.AckedEpoch = loc.epoch
	}
	requests, tokens := loc.arrivals.rates(now)
	if loc.inactive(now) || requests < minRequestRate && loc.running == 0 {
		return d
	}
	d.Wanted = Amounts{
		Requests: requests, Tokens: tokens,
		Concurrent: float64(loc.running) + math.Ceil(requests*meterWindow.Seconds()) + 1,
	}
	return d
}

// HandleAnswer records that the allocator answered a report. allocatorName is empty while
// it may not grant yet. HandleAnswer returns true if it is not the one that answered before: a
// new one waits for a full report.
func (l *Limiter) HandleAnswer(r Report, allocatorName string) (changed bool) {
	if allocatorName == "" {
		return false
	}
	if r.Allocator == allocatorName && !r.Partial {
		l.fullReportTo = allocatorName
	}
	changed = allocatorName != l.allocator
	l.allocator = allocatorName
	return changed
}
