package agent

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// attemptRetention is how long an attempt ID is kept after its deadline. It exceeds the
// time for which a duplicate message of the attempt can still be in flight.
const attemptRetention = time.Minute

// attemptRegistry records attempt IDs, so that a duplicate message runs nothing twice, and
// counts the running attempts.
type attemptRegistry struct {
	mu        sync.Mutex
	seen      map[string]time.Time
	running   int
	lastSweep time.Time
	closed    bool
}

func newAttemptRegistry() *attemptRegistry { return &attemptRegistry{seen: map[string]time.Time{}} }

// begin registers an attempt and returns 0, or returns the reason for which it must not
// run. The closed flag and the count of running attempts share one lock: a drain that has
// seen no running attempt cannot miss one that is about to begin.
func (a *attemptRegistry) begin(now time.Time, id string, deadline time.Time) wire.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	if _, ok := a.seen[id]; ok {
		return wire.Reason_REASON_DUPLICATE_ATTEMPT
	}
	if a.closed {
		return wire.Reason_REASON_UPSTREAM_LEAVING
	}
	a.seen[id] = deadline.Add(attemptRetention)
	a.running++
	return 0
}

// close refuses all further attempts. It returns false if the registry was closed before.
func (a *attemptRegistry) close() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wasClosed := a.closed
	a.closed = true
	return !wasClosed
}

func (a *attemptRegistry) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

func (a *attemptRegistry) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

func (a *attemptRegistry) sweep(now time.Time) {
	if now.Sub(a.lastSweep) < attemptRetention/4 {
		return
	}
	a.lastSweep = now
	for id, expiry := range a.seen {
		if now.After(expiry) {
			delete(a.seen, id)
		}
	}
}

func (a *attemptRegistry) runningCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

func (a *attemptRegistry) retainedCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.seen)
}
