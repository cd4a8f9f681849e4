// Package freshness tells whether what a process holds of the configuration may be relied on for a
// refusal.
//
// A process that follows the configuration can't see by itself that it has missed a change: while it is cut
// off, or while the control replicas have no leader, it goes on with what it has. It may serve by that, but
// a caller that is refused for good (unknown key, unknown route) by a configuration that has been replaced
// doesn't come again. So a process refuses only by what was confirmed as current within a bound, and
// otherwise says that it can't tell.
package freshness

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// askInterval is the minimum time between two failed attempts to get a confirmation. Requests in between
// are told at once that there is none, so that a flood of them doesn't become one of questions.
const askInterval = 100 * time.Millisecond

// Tracker knows as of when the state held includes all changes that were accepted. States held later
// include those held before, so that the time only increases. It isn't safe for concurrent use.
type Tracker struct {
	currentAt time.Time
	// mayAskAt is when the next confirmation may be asked for.
	mayAskAt time.Time
}

// Record records that the state held now includes all that was accepted before asOf. asOf is a time of
// the process's own clock: when it asked, less the age of the state that the answer confirms. The time
// at which an answer arrives must not be used: it may have been long on its way.
func (t *Tracker) Record(asOf time.Time) {
	if asOf.After(t.currentAt) {
		t.currentAt = asOf
	}
}

// Covers reports whether the state held includes all that was accepted until maxAge before now.
func (t *Tracker) Covers(now time.Time, maxAge time.Duration) bool {
	return !t.currentAt.IsZero() && now.Sub(t.currentAt) <= maxAge
}

// RecordFailure records that there was no confirmation within the bound.
func (t *Tracker) RecordFailure(now time.Time) { t.mayAskAt = now.Add(askInterval) }

// MayAsk reports whether a confirmation may be asked for.
func (t *Tracker) MayAsk(now time.Time) bool { return !now.Before(t.mayAskAt) }

// AskFunc asks for a confirmation and brings the state held up to date if it is older than what was
// confirmed. It returns the time for Tracker.Record.
type AskFunc func(ctx context.Context) (asOf time.Time, err error)

// Confirmer asks for confirmations when they are needed. Callers that need one at the same time share it. It
// is safe for concurrent use.
type Confirmer struct {
	maxAge time.Duration
	now    func() time.Time
	ask    AskFunc
	asking singleflight.Group

	mu      sync.Mutex
	tracker Tracker
	// lastErr is why the last question got no confirmation; nil if it got one.
	lastErr error
}

// NewConfirmer returns a Confirmer for a state by which may be refused while it was current at most maxAge
// ago. now must be monotonic and include the time for which the host is suspended.
func NewConfirmer(maxAge time.Duration, now func() time.Time, ask AskFunc) *Confirmer {
	return &Confirmer{maxAge: maxAge, now: now, ask: ask}
}

// Confirm reports whether the state that was held when it was called may be relied on, unless it has been
// replaced since. It asks for a confirmation if the last one is too old.
func (c *Confirmer) Confirm(ctx context.Context) bool {
	covered, mayAsk := c.status()
	if covered || !mayAsk {
		return covered
	}
	asked := c.asking.DoChan("", func() (any, error) {
		c.askOnce()
		return nil, nil
	})
	select {
	case <-asked:
	case <-ctx.Done():
	}
	covered, _ = c.status()
	return covered
}

// Age returns how long ago the state held was known to be current; ok is false if it never was.
func (c *Confirmer) Age() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Sub(c.tracker.currentAt), !c.tracker.currentAt.IsZero()
}

// LastError returns why the last question got no confirmation, or nil if it got one.
func (c *Confirmer) LastError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastErr
}

func (c *Confirmer) status() (covered, mayAsk bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return c.tracker.Covers(now, c.maxAge), c.tracker.MayAsk(now)
}

// askOnce asks for one confirmation. It doesn't end with the request that needs it, since others may have
// joined; ask bounds its time.
func (c *Confirmer) askOnce() {
	asOf, err := c.ask(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastErr = err
	if err == nil {
		c.tracker.Record(asOf)
	}
	if now := c.now(); !c.tracker.Covers(now, c.maxAge) {
		c.tracker.RecordFailure(now)
	}
}
