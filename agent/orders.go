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

// tokenTimeout is how long one replica may take to tell the token in force.
const tokenTimeout = time.Second

// orders lets orders through to the upstream under the guard of their fencing
// tokens. Engines that ignore tokens have no other guard.
type orderFence struct {
	// mu is held while an order is with the upstream. Two orders that were both
	// admitted could otherwise overtake each other on their way: the older one
	// would be carried out after the newer one's first.
	mu           sync.Mutex
	guard        *fence.Guard
	currentToken func(ctx context.Context, group string) (uint64, error)
	// states hands the group's state on each control replica to a function until
	// that returns true.
	eachGroupState func(ctx context.Context, group string, f func(*wire.GroupState) bool)
	// doubt is the epoch that the engine was armed for, and not told the end of,
	// when it was last looked at.
	undecidedEpoch uint64
}

func newOrderFence(client *control.Client) *orderFence {
	return &orderFence{
		guard: fence.NewGuard(),
		currentToken: func(ctx context.Context, group string) (token uint64, err error) {
			err = client.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) error {
				// A frozen replica keeps its connections and says nothing. Every
				// order waits for the answer; another replica has it too.
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
			client.Each(ctx, groupStateTimeout, func(ctx context.Context, c wire.DRPCControlClient) bool {
				state, err := c.GroupMaps(ctx, &wire.GroupsRequest{Group: group})
				return err == nil && f(state)
			})
		},
	}
}

// admit says whether an order may pass; the caller holds mu. A guard that has
// just started has forgotten which tokens it saw, so it asks a quorum first.
func (o *orderFence) admit(ctx context.Context, order *wire.Order) (bool, string) {
	if !o.guard.Known(order.Group) {
		token, err := o.currentToken(ctx, order.Group)
		if err != nil {
			return false, "the current fencing token can't be learned: " + err.Error()
		}
		o.guard.Learn(order.Group, token)
	}
	if !o.guard.Admit(order.Group, order.Token) {
		return false, fmt.Sprintf("fencing token %d is old", order.Token)
	}
	return true, ""
}

// Give implements the Agent service.
func (a *Agent) Give(ctx context.Context, order *wire.Order) (*wire.OrderReply, error) {
	a.orders.mu.Lock()
	defer a.orders.mu.Unlock()
	ok, detail := a.orders.admit(ctx, order)
	highest := a.orders.guard.Highest(order.Group)
	if !ok {
		metrics.GetOrRegisterCounter("agent.orders.refused", a.metrics).Inc(1)
		kernel.Warn(a.log, "Refused an order.", "verb", order.Verb, "group", order.Group, "token", order.Token, "highest", highest, "detail", detail)
		return &wire.OrderReply{Detail: detail, HighestToken: highest}, nil
	}
	reply, err := a.forwardOrder(ctx, order)
	if err != nil {
		return nil, err
	}
	reply.HighestToken = highest
	return reply, nil
}

// passOn gives an order to the upstream, or collects its expert counters. The
// counters start anew with each collection, so they go to the holder of the
// lease only: a second collector would take half of them away.
func (a *Agent) forwardOrder(ctx context.Context, order *wire.Order) (*wire.OrderReply, error) {
	if order.Verb != rollout.VerbCounters {
		return a.upstream.Give(ctx, order)
	}
	counters, err := a.upstream.Counters(ctx)
	if err != nil {
		return nil, err
	}
	body, err := proto.Marshal(counters)
	return &wire.OrderReply{Accepted: err == nil, Body: body}, err
}
