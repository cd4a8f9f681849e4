package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/upstream"
)

// probeTimeout bounds the check whether the upstream still listens. The upstream runs on
// the agent's own host, so a connection is accepted or refused at once.
const probeTimeout = 150 * time.Millisecond

// upstreamGenerations numbers the runs of the upstream process, so that entries count each
// unplanned exit once, however many attempts it interrupted.
type upstreamGenerations struct {
	mu     sync.Mutex
	number int
	// exitedAt is when the exit of the current generation was noticed; zero while it runs.
	exitedAt time.Time
}

// recordContact records that an attempt which was sent at the given time reached the
// upstream. If that was after an exit, a new generation has started.
func (l *upstreamGenerations) recordContact(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.exitedAt.IsZero() && began.After(l.exitedAt) {
		l.number, l.exitedAt = l.number+1, time.Time{}
	}
}

// recordExit records an exit and returns the number of the generation that exited.
func (l *upstreamGenerations) recordExit(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.exitedAt.IsZero() {
		l.exitedAt = now
	}
	return l.number
}

// detectUpstreamExit returns an identifier of the upstream generation that exited while it
// ran the attempt. It returns "" if the upstream still listens or cannot be probed, if it
// is leaving as planned, or if the attempt was canceled or is past its deadline.
func (at *attempt) detectUpstreamExit(ctx context.Context) string {
	a := at.agent
	a.generations.recordContact(at.sentAt)
	refuser, ok := a.upstream.(upstream.RefusalChecker)
	if !ok || ctx.Err() != nil || a.attempts.isClosed() {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !refuser.RefusesConnections(ctx) {
		return ""
	}
	generation := fmt.Sprintf("%s/%d/%d", a.settings.ID, a.incarnation.Number(), a.generations.recordExit(a.settings.Now()))
	kernel.Info(a.log, "The upstream exited while it ran an attempt.", "request", at.head.RequestId, "attempt", at.head.AttemptId, "life", generation)
	return generation
}
