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

// rankOrders keeps at most one order on its way to a rank, and the one that
// follows it.
type rankOrders struct {
	busy bool
	next *rollout.Outgoing
}

// act carries out what the coordinator asks for.
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
			kernel.Debug(d.log, "The log refused a command.", "group", d.name, "detail", r.Detail)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.proposing = false
	}()
}

// order sends an order to a rank as soon as the one before it is answered.
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

// answered takes a rank's answer.
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

// timeoutOf bounds an order. Those that carry no map are answered at once, and a
// group may be waiting for them: a connection that hangs is given up early.
func (d *groupDriver) timeoutOf(verb string) time.Duration {
	switch verb {
	case rollout.VerbArm, rollout.VerbCommit, rollout.VerbAbort:
		return min(d.cfg.Resend, d.settings.OrderTimeout.D())
	}
	return d.settings.OrderTimeout.D()
}

// give sends one order through the rank's agent.
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
