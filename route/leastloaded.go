package route

import (
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  "route.least-loaded",
		Doc: "the least busy of a few random upstreams, counting own work that reports can't hold",
		New: func() any { return &LeastLoaded{pool: newPool(), choices: defaultChoices} },
	})
}

// defaultChoices is how many upstreams are compared: all of a small pool. More
// cost time in a large one and crowd on the same few; see docs/design/route.md.
const defaultChoices = 16

// LeastLoaded compares a few random candidates (Mitzenmacher: The Power of Two
// Choices in Randomized Load Balancing, 2001) by their corrected load.
type LeastLoaded struct {
	pool
	choices int
}

// SetChoices changes how many upstreams are compared, for measurements.
func (b *LeastLoaded) SetChoices(n int) { b.choices = n }

// Update implements Balancer.
func (b *LeastLoaded) Update(now time.Time, ups []Upstream) { b.update(now, ups) }

// Report implements Balancer.
func (b *LeastLoaded) Report(now time.Time, id string, incarnation uint64, l *wire.Load) {
	b.report(now, id, incarnation, l)
}

// Cache implements Balancer.
func (b *LeastLoaded) Cache(time.Time, string, uint64, []*wire.CacheEvent) {}

// Pick implements Balancer.
func (b *LeastLoaded) Pick(now time.Time, r *Request) (Choice, bool) {
	list := b.sample(now, r, b.choices)
	usual := usual(list)
	c := contest{queue: usual >= crowded && short(list)}
	for _, s := range list {
		c.enter(s, b.busy(now, s, usual))
	}
	return b.choose(now, r, &c)
}

// Done implements Balancer.
func (b *LeastLoaded) Done(now time.Time, up Upstream, r *Request, res Result) {
	b.done(now, up, r, res)
}
