package route

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// candidate is an upstream with its estimated load and health.
type candidate struct {
	Upstream
	loadEstimate
	health
	// bit is the upstream's bit in masks of upstreams; hasBit is true once one is
	// assigned.
	bit    uint8
	hasBit bool
	// sameDomain is true if the upstream is in the entry's own failure domain.
	sameDomain bool
	// inflightTokens is the number of tokens of this entry's requests in flight.
	inflightTokens int
	// surveyedRequests is the number of requests in the last survey.
	surveyedRequests int
	// slow is true if the upstream was slow in the last survey.
	slow bool
}

// pool holds the state that the balancers have in common: the candidates with their
// estimated load and health.
type pool struct {
	entry      EntryInfo
	rnd        *rand.Rand
	candidates []*candidate
	byID       map[string]*candidate
	// freeBits is the mask of the bits not assigned to any candidate.
	freeBits uint64
	// ejectedCount is the number of ejected candidates.
	ejectedCount int
	// meanElapsed is the smoothed response time in seconds.
	meanElapsed float64
	// meanHeadTime is the smoothed time to the response head in seconds; 0 if response
	// heads aren't reported.
	meanHeadTime float64
	// meanTokens is the smoothed number of tokens per request; 0 for services that
	// don't process tokens.
	meanTokens float64
	// shuffled is a permutation of the candidates; sample shuffles it further and
	// returns its choice in sampled.
	shuffled []*candidate
	sampled  []*candidate
	// firstUpdate is when the pool got its first upstreams.
	firstUpdate time.Time
}

func newPool() pool {
	return pool{byID: map[string]*candidate{}, rnd: rand.New(rand.NewPCG(1, 1)), freeBits: ^uint64(0)}
}

// SetEntryInfo implements EntryInfoSetter.
func (p *pool) SetEntryInfo(entry EntryInfo) {
	p.entry = entry
	p.rnd = rand.New(rand.NewPCG(entry.Seed, 2))
}

// setUpstreams replaces the candidates. It returns the mask of the bits of upstreams
// that are gone or have restarted.
func (p *pool) setUpstreams(now time.Time, ups []Upstream) (released uint64) {
	ups = Subset(p.entry.ID, ups, MaxCandidates)
	old := p.byID
	p.byID = make(map[string]*candidate, len(ups))
	p.candidates = p.candidates[:0]
	for _, u := range ups {
		s := old[u.ID]
		delete(old, u.ID)
		if s == nil || s.Incarnation != u.Incarnation {
			if s != nil {
				released |= p.releaseBit(s)
			}
			restarted := s != nil
			s = &candidate{}
			if restarted || p.pastStartup(now) {
				s.slowStartBegan = now
			}
		}
		s.Upstream = u
		s.sameDomain = u.FailureDomain == p.entry.FailureDomain
		s.applyReport(now, u.Load)
		p.byID[u.ID] = s
		p.candidates = append(p.candidates, s)
	}
	for _, s := range old {
		released |= p.releaseBit(s)
	}
	p.assignBits()
	p.resetCandidates()
	return released
}

// pastStartup reports whether the pool has had upstreams for longer than
// slowStartDuration, so that an upstream not seen before must have just started. An
// entry learns of its upstreams one by one when it starts itself.
func (p *pool) pastStartup(now time.Time) bool {
	if p.firstUpdate.IsZero() {
		p.firstUpdate = now
	}
	return now.Sub(p.firstUpdate) > slowStartDuration
}

// releaseBit makes the bit of an upstream available again and returns its mask.
func (p *pool) releaseBit(s *candidate) uint64 {
	mask := uint64(1) << s.bit
	p.freeBits |= mask
	return mask
}

// assignBits assigns a bit to each candidate without one. There are enough, since the
// number of candidates is at most MaxCandidates, the size of the mask.
func (p *pool) assignBits() {
	for _, s := range p.candidates {
		if s.hasBit {
			continue
		}
		s.bit = uint8(bits.TrailingZeros64(p.freeBits))
		p.freeBits &^= 1 << s.bit
		s.hasBit = true
	}
}

// resetCandidates recomputes the fields that depend on the list of candidates.
func (p *pool) resetCandidates() {
	p.shuffled = append(p.shuffled[:0], p.candidates...)
	p.ejectedCount = 0
	for _, s := range p.candidates {
		if s.ejected {
			p.ejectedCount++
		}
	}
	p.endExcessEjections()
}

func (p *pool) applyReport(now time.Time, id string, incarnation uint64, l *wire.Load) {
	s := p.byID[id]
	if s != nil && s.Incarnation == incarnation {
		s.applyReport(now, l)
	}
}

// sample returns up to n random usable candidates that the request doesn't exclude.
// The slice is valid until the next call.
func (p *pool) sample(now time.Time, r *Request, n int) []*candidate {
	p.sampled = p.sampled[:0]
	for i := range p.shuffled {
		j := i + p.rnd.IntN(len(p.shuffled)-i)
		p.shuffled[i], p.shuffled[j] = p.shuffled[j], p.shuffled[i]
		s := p.shuffled[i]
		if r.Exclude[s.ID] || !p.usable(now, s) {
			continue
		}
		p.sampled = append(p.sampled, s)
		if len(p.sampled) == n {
			break
		}
	}
	return p.sampled
}

// lastResort returns the upstream whose ejection ends first, or has ended longest ago,
// for a request that finds no usable one; nil if the request excludes all.
func (p *pool) lastResort(r *Request) *candidate {
	var best *candidate
	for _, s := range p.candidates {
		if r.Exclude[s.ID] {
			continue
		}
		if best == nil || s.ejectedUntil.Before(best.ejectedUntil) {
			best = s
		}
	}
	return best
}

