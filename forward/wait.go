package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

const (
	// maxTickets is the maximum number of upstreams at which a call waits at once,
	// maxUrgentTickets that of an urgent one: each upstream keeps only few slots for
	// urgent requests.
	maxTickets       = 4
	maxUrgentTickets = 8
	// withdrawTimeout bounds the withdrawal of a ticket. If it fails, the agent itself
	// releases the slot soon after it has reserved it.
	withdrawTimeout = time.Second
)

// MaxTickets returns the maximum number of upstreams at which a call of a priority waits at
// once.
func MaxTickets(p wire.Priority) int {
	if p == wire.Priority_PRIORITY_URGENT {
		return maxUrgentTickets
	}
	return maxTickets
}

// queuedTicket is a ticket in the queue of an upstream.
type queuedTicket struct {
	up     route.Upstream
	ticket string
	// total is the number of tickets of the call.
	total int
}

// ticketResult is the result of a ticket.
type ticketResult struct {
	queuedTicket
	// held is true if the agent holds a slot for the ticket.
	held bool
	// full is true if the agent's queue was full.
	full bool
}

// waitForSlot queues a ticket for the call at several upstreams until one of them holds
// a slot for it, and withdraws the others. It sets the call's reservation if it gets a
// slot. It returns false if all queues are full, or else true, also without a slot: the
// next attempt then goes to an upstream picked by the balancer.
func (f *Forwarder) waitForSlot(ctx context.Context, c *Call, n int) bool {
	waiter, tickets := f.newTickets(c, n)
	// The context of the tickets outlives ctx: cancelling the other tickets before
	// their replies arrive would cost a connection each.
	queueCtx, stop := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	detach := context.AfterFunc(ctx, stop)
	defer detach()
	results := make(chan ticketResult, len(tickets))
	for _, t := range tickets {
		go func() { results <- f.queueTicket(queueCtx, t, c) }()
	}
	full := 0
	for left := len(tickets); left > 0; left-- {
		r := <-results
		if r.held && f.startReserved(waiter, r.up, c) {
			c.reservation = &r.queuedTicket
			go f.withdrawOthers(stop, tickets, r.queuedTicket, results, left-1)
			return true
		}
		if r.held {
			go f.withdraw(r.queuedTicket)
		}
		if r.full {
			full++
		}
	}
	stop()
	return len(tickets) == 0 || full < len(tickets)
}

// newTickets returns the tickets to queue for a call; none if the balancer does not
// support waiting at several upstreams.
func (f *Forwarder) newTickets(c *Call, n int) (route.LateBinder, []queuedTicket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.balancers[c.Pool.Name]
	if b == nil {
		return nil, nil
	}
	waiter, ok := b.Balancer.(route.LateBinder)
	if !ok {
		return nil, nil
	}
	ups := waiter.QueueCandidates(f.now(), c.Route, MaxTickets(c.Head.Priority))
	tickets := make([]queuedTicket, len(ups))
	for i, up := range ups {
		tickets[i] = queuedTicket{up: up, ticket: c.Head.RequestId + ".w" + strconv.Itoa(n) + "." + strconv.Itoa(i), total: len(ups)}
	}
	return waiter, tickets
}

// startReserved counts the attempt as in flight at an upstream that holds a slot. It
// returns false if the upstream is gone.
func (f *Forwarder) startReserved(w route.LateBinder, up route.Upstream, c *Call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return w.StartReserved(f.now(), up, c.Route)
}

// queueTicket queues a ticket and waits for its result.
func (f *Forwarder) queueTicket(ctx context.Context, t queuedTicket, c *Call) ticketResult {
	h := c.Head
	reply, err := wire.NewDRPCAgentClient(f.pool.Conn(ctx, t.up.Address)).Wait(ctx, &wire.Ticket{
		Id: t.ticket, Team: h.Team, Weight: h.Weight, Priority: h.Priority, Tokens: h.Tokens,
		TimeoutUs: c.Deadline.Sub(f.now()).Microseconds(), Incarnation: t.up.Incarnation, Tickets: uint32(t.total),
	})
	if err != nil {
		return ticketResult{queuedTicket: t}
	}
	return ticketResult{queuedTicket: t, held: reply.Held, full: reply.Reason == wire.Reason_REASON_QUEUE_FULL}
}

// withdrawOthers withdraws all tickets but the used one and waits for their results. A
// withdrawal may arrive before its ticket, or when the agent has just reserved a slot;
// a ticket whose result shows a held slot is therefore withdrawn again.
func (f *Forwarder) withdrawOthers(stop func(), tickets []queuedTicket, used queuedTicket, results <-chan ticketResult, left int) {
	defer stop()
	for _, t := range tickets {
		if t.ticket != used.ticket {
			go f.withdraw(t)
		}
	}
	for range left {
		if r := <-results; r.held {
			go f.withdraw(r.queuedTicket)
		}
	}
}

// withdraw withdraws a ticket and releases the slot that is held for it, if any. Errors
// are ignored: the agent releases an unused slot by itself.
func (f *Forwarder) withdraw(t queuedTicket) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	_, _ = wire.NewDRPCAgentClient(f.pool.Conn(ctx, t.up.Address)).Withdraw(ctx, &wire.WithdrawRequest{Ticket: t.ticket})
}
