package gateway

import (
	"net/http"
	"time"

	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

// outcome is what is known of a request after one attempt.
type outcome int

const (
	// outcomeAnswered: a whole answer came, of the upstream's own program.
	outcomeAnswered outcome = iota
	// outcomeNotSent: no byte has left.
	outcomeNotSent
	// outcomeNotRun: the upstream certifies that it has not run the request.
	outcomeNotRun
	// outcomeMisdirected: another upstream has the address; it has not run it.
	outcomeMisdirected
	// outcomeInDoubt: it was sent, and no whole answer came.
	outcomeInDoubt
	// outcomeCallerGone: the caller left first.
	outcomeCallerGone
	// outcomeExpired: the time was over first.
	outcomeExpired
)

var outcomeNames = [...]string{"answered", "not-sent", "not-run", "misdirected", "in-doubt", "caller-gone", "expired"}

// String returns the outcome as logs show it.
func (o outcome) String() string { return outcomeNames[o] }

// ranNothing says whether an attempt has certainly not run.
func (o outcome) ranNothing() bool {
	return o == outcomeNotSent || o == outcomeNotRun || o == outcomeMisdirected
}

// maxUnsent bounds the upstreams that one request tries to reach in vain: each
// costs a connection's time.
const maxUnsent = 3

// history is what has become of a request so far.
type history struct {
	// sent counts attempts of which a byte has left, unsent the others.
	sent, unsent int
	// inDoubt says that an attempt may have run.
	inDoubt bool
}

// note takes an attempt's outcome.
func (h *history) note(o outcome) {
	if o == outcomeNotSent {
		h.unsent++
		return
	}
	h.sent++
	h.inDoubt = h.inDoubt || !o.ranNothing()
}

// mayTry says whether a request may go to another upstream. One that may run at
// most once does so only while it has certainly not run: a lost answer may be one
// to a request that was carried out.
func (h *history) mayTry(r *wire.Route) bool {
	if h.sent >= int(r.MaxAttempts) || h.unsent >= maxUnsent {
		return false
	}
	return routing.Repeatable(r) || !h.inDoubt
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	// reason is one of the constants below.
	reason string
	detail string
	// wait is when the caller may come back; 0 is the default.
	wait time.Duration
}

// Reasons of refusals, as logs and metrics name them.
const (
	reasonNoConfig       = "no-configuration"
	reasonNoRoute        = "no-route"
	reasonKey            = "unknown-key"
	reasonBadRequest     = "bad-request"
	reasonHeaderTooLarge = "header-too-large"
	reasonBodyTooLarge   = "body-too-large"
	reasonNoUpstream     = "no-upstream"
	reasonBusy           = "upstreams-busy"
	reasonDraining       = "draining"
	reasonRetryBudget    = "retry-budget"
	reasonInDoubt        = "in-doubt"
	reasonTimeout        = "timeout"
	reasonBrokenOff      = "stream-broken-off"
	// reasonQuarantined: upstreams have ended under the request, and it is sent to none.
	reasonQuarantined = "quarantined"
	// reasonLastTrial: upstreams have ended under the request, and one more trial is all that
	// is left; a copy of it runs, or there is no place for it now.
	reasonLastTrial = "last-trial"
)

// failure is the answer to a request for which nothing more is tried. Only a
// request that has not run anywhere is refused with 503, which promises that; one
// in doubt gets 502, or 504 when its time is over.
func (h *history) failure(last outcome, reason string) refusal {
	switch {
	case !h.inDoubt:
		return refusal{status: http.StatusServiceUnavailable, reason: reason}
	case last == outcomeExpired:
		return refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	default:
		return refusal{status: http.StatusBadGateway, reason: reasonInDoubt}
	}
}
