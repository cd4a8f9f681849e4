package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

const (
	// maxTickets is at how many upstreams a call waits at once; an urgent one at
	// more, since few slots are kept for it anywhere. See docs/design/route.md.
	maxTickets       = 4
	maxUrgentTickets = 8
	// withdrawTimeout bounds how long a ticket is taken back. One that an agent
	// doesn't hear of gives its slot back by itself, a moment after its turn.
	withdrawTimeout = time.Second
)

// Tickets is at how many upstreams a call of a class waits at once.
func Tickets(p wire.Priority) int {
	if p == wire.Priority_PRIORITY_URGENT {
		return maxUrgentTickets
	}
	return maxTickets
}

// slot is a ticket's place at an upstream.
type slot struct {
	up     route.Upstream
	ticket string
	// of is how many tickets the call has.
	of int
}

// answer is what became of one ticket.
type answer struct {
	slot
	held bool
	// full says that the agent's queue had no place for the ticket.
	full bool
}

// wait queues at several upstreams, without the request, until one holds a slot
// for it; the others are told to forget it. It returns false if all queues are
// full. Without a slot for any other reason the call goes on as if it had not
// waited.
func (f *Forwarder) wait(ctx context.Context, c *Call, n int) bool {
	waiter, slots := f.places(c, n)
	// The other tickets are still on their way back when the caller has its
	// answer: cut then, they would each cost a connection.
	queued, stop := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	unhook := context.AfterFunc(ctx, stop)
	defer unhook()
	answers := make(chan answer, len(slots))
	for _, s := range slots {
		go func() { answers <- f.queue(queued, s, c) }()
	}
	full := 0
	for left := len(slots); left > 0; left-- {
		a := <-answers
		if a.held && f.take(waiter, a.up, c) {
			c.slot = &a.slot
			go f.forget(stop, slots, a.slot, answers, left-1)
			return true
		}
		if a.held {
			go f.withdraw(a.slot)
		}
		if a.full {
			full++
		}
	}
	stop()
	return len(slots) == 0 || full < len(slots)
}

// places says where a call waits; nowhere if its plug-in can't tell.
func (f *Forwarder) places(c *Call, n int) (route.Waiter, []slot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.balancers[c.Pool.Name]
	if b == nil {
		return nil, nil
	}
	waiter, ok := b.Balancer.(route.Waiter)
	if !ok {
		return nil, nil
	}
	ups := waiter.Places(f.now(), c.Route, Tickets(c.Head.Priority))
	slots := make([]slot, len(ups))
	for i, up := range ups {
		slots[i] = slot{up: up, ticket: c.Head.RequestId + ".w" + strconv.Itoa(n) + "." + strconv.Itoa(i), of: len(ups)}
	}
	return waiter, slots
}

// take counts the attempt at an upstream that holds a slot. It returns false if
// the upstream has left meanwhile.
func (f *Forwarder) take(w route.Waiter, up route.Upstream, c *Call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return w.Take(f.now(), up, c.Route)
}

// queue waits at one upstream.
func (f *Forwarder) queue(ctx context.Context, s slot, c *Call) answer {
	h := c.Head
	got, err := wire.NewDRPCAgentClient(f.pool.Conn(ctx, s.up.Address)).Wait(ctx, &wire.Ticket{
		Id: s.ticket, Team: h.Team, Weight: h.Weight, Priority: h.Priority, Tokens: h.Tokens,
		TimeoutUs: c.Deadline.Sub(f.now()).Microseconds(), Incarnation: s.up.Incarnation, Tickets: uint32(s.of),
	})
	if err != nil {
		return answer{slot: s}
	}
	return answer{slot: s, held: got.Held, full: got.Reason == wire.Reason_REASON_QUEUE_FULL}
}

// forget takes back the tickets that were not needed, and waits for their answers.
// A ticket may be overtaken by its withdrawal, or get its turn at the same time:
// the slot that it holds then is given back when the answer shows it.
func (f *Forwarder) forget(stop func(), slots []slot, won slot, answers <-chan answer, left int) {
	defer stop()
	for _, s := range slots {
		if s.ticket != won.ticket {
			go f.withdraw(s)
		}
	}
	for range left {
		if a := <-answers; a.held {
			go f.withdraw(a.slot)
		}
	}
}

func (f *Forwarder) withdraw(s slot) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	_, _ = wire.NewDRPCAgentClient(f.pool.Conn(ctx, s.up.Address)).Withdraw(ctx, &wire.WithdrawRequest{Ticket: s.ticket})
}
