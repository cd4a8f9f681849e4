package control

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// rankOrderQueue tracks whether an order to a rank is in flight, and the order to send
// next.
type rankOrderQueue struct {
	inFlight bool
	pending  *rollout.RankOrder
}

// runCoordinator advances the coordinator, sends the orders that it returns and proposes
// its command.
func (d *groupDriver) runCoordinator(ctx context.Context, now time.Time) {
	e := d.coord.Tick(now)
	for _, o := range e.Orders {
		d.sendOrder(ctx, o)
	}
	if e.Command == nil || d.proposing {
		return
	}
	d.proposing = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		r, err := d.replica.proposeGroupCommand(ctx, e.Command)
		if err == nil && !r.Accepted {
			kernel.Debug(d.log, "Group command was rejected by the state machine.", "group", d.name, "detail", r.Detail)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.proposing = false
	}()
}

// sendOrder sends an order to a rank, after the reply to the one in flight if there is
// one. A newer order replaces one that is still waiting.
func (d *groupDriver) sendOrder(ctx context.Context, o rollout.RankOrder) {
	q := d.orders[o.Rank]
	if q == nil {
		q = &rankOrderQueue{}
		d.orders[o.Rank] = q
	}
	if q.inFlight {
		q.pending = &o
		return
	}
	a := d.ranks[o.Rank]
	if a == nil {
		d.details[o.Rank] = "no upstream announces this rank"
		return
	}
	q.inFlight = true
	go func() {
		reply, err := d.callAgent(ctx, a, o.Verb, o.Order)
		d.mu.Lock()
		defer d.mu.Unlock()
		q.inFlight = false
		d.handleReply(o, reply, err)
		next := q.pending
		q.pending = nil
		if ctx.Err() != nil || d.drivers[d.name] != d {
			return
		}
		if next != nil {
			d.sendOrder(ctx, *next)
		}
		d.runCoordinator(ctx, d.clock())
	}()
}

// handleReply passes the status in the reply to an order to the coordinator, or records
// why there is none.
func (d *groupDriver) handleReply(o rollout.RankOrder, reply *wire.OrderReply, err error) {
	var s rollout.Status
	if err == nil && reply.Accepted {
		err = json.Unmarshal(reply.Body, &s)
	}
	switch {
	case err != nil:
		d.details[o.Rank] = err.Error()
		return
	case !reply.Accepted:
		d.details[o.Rank] = reply.Detail
		return
	}
	d.details[o.Rank] = s.Refused
	d.coord.HandleStatus(d.clock(), o.Rank, s)
}

// orderTimeoutFor returns the timeout of an order. Arm, commit and abort carry no map and
// are answered at once; as the group may have stopped to wait for them, a hanging
// connection is given up early.
func (d *groupDriver) orderTimeoutFor(verb string) time.Duration {
	switch verb {
	case rollout.VerbArm, rollout.VerbCommit, rollout.VerbAbort:
		return min(d.cfg.Resend, d.settings.OrderTimeout.D())
	}
	return d.settings.OrderTimeout.D()
}

// callAgent sends one order to the rank's agent and returns its reply.
func (d *groupDriver) callAgent(ctx context.Context, a *wire.Announcement, verb string, body any) (*wire.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, d.orderTimeoutFor(verb))
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCAgentClient(d.pool.Conn(ctx, a.Address)).Give(ctx, &wire.Order{
		Group: d.name, Token: d.token, Verb: verb, Body: text,
		OrderId: fmt.Sprintf("%s/%d/%d", d.name, d.token, a.Rank),
	})
}
