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

// busyAgents are agents without a free slot. Tickets wait until the test lets one
// agent hold a slot; a Run with a ticket is answered there once.
type busyAgents struct {
	mu        sync.Mutex
	tickets   map[string]string
	ran       []string
	withdrawn map[string]bool
	// held is whose turn each held slot was.
	held map[string]string
	// turn yields the agents that get a free slot, in order.
	turn chan string
	// then gets a free slot once the first Run with a ticket has come.
	then string
	// lost agents refuse the Run of a slot that they held.
	lost map[string]bool
	// dies is the agent that dies with a Run in its hands.
	dies string
	// full agents refuse tickets.
	full bool
	// late lets the deadlines of tickets pass.
	late func()
}

func newBusyAgents() *busyAgents {
	return &busyAgents{
		tickets: map[string]string{}, withdrawn: map[string]bool{}, held: map[string]string{}, lost: map[string]bool{}, turn: make(chan string, 32),
	}
}

func notNow() *wire.RunEnd {
	return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_QUEUE_FULL, Load: &wire.Load{Slots: 8, Running: 8}}
}

func (b *busyAgents) end(id string, h *wire.RunHead) *wire.RunEnd {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.Ticket != "" && b.then != "" {
		b.turn <- b.then
		b.then = ""
	}
	if h.Ticket == "" || b.tickets[h.Ticket] != id || b.lost[id] {
		return notNow()
	}
	if b.dies == id {
		return nil
	}
	b.ran = append(b.ran, id)
	return done()
}

// wait implements Wait for one agent: its turn comes when the test names it.
func (b *busyAgents) wait(ctx context.Context, id string, t *wire.Ticket) (*wire.Slot, error) {
	b.mu.Lock()
	b.tickets[t.Id] = id
	full := b.full
	b.mu.Unlock()
	if b.late != nil {
		b.late()
		return &wire.Slot{Reason: wire.Reason_REASON_DEADLINE}, nil
	}
	if full {
		return &wire.Slot{Reason: wire.Reason_REASON_QUEUE_FULL}, nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case next := <-b.turn:
			if next == id || next == "any" {
				b.hold(t.Id, next)
				return &wire.Slot{Held: true}, nil
			}
			b.turn <- next
		case <-time.After(time.Millisecond):
		}
		b.mu.Lock()
		over := b.withdrawn[t.Id]
		b.mu.Unlock()
		if over {
			return &wire.Slot{Reason: wire.Reason_REASON_DEADLINE}, nil
		}
	}
}

// taken is how many tickets there were.
func (b *busyAgents) taken() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tickets)
}

func (b *busyAgents) runs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ran)
}

func (b *busyAgents) hold(ticket, turn string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[ticket] = turn
}

// withdraw gives the turn of a held slot to the next ticket.
func (b *busyAgents) withdraw(ticket string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn[ticket] = true
	if turn := b.held[ticket]; turn != "" {
		delete(b.held, ticket)
		b.turn <- turn
	}
}

func newBusyRig(t *testing.T, b *busyAgents, retryPercent, agents int) *rig {
	r := newRig(t, "least-loaded", retryPercent, agents, b.end)
	for _, a := range r.agents {
		a.queue = b
	}
	return r
}

// No upstream has a free slot. The request waits at several, and the first that
// has one runs it. It runs once, and every other ticket is taken back: left there
// it would hold a slot for nobody.
func TestFirstFreeSlotWins(t *testing.T) {
	b := newBusyAgents()
	r := newBusyRig(t, b, 0, 4)
	b.turn <- "up-2"
	res, _ := r.call(false)
	assert.Equal(t, res.Reason, wire.Reason(0), "%s", res.Detail)
	assert.DeepEqual(t, b.runs(), []string{"up-2"})
	assert.Equal(t, r.attempts(), 2)
	for {
		b.mu.Lock()
		n, over := len(b.tickets), len(b.withdrawn)
		b.mu.Unlock()
		if over == n-1 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// The agent that promised a slot no longer holds it when the Run comes: the Run
// was late, or the agent has started again. Its refusal is certified, so even a
// request that may run once waits for the next slot, and runs there once.
func TestLostSlotIsWaitedForAgain(t *testing.T) {
	b := newBusyAgents()
	b.lost["up-1"] = true
	r := newBusyRig(t, b, 0, 3)
	b.turn <- "up-1"
	b.then = "up-0"
	res, _ := r.call(false)
	assert.Equal(t, res.Reason, wire.Reason(0), "%s", res.Detail)
	assert.DeepEqual(t, b.runs(), []string{"up-0"})
}

// The agent that promised a slot dies with the Run in its hands. It may have run:
// a request that may run once ends in doubt and is asked of nobody else, and one
// that may be repeated waits for no second slot either, but takes a retry.
func TestAgentDiesAfterItsPromise(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		b := newBusyAgents()
		b.dies = "up-1"
		r := newBusyRig(t, b, 100, 3)
		b.turn <- "up-1"
		b.then = "up-2"
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

// Every agent promises slots and refuses every Run. The request may not go round
// for ever: it ends as not run after a bounded number of messages.
func TestBrokenPromisesAreBounded(t *testing.T) {
	b := newBusyAgents()
	r := newBusyRig(t, b, 0, 2)
	for range 8 {
		b.turn <- "any"
	}
	b.lost["up-0"], b.lost["up-1"] = true, true
	res, _ := r.call(true)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, res.Reason, wire.Reason_REASON_QUEUE_FULL)
	assert.Assert(t, r.attempts() <= 1+maxMoves, "%d attempts", r.attempts())
	assert.Assert(t, b.taken() <= maxMoves*maxTickets, "%d tickets", b.taken())
}

// All queues are full. The caller is refused after one round of tickets, not three.
func TestFullQueuesRefuseAtOnce(t *testing.T) {
	b := newBusyAgents()
	b.full = true
	r := newBusyRig(t, b, 0, 4)
	res, _ := r.call(true)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, res.Reason, wire.Reason_REASON_QUEUE_FULL)
	assert.Equal(t, r.attempts(), 2)
	assert.Equal(t, b.taken(), maxTickets)
}

// No slot becomes free before the deadline. The caller is told so, and that nothing
// was run: no attempt was ever in an agent's hands.
func TestDeadlinePassesWhileWaiting(t *testing.T) {
	b := newBusyAgents()
	r := newBusyRig(t, b, 0, 2)
	b.late = func() { r.advance(2 * time.Minute) }
	res, _ := r.call(true)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, res.Reason, wire.Reason_REASON_DEADLINE, "%s", res.Detail)
	assert.Equal(t, len(b.runs()), 0)
}
