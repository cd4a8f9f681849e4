package route

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Outlier ejection.
const (
	// failuresToEject is the number of consecutive failures that ejects an upstream.
	failuresToEject = 5
	// An upstream is stalled if at least unansweredToEject requests have been sent
	// since its last response, the first of them longer ago than the stall timeout:
	// stallFactor times the pool's usual response time, but at least minStallTimeout,
	// and initialStallTimeout until the pool's first response.
	unansweredToEject   = 3
	stallFactor         = 4
	minStallTimeout     = 250 * time.Millisecond
	initialStallTimeout = 30 * time.Second
	// An upstream is ejected as slow if, after minResponses responses, its time per
	// unit of work is over slowFactor times the mean of its peers.
	slowFactor   = 4
	minResponses = 10
	// upstreamLatencySmoothing is the smoothing factor of an upstream's time per unit of
	// work, poolLatencySmoothing that of the pool's response times.
	upstreamLatencySmoothing = 0.1
	poolLatencySmoothing     = 0.05
	// The first ejection lasts firstEjection; each that follows lasts twice as long,
	// up to maxEjection. An upstream that stays healthy for ejectionResetDelay after a
	// successful probe starts again at firstEjection.
	firstEjection      = 2 * time.Second
	maxEjection        = 30 * time.Second
	ejectionResetDelay = time.Minute
	// probeInterval is the minimum time between two requests to an upstream that is
	// probed after an ejection.
	probeInterval = time.Second
	// maxEjectedShare bounds the share of a pool that may be ejected at once: if more
	// upstreams seem to fail, the cause is more likely the entry, the network or the
	// requests.
	maxEjectedShare = 0.5
)

// Slow start: the share of its slots for which a newly started upstream is used grows
// linearly from slowStartInitialShare to 1 over slowStartDuration.
const (
	slowStartDuration     = 10 * time.Second
	slowStartInitialShare = 0.2
)

// health is the state of passive health checking and slow start of an upstream.
type health struct {
	// failures counts consecutive failures.
	failures int
	// unanswered counts the requests sent since the last response, the first of them
	// at unansweredSince.
	unanswered      int
	unansweredSince time.Time
	// responses counts complete responses since the last ejection.
	responses int
	// secondsPerUnit is the smoothed time per unit of work.
	secondsPerUnit float64

	// leaving is true if this incarnation accepts no new requests.
	leaving bool

	ejected      bool
	ejectedUntil time.Time
	// ejections counts the ejections that lengthen the next one.
	ejections int
	// probing is true after an ejection until a request succeeds; meanwhile one
	// request is allowed per probeInterval.
	probing bool
	// lastSent is when the last request was sent.
	lastSent time.Time
	// ejectionResetAt is when ejections may be reset.
	ejectionResetAt time.Time
	// slowStartBegan is when the slow start began; zero if there was none.
	slowStartBegan time.Time
}

func (h *health) recordRequest(now time.Time) {
	if h.unanswered == 0 {
		h.unansweredSince = now
	}
	h.unanswered++
	h.lastSent = now
}

// recordResponse resets the failure and stall counters: the upstream has responded.
func (h *health) recordResponse(now time.Time) {
	h.unanswered = 0
	h.unansweredSince = now
	h.failures = 0
}

// slowStartShare returns the share of its slots for which an upstream should be used.
// It is below 1 for a newly started upstream, which has cold caches and seems idle to
// all entries at once.
func (h *health) slowStartShare(now time.Time) float64 {
	if h.slowStartBegan.IsZero() {
		return 1
	}
	age := now.Sub(h.slowStartBegan)
	if age >= slowStartDuration {
		return 1
	}
	return slowStartInitialShare + (1-slowStartInitialShare)*max(age.Seconds(), 0)/slowStartDuration.Seconds()
}

// isUpstreamFailure reports whether a result counts as a failure of the upstream. A
// full queue, an exceeded deadline and a planned stop don't.
func isUpstreamFailure(res Result) bool {
	if res.CallerGone {
		return false
	}
	return res.Reason == wire.Reason_REASON_UPSTREAM_FAILED || res.Reason == wire.Reason_REASON_ANSWER_INVALID
}

// recordResult updates the health of an upstream by the result of an attempt; units is
// the attempt's amount of work.
func (p *pool) recordResult(now time.Time, s *candidate, units float64, res Result) {
	switch {
	case res.Reason == wire.Reason_REASON_UPSTREAM_LEAVING || res.Reason == wire.Reason_REASON_NO_UPSTREAM:
		// The directory removes the upstream only some seconds later. Until then each
		// request sent to it would have to be retried.
		s.leaving = true
	case isUpstreamFailure(res):
		s.failures++
		if s.probing || s.failures >= failuresToEject || res.SilentFor > 0 {
			p.eject(now, s)
		}
	case res.Outcome == wire.Outcome_OUTCOME_DONE:
		p.recordSuccess(now, s, units, res)
	case res.Outcome == wire.Outcome_OUTCOME_NOT_RUN || res.Elapsed < p.stallTimeout():
		// The attempt no longer counts as unanswered, but is no response either: a
		// refusal is the agent's and says nothing about the upstream behind it. A call
		// that ended before the stall timeout is no evidence of a stall; callers that
		// cancel early must not get healthy upstreams ejected.
		s.unanswered = max(s.unanswered-1, 0)
	}
}

