package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/fence"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// tokenTimeout bounds the query of one control replica for the current fencing token.
const tokenTimeout = time.Second

// orderFence checks the fencing tokens of orders before they are sent to the upstream. It
// is the only protection for engines that do not check tokens themselves.
type orderFence struct {
	// mu is held while an order is sent to the upstream. Otherwise two admitted orders
	// could be reordered, and the older one applied after the newer one.
	mu           sync.Mutex
	guard        *fence.Guard
	currentToken func(ctx context.Context, group string) (uint64, error)
	// eachGroupState calls a function with the group's state on each control replica until
	// it returns true.
	eachGroupState func(ctx context.Context, group string, f func(*wire.GroupState) bool)
	// undecidedEpoch is the epoch for which the engine was armed at the last check; 0 if
	// it was not armed.
	undecidedEpoch uint64
}

func newOrderFence(client *control.Client) *orderFence {
	return &orderFence{
		guard: fence.NewGuard(),
		currentToken: func(ctx context.Context, group string) (token uint64, err error) {
			err = client.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) error {
				// A frozen replica keeps its connections open and does not reply. Every
				// order waits for this query, so it moves on to the next replica after a
				// timeout.
				ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
				defer cancel()
				r, err := c.Token(ctx, &wire.TokenRequest{Group: group})
				if err == nil {
					token = r.Token
				}
				return err
			})
			return token, err
		},
		eachGroupState: func(ctx context.Context, group string, f func(*wire.GroupState) bool) {
			client.ForEachReplica(ctx, groupStateTimeout, func(ctx context.Context, c wire.DRPCControlClient) bool {
				state, err := c.GroupMaps(ctx, &wire.GroupsRequest{Group: group})
				return err == nil && f(state)
			})
		},
	}
}

// admit returns whether an order may be sent to the upstream and, if not, why. The caller
// holds mu. A guard that has just started knows no token, so the current one, confirmed by
// a quorum, is queried first.
func (o *orderFence) admit(ctx context.Context, order *wire.Order) (bool, string) {
	if !o.guard.Known(order.Group) {
		token, err := o.currentToken(ctx, order.Group)
		if err != nil {
			return false, "cannot get the current fencing token: " + err.Error()
		}
		o.guard.Learn(order.Group, token)
	}
	if !o.guard.Admit(order.Group, order.Token) {
		return false, fmt.Sprintf("fencing token %d is stale", order.Token)
	}
	return true, ""
}

// Give implements the Agent service. It sends an order to the upstream unless its fencing
// token is lower than the highest known one.
func (a *Agent) Give(ctx context.Context, order *wire.Order) (*wire.OrderReply, error) {
	a.orders.mu.Lock()
	defer a.orders.mu.Unlock()
	ok, detail := a.orders.admit(ctx, order)
	highest := a.orders.guard.Highest(order.Group)
	if !ok {
		metrics.GetOrRegisterCounter("agent.orders.refused", a.metrics).Inc(1)
		kernel.Warn(a.log, "Order refused.", "verb", order.Verb, "group", order.Group, "token", order.Token, "highest", highest, "detail", detail)
		return &wire.OrderReply{Detail: detail, HighestToken: highest}, nil
	}
	reply, err := a.forwardOrder(ctx, order)
	if err != nil {
		return nil, err
	}
	reply.HighestToken = highest
	return reply, nil
}

// forwardOrder sends an order to the upstream, or collects the expert counters. A
// collection resets the counters, so only the leaseholder may collect them: a second
// collector would get part of the counts.
func (a *Agent) forwardOrder(ctx context.Context, order *wire.Order) (*wire.OrderReply, error) {
	if order.Verb != rollout.VerbCounters {
		return a.upstream.SendOrder(ctx, order)
	}
	counters, err := a.upstream.Counters(ctx)
	if err != nil {
		return nil, err
	}
	body, err := proto.Marshal(counters)
	return &wire.OrderReply{Accepted: err == nil, Body: body}, err
}
