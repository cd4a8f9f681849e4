package gateway

import (
	"time"

	"github.com/snipereach/snipereach/route"
)

// simPlace is where a request has its place.
type simPlace struct{}

func (e *simEntry) pool() *servicePool { return e.fleet.services[simService] }

func (e *simEntry) ask(now time.Time, w *waiter) (verdict, time.Duration) {
	return e.pool().ask(now, e.fleet.entries(), w)
}

func (e *simEntry) turns(now time.Time) { e.pool().turns(now, e.fleet.entries()) }

func (e *simEntry) giveUp(now time.Time, w *waiter) time.Duration {
	e.pool().line.remove(w)
	return e.pool().gate.turnAway(now)
}

func (e *simEntry) pick(now time.Time, _ *simCaller) route.Upstream {
	up, ok := e.fleet.pick(now, simService, &route.Request{})
	if !ok {
		panic("no upstream")
	}
	return up
}

func (e *simEntry) head(now time.Time, c *simCaller, after time.Duration) {
	e.fleet.answered(now, simService, c.up, nil, after, true)
}

func (e *simEntry) paused(now time.Time, c *simCaller, pause time.Duration) {
	e.fleet.alive(now, simService)
	e.fleet.paused(now, simService, c.up.ID, pause, simContent)
}

func (e *simEntry) leave(now time.Time, c *simCaller) {
	e.fleet.done(now, simService, c.up, &route.Request{}, route.Result{Elapsed: now.Sub(c.sentAt)})
	p := e.pool()
	p.gate.leave()
	p.gate.stay(now.Sub(c.sentAt))
	p.turns(now, e.fleet.entries())
}
