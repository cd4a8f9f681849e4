package route

import (
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  "route.round-robin",
		Doc: "each upstream in turn, regardless of load; a baseline",
		New: func() any { return &RoundRobin{} },
	})
}

// RoundRobin selects the upstreams in turn, regardless of their load and health.
type RoundRobin struct {
	ups  []Upstream
	next int
}

// SetUpstreams implements Balancer.
func (b *RoundRobin) SetUpstreams(_ time.Time, ups []Upstream) { b.ups = ups }

// ApplyLoadReport implements Balancer.
func (b *RoundRobin) ApplyLoadReport(time.Time, string, uint64, *wire.Load) {}

// ApplyCacheEvents implements Balancer.
func (b *RoundRobin) ApplyCacheEvents(time.Time, string, uint64, []*wire.CacheEvent) {}

// Done implements Balancer.
func (b *RoundRobin) Done(time.Time, Upstream, *Request, Result) {}

// Pick implements Balancer.
func (b *RoundRobin) Pick(_ time.Time, r *Request) (Choice, bool) {
	for range b.ups {
		u := b.ups[b.next%len(b.ups)]
		b.next++
		if !r.Exclude[u.ID] {
			return Choice{Upstream: u}, true
		}
	}
	return Choice{}, false
}
