package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/wire"
)

// A gateway with eight seconds to stop gets a stream while its service is full. It may wait
// for its turn only as long as its answer can still end before the stop: let in later, its
// caller would see it cut in the middle. Before the stop begins, only its caller's patience
// counts.
func TestRequestWaitsNoLongerThanTheStopAllows(t *testing.T) {
	now := time.Now()
	began := now.Add(-2500 * time.Millisecond)
	s := &Settings{ID: "e", StopLimit: durationOf(8 * time.Second)}
	g := &Gateway{settings: s, now: func() time.Time { return now }, fleet: newFleet(s), times: newCallerTimes()}
	c := &call{
		Gateway: g, began: now, deadline: now.Add(8 * time.Second), asked: dialect.Request{Deadline: 8 * time.Second},
		route: &wire.Route{Name: "r", Kind: wire.RouteKind_ROUTE_KIND_STREAMING, TimeoutMs: 8000, TargetLatencyMs: 400},
	}
	patience := c.waiter().until.Sub(now)
	assert.Assert(t, patience > 1500*time.Millisecond && patience < callerPatience)
	g.drainBegan.Store(&began)
	g.draining.Store(true)
	assert.Assert(t, g.endsInTime(c))
	w := c.waiter()
	assert.Assert(t, w.until.Sub(now) < 300*time.Millisecond, "%s", w.until.Sub(now))
	assert.Assert(t, !w.inTime.After(w.until))
}
