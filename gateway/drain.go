package gateway

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// drainPollInterval is how often a draining gateway checks whether it is idle.
	drainPollInterval = 50 * time.Millisecond
	// drainMargin is subtracted from the stop limit for requests that are on their way when the
	// listener closes.
	drainMargin = 300 * time.Millisecond
	// listLifetimeFactor allows for callers that keep the list of gateways longer than they were
	// told.
	listLifetimeFactor = 2
	// maxStreamTime is the longest expected duration of a stream: some sixty events at passes of
	// 80 ms.
	maxStreamTime = 5 * time.Second
	// maxPlainTime is the longest expected duration of a plain response, unless its caller's
	// deadline is earlier.
	maxPlainTime = 1200 * time.Millisecond
	// retryAfterDrain is the Retry-After of a request that is refused because of draining:
	// another gateway can serve it at once.
	retryAfterDrain = 50 * time.Millisecond
)

// finishesBeforeStop reports whether a request that arrives now can end before a draining gateway
// is stopped by force. A request that can't is refused as not run, so that its caller can retry
// elsewhere; otherwise its response would be cut.
func (g *Gateway) finishesBeforeStop(c *call) bool {
	if !g.draining.Load() {
		return true
	}
	return g.drainTimeLeft() >= c.maxResponseTime()
}

// drainTimeLeft returns how much time a draining gateway has for requests in progress.
func (g *Gateway) drainTimeLeft() time.Duration {
	return g.settings.StopLimit.D() - drainMargin - g.now().Sub(*g.drainBegan.Load())
}

// maxResponseTime returns the longest expected duration of the response.
func (c *call) maxResponseTime() time.Duration {
	if c.route.Kind == wire.RouteKind_ROUTE_KIND_STREAMING {
		return maxStreamTime
	}
	return min(maxPlainTime, time.Until(c.deadline))
}

// maxQueueTime returns how long a request may be queued at a draining gateway, so that its
// response still ends before the stop.
func (c *call) maxQueueTime() time.Duration { return max(c.drainTimeLeft()-c.maxResponseTime(), 0) }

// Drain implements kernel.Daemon. The gateway leaves the list of gateways at once and continues
// to serve requests, as callers keep the list for a while. It returns when the gateway has been
// idle for long enough, or at the stop limit.
func (g *Gateway) Drain(ctx context.Context) error {
	began := g.now()
	g.drainBegan.CompareAndSwap(nil, &began)
	if g.draining.CompareAndSwap(false, true) {
		kernel.Info(g.log, "Drain started. The gateway leaves the list of entries.", "active", g.active.Load())
	}
	g.triggerAnnounce()
	linger := listLifetimeFactor * g.settings.Keep.D()
	limit := g.settings.StopLimit.D() - drainMargin
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		waited := g.now().Sub(began)
		quiet := g.now().UnixNano()-g.lastRequestAt.Load() > int64(g.settings.Keep.D())
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
