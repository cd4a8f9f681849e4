package gateway

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// deadlineMemory is how long the longest time that callers of a route name counts.
	deadlineMemory = 10 * time.Second
	// mostAge is the part of that time that a request can have used when it comes back:
	// callers come back within a third of what they have left, once or twice. One that
	// names less is no later try but a caller that waits for less.
	mostAge = 2.0 / 3
	// callerSpread is the part of that time by which the times of first tries differ: less
	// than that below the longest may be another caller's habit.
	callerSpread = 0.16
	// firstRequests is how many requests of a route must have come until their times tell
	// more than the route's own limit: after a start nearly all that come are later tries.
	firstRequests = 40
)

// callerTimes knows how long callers of each route wait at first: each later try names
// what is left of that.
type callerTimes struct {
	mu     sync.Mutex
	routes map[string]*longest
}

// longest is the longest of the times named in this and the last period.
type longest struct {
	since      time.Time
	this, last time.Duration
	requests   int
}

func newCallerTimes() *callerTimes { return &callerTimes{routes: map[string]*longest{}} }

// age is how long ago a caller sent its request first, by what it says is left; 0 for a
// first try.
func (t *callerTimes) age(now time.Time, r *wire.Route, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.routes[r.Name]
	if l == nil {
		l = &longest{since: now}
		t.routes[r.Name] = l
	}
	usual := l.take(now, left)
	if l.requests < firstRequests {
		usual = max(usual, time.Duration(r.TimeoutMs)*time.Millisecond)
	}
	age := usual - left
	if float64(age) < callerSpread*float64(usual) || float64(age) > mostAge*float64(usual) {
		return 0
	}
	return age
}

func (l *longest) take(now time.Time, d time.Duration) time.Duration {
	if now.Sub(l.since) > deadlineMemory {
		l.since, l.last, l.this = now, l.this, 0
	}
	l.this = max(l.this, d)
	l.requests++
	return max(l.this, l.last)
}

// keep forgets the routes that are no more.
func (t *callerTimes) keep(routes []*wire.Route) {
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
