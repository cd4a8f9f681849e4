package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/wire"
)

// A draining gateway queues a stream only as long as its response can still end before the stop;
// otherwise the response would be cut. Without draining, the timeout for the first event applies.
func TestQueueTimeEndsBeforeForcedStop(t *testing.T) {
	now := time.Now()
	began := now.Add(-2500 * time.Millisecond)
	s := &Settings{ID: "e", StopLimit: durationOf(8 * time.Second)}
	g := &Gateway{settings: s, now: func() time.Time { return now }, services: newServiceManager(s), timeouts: newCallerTimeouts()}
	c := &call{
		Gateway: g, receivedAt: now, deadline: now.Add(8 * time.Second), params: dialect.Request{Deadline: 8 * time.Second},
		route: &wire.Route{Name: "r", Kind: wire.RouteKind_ROUTE_KIND_STREAMING, TimeoutMs: 8000, TargetLatencyMs: 400},
	}
	patience := c.newWaiter().giveUpAt.Sub(now)
	assert.Assert(t, patience > 1500*time.Millisecond && patience < firstEventTimeout)
	g.drainBegan.Store(&began)
	g.draining.Store(true)
	assert.Assert(t, g.finishesBeforeStop(c))
	w := c.newWaiter()
	assert.Assert(t, w.giveUpAt.Sub(now) < 300*time.Millisecond, "%s", w.giveUpAt.Sub(now))
	assert.Assert(t, !w.onTimeBy.After(w.giveUpAt))
}
