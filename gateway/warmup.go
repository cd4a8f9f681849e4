package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/routing"
)

const (
	// warmupLimit is how long after its start a gateway may let requests wait for its first
	// configuration and for upstreams. It covers a start of all processes at once, including the
	// election of a leader.
	warmupLimit = 2500 * time.Millisecond
	// warmupDivisor limits the wait to a fraction of the time that a caller has left; the rest is
	// for the response.
	warmupDivisor = 3
	// maxWarming bounds the waiting requests, to bound the gateway's memory.
	maxWarming = 1000
)

// warmup lets requests wait until a gateway that has just started can serve them.
//
// It guards against a power loss of all processes. Callers of interrupted streams reconnect at
// once and may have no other try left; refused because the gateway has no configuration yet, they
// would be lost a second before they could be served.
type warmup struct {
	// until is the end of the start phase.
	until   time.Time
	waiting atomic.Int64

	mu sync.Mutex
	// changed is closed and replaced when the gateway has learned something.
	changed chan struct{}
}

func newWarmup(started time.Time) *warmup {
	return &warmup{until: started.Add(warmupLimit), changed: make(chan struct{})}
}

// notify wakes the waiting requests.
func (w *warmup) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *warmup) changes() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// limit returns how long a request that arrives now may wait, with left until its deadline; 0
// means that no deadline is known.
func (w *warmup) limit(now time.Time, left time.Duration) time.Duration {
	limit := max(w.until.Sub(now), 0)
	if left > 0 {
		limit = min(limit, left/warmupDivisor)
	}
	return limit
}

// wait waits until enough returns true, the limit has passed or ctx is done, and reports whether
// enough is true. It returns false at once if maxWarming requests wait already.
func (w *warmup) wait(ctx context.Context, limit time.Duration, enough func() bool) bool {
	if enough() {
		return true
	}
	defer w.waiting.Add(-1)
	if w.waiting.Add(1) > maxWarming || limit <= 0 {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := w.changes()
		if enough() {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// waitForTable waits for the first configuration. It returns nil if there is none in time.
func (c *call) waitForTable(ctx context.Context) *routing.Table {
	c.warmUntil = c.now().Add(c.warmup.limit(c.now(), c.params.Deadline))
	c.warmup.wait(ctx, c.warmUntil.Sub(c.now()), func() bool { return c.table.Load() != nil })
	return c.table.Load()
}

// waitForService waits for an upstream of the call's service, for what is left of the same time.
func (c *call) waitForService(ctx context.Context) {
	c.warmup.wait(ctx, c.warmUntil.Sub(c.now()), func() bool { return c.services.serves(c.service) })
}

// serves reports whether a service has an upstream and, if its upstreams form groups, one group
// that isn't down. After a power loss ranks register before their group has formed again.
func (m *serviceManager) serves(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.services[service]
	return p != nil && p.hasLiveGroup()
}
