package control

import (
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// maintainMembership updates the state that belongs to one leadership. On a leader it then
// proposes, at most once per membershipInterval, that the cluster is formed, the next ring of
// claim registers and the next membership change. The change after a proposed one, and one that
// a leaving replica waits for, are not delayed by membershipInterval.
func (r *Replica) maintainMembership() {
	r.leadership()
	r.syncShareAllocator()
	due := r.membershipDue || r.clock().Sub(r.lastMaintenance) >= membershipInterval
	if !due || !r.node.IsLeader(r.now()) || r.node.MembershipPending() {
		return
	}
	r.lastMaintenance, r.membershipDue = r.clock(), false
	members := r.memberList()
	voters := 0
	for _, m := range members {
		if !m.Learner && m.live {
			voters++
		}
	}
	if !r.machine.formed && voters >= r.settings.voterTarget() {
		r.proposeFormed()
	}
	r.proposeNextRing()
	s := nextMembershipChange(members, r.settings.voterTarget())
	var err error
	switch {
	case s.promote != "":
		err = r.node.PromoteLearner(r.now(), s.promote)
	case s.remove != "":
		err = r.node.RemovePeer(r.now(), s.remove)
	default:
		return
	}
	r.membershipDue = err == nil
	r.logMembershipChange(s, err)
}

// leadership returns what this replica keeps of its leadership. It begins anew with each
// leadership, at the first use and not only at the first tick: until then all others would look
// silent, and a leader may be asked before.
func (r *Replica) leadership() *leadershipTimes {
	r.leaderTimes.updateLeadership(r.node.IsLeader(r.now()), r.clock())
	return &r.leaderTimes
}

// logMembershipChange logs a proposed or refused membership change. A change that is refused
// repeatedly is logged once.
func (r *Replica) logMembershipChange(s membershipChange, err error) {
	switch {
	case err == nil:
		kernel.Info(r.log, "Membership change proposed.", "promote", s.promote, "remove", s.remove)
	case s != r.refusedChange:
		kernel.Warn(r.log, "Membership change was refused; it will be tried again.", "promote", s.promote, "remove", s.remove, "err", err)
	}
	r.refusedChange = membershipChange{}
	if err != nil {
		r.refusedChange = s
	}
}

// presumedLive reports whether a replica was live within ReplaceAfter; until it is heard, time
// counts from the start of this leadership. A replica whose address another incarnation has
// taken over is never presumed live, and a silent one that has announced its stop isn't either.
func (r *Replica) presumedLive(id string) bool {
	if addressTakenOver(r.node.Peers(), id) {
		return false
	}
	if r.node.IsLive(id) {
		r.leadership().recordContact(id, r.clock())
		return true
	}
	if r.leadership().isLeaving(id, r.node.BootID(id), r.clock()) {
		return false
	}
	return !r.leadership().silentFor(id, r.clock(), r.settings.ReplaceAfter.D())
}

func (r *Replica) proposeFormed() {
	data, err := encode(&wire.Command{Command: &wire.Command_Formed{Formed: &wire.Formed{}}})
	if err == nil {
		_, _, _ = r.node.Propose(r.now(), data)
	}
}
