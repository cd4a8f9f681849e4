package gateway

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
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
)

// Drain implements kernel.Daemon. The gateway leaves the list of entries at once
// and goes on answering: callers keep the list for a while, and come here until
// they ask again.
func (g *Gateway) Drain(ctx context.Context) error {
	if g.draining.CompareAndSwap(false, true) {
		kernel.Info(g.log, "Leaving the list of entries.", "active", g.active.Load())
	}
	g.wakeAnnouncer()
	began := g.now()
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
