package control

import (
	"errors"
	"fmt"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/wire"
)

// Verbs of wire.MembersRequest.
const (
	VerbList   = "list"
	VerbRemove = "remove"
	// VerbReplace proposes the next membership change of replacing a lost replica by a
	// caught-up one: first the replacement is promoted, then the lost replica is removed.
	VerbReplace = "replace"
)

// Values of wire.MembersReply.Health.
const (
	HealthOK       = "ok"
	HealthDegraded = "degraded"
	HealthForming  = "forming"
)

// handleMembers carries out a members request. The reply always lists the replicas and the
// cluster's health.
func (r *Replica) handleMembers(req *wire.MembersRequest, reply *wire.MembersReply) {
	switch req.Verb {
	case "", VerbList:
	case VerbRemove:
		r.removeMember(req.Member, reply)
	case VerbReplace:
		r.replaceMember(req.Member, reply)
	default:
		reply.Refused = true
		reply.Detail = fmt.Sprintf("unknown verb %q", req.Verb)
	}
	live, voters := 0, 0
	for _, p := range r.node.Peers() {
		m := &wire.Member{
			Id: p.Id, Address: p.Address, FailureDomain: p.FailureDomain, Learner: p.Learner,
			Leader: p.Id == r.node.Leader(), CaughtUp: r.node.CaughtUp(p.Id), MatchIndex: r.node.MatchIndex(p.Id),
		}
		if !p.Learner {
			voters++
		}
		if !p.Learner && r.node.IsLive(p.Id) && m.CaughtUp {
			live++
		}
		reply.Members = append(reply.Members, m)
	}
	reply.Health = HealthOK
	switch {
	case !r.machine.formed:
		reply.Health = HealthForming
	case live < voters || voters < r.settings.voterTarget():
		reply.Health = HealthDegraded
	}
}

func (r *Replica) removeMember(m *wire.Member, reply *wire.MembersReply) {
	if m == nil || m.Id == "" {
		reply.Refused, reply.Detail = true, "a member ID is needed"
		return
	}
	if err := r.node.RemovePeer(r.now(), m.Id); err != nil {
		reply.Refused, reply.Detail = true, err.Error()
	}
}

func (r *Replica) replaceMember(m *wire.Member, reply *wire.MembersReply) {
	s, refused := nextReplacementChange(r.memberList(), m.GetId(), r.settings.voterTarget())
	if refused != "" {
		reply.Refused, reply.Detail = true, refused
		return
	}
	var err error
	switch {
	case s.promote != "":
		err = r.node.PromoteLearner(r.now(), s.promote)
		reply.Detail = s.promote + " is made a voter"
	case s.remove != "":
		err = r.node.RemovePeer(r.now(), s.remove)
		reply.Detail = s.remove + " is removed"
	}
	if errors.Is(err, consensus.ErrConfigPending) {
		reply.Detail = "another membership change is being committed"
		return
	}
	if err != nil {
		reply.Refused, reply.Detail = true, err.Error()
	}
}

// memberList returns the peers as the leader sees them.
func (r *Replica) memberList() []member {
	var list []member
	for _, p := range r.node.Peers() {
		list = append(list, member{
			Peer: p, live: r.presumedLive(p.Id), caughtUp: r.node.CaughtUp(p.Id),
			leaving: r.leadership().isLeaving(p.Id, r.node.BootID(p.Id), r.clock()),
		})
	}
	return list
}

// dump returns the replica's state for a state dump.
func (r *Replica) dump() any {
	return struct {
		Status   any    `json:"status"`
		Formed   bool   `json:"formed"`
		Revision uint64 `json:"revision"`
		Failed   string `json:"failed,omitempty"`
		// Shares are the shares of limits that this leader has granted to entries.
		Shares []admit.SubjectState `json:"shares,omitempty"`
	}{r.node.Status(), r.machine.formed, r.machine.table.Revision(), errText(r.failed), r.shares.dump(r.clock())}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
