package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/upstream"
)

// probeTimeout bounds the question whether the upstream is still there. It stands on the agent's
// own host, which answers at once.
const probeTimeout = 150 * time.Millisecond

// upstreamLives numbers the lives of the upstream, so that entries count each end once however many
// attempts it cut off.
type upstreamGenerations struct {
	mu     sync.Mutex
	number int
	// endedAt is when the end of that life was noticed; zero while it lives.
	exitedAt time.Time
}

// reached notes that an attempt that began at a time got to the upstream: if that was after an
// end, it is another life.
func (l *upstreamGenerations) recordContact(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.exitedAt.IsZero() && began.After(l.exitedAt) {
		l.number, l.exitedAt = l.number+1, time.Time{}
	}
}

// end notes an end, and returns the life's number.
func (l *upstreamGenerations) recordExit(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.exitedAt.IsZero() {
		l.exitedAt = now
	}
	return l.number
}

// endedUnder names the life of the upstream that ended while it ran an attempt, after it broke that
// off; empty if it lives on, or ends as planned.
func (at *attempt) detectUpstreamExit(ctx context.Context) string {
	a := at.agent
	a.generations.recordContact(at.sentAt)
	refuser, ok := a.upstream.(upstream.Refuser)
	if !ok || ctx.Err() != nil || a.attempts.isClosed() {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !refuser.Refuses(ctx) {
		return ""
	}
	generation := fmt.Sprintf("%s/%d/%d", a.settings.ID, a.incarnation.Number(), a.generations.recordExit(a.settings.Now()))
	kernel.Info(a.log, "Upstream ended under an attempt.", "request", at.head.RequestId, "attempt", at.head.AttemptId, "life", generation)
	return generation
}
