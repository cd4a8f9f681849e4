package route

import "time"

// Waiter is a balancer that also says where a request should wait when no slot
// was found free: at several upstreams at once, and the first that has a free
// slot gets it (batch sampling with late binding; Ousterhout et al.: Sparrow,
// SOSP 2013).
type Waiter interface {
	// Places returns up to n upstreams to wait at, the best first. Nothing counts
	// as in flight yet. None if runs are so short that a held slot costs too much.
	Places(now time.Time, r *Request, n int) []Upstream
	// Take begins the attempt at an upstream that has offered a slot; it counts as
	// in flight until Done. It returns false if the upstream is gone.
	Take(now time.Time, up Upstream, r *Request) bool
}

// ranked is a candidate with its score; the least is the best.
type ranked struct {
	state *state
	score float64
}

// ranking keeps the best of the candidates, in order.
type ranking struct {
	list []ranked
	size int
}

func (k *ranking) enter(s *state, score float64) {
	for _, x := range k.list {
		if x.state == s {
			return
		}
	}
	if len(k.list) == k.size {
		if score >= k.list[k.size-1].score {
			return
		}
		k.list = k.list[:k.size-1]
	}
	k.list = append(k.list, ranked{s, score})
	for i := len(k.list) - 1; i > 0 && k.list[i].score < k.list[i-1].score; i-- {
		k.list[i], k.list[i-1] = k.list[i-1], k.list[i]
	}
}

func (k *ranking) upstreams() []Upstream {
	list := make([]Upstream, len(k.list))
	for i, x := range k.list {
		list[i] = x.state.Upstream
	}
	return list
}

// Take implements Waiter.
func (p *pool) Take(now time.Time, up Upstream, r *Request) bool {
	s := p.byID[up.ID]
	if s == nil || s.Incarnation != up.Incarnation || s.leaving {
		return false
	}
	p.start(now, s, r)
	return true
}

// Places implements Waiter.
func (b *LeastLoaded) Places(now time.Time, r *Request, n int) []Upstream {
	list := b.sample(now, r, b.choices)
	if short(list) {
		return nil
	}
	usual := usual(list)
	best := ranking{size: n}
	for _, s := range list {
		best.enter(s, b.busy(now, s, usual))
	}
	return best.upstreams()
}

// Places implements Waiter. A holder of a long prefix that is busy is among them
// only as far as the prefix is worth the wait.
func (b *Prefix) Places(now time.Time, r *Request, n int) []Upstream {
	held := b.match(r.Prefix)
	list := b.sample(now, r, b.settings.Choices)
	if short(list) {
		return nil
	}
	usual := usual(list)
	best := ranking{size: n}
	for _, s := range list {
		best.enter(s, b.busy(now, s, usual)-b.worth(r, s, held))
	}
	for _, s := range b.longest(now, r, held) {
		best.enter(s, b.busy(now, s, usual)-b.worth(r, s, held))
	}
	return best.upstreams()
}
