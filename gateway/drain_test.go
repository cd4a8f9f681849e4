package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/wire"
)

// drainingGateway returns a gateway with a stop limit of 8 s that began to drain some time ago, if that
// is positive.
func drainingGateway(now time.Time, since time.Duration) *Gateway {
	s := &Settings{ID: "e", StopLimit: durationOf(8 * time.Second)}
	g := &Gateway{settings: s, now: func() time.Time { return now }, services: newServiceManager(s), timeouts: newCallerTimeouts()}
	if since > 0 {
		began := now.Add(-since)
		g.drainBegan.Store(&began)
		g.draining.Store(true)
	}
	return g
}

func drainedCall(g *Gateway, kind wire.RouteKind, now time.Time, left time.Duration) *call {
	return &call{
		Gateway: g, receivedAt: now, deadline: now.Add(left), params: dialect.Request{Deadline: left},
		route: &wire.Route{Name: "r", Kind: kind, TimeoutMs: 8000, TargetLatencyMs: 400},
	}
}

// A draining gateway must not take a request whose caller waits beyond the forced stop: an upstream may
// work on it for so long, and the response would be cut.
func TestDrainingGatewayTakesOnlyWhatEndsBeforeStop(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		since, left time.Duration
		taken       bool
	}{
		{0, 8 * time.Second, true},
		{100 * time.Millisecond, 8 * time.Second, false},
		{100 * time.Millisecond, 7 * time.Second, true},
		{5 * time.Second, 2500 * time.Millisecond, true},
		{5500 * time.Millisecond, 2500 * time.Millisecond, false},
		{7 * time.Second, 600 * time.Millisecond, true},
		{7500 * time.Millisecond, 600 * time.Millisecond, false},
		{8500 * time.Millisecond, 100 * time.Millisecond, false},
	} {
		for _, kind := range []wire.RouteKind{wire.RouteKind_ROUTE_KIND_STREAMING, wire.RouteKind_ROUTE_KIND_SAFE, wire.RouteKind_ROUTE_KIND_UNSAFE} {
			call := drainedCall(drainingGateway(now, c.since), kind, now, c.left)
			assert.Equal(t, call.endsBeforeStop(), c.taken, "%+v %s", c, kind)
		}
	}
}

// A request that was accepted before the drain and is still queued must not be sent to an upstream so late
// that its response is cut as a rule; one that may have run already is not refused as not run.
func TestQueuedRequestIsNotSentJustBeforeStop(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		kind    wire.RouteKind
		since   time.Duration
		inDoubt bool
		tooLate bool
	}{
		{wire.RouteKind_ROUTE_KIND_UNSAFE, 0, false, false},
		{wire.RouteKind_ROUTE_KIND_UNSAFE, 6 * time.Second, false, false},
		{wire.RouteKind_ROUTE_KIND_UNSAFE, 7 * time.Second, false, true},
		{wire.RouteKind_ROUTE_KIND_SAFE, 7 * time.Second, true, false},
		{wire.RouteKind_ROUTE_KIND_STREAMING, 2 * time.Second, false, false},
		{wire.RouteKind_ROUTE_KIND_STREAMING, 3 * time.Second, false, true},
	} {
		call := drainedCall(drainingGateway(now, c.since), c.kind, now, 8*time.Second)
		call.history.inDoubt = c.inDoubt
		assert.Equal(t, call.tooLateToSend(), c.tooLate, "%+v", c)
	}
}

// A draining gateway queues a stream only as long as its response can still end before the stop;
// otherwise the response would be cut. Without draining, the timeout for the first event applies.
func TestQueueTimeEndsBeforeForcedStop(t *testing.T) {
	now := time.Now()
	c := drainedCall(drainingGateway(now, 0), wire.RouteKind_ROUTE_KIND_STREAMING, now, 5150*time.Millisecond)
	patience := c.newWaiter().giveUpAt.Sub(now)
	assert.Assert(t, patience > 1500*time.Millisecond && patience < firstEventTimeout)
	c.Gateway = drainingGateway(now, 2500*time.Millisecond)
	assert.Assert(t, c.endsBeforeStop())
	w := c.newWaiter()
	assert.Assert(t, w.giveUpAt.Sub(now) < 300*time.Millisecond, "%s", w.giveUpAt.Sub(now))
	assert.Assert(t, !w.onTimeBy.After(w.giveUpAt))
}
