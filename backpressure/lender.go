package backpressure

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/quota"
)

const (
	// noShareDelay is when a gateway may ask a replica again that has no share of a limit. The
	// shares change with the members of the log.
	noShareDelay = 10 * time.Second
	// asksPerPermit is about how many gateways may ask for each permit that is lent. More would
	// load the replicas in vain, fewer would leave permits unused while some gateways want none.
	asksPerPermit = 4
	// maxBatch is the fraction of a replica's share that one gateway is lent at once.
	maxBatch = 0.125
	// idleAfter is how long a lender remembers an upstream for which nobody asks. It is longer than
	// any window.
	idleAfter = time.Minute
)

// Lender lends the permits of one control replica: its whole share of each upstream's limit. The
// replicas don't ask each other; which of them have one permit more differs between upstreams. It
// is safe for concurrent use.
type Lender struct {
	now     func() time.Time
	started time.Time

	mu         sync.Mutex
	byUpstream map[string]*lending
	cleanedAt  time.Time
}

// lending is what a replica has lent of the limit of one upstream.
type lending struct {
	lent    quota.Window
	askedAt time.Time
	// refused counts the refusals in a window.
	refused quota.Recent
}

// NewLender returns the lender of a replica that starts now.
func NewLender(now func() time.Time) *Lender {
	return &Lender{now: now, started: now(), byUpstream: map[string]*lending{}}
}

// Lend lends up to want permits for requests to an upstream with the given limit. p is this
// replica's position among all. If it has none, retry is when it may have one for this gateway.
//
// A replica lends nothing in the first window after its start, as it doesn't know what it lent
// before.
func (l *Lender) Lend(upstream string, perS float64, want int, p quota.Position) (lent int, retry time.Duration) {
	total, window := permitsOf(perS)
	share := p.Turned(xxhash.Sum64String(upstream)).Share(total)
	now := l.now()
	if share == 0 {
		return 0, noShareDelay
	}
	if left := window - now.Sub(l.started); left > 0 {
		return 0, left
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.lending(now, upstream)
	lent = u.lent.TakeUpTo(now, window, share, min(want, max(int(maxBatch*float64(share)), 1)))
	if lent > 0 {
		return lent, 0
	}
	return 0, u.lent.NextFree(now, window) + u.recordRefusal(now, window, share)
}

// lending returns the state of an upstream, and drops those that nobody has asked for lately.
func (l *Lender) lending(now time.Time, upstream string) *lending {
	if now.Sub(l.cleanedAt) >= idleAfter {
		l.cleanedAt = now
		for id, u := range l.byUpstream {
			if now.Sub(u.askedAt) >= idleAfter {
				delete(l.byUpstream, id)
			}
		}
	}
	u := l.byUpstream[upstream]
	if u == nil {
		u = &lending{}
		l.byUpstream[upstream] = u
	}
	u.askedAt = now
	return u
}

// recordRefusal counts a refusal, and returns for how much longer than until the next permit the
// gateway should not ask: the more gateways were refused for each permit, the longer.
func (u *lending) recordRefusal(now time.Time, window time.Duration, share int) time.Duration {
	u.refused.Add(now, window)
	crowd := float64(u.refused.Most(now, window)) / float64(asksPerPermit*share)
	if crowd < 1 {
		return 0
	}
	return time.Duration(crowd * float64(window))
}
