package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/wire"
)

// manualTimers fire when the test says.
type manualTimers struct{ pending []*manualTimer }

type manualTimer struct {
	fire    func()
	stopped bool
}

func (t *manualTimer) Stop() bool {
	was := t.stopped
	t.stopped = true
	return !was
}

func (m *manualTimers) after(_ time.Duration, f func()) *manualTimer {
	t := &manualTimer{fire: f}
	m.pending = append(m.pending, t)
	return t
}

// pass lets the hold time of all held slots pass.
func (m *manualTimers) fireAll() {
	list := m.pending
	m.pending = nil
	for _, t := range list {
		if !t.stopped {
			t.fire()
		}
	}
}

type ticketFixture struct {
	*ticketRegistry
	timers manualTimers
}

func newTicketFixture(slots int) *ticketFixture {
	r := &ticketFixture{}
	runner := admit.NewRunner(admit.Settings{Slots: slots, MaxQueue: 8}, time.Now)
	r.ticketRegistry = newTicketRegistry(runner, r.timers.after)
	return r
}

func (r *ticketFixture) running() int {
	n, _ := r.runner.Counts()
	return n
}

func (r *ticketFixture) mustHoldSlot(t *testing.T, id string) {
	t.Helper()
	assert.NilError(t, r.waitForSlot(context.Background(), id, &admit.Work{Team: "t"}))
}

// later waits in the background until the ticket is in the queue.
func (r *ticketFixture) waitInBackground(t *testing.T, id string) <-chan error {
	t.Helper()
	before, _ := r.counts()
	done := make(chan error, 1)
	go func() { done <- r.waitForSlot(context.Background(), id, &admit.Work{Team: "t"}) }()
	for {
		if n, _ := r.counts(); n > before {
			return done
		}
		time.Sleep(time.Millisecond)
	}
}

// The entry dies, or is cut off, while a slot is held for it. Its Run never comes.
// Without a bound the slot would be lost for good; after the hold time the next in
// the queue has it, and a Run that comes even later is refused as not run.
func TestUnclaimedSlotExpires(t *testing.T) {
	r := newTicketFixture(1)
	r.mustHoldSlot(t, "a")
	next := r.waitInBackground(t, "b")
	r.timers.fireAll()
	assert.NilError(t, <-next)
	assert.Equal(t, r.expired.Count(), int64(1))
	_, err := r.claimSlot("a")
	assert.ErrorIs(t, err, ErrNoSlot)
	release, err := r.claimSlot("b")
	assert.NilError(t, err)
	release()
	assert.Equal(t, r.running(), 0)
}

// The message with a ticket is doubled, and so is the Run that uses its slot. Two
// slots would be held for one request, or it would run twice: the second of each
// gets nothing.
func TestDuplicateTicketHoldsOneSlot(t *testing.T) {
	r := newTicketFixture(2)
	r.mustHoldSlot(t, "a")
	assert.ErrorIs(t, r.waitForSlot(context.Background(), "a", &admit.Work{Team: "t"}), ErrTicketTwice)
	assert.Equal(t, r.running(), 1)
	_, err := r.claimSlot("a")
	assert.NilError(t, err)
	_, err = r.claimSlot("a")
	assert.ErrorIs(t, err, ErrNoSlot)
	r.timers.fireAll()
	assert.Equal(t, r.running(), 1, "the slot is in use and not given back by the hold time")
}

// Another upstream was first, and the entry withdraws its tickets: one waits here
// and one holds a slot. Left alone they would keep slots from work that needs them.
func TestWithdrawnTicketsReleaseSlots(t *testing.T) {
	r := newTicketFixture(1)
	r.mustHoldSlot(t, "a")
	waits := r.waitInBackground(t, "b")
	r.withdraw("b")
	assert.ErrorIs(t, <-waits, ErrTicketOver)
	r.withdraw("a")
	r.withdraw("a")
	assert.Equal(t, r.running(), 0)
	assert.Equal(t, len(r.byID), 0)
}

// The agent is told to leave while tickets wait and hold slots. It would wait for
// requests that may never come: all tickets end, and new ones are refused.
func TestCloseEndsTickets(t *testing.T) {
	r := newTicketFixture(1)
	r.mustHoldSlot(t, "a")
	waits := r.waitInBackground(t, "b")
	r.close()
	assert.ErrorIs(t, <-waits, ErrTicketOver)
	assert.ErrorIs(t, r.waitForSlot(context.Background(), "c", &admit.Work{Team: "t"}), admit.ErrClosed)
	assert.Equal(t, r.running(), 0)
}

// Messages come late, doubled, crossed or not at all, in any order. A slot is
// never used by two, and none is lost: after the last run and hold all are free.
func TestTicketsNeverLeakSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const slots = 3
		r := newTicketFixture(slots)
		var releases []func()
		used := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "ticket"))
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				// A test of one goroutine can't wait: only tickets whose turn it is come.
				if r.running() < slots {
					_ = r.waitForSlot(context.Background(), id, &admit.Work{Team: "t"})
				}
			case 1:
				if release, err := r.claimSlot(id); err == nil {
					releases = append(releases, release)
					used[id] = true
				}
			case 2:
				r.withdraw(id)
			case 3:
				r.timers.fireAll()
			case 4:
				if len(releases) > 0 {
					releases[0]()
					releases = releases[1:]
				}
			}
			_, held := r.counts()
			if r.running() != held+len(releases) {
				rt.Fatalf("%d slots taken, but %d held and %d in use", r.running(), held, len(releases))
			}
		}
		r.timers.fireAll()
		for _, release := range releases {
			release()
		}
		if r.running() != 0 {
			rt.Fatalf("%d slots are lost", r.running())
		}
	})
}

// Urgent work finds the one slot that is kept for it taken. Queued here, it would
// wait for the end of a run: it is refused at once, as not run, and moves on.
func TestUrgentNoWaitAttemptIsRefusedWhenReservedSlotIsTaken(t *testing.T) {
	runner := admit.NewRunner(admit.Settings{Slots: 3, Reserved: 1, MaxQueue: 8}, time.Now)
	at := &attempt{agent: &Agent{runner: runner}, head: &wire.RunHead{
		Team: "t", Priority: wire.Priority_PRIORITY_URGENT, NoWait: true,
	}}
	ctx := context.Background()
	for range 2 {
		_, err := runner.Enter(ctx, &admit.Work{Team: "t", Priority: wire.Priority_PRIORITY_NORMAL})
		assert.NilError(t, err)
	}
	_, err := at.acquireSlot(ctx)
	assert.NilError(t, err, "the reserved slot is free, whatever the other load")
	_, err = at.acquireSlot(ctx)
	assert.ErrorIs(t, err, admit.ErrBusy)
	assert.Equal(t, admissionReason(err), wire.Reason_REASON_QUEUE_FULL)
}
