package route

import "time"

// LateBinder is implemented by balancers that support late binding: a request that found
// no free slot queues at several upstreams at once and runs at the first that reserves
// a slot for it (Ousterhout et al.: Sparrow, SOSP 2013).
type LateBinder interface {
	// QueueCandidates returns up to n upstreams to queue at, the best first. None of them counts
	// the request as in flight yet. It returns none if requests run too briefly for a
	// reserved slot to be worth its idle time.
	QueueCandidates(now time.Time, r *Request, n int) []Upstream
	// StartReserved starts the attempt at an upstream that has reserved a slot; it counts as in
	// flight until Done. It returns false if the upstream is gone.
	StartReserved(now time.Time, up Upstream, r *Request) bool
}

// scoredCandidate is a candidate with its score; lower is better.
type scoredCandidate struct {
	candidate *candidate
	score     float64
}

// topCandidates keeps the best candidates, at most limit, in ascending order of their
// scores.
type topCandidates struct {
	list  []scoredCandidate
	limit int
}

// add adds a candidate unless it is already in the list or its score is too high.
func (k *topCandidates) add(s *candidate, score float64) {
	for _, x := range k.list {
		if x.candidate == s {
			return
		}
	}
	if len(k.list) == k.limit {
		if score >= k.list[k.limit-1].score {
			return
		}
		k.list = k.list[:k.limit-1]
	}
	k.list = append(k.list, scoredCandidate{s, score})
	for i := len(k.list) - 1; i > 0 && k.list[i].score < k.list[i-1].score; i-- {
		k.list[i], k.list[i-1] = k.list[i-1], k.list[i]
	}
}

func (k *topCandidates) upstreams() []Upstream {
	list := make([]Upstream, len(k.list))
	for i, x := range k.list {
		list[i] = x.candidate.Upstream
	}
	return list
}

// StartReserved implements LateBinder.
func (p *pool) StartReserved(now time.Time, up Upstream, r *Request) bool {
	s := p.byID[up.ID]
	if s == nil || s.Incarnation != up.Incarnation || s.leaving {
		return false
	}
	p.startAttempt(now, s, r)
	return true
}

// QueueCandidates implements LateBinder.
func (b *LeastLoaded) QueueCandidates(now time.Time, r *Request, n int) []Upstream {
	list := b.sample(now, r, b.choices)
	if haveShortRuns(list) {
		return nil
	}
	mean := meanLoadPerSlot(list)
	best := topCandidates{limit: n}
	for _, s := range list {
		best.add(s, b.projectedUtilization(now, s, mean))
	}
	return best.upstreams()
}

// QueueCandidates implements LateBinder. It trades cached prefixes against load, as Pick does.
func (b *PrefixAffinity) QueueCandidates(now time.Time, r *Request, n int) []Upstream {
	holders := b.matchPrefix(r.Prefix)
	list := b.sample(now, r, b.settings.RandomChoices)
	if haveShortRuns(list) {
		return nil
	}
	mean := meanLoadPerSlot(list)
	best := topCandidates{limit: n}
	for _, s := range list {
		best.add(s, b.projectedUtilization(now, s, mean)-b.prefixBonus(r, s, holders))
	}
	for _, s := range b.longestHolders(now, r, holders) {
		best.add(s, b.projectedUtilization(now, s, mean)-b.prefixBonus(r, s, holders))
	}
	return best.upstreams()
}
