package agent

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// attemptMemory is how long an attempt ID is remembered after its deadline. No
// frame of an attempt is in flight so long after its deadline has passed.
const attemptMemory = time.Minute

// attempts remembers attempt IDs so that a doubled message runs nothing twice.
type attempts struct {
	mu      sync.Mutex
	seen    map[string]time.Time
	running int
	swept   time.Time
	closed  bool
}

func newAttempts() *attempts { return &attempts{seen: map[string]time.Time{}} }

// begin registers an attempt, or says why it may not run. Leaving is decided
// under the same lock as the count of running attempts: a drain that has seen
// none running can't miss one that is about to begin.
func (a *attempts) begin(now time.Time, id string, deadline time.Time) wire.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	if _, ok := a.seen[id]; ok {
		return wire.Reason_REASON_DUPLICATE_ATTEMPT
	}
	if a.closed {
		return wire.Reason_REASON_UPSTREAM_LEAVING
	}
	a.seen[id] = deadline.Add(attemptMemory)
	a.running++
	return 0
}

// close lets no attempt begin from now on; it returns false if it was closed.
func (a *attempts) close() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	was := a.closed
	a.closed = true
	return !was
}

func (a *attempts) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

func (a *attempts) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

func (a *attempts) sweep(now time.Time) {
	if now.Sub(a.swept) < attemptMemory/4 {
		return
	}
	a.swept = now
	for id, forget := range a.seen {
		if now.After(forget) {
			delete(a.seen, id)
		}
	}
}

func (a *attempts) active() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

func (a *attempts) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.seen)
}
