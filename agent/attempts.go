package agent

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// attemptMemory is how long an attempt ID is remembered after its deadline. No
// frame of an attempt is in flight so long after its deadline has passed.
const attemptRetention = time.Minute

// attempts remembers attempt IDs so that a doubled message runs nothing twice.
type attemptRegistry struct {
	mu        sync.Mutex
	seen      map[string]time.Time
	running   int
	lastSweep time.Time
	closed    bool
}

func newAttemptRegistry() *attemptRegistry { return &attemptRegistry{seen: map[string]time.Time{}} }

// begin registers an attempt, or says why it may not run. Leaving is decided
// under the same lock as the count of running attempts: a drain that has seen
// none running can't miss one that is about to begin.
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

// close lets no attempt begin from now on; it returns false if it was closed.
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
