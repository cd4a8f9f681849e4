package route

import (
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

func init() {
	kernel.Register(kernel.Module{
		ID:  "route.least-loaded",
		Doc: "the least loaded of a few random upstreams, counting own requests that load reports don't include yet",
		New: func() any { return &LeastLoaded{pool: newPool(), choices: defaultChoices} },
	})
}

// defaultChoices is the number of random upstreams that are compared. Comparing more
// of a large pool takes longer and makes entries herd to the same few upstreams.
const defaultChoices = 16

// LeastLoaded selects the least loaded of a few random candidates (Mitzenmacher: The
// Power of Two Choices in Randomized Load Balancing, 2001).
type LeastLoaded struct {
	pool
	choices int
}

// SetChoices sets the number of random upstreams that are compared. It is meant for
// benchmarks and simulations.
func (b *LeastLoaded) SetChoices(n int) { b.choices = n }

// SetUpstreams implements Balancer.
func (b *LeastLoaded) SetUpstreams(now time.Time, ups []Upstream) { b.setUpstreams(now, ups) }

// ApplyLoadReport implements Balancer.
func (b *LeastLoaded) ApplyLoadReport(now time.Time, id string, incarnation uint64, l *wire.Load) {
	b.applyReport(now, id, incarnation, l)
}

// ApplyCacheEvents implements Balancer.
func (b *LeastLoaded) ApplyCacheEvents(time.Time, string, uint64, []*wire.CacheEvent) {}

// Pick implements Balancer.
func (b *LeastLoaded) Pick(now time.Time, r *Request) (Choice, bool) {
	list := b.sample(now, r, b.choices)
	mean := meanLoadPerSlot(list)
	c := selection{queueInPlace: mean >= queueInPlaceLoad && haveShortRuns(list)}
	for _, s := range list {
		c.add(s, b.projectedUtilization(now, s, mean))
	}
	return b.startBest(now, r, &c)
}

// Done implements Balancer.
func (b *LeastLoaded) Done(now time.Time, up Upstream, r *Request, res Result) {
	b.finishAttempt(now, up, r, res)
}
