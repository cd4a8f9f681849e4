package rollout

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// nextOrder returns the order to send to rank i now, or false if none is due.
func (c *Coordinator) nextOrder(now time.Time, i int) (RankOrder, bool) {
	r := &c.ranks[i]
	verb, o := c.orderFor(r)
	interval := c.resendInterval(verb, r)
	if !r.orderSentAt.IsZero() && verb == r.lastVerb && o.Epoch == r.lastEpoch && now.Sub(r.orderSentAt) < interval {
		return RankOrder{}, false
	}
	r.lastVerb, r.lastEpoch, r.orderSentAt, r.awaitingStatus = verb, o.Epoch, now, true
	o.Group, o.Rank, o.Incarnation = c.cfg.Group, i, r.status.Incarnation
	return RankOrder{Rank: i, Verb: verb, Order: o}, true
}

// resendInterval returns the time after which an unchanged order is sent again.
func (c *Coordinator) resendInterval(verb string, r *rankState) time.Duration {
	switch verb {
	case VerbArm, VerbCommit, VerbAbort, VerbAdopt:
		return c.cfg.UrgentResend
	case VerbStatus:
		if r.known && c.isIdleRank(r) {
			return c.cfg.IdlePoll
		}
	}
	return c.cfg.Resend
}

// isIdleRank reports whether a rank's state is not expected to change.
func (c *Coordinator) isIdleRank(r *rankState) bool {
	return c.Idle() && !r.status.NoMap
}

// orderFor returns the order that a rank needs now. Without a pending change that is a
// status order.
func (c *Coordinator) orderFor(r *rankState) (string, Order) {
	if !r.known || c.state == nil {
		return VerbStatus, Order{}
	}
	if r.status.NoMap {
		return c.orderForRestarted()
	}
	if verb, o, ok := OutcomeOrder(c.state, r.status); ok {
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

// orderForRestarted gives a restarted rank the map in force. While a switch is undecided
// the rank gets none: its previous incarnation may have been armed, and if the switch is
// then committed, the current map would be wrong from the armed step on.
func (c *Coordinator) orderForRestarted() (string, Order) {
	if Undecided(c.state.Switch) && !c.cfg.disabled.adoptAfterDecision {
		return VerbStatus, Order{}
	}
	m := c.state.Map
	return VerbAdopt, Order{Epoch: m.Epoch, Step: m.FromStep, Map: toOrderMap(m)}
}

// OutcomeOrder returns the order that tells a rank the outcome of a switch that is still open
// at the rank, or false if there is no such switch or the state contains no outcome. The
// state may be stale: the outcome of a decided switch doesn't change.
func OutcomeOrder(state *wire.GroupState, s Status) (verb string, o Order, ok bool) {
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
