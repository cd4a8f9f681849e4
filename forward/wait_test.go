package forward

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// busyAgents simulates the queues of agents without free slots. A ticket waits until the
// test gives its agent a free slot; a Run is accepted only with the ticket of a slot.
type busyAgents struct {
	mu sync.Mutex
	// tickets holds the agent IDs of all tickets, by ticket.
	tickets map[string]string
	// ran holds the IDs of the agents that have run a request, in order.
	ran       []string
	withdrawn map[string]bool
	// held holds the value of freeSlots that each held slot was taken for, by ticket.
	held map[string]string
	// freeSlots yields the IDs of the agents that get a free slot; "any" is any agent.
	freeSlots chan string
	// nextFree is added to freeSlots at the first Run with a ticket.
	nextFree string
	// lost holds the agents that refuse the Run for a slot that they held.
	lost map[string]bool
	// crashing is the agent that crashes during a Run.
	crashing string
	// full makes all agents refuse tickets because their queues are full.
	full bool
	// onWait, if not nil, is called for each ticket, which then exceeds its deadline.
	onWait func()
}

func newBusyAgents() *busyAgents {
	return &busyAgents{
		tickets: map[string]string{}, withdrawn: map[string]bool{}, held: map[string]string{}, lost: map[string]bool{}, freeSlots: make(chan string, 32),
	}
}

func noFreeSlot() *wire.RunEnd {
	return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_QUEUE_FULL, Load: &wire.Load{Slots: 8, Running: 8}}
}

func (b *busyAgents) end(id string, h *wire.RunHead) *wire.RunEnd {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.Ticket != "" && b.nextFree != "" {
		b.freeSlots <- b.nextFree
		b.nextFree = ""
	}
	if h.Ticket == "" || b.tickets[h.Ticket] != id || b.lost[id] {
		return noFreeSlot()
	}
	if b.crashing == id {
		return nil
	}
	b.ran = append(b.ran, id)
	return doneEnd()
}

// wait implements Wait for the given agent.
func (b *busyAgents) wait(ctx context.Context, id string, t *wire.Ticket) (*wire.Slot, error) {
	b.mu.Lock()
	b.tickets[t.Id] = id
	full := b.full
	b.mu.Unlock()
	if b.onWait != nil {
		b.onWait()
		return &wire.Slot{Reason: wire.Reason_REASON_DEADLINE}, nil
	}
	if full {
		return &wire.Slot{Reason: wire.Reason_REASON_QUEUE_FULL}, nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case free := <-b.freeSlots:
			if free == id || free == "any" {
				b.hold(t.Id, free)
				return &wire.Slot{Held: true}, nil
			}
			b.freeSlots <- free
		case <-time.After(time.Millisecond):
		}
		b.mu.Lock()
		withdrawn := b.withdrawn[t.Id]
		b.mu.Unlock()
		if withdrawn {
			return &wire.Slot{Reason: wire.Reason_REASON_DEADLINE}, nil
		}
	}
}

// ticketCount returns the number of tickets queued so far.
func (b *busyAgents) ticketCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tickets)
}

func (b *busyAgents) runs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ran)
}

func (b *busyAgents) hold(ticket, slot string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[ticket] = slot
}

// withdraw implements Withdraw. A slot held for the ticket becomes free again.
func (b *busyAgents) withdraw(ticket string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn[ticket] = true
	if slot := b.held[ticket]; slot != "" {
		delete(b.held, ticket)
		b.freeSlots <- slot
	}
}

func newBusyHarness(t *testing.T, b *busyAgents, retryPercent, agents int) *harness {
	r := newHarness(t, "least-loaded", retryPercent, agents, b.end)
	for _, a := range r.agents {
		a.queue = b
	}
	return r
}

// A request that finds no free slot must run once, at the first upstream that holds a slot
// for it, and all its other tickets must be withdrawn.
func TestFirstHeldSlotRunsRequest(t *testing.T) {
	b := newBusyAgents()
	r := newBusyHarness(t, b, 0, 4)
	b.freeSlots <- "up-2"
	res, _ := r.call(false)
	assert.Equal(t, res.Reason, wire.Reason(0), "%s", res.Detail)
	assert.DeepEqual(t, b.runs(), []string{"up-2"})
	assert.Equal(t, r.attempts(), 2)
	for {
		b.mu.Lock()
		tickets, withdrawn := len(b.tickets), len(b.withdrawn)
		b.mu.Unlock()
		if withdrawn == tickets-1 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// If an agent no longer holds the slot when the Run arrives, the request was certainly not
// executed. It must wait for the next slot, even if it is not idempotent, and run there.
func TestLostSlotIsReplaced(t *testing.T) {
	b := newBusyAgents()
	b.lost["up-1"] = true
	r := newBusyHarness(t, b, 0, 3)
	b.freeSlots <- "up-1"
	b.nextFree = "up-0"
	res, _ := r.call(false)
	assert.Equal(t, res.Reason, wire.Reason(0), "%s", res.Detail)
	assert.DeepEqual(t, b.runs(), []string{"up-0"})
}

// If an agent crashes during the Run for a held slot, the request may have been executed:
// an idempotent one must be retried, any other must end with an unknown outcome.
func TestAgentCrashesWithHeldSlot(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		b := newBusyAgents()
		b.crashing = "up-1"
		r := newBusyHarness(t, b, 100, 3)
		b.freeSlots <- "up-1"
		b.nextFree = "up-2"
		res, _ := r.call(idempotent)
		if !idempotent {
			assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
			assert.Equal(t, r.attempts(), 2)
			continue
		}
		assert.Equal(t, res.Reason, wire.Reason(0), "%s", res.Detail)
		assert.DeepEqual(t, b.runs(), []string{"up-2"})
	}
}

// If all agents hold slots but refuse every Run, the request must end as "not run" after a
// bounded number of attempts and tickets.
func TestLostSlotsAreBounded(t *testing.T) {
	b := newBusyAgents()
	r := newBusyHarness(t, b, 0, 2)
	for range 8 {
		b.freeSlots <- "any"
	}
	b.lost["up-0"], b.lost["up-1"] = true, true
	res, _ := r.call(true)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, res.Reason, wire.Reason_REASON_QUEUE_FULL)
	assert.Assert(t, r.attempts() <= 1+maxReroutes, "%d attempts", r.attempts())
	assert.Assert(t, b.ticketCount() <= maxReroutes*maxTickets, "%d tickets", b.ticketCount())
}

// If all queues are full, the request must be refused after a single round of tickets.
func TestFullQueuesRefuseAfterOneRound(t *testing.T) {
	b := newBusyAgents()
	b.full = true
	r := newBusyHarness(t, b, 0, 4)
	res, _ := r.call(true)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, res.Reason, wire.Reason_REASON_QUEUE_FULL)
	assert.Equal(t, r.attempts(), 2)
	assert.Equal(t, b.ticketCount(), maxTickets)
}

// If no slot becomes free before the deadline, the request must end as "not run" with the
// reason "deadline".
func TestDeadlineExceededWhileWaiting(t *testing.T) {
	b := newBusyAgents()
	r := newBusyHarness(t, b, 0, 2)
	b.onWait = func() { r.advance(2 * time.Minute) }
	res, _ := r.call(true)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, res.Reason, wire.Reason_REASON_DEADLINE, "%s", res.Detail)
	assert.Equal(t, len(b.runs()), 0)
}