const (
	// sameDomainBonus is subtracted from the number of requests at an upstream in the
	// entry's own failure domain. It is less than one request, so that it only decides
	// between about equally loaded upstreams.
	sameDomainBonus = 0.5
	// tokensSmoothing is the smoothing factor of the number of tokens per request.
	tokensSmoothing = 0.02
)

// meanLoadPerSlot returns the mean reported number of requests per slot.
func meanLoadPerSlot(list []*candidate) float64 {
	reported, slots := 0, 0
	for _, s := range list {
		reported += s.reported
		slots += s.capacity()
	}
	return float64(reported) / float64(max(slots, 1))
}

// projectedRequests returns the estimated number of requests at an upstream now. What
// other entries have sent since its load was true is unknown. As all of them balance
// the load, the estimate approaches the mean as the load gets older. Without this,
// entries would keep sending to the upstream that last reported a low load.
func (p *pool) projectedRequests(now time.Time, s *candidate, meanLoad float64) float64 {
	n := float64(s.requests())
	age := now.Sub(s.loadTime).Seconds()
	if age <= 0 || p.meanElapsed == 0 {
		return n
	}
	drift := age / (age + loadHalfLife*p.meanElapsed)
	return n + drift*(meanLoad*float64(s.capacity())-float64(s.reported))
}

// loadHalfLife is the age of a load at which the estimate is halfway to the mean, in
// multiples of the mean response time.
const loadHalfLife = 0.4

// projectedUtilization returns the share of an upstream's slots in use if it gets one
// more request, less the bonus for the entry's own failure domain. It is the score by
// which candidates are compared; lower is better.
func (p *pool) projectedUtilization(now time.Time, s *candidate, meanLoad float64) float64 {
	n := p.projectedRequests(now, s, meanLoad) + 1
	if s.sameDomain {
		n -= sameDomainBonus
	}
	if p.meanTokens > 0 {
		// Requests of this entry are weighted by their tokens.
		n += ownTokensWeight * (float64(s.inflightTokens)/p.meanTokens - float64(s.inflight))
	}
	return n / (float64(s.capacity()) * s.slowStartShare(now))
}

// ownTokensWeight is how much the tokens of this entry's requests count, from 0 (each
// request counts as one) to 1. Token counts are estimates, and part of the work is
// already done.
const ownTokensWeight = 0.5

// selection collects the candidate with the lowest score.
type selection struct {
	best      *candidate
	bestScore float64
	// hasAlternative is true if there is more than one candidate.
	hasAlternative bool
	// queueInPlace is true if the request should queue at a full upstream rather than
	// look for a free slot elsewhere.
	queueInPlace bool
}

// add adds a candidate; adding the best one again has no effect.
func (c *selection) add(s *candidate, score float64) {
	switch {
	case s == c.best:
		return
	case c.best == nil:
		c.best, c.bestScore = s, score
		return
	case score < c.bestScore:
		c.best, c.bestScore = s, score
	}
	c.hasAlternative = true
}

// startBest starts an attempt at the best candidate, or at the last resort if there is
// none.
func (p *pool) startBest(now time.Time, r *Request, c *selection) (Choice, bool) {
	if c.best == nil {
		c.best = p.lastResort(r)
	}
	if c.best == nil {
		return Choice{}, false
	}
	p.startAttempt(now, c.best, r)
	return Choice{Upstream: c.best.Upstream, NoWait: c.hasAlternative && !c.queueInPlace}, true
}

const (
	// minReservedRunTime is the minimum mean run time for which requests wait at several
	// upstreams at once. A reserved slot is idle for a round trip to the entry; for
	// shorter runs that wastes too much of the capacity.
	minReservedRunTime = 100 * time.Millisecond
	// queueInPlaceLoad is the mean load per slot from which short runs queue at the
	// selected upstream: free slots are too rare to look for.
	queueInPlaceLoad = 1.1
)

// haveShortRuns reports whether the mean known run time is below minReservedRunTime. It
// is false if no run time is known.
func haveShortRuns(list []*candidate) bool {
	sum, known := time.Duration(0), 0
	for _, s := range list {
		if s.runTime > 0 {
			sum += s.runTime
			known++
		}
	}
	return known > 0 && sum < time.Duration(known)*minReservedRunTime
}

// startAttempt counts an attempt as in flight.
func (p *pool) startAttempt(now time.Time, s *candidate, r *Request) {
	s.loadEstimate.recordStart(now)
	s.health.recordRequest(now)
	s.inflightTokens += r.Tokens
	if r.Tokens > 0 {
		if p.meanTokens == 0 {
			p.meanTokens = float64(r.Tokens)
		}
		p.meanTokens += tokensSmoothing * (float64(r.Tokens) - p.meanTokens)
	}
}

// finishAttempt ends an attempt. It ignores attempts at an earlier incarnation.
func (p *pool) finishAttempt(now time.Time, up Upstream, r *Request, res Result) {
	s := p.byID[up.ID]
	if s == nil || s.Incarnation != up.Incarnation {
		return
	}
	// The reported load still includes the attempt that ends.
	s.applyResponse(now, res.Load)
	s.recordEnd(now)
	s.inflightTokens = max(s.inflightTokens-r.Tokens, 0)
	p.recordResult(now, s, float64(max(r.Tokens, 1)), res)
}
