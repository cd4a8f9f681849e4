package gateway

import (
	"sync"
	"time"
)

// retryBudgets limits retries by service, so that they can't multiply the load on what is left of
// a failing service.
//
// All gateways share one allowance: Ratio retries for each request, and Slack more in each
// window. They don't coordinate. Each one uses a token bucket with an even share of the slack,
// and adds Ratio for each of its own requests. A bucket never gives out more than its capacity
// plus what was added, so the total over any window stays within the allowance.
type retryBudgets struct {
	settings RetrySettings
	// gateways returns the number of gateways that share the slack.
	gateways func() int
	now      func() time.Time

	mu       sync.Mutex
	services map[string]*tokenBucket
}

const (
	// budgetMargin is the fraction of the allowance that is used, as gateways learn with a delay
	// how many they are.
	budgetMargin = 0.8
	// budgetBurstFraction is the fraction of a window's slack that a bucket can hold; the rest is
	// added evenly over the window.
	budgetBurstFraction = 0.5
)

type tokenBucket struct {
	tokens   float64
	filledAt time.Time
}

func newRetryBudgets(s RetrySettings, gateways func() int, now func() time.Time) *retryBudgets {
	return &retryBudgets{settings: s, gateways: gateways, now: now, services: map[string]*tokenBucket{}}
}

// refilled returns the token bucket of a service with the tokens earned up to now. The caller
// holds the lock.
func (b *retryBudgets) refilled(service string) *tokenBucket {
	now := b.now()
	depth, rate := b.capacityAndRate()
	tb := b.services[service]
	if tb == nil {
		tb = &tokenBucket{tokens: depth, filledAt: now}
		b.services[service] = tb
	}
	tb.tokens = min(tb.tokens+rate*max(now.Sub(tb.filledAt).Seconds(), 0), depth)
	tb.filledAt = now
	return tb
}

// capacityAndRate returns the capacity of a bucket, in tokens, and the tokens added per second.
func (b *retryBudgets) capacityAndRate() (depth, rate float64) {
	own := budgetMargin * b.settings.Slack / float64(max(b.gateways(), 1))
	depth = budgetBurstFraction * own
	rate = (1 - budgetBurstFraction) * own / b.settings.Window.D().Seconds()
	return depth, rate
}

// recordRequest adds the tokens that one request earns.
func (b *retryBudgets) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tb := b.refilled(service)
	depth, _ := b.capacityAndRate()
	tb.tokens = min(tb.tokens+budgetMargin*b.settings.Ratio, depth)
}

// takeToken takes the token for one retry. It returns false if the budget is exhausted.
func (b *retryBudgets) takeToken(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tb := b.refilled(service)
	if tb.tokens < 1 {
		return false
	}
	tb.tokens--
	return true
}
