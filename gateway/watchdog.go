package gateway

import (
	"context"
	"sync"
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
	minSilence = 200 * time.Millisecond
	maxSilence = time.Second
)

// silenceWatchdog cancels an attempt whose upstream has become silent while its group makes
// progress, as with a frozen host or a dead connection. Otherwise the caller would wait until it
// leaves, and the upstream would later run the request for nobody. Attempts at slow upstreams are
// cancelled through it too.
type silenceWatchdog struct {
	call     *call
	upstream string
	group    *groupPool
	cancel   context.CancelFunc
	timeout  time.Duration
	// timer is set after it has been started, so that check, which it calls, waits for mu.
	mu    sync.Mutex
	timer *time.Timer
	// lastHeard is when the upstream last sent something, in nanoseconds since startedAt.
	lastHeard atomic.Int64
	startedAt time.Time
	// silentFor is for how long the upstream had been silent when the attempt was cancelled for it, in
	// nanoseconds; 0 if it wasn't.
	silentFor atomic.Int64
}

// watchAttempt starts the watchdog of an attempt. It returns nil if the request isn't repeatable.
func (c *call) watchAttempt(upstream string, cancel context.CancelFunc) *silenceWatchdog {
	if !routing.Retryable(c.route) {
		return nil
	}
	w := &silenceWatchdog{call: c, upstream: upstream, group: c.group, cancel: cancel, timeout: c.services.silenceLimit(c.group), startedAt: time.Now()}
	w.mu.Lock()
	w.timer = time.AfterFunc(w.timeout, w.check)
	w.mu.Unlock()
	c.movable.add(w)
	return w
}

// recordProgress records that the upstream has sent something.
func (w *silenceWatchdog) recordProgress() {
	if w != nil {
		w.lastHeard.Store(int64(time.Since(w.startedAt)))
	}
}

// silence returns for how long the upstream had been silent when the attempt was given up for it; 0
// if it wasn't.
func (w *silenceWatchdog) silence() time.Duration {
	if w == nil {
		return 0
	}
	return time.Duration(w.silentFor.Load())
}

func (w *silenceWatchdog) stop() {
	if w != nil {
		w.timer.Stop()
		w.call.movable.remove(w)
	}
}

func (w *silenceWatchdog) resetTimer(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(d)
}

// check cancels the attempt if it has been silent for too long, another attempt may follow, and
// the group as a whole makes progress.
func (w *silenceWatchdog) check() {
	now := time.Now()
	silentFor := now.Sub(w.startedAt) - time.Duration(w.lastHeard.Load())
	left := w.timeout - silentFor
	switch {
	case left > 0:
		w.resetTimer(left)
	case w.call.reserveRetry(now, w, w.call.retryBudget.Take):
		w.silentFor.Store(int64(silentFor))
		w.cancel()
	default:
		w.resetTimer(w.timeout / 2)
	}
}

// reserveRetry reports whether a running attempt may be given up for another one, and if so
// charges the retry budget by take. The budget is charged before the attempt is cancelled: otherwise
// several requests could give up their upstreams for a single remaining retry, and all but one
// would fail. So would those that no other upstream takes now.
func (c *call) reserveRetry(now time.Time, w *silenceWatchdog, take func(service string) bool) bool {
	another := c.sent.Load()+1 < int64(c.route.MaxAttempts) && c.services.takesElsewhere(c.service, w.upstream)
	if !another || !c.services.progressing(now, w.group) || c.deadline.Sub(now) <= minSilence {
		return false
	}
	if _, only := c.retryForbidden(); only || !take(c.service) {
		return false
	}
	c.retryReserved.Store(true)
	return true
}
