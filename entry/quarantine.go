package entry

import (
	"time"

	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// signAgentReport means that the upstream's agent found that nothing listens at the upstream's
// address any more.
const signAgentReport = "agent"

// Identity implements quarantine.Identifier.
func (q *request) Identity() *quarantine.Request {
	return &quarantine.Request{Team: q.team.Name, Method: q.r.Method, Host: q.service.Name, URI: q.path, Body: q.body}
}

// MaySend implements forward.AttemptGuard.
func (q *request) MaySend(attempts int) bool {
	switch q.guard.Verdict().Status {
	case quarantine.Quarantined:
		return false
	case quarantine.LastTrial:
		return attempts == 0
	}
	return true
}

// UpstreamEnded implements forward.AttemptGuard.
func (q *request) UpstreamEnded(up route.Upstream, incarnation string, ran time.Duration) {
	q.entry.quarantine.RecordCrash(quarantine.Crash{
		RequestInfo: q.Identity().Info(q.service.Name),
		RequestID:   q.id, Upstream: incarnation, Address: up.Address, RunTime: ran, DetectedBy: signAgentReport,
	})
}

// quarantineRefusal returns the refusal of a request in quarantine, or nil for any other. It is
// checked first in serve, so that such a request takes up no claim, limit or slot.
func (q *request) quarantineRefusal() *wire.Refusal {
	v := q.guard.Verdict()
	if v.Status != quarantine.Quarantined {
		return nil
	}
	ref := q.entry.refuse(wire.Reason_REASON_QUARANTINED, q.guard.Explain(v))
	ref.RetryAfterMs = uint32(v.Left.Milliseconds())
	return ref
}

// beginTrial records that the request is about to be sent, or returns the refusal of one that
// is in quarantine or on its last trial while another copy runs.
func (q *request) beginTrial() *wire.Refusal {
	if ref := q.quarantineRefusal(); ref != nil {
		return ref
	}
	if !q.guard.Begin() {
		return q.entry.refuse(wire.Reason_REASON_QUARANTINED, q.guard.Explain(q.guard.Verdict())+", and another copy is running")
	}
	return nil
}
