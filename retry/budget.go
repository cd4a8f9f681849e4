// Package retry limits retries, so that they can't multiply the load on what is left of a failing
// service.
//
// All gateways share one allowance for each service: Ratio retries for each request, and Slack more in
// each window. A gateway's Budget uses three parts of it: what its own requests have earned, its whole
// share of a part of the slack, and single tokens that a control replica lends from the rest. An even
// share of the slack is less than one retry where gateways are many; lent tokens go to those that need
// one, wherever they are. Behind a partition a gateway has the first two parts only.
package retry

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/quota"
)

// Allowance is what all gateways together may use for one service.
type Allowance struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed in each Window in addition.
	Slack  float64
	Window time.Duration
}

// Parts of the slack. The rest is a margin, as gateways and replicas learn with a delay how many they
// are, and forget what they have used when they restart.
const (
	// earnedFraction is the part that gateways may hold of what their requests earn.
	earnedFraction = 0.2
	// ownFraction is the part that gateways use without asking.
	ownFraction = 0.3
	// lentFraction is the part that replicas lend.
	lentFraction = 0.3
	// ratioMargin is the fraction of Ratio that requests earn.
	ratioMargin = 0.8
)

// refusalMemory is how long a gateway borrows no more for a service after a replica had nothing to
// lend or didn't answer: during an outage every request would ask.
const refusalMemory = 500 * time.Millisecond

// Share returns the member's whole share of a part of the slack.
func (a Allowance) share(fraction float64, p quota.Position) int {
	return p.Share(int(fraction * a.Slack))
}

// Budget is the part of one gateway, by service. It is safe for concurrent use.
type Budget struct {
	allowance Allowance
	position  func() quota.Position
	// borrow asks a replica for one token; it may block, and is called without the lock.
	borrow func(service string) bool
	now    func() time.Time

	mu       sync.Mutex
	services map[string]*serviceBudget
}

type serviceBudget struct {
	// earned are the tokens from requests; a new budget is full.
	earned    float64
	own       quota.Window
	refusedAt time.Time
}

// NewBudget returns a budget. borrow may be nil.
func NewBudget(a Allowance, position func() quota.Position, borrow func(string) bool, now func() time.Time) *Budget {
	return &Budget{allowance: a, position: position, borrow: borrow, now: now, services: map[string]*serviceBudget{}}
}

// service returns the budget of a service. The caller holds the lock.
func (b *Budget) service(name string, p quota.Position) *serviceBudget {
	s := b.services[name]
	if s == nil {
		s = &serviceBudget{earned: float64(b.allowance.share(earnedFraction, p))}
		b.services[name] = s
	}
	return s
}

// RecordRequest adds what one request earns.
func (b *Budget) RecordRequest(service string) {
	p := b.position()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service, p)
	s.earned = min(s.earned+ratioMargin*b.allowance.Ratio, float64(b.allowance.share(earnedFraction, p)))
}

// TakeOwn takes the token for one retry from what the gateway has itself. It never blocks.
func (b *Budget) TakeOwn(service string) bool {
	p := b.position()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service, p)
	if s.earned >= 1 {
		s.earned--
		return true
	}
	return s.own.Take(b.now(), b.allowance.Window, b.allowance.share(ownFraction, p))
}

// Take takes the token for one retry, and borrows it if the gateway has none itself.
func (b *Budget) Take(service string) bool {
	if b.TakeOwn(service) {
		return true
	}
	if b.borrow == nil || b.refusedLately(service) {
		return false
	}
	if b.borrow(service) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services[service].refusedAt = b.now()
	return false
}

func (b *Budget) refusedLately(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.services[service].refusedAt
	return !at.IsZero() && b.now().Sub(at) < refusalMemory
}