// ResponseStarted implements ResponseStartObserver.
func (p *pool) ResponseStarted(now time.Time, up Upstream, l *wire.Load, after time.Duration) {
	s := p.byID[up.ID]
	if s == nil || s.Incarnation != up.Incarnation {
		return
	}
	s.applyResponse(now, l)
	s.recordResponse(now)
	if p.meanHeadTime == 0 {
		p.meanHeadTime = after.Seconds()
	}
	p.meanHeadTime += poolLatencySmoothing * (after.Seconds() - p.meanHeadTime)
}

// stallTimeout returns how long an upstream may leave requests unanswered before it
// counts as stalled. Until the first response shows what is usual in this pool it is
// long, so that upstreams whose responses take seconds aren't ejected when the entry
// starts.
func (p *pool) stallTimeout() time.Duration {
	if p.meanHeadTime > 0 {
		return max(minStallTimeout, time.Duration(stallFactor*p.meanHeadTime*float64(time.Second)))
	}
	if p.meanElapsed == 0 {
		return initialStallTimeout
	}
	return max(minStallTimeout, time.Duration(stallFactor*p.meanElapsed*float64(time.Second)))
}

// recordSuccess records a successful response. If the upstream was probed, it ends
// probing and begins a slow start, as for an upstream that has just started.
func (p *pool) recordSuccess(now time.Time, s *candidate, units float64, res Result) {
	s.recordResponse(now)
	if s.probing {
		s.probing = false
		s.ejectionResetAt = now.Add(ejectionResetDelay)
		s.slowStartBegan = now
	}
	p.updateLatency(now, s, units, res.Elapsed)
}

// updateLatency updates the smoothed response times and ejects the upstream if it is
// much slower than its peers.
func (p *pool) updateLatency(now time.Time, s *candidate, units float64, elapsed time.Duration) {
	if p.meanElapsed == 0 {
		p.meanElapsed = elapsed.Seconds()
	}
	p.meanElapsed += poolLatencySmoothing * (elapsed.Seconds() - p.meanElapsed)
	perUnit := elapsed.Seconds() / units
	if s.responses == 0 {
		s.health.secondsPerUnit = perUnit
	}
	s.responses++
	s.health.secondsPerUnit += upstreamLatencySmoothing * (perUnit - s.health.secondsPerUnit)
	peers := p.peerSecondsPerUnit(s)
	if s.responses >= minResponses && peers > 0 && s.health.secondsPerUnit > slowFactor*peers {
		p.eject(now, s)
	}
}

// peerSecondsPerUnit returns the mean time per unit of work of the other upstreams,
// without those that have sent too few responses; 0 if there is none.
func (p *pool) peerSecondsPerUnit(s *candidate) float64 {
	sum, n := 0.0, 0
	for _, o := range p.candidates {
		if o != s && o.responses >= minResponses {
			sum += o.health.secondsPerUnit
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// stalled reports whether an upstream has not responded for too long. Load reports
// prove nothing, since the agent that sends them is another process.
func (p *pool) stalled(now time.Time, s *candidate) bool {
	if s.unanswered < unansweredToEject {
		return false
	}
	return now.Sub(s.unansweredSince) > p.stallTimeout()
}

// eject ejects an upstream for some time, unless too many others are ejected.
func (p *pool) eject(now time.Time, s *candidate) {
	if s.ejected && now.Before(s.ejectedUntil) {
		return
	}
	if !s.ejected && p.ejectedCount+1 > int(maxEjectedShare*float64(len(p.candidates))) {
		return
	}
	if now.After(s.ejectionResetAt) && !s.probing {
		s.ejections = 0
	}
	if !s.ejected {
		p.ejectedCount++
	}
	s.ejected, s.probing = true, false
	s.ejectedUntil = now.Add(min(firstEjection<<min(s.ejections, 8), maxEjection))
	s.ejections++
	s.failures, s.unanswered, s.responses = 0, 0, 0
}

// usable reports whether an upstream may be selected. It also ejects it if it is
// stalled, and changes its state from ejected to probing once the ejection is over.
func (p *pool) usable(now time.Time, s *candidate) bool {
	if s.leaving {
		return false
	}
	if p.stalled(now, s) {
		p.eject(now, s)
	}
	if s.ejected {
		if now.Before(s.ejectedUntil) {
			return false
		}
		s.ejected = false
		s.probing = true
		p.ejectedCount--
	}
	return !s.probing || now.Sub(s.lastSent) >= probeInterval
}

// endExcessEjections changes ejected upstreams to probing while more than the allowed
// share is ejected, as happens when a pool shrinks.
func (p *pool) endExcessEjections() {
	allowed := int(maxEjectedShare * float64(len(p.candidates)))
	for _, s := range p.candidates {
		if p.ejectedCount <= allowed {
			return
		}
		if s.ejected {
			s.ejected, s.probing = false, true
			p.ejectedCount--
		}
	}
}
