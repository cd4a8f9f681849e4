package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/routing"
)

const (
	// silenceFactor times the usual head time is how long an upstream may be silent before a
	// repeatable request is retried elsewhere.
	silenceFactor = 6
	// minSilence and maxSilence bound that time: minSilence is longer than nearly all short
	// responses take, maxSilence is half of firstEventTimeout.
	leastSilence = 200 * time.Millisecond
	mostSilence  = time.Second
)

// silenceWatchdog cancels an attempt whose upstream has become silent while its group makes
// progress, as with a frozen host or a dead connection. Otherwise the caller would wait until it
// leaves, and the upstream would later run the request for nobody. Attempts at slow upstreams are
// cancelled through it too.
type attemptWatch struct {
	call     *call
	upstream string
	at       *groupPool
	cancel   context.CancelFunc
	limit    time.Duration
	timer    *time.Timer
	// lastHeard is when the upstream last sent something, in nanoseconds since startedAt.
	heard atomic.Int64
	began time.Time
}

// watchAttempt starts the watchdog of an attempt. It returns nil if the request isn't repeatable.
func (c *call) watchAttempt(upstream string, cancel context.CancelFunc) *attemptWatch {
	if !routing.Repeatable(c.route) {
		return nil
	}
	w := &attemptWatch{call: c, upstream: upstream, at: c.at, cancel: cancel, limit: c.fleet.silence(c.at), began: time.Now()}
	w.timer = time.AfterFunc(w.limit, w.look)
	c.movable.add(w)
	return w
}

// recordProgress records that the upstream has sent something.
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

// check cancels the attempt if it has been silent for too long, another attempt may follow, and
// the group as a whole makes progress.
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

// reserveRetry reports whether a running attempt may be given up for another one, and if so
// charges the retry budget. The budget is charged before the attempt is cancelled: otherwise
// several requests could give up their upstreams for a single remaining retry, and all but one
// would fail.
func (c *call) takeMove(now time.Time, at *groupPool) bool {
	another := c.sent.Load()+1 < int64(c.route.MaxAttempts)
	if !another || !c.fleet.goesOn(now, at) || c.deadline.Sub(now) <= leastSilence {
		return false
	}
	if _, only := c.oneAttempt(); only || !c.retryBudgets.takeToken(c.service) {
		return false
	}
	c.paid.Store(true)
	return true
}
