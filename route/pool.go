package route

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// state is what the entry knows of one upstream.
type state struct {
	Upstream
	estimate
	health
	// bit is the upstream's place in prefix masks, unique while it is known;
	// placed says that it has one.
	bit    uint8
	placed bool
	// near says that the upstream is in the entry's own failure domain.
	near bool
	// tokens of own work in flight.
	tokens int
	// surveyed is how many requests the last survey found here.
	surveyed int
	// slow says that the upstream takes longer than usual for its work, by the last
	// survey.
	slow bool
}

// pool is what the plug-ins share: the candidates, their estimated load and
// their health.
type pool struct {
	place Place
	rnd   *rand.Rand
	list  []*state
	byID  map[string]*state
	// free holds the bits that no upstream has.
	free uint64
	// ejected counts the list's ejected upstreams.
	ejected int
	// elapsed is the smoothed time of an answer, in seconds.
	elapsed float64
	// head is the same for the head of an answer, where that is heard of by itself.
	head float64
	// work is the smoothed tokens of a request; 0 for plain services.
	work float64
	// order is a permutation of the list that sample draws from.
	order []*state
	drawn []*state
	// known is when the first upstreams were known.
	known time.Time
}

func newPool() pool {
	return pool{byID: map[string]*state{}, rnd: rand.New(rand.NewPCG(1, 1)), free: ^uint64(0)}
}

// SetPlace implements Placed.
func (p *pool) SetPlace(place Place) {
	p.place = place
	p.rnd = rand.New(rand.NewPCG(place.Seed, 2))
}

// update replaces the candidates. It returns the bits of those that are gone or
// have started again.
func (p *pool) update(now time.Time, ups []Upstream) (lost uint64) {
	ups = Subset(p.place.Entry, ups, MaxCandidates)
	old := p.byID
	p.byID = make(map[string]*state, len(ups))
	p.list = p.list[:0]
	for _, u := range ups {
		s := old[u.ID]
		delete(old, u.ID)
		if s == nil || s.Incarnation != u.Incarnation {
			if s != nil {
				lost |= p.drop(s)
			}
			again := s != nil
			s = &state{}
			if again || p.settled(now) {
				s.warmFrom = now
			}
		}
		s.Upstream = u
		s.near = u.FailureDomain == p.place.FailureDomain
		s.report(now, u.Load)
		p.byID[u.ID] = s
		p.list = append(p.list, s)
	}
	for _, s := range old {
		lost |= p.drop(s)
	}
	p.placeBits()
	p.count()
	return lost
}

// settled says whether the entry itself has been up for so long that an upstream
// it hasn't seen before must have just started.
func (p *pool) settled(now time.Time) bool {
	if p.known.IsZero() {
		p.known = now
	}
	return now.Sub(p.known) > slowStart
}

// drop gives back the bit of an upstream that is gone.
func (p *pool) drop(s *state) uint64 {
	mask := uint64(1) << s.bit
	p.free |= mask
	return mask
}

// placeBits gives each upstream that has none a bit. There are enough: the list
// is never longer than a mask.
func (p *pool) placeBits() {
	for _, s := range p.list {
		if s.placed {
			continue
		}
		s.bit = uint8(bits.TrailingZeros64(p.free))
		p.free &^= 1 << s.bit
		s.placed = true
	}
}

func (p *pool) count() {
	p.order = append(p.order[:0], p.list...)
	p.ejected = 0
	for _, s := range p.list {
		if s.ejected {
			p.ejected++
		}
	}
	p.release()
}

func (p *pool) report(now time.Time, id string, incarnation uint64, l *wire.Load) {
	s := p.byID[id]
	if s != nil && s.Incarnation == incarnation {
		s.report(now, l)
	}
}

// sample draws up to n usable candidates. The slice holds until the next call.
func (p *pool) sample(now time.Time, r *Request, n int) []*state {
	p.drawn = p.drawn[:0]
	for i := range p.order {
		j := i + p.rnd.IntN(len(p.order)-i)
		p.order[i], p.order[j] = p.order[j], p.order[i]
		s := p.order[i]
		if r.Exclude[s.ID] || !p.usable(now, s) {
			continue
		}
		p.drawn = append(p.drawn, s)
		if len(p.drawn) == n {
			break
		}
	}
	return p.drawn
}

