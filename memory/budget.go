// Package memory bounds what a process holds for others: heads and bodies of its clients' requests, and the
// answers of upstreams. Memory is drawn from a budget as bytes arrive, never by what is announced.
package memory

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
)

var (
	// ErrFull is returned if the budget has too little left.
	ErrFull = merry.Sentinel("memory for requests and answers is used up")
	// ErrEnded is returned to a share that was ended for others.
	ErrEnded = merry.Sentinel("memory was given to others, as no progress was made")
)

// drawTimeout bounds how long a draw waits for the memory of others that were told to end. They are woken
// from their read at once.
const drawTimeout = time.Second

// Budget bounds the memory of all its shares together. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ledger *ledger
	// shares are the shares by their account.
	shares map[*account]*Share
	// returned is closed, and replaced, when memory comes back.
	returned chan struct{}
}

// NewBudget returns a budget of so many bytes, of which the last reserve bytes are kept for reserved shares.
func NewBudget(bytes, reserve int64) *Budget {
	return &Budget{ledger: newLedger(bytes, reserve), shares: map[*account]*Share{}, returned: make(chan struct{})}
}

// Used returns how many bytes are drawn.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.used
}

// Share is what one connection or answer holds. Its methods, but for Ended, must not be called concurrently. A
// nil Share is unbounded.
type Share struct {
	budget *Budget
	// free is how many bytes are held without drawing from the budget.
	free, held int64
	end        func()
	account    account
}

// Open returns a share that holds nothing. Its first free bytes aren't drawn from the budget, so that small
// requests are served also while the budget is used up; the number of shares must be bounded for that.
// end is called, once, when the share has to return its memory to others; nil if it never has to.
func (b *Budget) Open(free int64, end func()) *Share {
	s := &Share{budget: b, free: free, end: end}
	s.account.mayEnd = end != nil
	s.account.beganAt = kernel.SteadyNanos()
	s.account.progressAt = s.account.beganAt
	return s
}

// Grow draws n bytes more. It returns ErrFull or ErrEnded if it can't.
func (s *Share) Grow(n int64) error {
	if s == nil {
		return nil
	}
	needed := max(s.held+n-s.free, 0) - max(s.held-s.free, 0)
	if needed > 0 {
		if err := s.draw(needed); err != nil {
			return err
		}
	}
	s.held += n
	return nil
}

// draw waits until the budget has given n bytes.
func (s *Share) draw(n int64) error {
	began := time.Now()
	for {
		v, returned := s.tryDraw(n)
		switch {
		case v == drawn:
			return nil
		case s.Ended():
			return ErrEnded
		case v == refused:
			return ErrFull
		}
		if time.Since(began) >= drawTimeout {
			s.update(func(a *account) { a.waits = false })
			return ErrFull
		}
		select {
		case <-returned:
		case <-time.After(drawTimeout):
		}
	}
}

// tryDraw makes one draw and ends the shares that have to return their memory for it. It returns a channel
// that is closed when memory comes back.
func (s *Share) tryDraw(n int64) (verdict, <-chan struct{}) {
	b := s.budget
	b.mu.Lock()
	v, ends := b.ledger.draw(&s.account, n, kernel.SteadyNanos())
	if v == drawn {
		b.shares[&s.account] = s
	}
	var calls []func()
	for _, e := range ends {
		calls = append(calls, b.shares[e].end)
	}
	returned := b.returned
	if len(ends) > 0 {
		b.wake()
	}
	b.mu.Unlock()
	for _, end := range calls {
		end()
	}
	return v, returned
}

// wake lets all draws that wait try again: one of them may belong to a share that was ended.
func (b *Budget) wake() {
	close(b.returned)
	b.returned = make(chan struct{})
}

// Shrink returns n bytes.
func (s *Share) Shrink(n int64) {
	if s == nil {
		return
	}
	back := max(s.held-s.free, 0) - max(s.held-n-s.free, 0)
	s.held -= n
	if back == 0 {
		return
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.giveBack(&s.account, back)
	if s.account.bytes == 0 {
		delete(b.shares, &s.account)
	}
	b.wake()
}

// Held returns how many bytes the share holds.
func (s *Share) Held() int64 {
	if s == nil {
		return 0
	}
	return s.held
}

// Clear returns everything.
func (s *Share) Clear() { s.Shrink(s.Held()) }

// RecordProgress notes that the share's sender delivers.
func (s *Share) RecordProgress() {
	if s == nil {
		return
	}
	s.update(func(a *account) { a.progressAt = kernel.SteadyNanos() })
}

// Keep makes sure that the share isn't ended for others from now on, as what it was read for is whole. It returns
// ErrEnded if that has already happened.
func (s *Share) Keep() error {
	if s == nil {
		return nil
	}
	var err error
	s.update(func(a *account) {
		a.mayEnd = false
		if a.ending {
			err = ErrEnded
		}
	})
	return err
}

// SetReserved lets the share draw from the reserved part.
func (s *Share) SetReserved(reserved bool) {
	if s == nil {
		return
	}
	s.update(func(a *account) { a.reserved = reserved })
}

func (s *Share) update(change func(*account)) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	change(&s.account)
}

// Ended reports whether the share was ended for others.
func (s *Share) Ended() bool {
	if s == nil {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.account.ending
}

// Restart lets a share that holds nothing begin anew: it can be ended from now on, and isn't reserved.
func (s *Share) Restart() {
	s.update(func(a *account) {
		a.beganAt, a.mayEnd, a.reserved = kernel.SteadyNanos(), s.end != nil, false
		a.progressAt = a.beganAt
	})
}
