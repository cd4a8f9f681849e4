package gateway

import (
	"time"

	"github.com/snipereach/snipereach/route"
)

// simPlace is where a request has its place.
type simPlace = *groupPool

func (e *simEntry) pool() *servicePool { return e.fleet.services[simService] }

func (e *simEntry) ask(now time.Time, w *waiter) (verdict, time.Duration) {
	return e.pool().ask(now, e.fleet.entries(), w)
}

func (e *simEntry) turns(now time.Time) { e.pool().turns(now, e.fleet.entries()) }

func (e *simEntry) giveUp(now time.Time, w *waiter) time.Duration {
	e.pool().line.remove(w)
	return e.pool().turnAway(now)
}

func (e *simEntry) pick(now time.Time, c *simCaller) route.Upstream {
	up, at, ok := e.fleet.pick(now, c.waiter.at, &route.Request{})
	if !ok {
		panic("no upstream")
	}
	c.at = at
	return up
}

func (e *simEntry) head(now time.Time, c *simCaller, after time.Duration) {
	e.fleet.answered(now, c.at, c.up, nil, after, true)
}

func (e *simEntry) paused(now time.Time, c *simCaller, pause time.Duration) {
	e.fleet.alive(now, c.at)
	e.fleet.paused(now, simService, c.at, pause, simContent, simFixed)
}

func (e *simEntry) leave(now time.Time, c *simCaller) {
	e.fleet.done(now, c.at, c.up, &route.Request{}, route.Result{Elapsed: now.Sub(c.sentAt)})
	c.at.gate.leave()
	e.pool().stayedFor(now.Sub(c.sentAt))
	e.pool().turns(now, e.fleet.entries())
}

// simFixed is the part of a pass that doesn't depend on what runs, as the service's profile tells it.
const simFixed = time.Duration(simStride * simStep * float64(time.Millisecond))
