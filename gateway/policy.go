package gateway

import (
	"net/http"
	"time"

	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

// outcome is the result of one attempt.
type outcome int

const (
	// outcomeAnswered means that the upstream's program gave a complete response.
	outcomeAnswered outcome = iota
	// outcomeNotSent means that no byte was sent.
	outcomeNotSent
	// outcomeNotRun means that the upstream certifies that it has not run the request.
	outcomeNotRun
	// outcomeMisdirected means that another upstream has the address; it has not run the request.
	outcomeMisdirected
	// outcomeInDoubt means that the request was sent and no complete response came, so it may
	// have run.
	outcomeInDoubt
	// outcomeCallerGone means that the caller left first.
	outcomeCallerGone
	// outcomeExpired means that the deadline passed first.
	outcomeExpired
)

var outcomeNames = [...]string{"answered", "not-sent", "not-run", "misdirected", "in-doubt", "caller-gone", "expired"}

// String returns the outcome as shown in logs and metrics.
func (o outcome) String() string { return outcomeNames[o] }

// certainlyNotRun reports whether the request has certainly not run in the attempt.
func (o outcome) certainlyNotRun() bool {
	return o == outcomeNotSent || o == outcomeNotRun || o == outcomeMisdirected
}

// maxUnsent bounds the failed connection attempts of one request; each may take as long as the
// dial timeout.
const maxUnsent = 3

// attemptHistory summarizes the attempts of a request so far.
type attemptHistory struct {
	// sent counts attempts in which a byte was sent, unsent the others.
	sent, unsent int
	// inDoubt says that the request may have run.
	inDoubt bool
}

// record adds the outcome of an attempt.
func (h *attemptHistory) record(o outcome) {
	if o == outcomeNotSent {
		h.unsent++
		return
	}
	h.sent++
	h.inDoubt = h.inDoubt || !o.certainlyNotRun()
}

// mayRetry reports whether the request may be sent to another upstream. A request that isn't
// repeatable may be sent again only while it has certainly not run.
func (h *attemptHistory) mayRetry(r *wire.Route) bool {
	if h.sent >= int(r.MaxAttempts) || h.unsent >= maxUnsent {
		return false
	}
	return routing.Retryable(r) || !h.inDoubt
}

// refusal is a response by the gateway itself.
type refusal struct {
	status int
	// reason is one of the constants below.
	reason string
	detail string
	// retryAfter is when the caller may retry; 0 selects the default.
	retryAfter time.Duration
}

// Reasons of refusals and failures, as logs and metrics show them.
const (
	reasonNoConfig   = "no-configuration"
	reasonNoRoute    = "no-route"
	reasonUnknownKey = "unknown-key"
	// reasonUnconfirmed means that the configuration in force here doesn't allow the request, and that
	// no control replica can tell whether it is still the current one.
	reasonUnconfirmed    = "configuration-unconfirmed"
	reasonBadRequest     = "bad-request"
	reasonHeaderTooLarge = "header-too-large"
	reasonBodyTooLarge   = "body-too-large"
	// reasonMemory means that there is too little memory for the request's body, reasonBodyTimeout that it was
	// not received by the request's deadline, or nothing of it arrived for the idle timeout.
	reasonMemory          = httpserver.ReasonMemory
	reasonBodyTimeout     = "body-timeout"
	reasonNoUpstream      = "no-upstream"
	reasonUpstreamsBusy   = "upstreams-busy"
	reasonGroupIncomplete = "group-incomplete"
	reasonEvacuated       = "evacuated"
	// reasonUpstreamsHeld means that all upstreams have asked for fewer requests, so that none takes
	// one from this gateway now.
	reasonUpstreamsHeld   = "upstreams-held"
	reasonDraining        = "draining"
	reasonRetryBudget     = "retry-budget"
	reasonInDoubt         = "in-doubt"
	reasonTimeout         = "timeout"
	reasonStreamBrokenOff = "stream-broken-off"
	// reasonQuarantined means that upstreams have crashed while running the request, and it is
	// sent to none.
	reasonQuarantined = "quarantined"
	// reasonLastTrial means that upstreams have crashed while running the request, and it may be
	// tried once more only: a copy of it is running, it would have to be queued, or it needs a
	// second attempt.
	reasonLastTrial = "last-trial"
)

// failure returns the response to a request that isn't tried again. 503 promises that the request
// has not run anywhere; one in doubt gets 502, or 504 after its deadline.
func (h *attemptHistory) failure(last outcome, reason string) refusal {
	switch {
	case !h.inDoubt:
		return refusal{status: http.StatusServiceUnavailable, reason: reason}
	case last == outcomeExpired:
		return refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	default:
		return refusal{status: http.StatusBadGateway, reason: reasonInDoubt}
	}
}
