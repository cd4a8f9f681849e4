package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/wire"
)

// Errors of tickets. Each of them implies that the request was not run.
var (
	// ErrNoSlotHeld refuses an attempt whose ticket holds no slot: the ticket is unknown,
	// withdrawn, still waiting or already used, or its hold has expired.
	ErrNoSlotHeld = merry.Sentinel("no slot is held for the ticket")
	// ErrTicketWithdrawn ends the wait of a ticket that was withdrawn, or ended because the
	// agent leaves.
	ErrTicketWithdrawn = merry.Sentinel("ticket was withdrawn")
	// ErrDuplicateTicket refuses a ticket whose ID is already registered.
	ErrDuplicateTicket = merry.Sentinel("duplicate ticket ID")
)

// slotHoldTimeout is how long a slot is held for the Run of its ticket. It is many times
// the round trip to an entry; an entry that has failed or is partitioned keeps one slot
// idle for this long.
const slotHoldTimeout = 100 * time.Millisecond

// maxTickets bounds the number of agents at which a request may claim to wait. A ticket of
// n takes 1/n of a queue place.
const maxTickets = 16

type stoppableTimer interface{ Stop() bool }

// ticketRegistry holds the tickets in this agent's queue: the queue places of requests
// that wait at other agents as well. A ticket runs nothing. When its turn comes, a slot is
// held for it for a short time, and one Run that names the ticket takes the slot over.
// Late, duplicated or lost ticket messages therefore cannot make a request run twice or
// make a "not run" outcome wrong.
type ticketRegistry struct {
	runner    *admit.Runner
	afterFunc func(time.Duration, func()) stoppableTimer

	mu     sync.Mutex
	byID   map[string]*ticket
	held   int
	closed bool
	// expired counts held slots that no Run took in time.
	expired metrics.Counter
}

type ticket struct {
	// cancelWait ends the wait for a slot.
	cancelWait context.CancelFunc
	// work, release and timer are set while a slot is held.
	work    *admit.Work
	release func()
	timer   stoppableTimer
}

// newTicketRegistry creates the registry of a runner. afterFunc is time.AfterFunc except
// in tests.
func newTicketRegistry[T stoppableTimer](r *admit.Runner, afterFunc func(time.Duration, func()) T) *ticketRegistry {
	return &ticketRegistry{
		runner: r, byID: map[string]*ticket{}, expired: metrics.NewCounter(),
		afterFunc: func(d time.Duration, f func()) stoppableTimer { return afterFunc(d, f) },
	}
}

// waitForSlot waits for a slot. If it returns nil, a slot is held for the ticket.
func (s *ticketRegistry) waitForSlot(ctx context.Context, id string, w *admit.Work) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	t := &ticket{cancelWait: stop}
	if err := s.add(id, t); err != nil {
		return err
	}
	release, err := s.runner.Acquire(ctx, w)
	if err != nil && s.removeIfCurrent(id, t) {
		return err
	}
	if err != nil {
		return ErrTicketWithdrawn
	}
	if !s.holdSlot(id, t, w, release) {
		releaseUnused(w, release)
		return ErrTicketWithdrawn
	}
	return nil
}

func (s *ticketRegistry) add(id string, t *ticket) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return admit.ErrClosed
	}
	// A duplicate message would hold a second slot for the same request.
	if s.byID[id] != nil {
		return ErrDuplicateTicket
	}
	s.byID[id] = t
	return nil
}

// holdSlot holds the slot for a ticket. It returns false if the ticket was removed
// meanwhile.
func (s *ticketRegistry) holdSlot(id string, t *ticket, w *admit.Work, release func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[id] != t {
		return false
	}
	t.work, t.release = w, release
	s.held++
	// The entry may have failed, or its Run may be lost: without a timeout the slot would
	// never be released.
	t.timer = s.afterFunc(slotHoldTimeout, func() { s.expireHold(id, t) })
	return true
}

// claimSlot transfers a held slot to the Run of its ticket. A slot can be claimed once.
func (s *ticketRegistry) claimSlot(id string) (release func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byID[id]
	if t == nil || t.release == nil {
		return nil, ErrNoSlotHeld
	}
	s.removeLocked(id, t)
	return t.release, nil
}

