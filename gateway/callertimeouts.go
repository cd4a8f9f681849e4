package gateway

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// timeoutWindow is how long the longest timeout that callers of a route name is remembered;
	// up to twice that, as two periods are kept.
	timeoutWindow = 10 * time.Second
	// maxAgeFraction is the largest fraction of the usual timeout that a retry can have used. A
	// request with less time left is taken for the first try of a caller with a shorter timeout.
	// Callers come back within a third of the time that they have left, once or twice.
	maxAgeFraction = 2.0 / 3
	// minAgeFraction is the smallest fraction of the usual timeout that counts as used. A smaller
	// difference may come from callers that use different timeouts.
	minAgeFraction = 0.16
	// minTimeoutSamples is the number of requests of a route below which the route's own timeout
	// also counts as a usual one: just after a start most requests are retries, with less time
	// left.
	minTimeoutSamples = 40
)

// callerTimeouts tracks the timeouts that callers of each route use. A first try names the whole
// timeout, a retry what is left of it.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*maxTimeout
}

// maxTimeout is the longest timeout named in the current and the previous period.
type maxTimeout struct {
	periodStart       time.Time
	current, previous time.Duration
	samples           int
}

func newCallerTimeouts() *callerTimeouts { return &callerTimeouts{routes: map[string]*maxTimeout{}} }

// age estimates how long ago a caller first sent its request, from the time that it says is left.
// It returns 0 for a first try, or if the caller names no time.
func (t *callerTimeouts) age(now time.Time, r *wire.Route, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.routes[r.Name]
	if m == nil {
		m = &maxTimeout{periodStart: now}
		t.routes[r.Name] = m
	}
	usual := m.record(now, left)
	if m.samples < minTimeoutSamples {
		usual = max(usual, time.Duration(r.TimeoutMs)*time.Millisecond)
	}
	age := usual - left
	if float64(age) < minAgeFraction*float64(usual) || float64(age) > maxAgeFraction*float64(usual) {
		return 0
	}
	return age
}

// record adds a timeout and returns the longest of both periods.
func (m *maxTimeout) record(now time.Time, d time.Duration) time.Duration {
	if now.Sub(m.periodStart) > timeoutWindow {
		m.periodStart, m.previous, m.current = now, m.current, 0
	}
	m.current = max(m.current, d)
	m.samples++
	return max(m.current, m.previous)
}

// retain drops the routes that are no longer configured.
func (t *callerTimeouts) retain(routes []*wire.Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[string]bool{}
	for _, r := range routes {
		known[r.Name] = true
	}
	for name := range t.routes {
		if !known[name] {
			delete(t.routes, name)
		}
	}
}
