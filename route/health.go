package route

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Outlier ejection.
const (
	// failuresToEject in a row mean that the upstream fails, not the request.
	failuresToEject = 5
	// unansweredToEject requests and stallFactor times the usual answer time
	// without any answer mean a stall.
	unansweredToEject = 3
	stallFactor       = 4
	minStall          = 250 * time.Millisecond
	firstPatience     = 30 * time.Second
	// slowFactor times the others' time per unit of work is slow.
	slowFactor  = 4
	minAnswers  = 10
	paceWeight  = 0.1
	paceElapsed = 0.05
	// An ejection lasts firstEjection, doubles with each that follows, up to
	// maxEjection, and starts anew after a calm time.
	firstEjection = 2 * time.Second
	maxEjection   = 30 * time.Second
	calmTime      = time.Minute
	probeInterval = time.Second
	// maxEjectedShare bounds how much of a pool may be ejected: beyond it the
	// fault lies more likely with the entry, the network or the requests.
	maxEjectedShare = 0.5
)

// Slow start.
const (
	slowStart     = 10 * time.Second
	slowStartFrom = 0.2
)

// health is how an upstream has answered.
type health struct {
	failures int
	// unanswered counts requests since the last answer; the first of them was
	// sent at unansweredSince.
	unanswered      int
	unansweredSince time.Time
	answers         int
	// pace is the smoothed time per unit of work, in seconds.
	pace float64

	// leaving says that this incarnation takes no new work any more.
	leaving bool

	ejected   bool
	until     time.Time
	ejections int
	// probing lets one request through in each probeInterval after an ejection.
	probing bool
	probed  time.Time
	calm    time.Time
	// warmFrom is when the upstream started; zero if before this entry knew it.
	warmFrom time.Time
}

func (h *health) sent(now time.Time) {
	if h.unanswered == 0 {
		h.unansweredSince = now
	}
	h.unanswered++
	h.probed = now
}

// heard counts a sign of life.
func (h *health) heard(now time.Time) {
	h.unanswered = 0
	h.unansweredSince = now
	h.failures = 0
}

// share is the part of its slots that an upstream should be used for. One that
// has just started has cold caches and looks idle to every entry at once.
func (h *health) share(now time.Time) float64 {
	if h.warmFrom.IsZero() {
		return 1
	}
	age := now.Sub(h.warmFrom)
	if age >= slowStart {
		return 1
	}
	return slowStartFrom + (1-slowStartFrom)*max(age.Seconds(), 0)/slowStart.Seconds()
}

// failed says whether a result speaks against the upstream. A full queue, a
// passed deadline and a planned stop don't.
func failed(res Result) bool {
	if res.CallerGone {
		return false
	}
	return res.Reason == wire.Reason_REASON_UPSTREAM_FAILED || res.Reason == wire.Reason_REASON_ANSWER_INVALID
}

// judge takes a result into account.
func (p *pool) judge(now time.Time, s *state, units float64, res Result) {
	switch {
	case res.Reason == wire.Reason_REASON_UPSTREAM_LEAVING || res.Reason == wire.Reason_REASON_NO_UPSTREAM:
		// The directory will say so too, some seconds later. Until then every
		// request sent there would cost a retry from the budget.
		s.leaving = true
	case failed(res):
		s.failures++
		if s.probing || s.failures >= failuresToEject {
			p.eject(now, s)
		}
	case res.Outcome == wire.Outcome_OUTCOME_DONE:
		p.praise(now, s, units, res)
	case res.Outcome == wire.Outcome_OUTCOME_NOT_RUN || res.Elapsed < p.patience():
		// The agent speaks for itself here: it refuses although, or because, the
		// upstream behind it stands still. And a caller that left early leaves no
		// proof: impatient callers could take a healthy upstream from all others.
		s.unanswered = max(s.unanswered-1, 0)
	}
}