// lastResort is the ejected upstream that comes back first: better than none.
func (p *pool) lastResort(r *Request) *state {
	var best *state
	for _, s := range p.list {
		if r.Exclude[s.ID] {
			continue
		}
		if best == nil || s.until.Before(best.until) {
			best = s
		}
	}
	return best
}

const (
	// nearBonus decides between upstreams that are equal but for less than one
	// request in favour of the entry's own failure domain.
	nearBonus  = 0.5
	workWeight = 0.02
)

// usual is the mean reported load of some upstreams, per slot.
func usual(list []*state) float64 {
	reported, width := 0, 0
	for _, s := range list {
		reported += s.reported
		width += s.width()
	}
	return float64(reported) / float64(max(width, 1))
}

// expected is the estimated number of requests at an upstream. What others
// have done since its load was true is unknown; as all of them even out the
// load, the longer ago it was, the closer it is to the usual. Without this, each
// entry goes on to send to whichever upstream once reported little.
func (p *pool) expected(now time.Time, s *state, usual float64) float64 {
	n := float64(s.requests())
	age := now.Sub(s.made).Seconds()
	if age <= 0 || p.elapsed == 0 {
		return n
	}
	drift := age / (age + memory*p.elapsed)
	return n + drift*(usual*float64(s.width())-float64(s.reported))
}

// memory is how long a load stays half true, in answer times.
const memory = 0.4

// busy is the share of an upstream's slots in use with one request more; over 1
// it must wait.
func (p *pool) busy(now time.Time, s *state, usual float64) float64 {
	n := p.expected(now, s, usual) + 1
	if s.near {
		n -= nearBonus
	}
	if p.work > 0 {
		// Own requests count by their tokens, those of others by the mean.
		n += ownWorkWeight * (float64(s.tokens)/p.work - float64(s.inflight))
	}
	return n / (float64(s.width()) * s.share(now))
}

// ownWorkWeight is how far own requests count by their tokens rather than as
// one each: tokens are an estimate, and part of them is done already.
const ownWorkWeight = 0.5

// contest finds the best of several candidates.
type contest struct {
	best  *state
	least float64
	// others says that there is another candidate.
	others bool
	// queue says that a full upstream is not worth leaving.
	queue bool
}

func (c *contest) enter(s *state, score float64) {
	switch {
	case s == c.best:
		return
	case c.best == nil:
		c.best, c.least = s, score
		return
	case score < c.least:
		c.best, c.least = s, score
	}
	c.others = true
}

// choose starts an attempt at a contest's best, or at the last resort.
func (p *pool) choose(now time.Time, r *Request, c *contest) (Choice, bool) {
	if c.best == nil {
		c.best = p.lastResort(r)
	}
	if c.best == nil {
		return Choice{}, false
	}
	p.start(now, c.best, r)
	return Choice{Upstream: c.best.Upstream, NoWait: c.others && !c.queue}, true
}

const (
	// longRun is how long requests must run to wait at several upstreams at once.
	// Each slot that is held costs the way to the entry and back, 2 ms today, and
	// one in six is held in vain: 2% of a run of 100 ms, but 12% of one of 20 ms,
	// which at 95% load is more than there is.
	longRun = 100 * time.Millisecond
	// crowded is the load per slot above which short runs queue where they are: a
	// free slot is too rare to look for.
	crowded = 1.1
)

// short says whether requests are known to run for a short time.
func short(list []*state) bool {
	sum, known := time.Duration(0), 0
	for _, s := range list {
		if s.run > 0 {
			sum += s.run
			known++
		}
	}
	return known > 0 && sum < time.Duration(known)*longRun
}

// start counts an attempt.
func (p *pool) start(now time.Time, s *state, r *Request) {
	s.estimate.sent(now)
	s.health.sent(now)
	s.tokens += r.Tokens
	if r.Tokens > 0 {
		if p.work == 0 {
			p.work = float64(r.Tokens)
		}
		p.work += workWeight * (float64(r.Tokens) - p.work)
	}
}

// done ends an attempt. The end of one that was sent to an earlier incarnation
// changes nothing.
func (p *pool) done(now time.Time, up Upstream, r *Request, res Result) {
	s := p.byID[up.ID]
	if s == nil || s.Incarnation != up.Incarnation {
		return
	}
	// The agent counts the attempt that ends among the running ones.
	s.answer(now, res.Load)
	s.ended(now)
	s.tokens = max(s.tokens-r.Tokens, 0)
	p.judge(now, s, float64(max(r.Tokens, 1)), res)
}
