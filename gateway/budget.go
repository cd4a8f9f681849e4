package gateway

import (
	"sync"
	"time"
)

// budgets bounds second attempts by service, so that retries can't multiply the
// load on what is left of a failing service.
//
// All entries share one allowance: ratio for each request, and slack in each
// window. Entries don't talk about it; each takes an even part of the slack, and
// what its own requests have earned. Over any window the sum stays within the
// allowance: a bucket gives out at most its depth and what flowed in.
type budgets struct {
	settings RetrySettings
	// entries is how many entries share the slack.
	entries func() int
	now     func() time.Time

	mu       sync.Mutex
	services map[string]*bucket
}

const (
	// budgetMargin is the part of the allowance that is used: entries learn late
	// how many they are.
	budgetMargin = 0.8
	// budgetDepthShare is the part of a window's slack that may be saved up; the
	// rest flows in over the window.
	budgetDepthShare = 0.5
)

type bucket struct {
	tokens float64
	filled time.Time
}

func newBudgets(s RetrySettings, entries func() int, now func() time.Time) *budgets {
	return &budgets{settings: s, entries: entries, now: now, services: map[string]*bucket{}}
}

// bucket returns a service's bucket with what has flowed in.
func (b *budgets) bucket(service string) *bucket {
	now := b.now()
	depth, rate := b.shape()
	k := b.services[service]
	if k == nil {
		k = &bucket{tokens: depth, filled: now}
		b.services[service] = k
	}
	k.tokens = min(k.tokens+rate*max(now.Sub(k.filled).Seconds(), 0), depth)
	k.filled = now
	return k
}

// shape is the depth of a bucket and what flows in each second.
func (b *budgets) shape() (depth, rate float64) {
	own := budgetMargin * b.settings.Slack / float64(max(b.entries(), 1))
	depth = budgetDepthShare * own
	rate = (1 - budgetDepthShare) * own / b.settings.Window.D().Seconds()
	return depth, rate
}

// offer counts a request of a caller for a service.
func (b *budgets) offer(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	depth, _ := b.shape()
	k.tokens = min(k.tokens+budgetMargin*b.settings.Ratio, depth)
}

// take takes one second attempt, or says that none is left.
func (b *budgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}
