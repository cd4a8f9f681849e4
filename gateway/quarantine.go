package gateway

import (
	"net/http"

	"github.com/snipereach/snipereach/quarantine"
)

// Identity implements quarantine.Identifier.
func (c *call) Identity() *quarantine.Request {
	return &quarantine.Request{Team: c.team.GetName(), Method: c.r.Method, Host: c.r.Host, URI: c.r.RequestURI, Body: c.body}
}

// promptParts returns the parts of the request's prompt that other requests to its service may have as well.
func (c *call) promptParts() (parts []quarantine.PromptPart) {
	for _, id := range c.params.SharedParts {
		parts = append(parts, quarantine.PromptPart{Service: c.service, ID: id})
	}
	return parts
}

// quarantineRefusal returns the refusal of a request that must not be sent to any upstream, or
// nil.
//
// A quarantined request is refused as not run, with the time after which it may be retried. It
// blocks no other request, and the answer is true also for a harmless request that only ran
// beside one that crashes upstreams.
func (c *call) quarantineRefusal() *refusal {
	v := c.guard.Verdict()
	switch {
	case v.Status == quarantine.Quarantined:
		c.cause = c.guard.Explain(v)
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, retryAfter: v.Left}
	case v.Status == quarantine.LastTrial && c.waited > 0:
		// Copies of the request could be queued at all gateways, be admitted together when the
		// group is available again, and crash an upstream each.
		c.cause = c.guard.Explain(v)
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonLastTrial}
	}
	return nil
}

// beginTrial records that the request is about to be sent, or returns the refusal of one that
// must not be sent now.
func (c *call) beginTrial() *refusal {
	if f := c.quarantineRefusal(); f != nil {
		return f
	}
	if !c.guard.Begin() {
		c.cause = c.guard.Explain(c.guard.Verdict()) + ", and another copy is running"
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonLastTrial}
	}
	return nil
}

// retryForbidden reports whether the request must not be sent to another upstream, with the
// reason: it is in quarantine, or one more crash would put it there.
func (c *call) retryForbidden() (reason string, only bool) {
	switch c.guard.Verdict().Status {
	case quarantine.Quarantined:
		return reasonQuarantined, true
	case quarantine.LastTrial:
		return reasonLastTrial, true
	}
	return "", false
}

// recordSuccess records that an upstream has answered the request completely, which clears it of
// suspicion.
func (c *call) recordSuccess() {
	if c.guard.RecordAnswer(c.params.ID) {
		c.metrics.Count("gateway.suspects_cleared")
	}
}
