package entry

import (
	"time"

	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// signAgent: the agent beside the upstream found that nothing listens there any more.
const signAgent = "agent"

// Identity implements quarantine.Requester.
func (q *request) Identity() *quarantine.Request {
	return &quarantine.Request{Team: q.team.Name, Method: q.r.Method, Host: q.service.Name, URI: q.path, Body: q.body}
}

// MaySend implements forward.Trial.
func (q *request) MaySend(ran int) bool {
	switch q.trial.Verdict().Standing {
	case quarantine.Quarantined:
		return false
	case quarantine.LastTrial:
		return ran == 0
	}
	return true
}

// Ended implements forward.Trial.
func (q *request) Ended(up route.Upstream, life string, ran time.Duration) {
	q.entry.suspects.Ended(quarantine.End{
		Subject:   q.Identity().Subject(q.service.Name),
		RequestID: q.id, Upstream: life, Address: up.Address, Ran: ran, Sign: signAgent,
	})
}

// heldBack is the refusal of a request in quarantine; nil for any other. It holds nothing and is
// refused at once, so that it stands in nobody's way.
func (q *request) heldBack() *wire.Refusal {
	v := q.trial.Verdict()
	if v.Standing != quarantine.Quarantined {
		return nil
	}
	ref := q.entry.refuse(wire.Reason_REASON_QUARANTINED, q.trial.Why(v))
	ref.RetryAfterMs = uint32(v.Left.Milliseconds())
	return ref
}

// beginTrial notes that the request is about to be sent, and refuses what must not be sent now.
func (q *request) beginTrial() *wire.Refusal {
	if ref := q.heldBack(); ref != nil {
		return ref
	}
	if !q.trial.Begin() {
		return q.entry.refuse(wire.Reason_REASON_QUARANTINED, q.trial.Why(q.trial.Verdict())+", and a copy runs")
	}
	return nil
}
