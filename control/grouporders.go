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

// rankOrders tracks whether an order to a rank is in flight, and the order to send
// after it.
type rankOrders struct {
	busy bool
	next *rollout.Outgoing
}

// act advances the coordinator, sends the orders that it returns and proposes its command.
func (d *groupDriver) act(ctx context.Context, now time.Time) {
	e := d.coord.Tick(now)
	for _, o := range e.Orders {
		d.order(ctx, o)
	}
	if e.Command == nil || d.proposing {
		return
	}
	d.proposing = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		r, err := d.replica.proposeGroup(ctx, e.Command)
		if err == nil && !r.Accepted {
			kernel.Debug(d.log, "Group command was rejected by the state machine.", "group", d.name, "detail", r.Detail)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.proposing = false
	}()
}

// order sends an order to a rank, after the answer to the one in flight if there is
// one. Only the latest order waits.
func (d *groupDriver) order(ctx context.Context, o rollout.Outgoing) {
	q := d.orders[o.Rank]
	if q == nil {
		q = &rankOrders{}
		d.orders[o.Rank] = q
	}
	if q.busy {
		q.next = &o
		return
	}
	a := d.ranks[o.Rank]
	if a == nil {
		d.details[o.Rank] = "no upstream announces this rank"
		return
	}
	q.busy = true
	go func() {
		reply, err := d.give(ctx, a, o.Verb, o.Order)
		d.mu.Lock()
		defer d.mu.Unlock()
		q.busy = false
		d.answered(o, reply, err)
		next := q.next
		q.next = nil
		if ctx.Err() != nil || d.drivers[d.name] != d {
			return
		}
		if next != nil {
			d.order(ctx, *next)
		}
		d.act(ctx, d.clock())
	}()
}

// answered handles the answer to an order.
func (d *groupDriver) answered(o rollout.Outgoing, reply *wire.OrderReply, err error) {
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
	d.coord.Heard(d.clock(), o.Rank, s)
}

// timeoutOf returns the timeout of an order. Arm, commit and abort carry no map and are
// answered at once; as the group may have stopped to wait for them, a hanging
// connection is given up early.
func (d *groupDriver) timeoutOf(verb string) time.Duration {
	switch verb {
	case rollout.VerbArm, rollout.VerbCommit, rollout.VerbAbort:
		return min(d.cfg.Resend, d.settings.OrderTimeout.D())
	}
	return d.settings.OrderTimeout.D()
}

// give sends one order to the rank's agent and returns its reply.
func (d *groupDriver) give(ctx context.Context, a *wire.Announcement, verb string, body any) (*wire.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeoutOf(verb))
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
