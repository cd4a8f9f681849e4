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
	// usualStreamTime and usualPlainTime are how long responses take at most as a rule: some sixty
	// events at passes of 80 ms, and a plain response, unless its caller's deadline is earlier.
	usualStreamTime = 5 * time.Second
	usualPlainTime  = 1200 * time.Millisecond
	// abortTime is how long Drain waits for the answers to aborted requests.
	abortTime = 200 * time.Millisecond
	// retryAfterDrain is the Retry-After of a request that is refused because of draining:
	// another gateway can serve it at once.
	retryAfterDrain = 50 * time.Millisecond
)

// endsBeforeStop reports whether a request certainly ends before a draining gateway is stopped by
// force: at its deadline. Any other one that arrives while the gateway drains is refused as not run,
// so that its caller goes elsewhere at once. It could be cut while an upstream works on it, whatever
// responses take as a rule.
func (c *call) endsBeforeStop() bool {
	return !c.draining.Load() || time.Until(c.deadline) <= c.drainTimeLeft()
}

// drainTimeLeft returns how much time a draining gateway has for requests in progress.
func (g *Gateway) drainTimeLeft() time.Duration {
	return g.settings.StopLimit.D() - drainMargin - g.now().Sub(*g.drainBegan.Load())
}

// usualResponseTime returns how long the response takes at most as a rule.
func (c *call) usualResponseTime() time.Duration {
	if c.route.Kind == wire.RouteKind_ROUTE_KIND_STREAMING {
		return usualStreamTime
	}
	return min(usualPlainTime, time.Until(c.deadline))
}

// maxQueueTime returns how long a request may be queued at a draining gateway, so that its
// response still ends before the stop.
func (c *call) maxQueueTime() time.Duration {
	return max(c.drainTimeLeft()-c.usualResponseTime(), 0)
}

// tooLateToSend reports whether a request that was accepted before the gateway began to drain, and
// that has run nowhere, would be aborted as a rule if it were sent now.
func (c *call) tooLateToSend() bool {
	return !c.endsBeforeStop() && !c.history.inDoubt && c.drainTimeLeft() < c.usualResponseTime()
}

// aborted reports whether the gateway has stopped waiting for the requests in progress.
func (g *Gateway) aborted() bool { return g.draining.Load() && g.stopping.Err() != nil }

// abortRequests ends the requests in progress with an answer: 503 for those that have run nowhere,
// otherwise 502. A closed connection would tell the callers less, and later. A stream that has begun
// is broken off.
func (g *Gateway) abortRequests(ctx context.Context) {
	active := g.active.Load()
	if active == 0 {
		return
	}
	g.abort()
	kernel.Warn(g.log, "Requests in progress were aborted at the stop limit.", "requests", active)
	ctx, cancel := context.WithTimeout(ctx, abortTime)
	defer cancel()
	tick := time.NewTicker(abortTime / 20)
	defer tick.Stop()
	for g.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Drain implements kernel.Daemon. The gateway leaves the list of gateways at once and continues
// to serve requests that end in time, as callers keep the list for a while. It returns when the
// gateway has been idle for long enough, or at the stop limit.
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
		if g.active.Load() == 0 && waited >= linger && quiet {
			return nil
		}
		if waited >= limit {
			g.abortRequests(ctx)
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}
