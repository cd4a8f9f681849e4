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

// manualTimers fire when fireAll is called.
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

// fireAll fires all timers that were not stopped.
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

// waitInBackground starts waitForSlot in a goroutine and returns once the ticket is
// queued.
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

// The Run for a held slot never arrives. After the timeout the slot must go to the next
// ticket, and a later Run must be refused as not run.
func TestUnclaimedSlotExpires(t *testing.T) {
	r := newTicketFixture(1)
	r.mustHoldSlot(t, "a")
	next := r.waitInBackground(t, "b")
	r.timers.fireAll()
	assert.NilError(t, <-next)
	assert.Equal(t, r.expired.Count(), int64(1))
	_, err := r.claimSlot("a")
	assert.ErrorIs(t, err, ErrNoSlotHeld)
	release, err := r.claimSlot("b")
	assert.NilError(t, err)
	release()
	assert.Equal(t, r.running(), 0)
}

// A ticket message and the Run that uses its slot are duplicated. The second of each must
// be refused: it would hold two slots for one request, or run it twice.
func TestDuplicateTicketHoldsOneSlot(t *testing.T) {
	r := newTicketFixture(2)
	r.mustHoldSlot(t, "a")
	assert.ErrorIs(t, r.waitForSlot(context.Background(), "a", &admit.Work{Team: "t"}), ErrDuplicateTicket)
	assert.Equal(t, r.running(), 1)
	_, err := r.claimSlot("a")
	assert.NilError(t, err)
	_, err = r.claimSlot("a")
	assert.ErrorIs(t, err, ErrNoSlotHeld)
	r.timers.fireAll()
	assert.Equal(t, r.running(), 1, "the slot is in use and not given back by the hold time")
}

// Withdrawn tickets must leave the queue or release their slot, also if they are withdrawn
// twice.
func TestWithdrawnTicketsReleaseSlots(t *testing.T) {
	r := newTicketFixture(1)
	r.mustHoldSlot(t, "a")
	waits := r.waitInBackground(t, "b")
	r.withdraw("b")
	assert.ErrorIs(t, <-waits, ErrTicketWithdrawn)
	r.withdraw("a")
	r.withdraw("a")
	assert.Equal(t, r.running(), 0)
	assert.Equal(t, len(r.byID), 0)
}

// Tickets that wait or hold slots must not delay a planned stop: close must end all of
// them and refuse new ones.
func TestCloseEndsTickets(t *testing.T) {
	r := newTicketFixture(1)
	r.mustHoldSlot(t, "a")
	waits := r.waitInBackground(t, "b")
	r.close()
	assert.ErrorIs(t, <-waits, ErrTicketWithdrawn)
	assert.ErrorIs(t, r.waitForSlot(context.Background(), "c", &admit.Work{Team: "t"}), admit.ErrClosed)
	assert.Equal(t, r.running(), 0)
}

// Ticket messages arrive late, duplicated, reordered or not at all. No slot may be used by
// two requests, and after the last run and timeout all must be free.
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
				// The test has one goroutine and cannot wait, so it adds a ticket only if
				// a slot is free.
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

// The reserved slot is taken. An urgent attempt must be refused at once as not run, so
// that it can go to another upstream, instead of waiting for the end of a run.
func TestUrgentNoWaitAttemptIsRefusedWhenReservedSlotIsTaken(t *testing.T) {
	runner := admit.NewRunner(admit.Settings{Slots: 3, Reserved: 1, MaxQueue: 8}, time.Now)
	at := &attempt{agent: &Agent{runner: runner}, head: &wire.RunHead{
		Team: "t", Priority: wire.Priority_PRIORITY_URGENT, NoWait: true,
	}}
	ctx := context.Background()
	for range 2 {
		_, err := runner.Acquire(ctx, &admit.Work{Team: "t", Priority: wire.Priority_PRIORITY_NORMAL})
		assert.NilError(t, err)
	}
	_, err := at.acquireSlot(ctx)
	assert.NilError(t, err, "the reserved slot is free despite the other load")
	_, err = at.acquireSlot(ctx)
	assert.ErrorIs(t, err, admit.ErrNoFreeSlot)
	assert.Equal(t, admissionReason(err), wire.Reason_REASON_QUEUE_FULL)
}
