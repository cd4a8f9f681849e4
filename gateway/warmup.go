package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipereach/snipereach/routing"
)

const (
	// warmupLimit is how long after its start a gateway may let requests wait for its
	// first configuration and the upstreams: a leader is there and has told both 1.2 to
	// 1.6 s after all processes of a system have lost power.
	warmupLimit = 2500 * time.Millisecond
	// warmupPart is the part of the time a caller has left that it may wait: the rest
	// must do for the answer.
	warmupPart = 3
	// mostWarming bounds the requests that wait: some kilobytes each, on hosts of less
	// than 200 MB.
	mostWarming = 1000
)

// warmup lets requests wait until a gateway that has just started knows enough to serve
// them.
//
// The load that it answers: all processes of the system lose power at once. Callers whose
// streams are cut come back as soon as they can connect, and many of them have no try
// left after that; refused because nobody has told the gateway its configuration yet,
// they are lost a second before they could be served.
type warmup struct {
	// until is when the start is over.
	until   time.Time
	waiting atomic.Int64

	mu sync.Mutex
	// changed is closed when the gateway has learned something, and replaced.
	changed chan struct{}
}

func newWarmup(started time.Time) *warmup {
	return &warmup{until: started.Add(warmupLimit), changed: make(chan struct{})}
}

// learned wakes those that wait.
func (w *warmup) learned() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *warmup) next() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// limit is how long a caller may wait that comes now and has some time left; 0 left is
// not known.
func (w *warmup) limit(now time.Time, left time.Duration) time.Duration {
	limit := max(w.until.Sub(now), 0)
	if left > 0 {
		limit = min(limit, left/warmupPart)
	}
	return limit
}

// wait waits until the gateway knows enough, for a time at most, and says whether it
// does.
func (w *warmup) wait(ctx context.Context, limit time.Duration, enough func() bool) bool {
	if enough() {
		return true
	}
	defer w.waiting.Add(-1)
	if w.waiting.Add(1) > mostWarming || limit <= 0 {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := w.next()
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

// waitForTable lets a call wait for the first configuration.
func (c *call) waitForTable(ctx context.Context) *routing.Table {
	c.warmUntil = c.now().Add(c.warmup.limit(c.now(), c.asked.Deadline))
	c.warmup.wait(ctx, c.warmUntil.Sub(c.now()), func() bool { return c.table.Load() != nil })
	return c.table.Load()
}

// waitForService lets a call wait for an upstream of its service, for what is left of
// the same time.
func (c *call) waitForService(ctx context.Context) {
	c.warmup.wait(ctx, c.warmUntil.Sub(c.now()), func() bool { return c.fleet.serves(c.service) })
}

// serves says whether a service has an upstream and, if its upstreams are groups, one that
// isn't down: ranks that lost power with the rest form their group again some tenths of
// a second after they have registered.
func (f *fleet) serves(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.services[service]
	return p != nil && p.serves()
}
