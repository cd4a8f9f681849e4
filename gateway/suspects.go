package gateway

import (
	"net/http"

	"github.com/snipereach/snipereach/quarantine"
)

// Identity implements quarantine.Requester.
func (c *call) Identity() *quarantine.Request {
	return &quarantine.Request{Team: c.team.GetName(), Method: c.r.Method, Host: c.r.Host, URI: c.r.RequestURI, Body: c.body}
}

// heldBack is the refusal of a request that is sent to no upstream; nil for any other.
//
// It is refused as not run, with the time at which it may be tried again: it stands in nobody's
// way, and a caller whose harmless request only ran beside others that end upstreams is told
// nothing false.
func (c *call) heldBack() *refusal {
	v := c.trial.Verdict()
	switch {
	case v.Standing == quarantine.Quarantined:
		c.why = c.trial.Why(v)
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, wait: v.Left}
	case v.Standing == quarantine.LastTrial && c.waited > 0:
		// Copies that waited at all gateways until the group was open again would be let in side
		// by side, and end an upstream each.
		c.why = c.trial.Why(v)
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonLastTrial}
	}
	return nil
}

// beginTrial notes that the request is about to be sent, and refuses what must not be sent now.
func (c *call) beginTrial() *refusal {
	if f := c.heldBack(); f != nil {
		return f
	}
	if !c.trial.Begin() {
		c.why = c.trial.Why(c.trial.Verdict()) + ", and a copy runs"
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonLastTrial}
	}
	return nil
}

// oneAttempt says whether the request must not be sent to another upstream: the end of one more
// puts it in quarantine, or it is there.
func (c *call) oneAttempt() (reason string, only bool) {
	switch c.trial.Verdict().Standing {
	case quarantine.Quarantined:
		return reasonQuarantined, true
	case quarantine.LastTrial:
		return reasonLastTrial, true
	}
	return "", false
}

// answeredWhole takes that an upstream answered the request whole.
func (c *call) answeredWhole() {
	if c.trial.Answered(c.asked.ID) {
		c.metrics.Count("gateway.suspects_cleared")
	}
}
