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
	// resolveInterval is how often an agent looks whether its rank waits for a
	// decision; the leader has one interval to tell it first.
	resolveInterval   = 500 * time.Millisecond
	groupStateTimeout = time.Second
)

// resolveLoop tells an armed rank the decision when the leader doesn't. A leader
// that a partition keeps from this host alone goes on leading; its group would stand
// still until the network heals, though any control replica knows the decision.
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

// resolve looks at the rank once. What a replica's state says of an ended switch is
// true however old the state is, so any replica will do.
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
		verb, o, ok := rollout.Settle(state, status)
		if !ok {
			return false
		}
		o.Group, o.Rank, o.Incarnation = group, rank, status.Incarnation
		_, err := a.sendAgentOrder(ctx, verb, o)
		kernel.Info(a.log, "Told the rank how a switch ended.", "group", group, "rank", rank, "epoch", o.Epoch, "verb", verb, "err", err)
		return err == nil
	})
}

// giveOwn gives the upstream an order of the agent's own, under the highest token
// that it knows: it must not look older to the engine than the leader's.
func (a *Agent) sendAgentOrder(ctx context.Context, verb string, o rollout.Order) (s rollout.Status, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return s, err
	}
	a.orders.mu.Lock()
	defer a.orders.mu.Unlock()
	order := &wire.Order{Group: o.Group, Token: a.orders.guard.Highest(o.Group), Verb: verb, Body: body, OrderId: "agent"}
	if ok, detail := a.orders.admitAgentOrder(ctx, order); !ok {
		return s, merry.Prepend(ErrOrder, detail)
	}
	reply, err := a.upstream.Give(ctx, order)
	if err != nil {
		return s, err
	}
	if !reply.Accepted {
		return s, merry.Prepend(ErrOrder, reply.Detail)
	}
	return s, json.Unmarshal(reply.Body, &s)
}

// admitOwn learns the current token first, if none is known; the caller holds mu.
func (o *orderFence) admitAgentOrder(ctx context.Context, order *wire.Order) (bool, string) {
	if !o.guard.Known(order.Group) {
		token, err := o.currentToken(ctx, order.Group)
		if err != nil {
			return false, "the current fencing token can't be learned: " + err.Error()
		}
		o.guard.Learn(order.Group, token)
		order.Token = o.guard.Highest(order.Group)
	}
	return o.admit(ctx, order)
}
