package gateway

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// drainPoll is how often a gateway that leaves looks whether it is idle.
	drainPoll = 50 * time.Millisecond
	// drainMargin is left of the stop limit for what is in progress: a request that
	// is on its way when the listener closes.
	drainMargin = 300 * time.Millisecond
	// keepFactor covers callers that keep the list of entries longer than they
	// were told.
	keepFactor = 2
	// streamTime is how long a stream is expected to take at most: a long answer of
	// some sixty events at passes of eighty milliseconds.
	streamTime = 5 * time.Second
	// plainTime is the same for a whole answer, unless its caller waits for less.
	plainTime = 1200 * time.Millisecond
	// drainWait is when a caller may come back that is refused for the stop: at once,
	// as another entry takes it.
	drainWait = 50 * time.Millisecond
)

// endsInTime says whether a request that comes now can end before a gateway that
// leaves is stopped by force. One that can't is refused as not run, and its caller
// goes elsewhere; taken, it would be cut in the middle of its answer.
func (g *Gateway) endsInTime(c *call) bool {
	if !g.draining.Load() {
		return true
	}
	return g.drainLeft() >= c.expectedTime()
}

// drainLeft is how much time a gateway that leaves has for what is in progress.
func (g *Gateway) drainLeft() time.Duration {
	return g.settings.StopLimit.D() - drainMargin - g.now().Sub(*g.drainBegan.Load())
}

// expectedTime is how long an answer is expected to take at most.
func (c *call) expectedTime() time.Duration {
	if c.route.Kind == wire.RouteKind_ROUTE_KIND_STREAMING {
		return streamTime
	}
	return min(plainTime, time.Until(c.deadline))
}

// mayWait is how long a request may wait for its turn at a gateway that leaves: its answer
// must end before the stop, or its caller sees it cut in the middle.
func (c *call) mayWait() time.Duration { return max(c.drainLeft()-c.expectedTime(), 0) }

// Drain implements kernel.Daemon. The gateway leaves the list of entries at once
// and goes on answering: callers keep the list for a while, and come here until
// they ask again.
func (g *Gateway) Drain(ctx context.Context) error {
	began := g.now()
	g.drainBegan.CompareAndSwap(nil, &began)
	if g.draining.CompareAndSwap(false, true) {
		kernel.Info(g.log, "Leaving the list of entries.", "active", g.active.Load())
	}
	g.wakeAnnouncer()
	linger := keepFactor * g.settings.Keep.D()
	limit := g.settings.StopLimit.D() - drainMargin
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for {
		waited := g.now().Sub(began)
		quiet := g.now().UnixNano()-g.lastCame.Load() > int64(g.settings.Keep.D())
		if g.active.Load() == 0 && waited >= linger && quiet || waited >= limit {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}
