package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

const (
	// resolveInterval is the interval between two checks whether the rank is armed and
	// undecided. The leader has one interval to deliver the decision first.
	resolveInterval   = 500 * time.Millisecond
	groupStateTimeout = time.Second
)

// resolveSwitchLoop delivers the decision on a map switch to an armed rank if the leader
// does not. A leader that cannot reach this host, but reaches the other replicas, stays
// the leader. Without the decision the group would stall until the network recovers,
// although any control replica knows it.
func (a *Agent) resolveSwitchLoop(ctx context.Context) {
	if a.settings.Group == "" {
		return
	}
	tick := time.NewTicker(resolveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.resolveSwitch(ctx, a.settings.Group, int(a.settings.Rank))
		}
	}
}

// resolveSwitch checks the rank once and delivers the decision if it is known. A finished
// switch never changes again, so even the state of a lagging replica is sufficient.
func (a *Agent) resolveSwitch(ctx context.Context, group string, rank int) {
	status, err := a.sendAgentOrder(ctx, rollout.VerbStatus, rollout.Order{Group: group, Rank: rank})
	if err != nil {
		return
	}
	firstSeen := a.orders.undecidedEpoch != status.Armed
	a.orders.undecidedEpoch = status.Armed
	if status.Armed == 0 || status.Decided || firstSeen {
		return
	}
	a.orders.eachGroupState(ctx, group, func(state *wire.GroupState) bool {
		verb, o, ok := rollout.OutcomeOrder(state, status)
		if !ok {
			return false
		}
		o.Group, o.Rank, o.Incarnation = group, rank, status.Incarnation
		_, err := a.sendAgentOrder(ctx, verb, o)
		kernel.Info(a.log, "Delivered the decision on a map switch to the rank.", "group", group, "rank", rank, "epoch", o.Epoch, "verb", verb, "err", err)
		return err == nil
	})
}

// sendAgentOrder sends an order of the agent itself to the upstream. It uses the highest
// known token, so that an engine which checks tokens does not refuse it as older than the
// leader's orders.
func (a *Agent) sendAgentOrder(ctx context.Context, verb string, o rollout.Order) (s rollout.Status, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return s, err
	}
	a.orders.mu.Lock()
	defer a.orders.mu.Unlock()
	order := &wire.Order{Group: o.Group, Token: a.orders.guard.Highest(o.Group), Verb: verb, Body: body, OrderId: "agent"}
	if ok, detail := a.orders.admitAgentOrder(ctx, order); !ok {
		return s, merry.Prepend(ErrOrderRefused, detail)
	}
	reply, err := a.upstream.SendOrder(ctx, order)
	if err != nil {
		return s, err
	}
	if !reply.Accepted {
		return s, merry.Prepend(ErrOrderRefused, reply.Detail)
	}
	return s, json.Unmarshal(reply.Body, &s)
}

// admitAgentOrder gets the current token first, if none is known, and sets it in the
// order. The caller holds mu.
func (o *orderFence) admitAgentOrder(ctx context.Context, order *wire.Order) (bool, string) {
	if !o.guard.Known(order.Group) {
		token, err := o.currentToken(ctx, order.Group)
		if err != nil {
			return false, "cannot get the current fencing token: " + err.Error()
		}
		o.guard.Learn(order.Group, token)
		order.Token = o.guard.Highest(order.Group)
	}
	return o.admit(ctx, order)
}