// withdraw ends the wait of a ticket or releases the slot that is held for it.
func (s *ticketRegistry) withdraw(id string) {
	s.mu.Lock()
	t := s.byID[id]
	if t != nil {
		s.removeLocked(id, t)
	}
	s.mu.Unlock()
	if t != nil {
		t.cancel()
	}
}

func (s *ticketRegistry) expireHold(id string, t *ticket) {
	if s.removeIfCurrent(id, t) {
		s.expired.Inc(1)
		t.cancel()
	}
}

// removeIfCurrent removes a ticket if it is still the one registered under its ID.
func (s *ticketRegistry) removeIfCurrent(id string, t *ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[id] != t {
		return false
	}
	s.removeLocked(id, t)
	return true
}

// removeLocked removes a ticket. The caller holds mu.
func (s *ticketRegistry) removeLocked(id string, t *ticket) {
	delete(s.byID, id)
	if t.timer != nil {
		t.timer.Stop()
		s.held--
	}
}

// cancel ends the wait or releases the slot. The ticket must have been removed from the
// registry before, so that it is called once.
func (t *ticket) cancel() {
	t.cancelWait()
	if t.release != nil {
		releaseUnused(t.work, t.release)
	}
}

func releaseUnused(w *admit.Work, release func()) {
	w.Unused = true
	release()
}

// close ends all tickets and refuses new ones.
func (s *ticketRegistry) close() {
	s.mu.Lock()
	s.closed = true
	ended := make([]*ticket, 0, len(s.byID))
	for id, t := range s.byID {
		s.removeLocked(id, t)
		ended = append(ended, t)
	}
	s.mu.Unlock()
	for _, t := range ended {
		t.cancel()
	}
}

func (s *ticketRegistry) counts() (waiting, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID) - s.held, s.held
}

// acquireSlot waits for a slot, or claims the one that is held for the ticket of the
// attempt.
func (at *attempt) acquireSlot(ctx context.Context) (release func(), err error) {
	h := at.head
	if h.Ticket != "" {
		return at.agent.tickets.claimSlot(h.Ticket)
	}
	return at.agent.runner.Acquire(ctx, &admit.Work{
		Team: h.Team, Weight: int(h.Weight), Priority: h.Priority,
		Cost: float64(max(h.Tokens, 1)), Deadline: at.deadline, NoWait: h.NoWait,
	})
}

// Wait implements the Agent service.
func (s service) Wait(ctx context.Context, t *wire.Ticket) (*wire.Slot, error) {
	if t.Incarnation != 0 && t.Incarnation != s.incarnation.Number() {
		return s.noSlotReply(wire.Reason_REASON_NO_UPSTREAM), nil
	}
	timeout := min(time.Duration(t.TimeoutUs)*time.Microsecond, maxTimeout)
	err := s.tickets.waitForSlot(ctx, t.Id, &admit.Work{
		Team: t.Team, Weight: int(t.Weight), Priority: t.Priority,
		Cost: float64(max(t.Tokens, 1)), Deadline: s.settings.Now().Add(timeout),
		Tickets: int(min(max(t.Tickets, 1), maxTickets)),
	})
	switch {
	case errors.Is(err, ErrDuplicateTicket):
		return s.noSlotReply(wire.Reason_REASON_DUPLICATE_ATTEMPT), nil
	case errors.Is(err, ErrTicketWithdrawn) && s.attempts.isClosed():
		return s.noSlotReply(wire.Reason_REASON_UPSTREAM_LEAVING), nil
	case err != nil:
		return s.noSlotReply(admissionReason(err)), nil
	}
	return &wire.Slot{Held: true, Load: s.currentLoad()}, nil
}

func (s service) noSlotReply(r wire.Reason) *wire.Slot {
	return &wire.Slot{Reason: r, Load: s.currentLoad()}
}

// Withdraw implements the Agent service.
func (s service) Withdraw(_ context.Context, req *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	s.tickets.withdraw(req.Ticket)
	return &wire.WithdrawReply{}, nil
}
