package rollout

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

func (c *Coordinator) nextOrder(now time.Time, i int) (Outgoing, bool) {
	r := &c.ranks[i]
	verb, o := c.orderFor(r)
	interval := c.resendInterval(verb, r)
	if !r.orderSentAt.IsZero() && verb == r.lastVerb && o.Epoch == r.lastEpoch && now.Sub(r.orderSentAt) < interval {
		return Outgoing{}, false
	}
	r.lastVerb, r.lastEpoch, r.orderSentAt, r.awaitingStatus = verb, o.Epoch, now, true
	o.Group, o.Rank, o.Incarnation = c.cfg.Group, i, r.status.Incarnation
	return Outgoing{Rank: i, Verb: verb, Order: o}, true
}

// again is the time after which an order is given once more.
func (c *Coordinator) resendInterval(verb string, r *rankState) time.Duration {
	switch verb {
	case VerbArm, VerbCommit, VerbAbort, VerbAdopt:
		return c.cfg.Urgent
	case VerbStatus:
		if r.known && c.isIdleRank(r) {
			return c.cfg.IdlePoll
		}
	}
	return c.cfg.Resend
}

// quiet says whether nothing is expected to change at a rank.
func (c *Coordinator) isIdleRank(r *rankState) bool {
	return c.Idle() && !r.status.Blank
}

// orderFor chooses the order that a rank needs now.
func (c *Coordinator) orderFor(r *rankState) (string, Order) {
	if !r.known || c.state == nil {
		return VerbStatus, Order{}
	}
	if r.status.Blank {
		return c.orderForRestarted()
	}
	if verb, o, ok := Settle(c.state, r.status); ok {
		return verb, o
	}
	sw := c.state.Switch
	switch {
	case !Undecided(sw):
	case sw.Phase == wire.SwitchPhase_SWITCH_PHASE_STAGING && r.status.Staged != sw.Map.Epoch && r.status.Loading != sw.Map.Epoch:
		return VerbStage, Order{Epoch: sw.Map.Epoch, Base: c.state.Map.Epoch, Map: toOrderMap(sw.Map)}
	case sw.Phase == wire.SwitchPhase_SWITCH_PHASE_ARMING && r.status.Armed != sw.Map.Epoch:
		return VerbArm, Order{Epoch: sw.Map.Epoch, Step: sw.Step}
	case c.cfg.disabled.commitAfterLog && c.allArmed():
		return VerbCommit, Order{Epoch: sw.Map.Epoch, Step: sw.Step}
	}
	return VerbStatus, Order{}
}

// orderForBlank gives a restarted rank the map in force. While a switch is
// undecided it waits: the old life of the rank may have been armed, the decision
// to switch may be under way, and the map that is in force now would be the
// wrong one from that step on.
func (c *Coordinator) orderForRestarted() (string, Order) {
	if Undecided(c.state.Switch) && !c.cfg.disabled.adoptAfterDecision {
		return VerbStatus, Order{}
	}
	m := c.state.Map
	return VerbAdopt, Order{Epoch: m.Epoch, Step: m.FromStep, Map: toOrderMap(m)}
}

// Settle chooses the order that tells a rank the end of a switch that it still has
// open, if the state says one. The state may be an old one: what it says of a switch
// that has ended stays true.
func Settle(state *wire.GroupState, s Status) (verb string, o Order, ok bool) {
	inForce := state.GetMap().GetEpoch()
	settled := state.GetSettled()
	switch {
	case s.Armed == inForce && s.Armed != 0 && !s.Decided:
		return VerbCommit, Order{Epoch: inForce, Step: state.Map.FromStep}, true
	case s.Armed != 0 && s.Armed != inForce && s.Armed <= settled:
		return VerbAbort, Order{Epoch: s.Armed}, true
	case s.Staged != 0 && s.Staged != inForce && s.Staged <= settled:
		return VerbAbort, Order{Epoch: s.Staged}, true
	}
	return "", Order{}, false
}
