package route

import (
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  "route.least-loaded",
		Doc: "the less loaded of two random upstreams, counting own work in flight",
		New: func() any { return &LeastLoaded{known: map[string]*known{}, rnd: rand.New(rand.NewPCG(1, 1))} },
	})
}

// known is what the entry knows of one upstream.
type known struct {
	Upstream
	inflight int
}

// LeastLoaded compares two random candidates by reported load plus own work in
// flight (Mitzenmacher: The Power of Two Choices, 2001).
type LeastLoaded struct {
	known map[string]*known
	ids   []string
	rnd   *rand.Rand
}

// SetPlace implements Placed.
func (b *LeastLoaded) SetPlace(p Place) { b.rnd = rand.New(rand.NewPCG(p.Seed, 2)) }

// Update implements Balancer.
func (b *LeastLoaded) Update(_ time.Time, ups []Upstream) {
	next := make(map[string]*known, len(ups))
	b.ids = b.ids[:0]
	for _, u := range ups {
		k := &known{Upstream: u}
		if old := b.known[u.ID]; old != nil && old.Incarnation == u.Incarnation {
			k.inflight = old.inflight
		}
		next[u.ID] = k
		b.ids = append(b.ids, u.ID)
	}
	b.known = next
}

// Report implements Balancer.
func (b *LeastLoaded) Report(_ time.Time, id string, incarnation uint64, l *wire.Load) {
	k := b.known[id]
	if k == nil || k.Incarnation != incarnation || l == nil {
		return
	}
	if k.Load == nil || l.Seq > k.Load.Seq {
		k.Load = l
	}
}

// Cache implements Balancer.
func (b *LeastLoaded) Cache(time.Time, string, uint64, []*wire.CacheEvent) {}

// Pick implements Balancer.
func (b *LeastLoaded) Pick(_ time.Time, r *Request) (Upstream, bool) {
	var ids []string
	for _, id := range b.ids {
		if !r.Exclude[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return Upstream{}, false
	}
	best := b.known[ids[b.rnd.IntN(len(ids))]]
	other := b.known[ids[b.rnd.IntN(len(ids))]]
	if other.cost() < best.cost() {
		best = other
	}
	best.inflight++
	return best.Upstream, true
}

func (k *known) cost() float64 {
	c := float64(k.inflight)
	if k.Load != nil {
		c += float64(k.Load.Running+k.Load.Waiting) / float64(max(k.Load.Slots, 1))
	}
	return c
}

// Done implements Balancer.
func (b *LeastLoaded) Done(now time.Time, id string, _ *Request, res Result) {
	k := b.known[id]
	if k == nil {
		return
	}
	k.inflight = max(k.inflight-1, 0)
	b.Report(now, id, k.Incarnation, res.Load)
}
