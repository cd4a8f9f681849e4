package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/routing"
)

const (
	// silenceFactor times the usual time to an answer's head is how long one upstream
	// may say nothing before a request that may run twice goes elsewhere.
	silenceFactor = 6
	// leastSilence is above the slowest hundredth of short answers, mostSilence half
	// of the time after which callers leave a stream.
	leastSilence = 200 * time.Millisecond
	mostSilence  = time.Second
)

// attemptWatch ends an attempt whose upstream has fallen silent while its service goes
// on: a host that is frozen, or a connection that is dead without a word. Its caller
// would wait until it leaves, and the upstream would work for nobody when it wakes. An
// attempt at an upstream that has turned slow is given up by the same means.
type attemptWatch struct {
	call     *call
	upstream string
	at       *groupPool
	cancel   context.CancelFunc
	limit    time.Duration
	timer    *time.Timer
	// heard is when the upstream said something last, in nanoseconds since began.
	heard atomic.Int64
	began time.Time
}

// watchAttempt begins to watch an attempt at an upstream; nil if the request must not
// run twice.
func (c *call) watchAttempt(upstream string, cancel context.CancelFunc) *attemptWatch {
	if !routing.Repeatable(c.route) {
		return nil
	}
	w := &attemptWatch{call: c, upstream: upstream, at: c.at, cancel: cancel, limit: c.fleet.silence(c.at), began: time.Now()}
	w.timer = time.AfterFunc(w.limit, w.look)
	c.movable.add(w)
	return w
}

// hear notes a sign of life.
func (w *attemptWatch) hear() {
	if w != nil {
		w.heard.Store(int64(time.Since(w.began)))
	}
}

func (w *attemptWatch) stop() {
	if w != nil {
		w.timer.Stop()
		w.call.movable.remove(w)
	}
}

// look ends the attempt if it has been silent for long, another one may follow, and it
// isn't the whole service that stands still.
func (w *attemptWatch) look() {
	now := time.Now()
	left := w.limit - now.Sub(w.began) + time.Duration(w.heard.Load())
	switch {
	case left > 0:
		w.timer.Reset(left)
	case w.call.takeMove(now, w.at):
		w.cancel()
	default:
		w.timer.Reset(w.limit / 2)
	}
}

// takeMove says whether a request that waits at one upstream may go to another, and if
// so takes the second attempt from the budget. Were it taken only when the first one
// has ended, several requests would give up their upstreams for the same one, and all
// but one would be broken off.
func (c *call) takeMove(now time.Time, at *groupPool) bool {
	another := c.sent.Load()+1 < int64(c.route.MaxAttempts)
	if !another || !c.fleet.goesOn(now, at) || c.deadline.Sub(now) <= leastSilence {
		return false
	}
	if _, only := c.oneAttempt(); only || !c.budgets.take(c.service) {
		return false
	}
	c.paid.Store(true)
	return true
}