// Answered implements Answered.
func (p *pool) Answered(now time.Time, up Upstream, l *wire.Load, after time.Duration) {
	s := p.byID[up.ID]
	if s == nil || s.Incarnation != up.Incarnation {
		return
	}
	s.answer(now, l)
	s.heard(now)
	if p.head == 0 {
		p.head = after.Seconds()
	}
	p.head += paceElapsed * (after.Seconds() - p.head)
}

// patience is how long an upstream may leave requests unanswered. Until a first
// answer shows what is usual here, it is long: a pool whose answers take seconds
// would lose half its upstreams as soon as the entry starts.
func (p *pool) patience() time.Duration {
	if p.head > 0 {
		return max(minStall, time.Duration(stallFactor*p.head*float64(time.Second)))
	}
	if p.elapsed == 0 {
		return firstPatience
	}
	return max(minStall, time.Duration(stallFactor*p.elapsed*float64(time.Second)))
}

// praise takes an answer in order into account. It ends a probe: the upstream
// comes back slowly, like one that has just started.
func (p *pool) praise(now time.Time, s *state, units float64, res Result) {
	s.heard(now)
	if s.probing {
		s.probing = false
		s.calm = now.Add(calmTime)
		s.warmFrom = now
	}
	p.pace(now, s, units, res.Elapsed)
}

// pace compares how fast an upstream answers with the others.
func (p *pool) pace(now time.Time, s *state, units float64, elapsed time.Duration) {
	if p.elapsed == 0 {
		p.elapsed = elapsed.Seconds()
	}
	p.elapsed += paceElapsed * (elapsed.Seconds() - p.elapsed)
	each := elapsed.Seconds() / units
	if s.answers == 0 {
		s.health.pace = each
	}
	s.answers++
	s.health.pace += paceWeight * (each - s.health.pace)
	others := p.othersPace(s)
	if s.answers >= minAnswers && others > 0 && s.health.pace > slowFactor*others {
		p.eject(now, s)
	}
}

func (p *pool) othersPace(s *state) float64 {
	sum, n := 0.0, 0
	for _, o := range p.list {
		if o != s && o.answers >= minAnswers {
			sum += o.health.pace
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// stalled says whether an upstream has kept requests for so long without any
// answer that it must be taken for stalled. Its reports may go on: its agent is
// another process.
func (p *pool) stalled(now time.Time, s *state) bool {
	if s.unanswered < unansweredToEject {
		return false
	}
	return now.Sub(s.unansweredSince) > p.patience()
}

// eject takes an upstream out of the choice for a while, unless too many are.
func (p *pool) eject(now time.Time, s *state) {
	if s.ejected && now.Before(s.until) {
		return
	}
	if !s.ejected && p.ejected+1 > int(maxEjectedShare*float64(len(p.list))) {
		return
	}
	if now.After(s.calm) && !s.probing {
		s.ejections = 0
	}
	if !s.ejected {
		p.ejected++
	}
	s.ejected, s.probing = true, false
	s.until = now.Add(min(firstEjection<<min(s.ejections, 8), maxEjection))
	s.ejections++
	s.failures, s.unanswered, s.answers = 0, 0, 0
}

// usable says whether an upstream takes part in the choice, and moves it on
// from ejected to probing.
func (p *pool) usable(now time.Time, s *state) bool {
	if s.leaving {
		return false
	}
	if p.stalled(now, s) {
		p.eject(now, s)
	}
	if s.ejected {
		if now.Before(s.until) {
			return false
		}
		s.ejected = false
		s.probing = true
		p.ejected--
	}
	return !s.probing || now.Sub(s.probed) >= probeInterval
}

// release ends ejections beyond the allowed share, after the pool has shrunk.
func (p *pool) release() {
	allowed := int(maxEjectedShare * float64(len(p.list)))
	for _, s := range p.list {
		if p.ejected <= allowed {
			return
		}
		if s.ejected {
			s.ejected, s.probing = false, true
			p.ejected--
		}
	}
}
