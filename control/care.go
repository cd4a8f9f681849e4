package control

import (
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// care lets a leader look after the membership.
func (r *Replica) care() {
	r.leads.follow(r.node.IsLeader(r.now()), r.clock())
	r.followHome()
	if !r.node.IsLeader(r.now()) || r.clock().Sub(r.lastCare) < careInterval {
		return
	}
	r.lastCare = r.clock()
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
	r.careRing()
	s := nextStep(members, r.settings.voterTarget())
	var err error
	switch {
	case s.promote != "":
		err = r.node.Promote(r.now(), s.promote)
	case s.remove != "":
		err = r.node.Remove(r.now(), s.remove)
	default:
		return
	}
	r.tellStep(s, err)
}

// tellStep tells of a membership change that has begun, and once of one that can't.
func (r *Replica) tellStep(s step, err error) {
	switch {
	case err == nil:
		kernel.Info(r.log, "Membership changes.", "promote", s.promote, "remove", s.remove)
	case s != r.refusedStep:
		kernel.Warn(r.log, "Membership can't be changed yet.", "promote", s.promote, "remove", s.remove, "err", err)
	}
	r.refusedStep = step{}
	if err != nil {
		r.refusedStep = s
	}
}

func (r *Replica) alive(id string) bool {
	if r.node.Live(id) && !r.leads.ended[id] {
		r.leads.heard(id, r.clock())
		return true
	}
	return !r.leads.silentFor(id, r.clock(), r.settings.ReplaceAfter.D())
}

func (r *Replica) proposeFormed() {
	data, err := encode(&wire.Command{Command: &wire.Command_Formed{Formed: &wire.Formed{}}})
	if err == nil {
		_, _, _ = r.node.Propose(r.now(), data)
	}
}
