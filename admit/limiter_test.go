package admit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pair is a few entries and a home in virtual time, with a network that works.
type pair struct {
	now   time.Time
	home  *Home
	limit Amounts
	hold  time.Duration
	lims  []*Limiter
	// look lets entries ask when something is due, as an entry's loop does, and not
	// in each ShareInterval.
	look bool
	// questions counts what the home was asked.
	questions int
}

func newPair(entries int, limit Amounts) *pair {
	p := &pair{now: simEpoch, limit: limit, hold: time.Second, home: NewHome(simEpoch, "home-1")}
	var ids []string
	for i := range entries {
		p.lims = append(p.lims, NewLimiter())
		p.lims[i].SetEntries(entries)
		ids = append(ids, fmt.Sprint(i))
	}
	p.home.SetFleet(Fleet{Members: ids, Unchanged: time.Hour})
	p.now = p.now.Add(homeTTL)
	return p
}

// round lets every entry ask the home once.
func (p *pair) round() {
	for i, l := range p.lims {
		if !p.look || l.Due(p.now) {
			p.ask(i, l)
		}
	}
}

// settle runs the rounds after which the home knows what is in progress: in the
// first it names itself, in the second the entries tell.
func (p *pair) settle() {
	for range 3 {
		p.round()
		p.now = p.now.Add(ShareInterval)
	}
}

func (p *pair) ask(i int, l *Limiter) {
	r, demands := l.Report(p.now)
	r.Entry, r.Incarnation = fmt.Sprint(i), 1
	if !p.home.Hear(p.now, r) {
		return
	}
	l.Answered(r, p.home.Name(p.now))
	p.questions += len(demands)
	for s, d := range demands {
		l.Apply(p.now, p.now, s, p.home.Name(p.now), p.home.Grant(p.now, r.Entry, s, p.limit, d, p.hold))
	}
}

func (p *pair) take(i int) bool {
	return p.lims[i].Take(p.now, simSubject, p.limit, Ask{Timeout: p.hold}) == nil
}

// run lets some entries try at twice the limit, and counts what they get; a
// request is over at once.
func (p *pair) run(d time.Duration, busy ...int) []int {
	got := make([]int, len(p.lims))
	gap := min(time.Duration(float64(time.Second)/p.limit.Requests/2), 100*time.Millisecond)
	every := ShareInterval
	if p.look {
		every = ShareCheck
	}
	next := p.now
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(gap) {
		if !p.now.Before(next) {
			p.round()
			next = p.now.Add(every)
		}
		for _, i := range busy {
			if p.take(i) {
				got[i]++
				p.lims[i].Done(simSubject)
			}
		}
	}
	return got
}

// All callers of a team use one entry, after another entry was busy and went
// idle. Within two seconds the entry that they use has 95% of the limit.
func TestLoneEntryGetsNearlyTheWholeLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 2, 5, 20, 45, 49, 50, 51, 100, 1000} {
		p := newPair(7, Amounts{rate, math.Inf(1), 40})
		p.run(10*time.Second, 1)
		p.run(5*time.Second, 2)
		p.now = p.now.Add(idleAfter)
		p.run(2*time.Second, 0)
		share := p.lims[0].subjects[simSubject].share(p.now)
		assert.Assert(t, share.Requests >= 0.95*rate, "%g of %g", share.Requests, rate)
		assert.Equal(t, share.Concurrent, 40.0)
		span := 100.0
		got := p.run(time.Duration(span)*time.Second, 0)[0]
		assert.Assert(t, float64(got) >= 0.95*rate*span-1, "%d of %g", got, rate*span)
	}
}

// Seven entries share a limit of three requests a second, or of three in
// progress. A part of 3/7 would serve nobody; each gets whole ones in turn.
func TestSmallLimitServesEveryEntryInTurn(t *testing.T) {
	for _, limit := range []Amounts{{3, math.Inf(1), math.Inf(1)}, {1000, math.Inf(1), 3}, {0.4, math.Inf(1), math.Inf(1)}} {
		p := newPair(7, limit)
		for i, n := range p.run(200*time.Second, 0, 1, 2, 3, 4, 5, 6) {
			assert.Assert(t, n > 0, "entry %d got nothing of %v", i, limit)
		}
	}
}

// An entry saved up a second of a large share when the share became smaller, or
// ended, and went to another entry. It may not spend on top of that what it had
// saved, nor go on saving at the old rate.
func TestSavingsEndWithTheShare(t *testing.T) {
	drain := func(p *pair) (got int) {
		for p.take(0) {
			got++
		}
		return got
	}
	begin := func() *pair {
		p := newPair(2, Amounts{100, math.Inf(1), math.Inf(1)})
		p.run(3*time.Second, 0)
		for p.lims[0].subjects[simSubject].sent != p.now {
			p.run(ShareCheck, 0)
			p.round()
		}
		return p
	}
	floor := int(floorBurst(100, 2))

	p := begin()
	p.now = p.now.Add(time.Second)
	p.lims[0].Apply(p.now, p.now, simSubject, "home-2", Share{Amounts: Amounts{Requests: 2}, Burst: 2, Epoch: 1})
	assert.Equal(t, drain(p), 2+floor, "the share became smaller")

	p = begin()
	p.now = p.now.Add(time.Minute)
	assert.Equal(t, drain(p), floor, "the share ended")

	p = begin()
	p.now = p.now.Add(ShareTTL - time.Millisecond)
	drain(p)
	p.now = p.now.Add(50 * time.Millisecond)
	assert.Equal(t, drain(p), 0, "the share ended a moment ago")
}

// An entry's report is sent, then it starts ten requests and is cut off. The
// report comes late, after the grant's end, and says that nothing is in progress.
// The ten still run, so the home must not give their part to another entry.
func TestLateReportDoesNotFreeWhatRuns(t *testing.T) {
	p := newPair(2, Amounts{1000, math.Inf(1), 10})
	p.hold = 5 * time.Second
	p.take(0)
	p.settle()
	late, demands := p.lims[0].Report(p.now)
	late.Entry, late.Incarnation = "0", 1
	started := 0
	for p.now = p.now.Add(ShareTTL / 2); p.take(0); {
		started++
	}
	assert.Equal(t, started, 10)
	p.now = p.now.Add(homeTTL)
	assert.Assert(t, p.home.Hear(p.now, late))
	d := demands[simSubject]
	d.Wanted = Amounts{} // no new part: only what runs may be counted
	p.home.Grant(p.now, "0", simSubject, p.limit, d, p.hold)
	p.take(1)
	p.ask(1, p.lims[1])
	assert.Equal(t, p.lims[1].subjects[simSubject].share(p.now).Concurrent, 0.0)
	p.now = p.now.Add(homeTTL + 2*p.hold)
	p.take(1)
	p.ask(1, p.lims[1])
	assert.Equal(t, p.lims[1].subjects[simSubject].share(p.now).Concurrent, 10.0)
}

// A new leader begins while an entry is cut off with ten requests in progress.
// Another entry gets none of the concurrent limit until the first has told, or
// until its requests must have ended. One with requests in progress keeps them.
func TestNewHomeCountsWhatRunsAtAnEntryThatIsCutOff(t *testing.T) {
	grant := func(h *Home, now time.Time, entry string, seq uint64, running float64) float64 {
		assert.Assert(t, h.Hear(now, Report{Entry: entry, Incarnation: 1, Seq: seq, Home: h.Name(now)}))
		d := Demand{Wanted: Amounts{Requests: 50, Concurrent: 20}, Running: running}
		return h.Grant(now, entry, simSubject, Amounts{1000, math.Inf(1), 10}, d, 30*time.Second).Concurrent
	}
	fleet := Fleet{Members: []string{"a", "b"}, Unchanged: time.Hour}
	now := simEpoch.Add(homeTTL)
	h := NewHome(simEpoch, "home-2")
	h.SetFleet(fleet)
	assert.Equal(t, grant(h, now, "b", 1, 0), 0.0)
	assert.Equal(t, grant(h, now, "b", 2, 3), 3.0)
	assert.Equal(t, grant(h, now, "b", 3, 1), 3.0, "as many as it had")
	assert.Equal(t, grant(h, now, "a", 1, 7), 5.0, "the one that was cut off is back, with more than its part")
	assert.Equal(t, grant(h, now.Add(homeTTL), "b", 4, 3), 3.0, "seven still run")

	h = NewHome(simEpoch, "home-3")
	h.SetFleet(fleet)
	assert.Equal(t, grant(h, now.Add(34*time.Second), "b", 1, 0), 10.0, "30 s timeouts have passed on any clock")

	h = NewHome(simEpoch, "home-4")
	left := Fleet{Members: []string{"b"}, Previous: []string{"a", "b"}, Unchanged: 10 * time.Second, MostOnce: time.Minute}
	h.SetFleet(left)
	assert.Equal(t, grant(h, now, "b", 1, 0), 0.0, "the ring has lost an entry whose requests may run")
	left.Previous, left.MostOnce = nil, time.Second
	h.SetFleet(left)
	assert.Equal(t, grant(h, now, "b", 2, 0), 0.0, "the ring may have changed twice")
	assert.Equal(t, grant(h, now.Add(34*time.Second), "stranger", 1, 0), 0.0, "the next home would not wait for it")
}

// A service's timeout is raised. The entry has the new row, its grant is from
// before: the home will count what runs under it only for the old timeout. A
// request with the longer one is held to the floor until the next grant.
func TestLongerTimeoutWaitsForItsGrant(t *testing.T) {
	p := newPair(2, Amounts{1000, math.Inf(1), 10})
	p.take(0)
	p.settle()
	longer := Ask{Timeout: 2 * p.hold}
	refused := p.lims[0].Take(p.now, simSubject, p.limit, longer)
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Measure, MeasureConcurrent)
	p.hold = longer.Timeout
	p.round()
	p.now = p.now.Add(time.Second)
	assert.Assert(t, p.lims[0].Take(p.now, simSubject, p.limit, longer) == nil)
}

// A team had no limit and is given one: what was saved up without a limit, or
// what an unlimited share allows, doesn't count against the new row.
func TestFirstLimitStartsEmpty(t *testing.T) {
	p := newPair(1, Unlimited)
	for range 50 {
		assert.Assert(t, p.take(0))
		p.round()
		p.now = p.now.Add(10 * time.Millisecond)
	}
	p.limit = Amounts{10, 1000, math.Inf(1)}
	p.round()
	assert.Assert(t, !p.take(0))
	p.run(2*time.Second, 0)
	got := p.run(10*time.Second, 0)[0]
	assert.Assert(t, got >= 95 && got <= 110, "%d of 100", got)
}

// Requests with more tokens than a second's worth pass when the bucket is full
// and are paid off before the next.
func TestLargeTokenRequestsKeepTheAverage(t *testing.T) {
	p := newPair(1, Amounts{math.Inf(1), 100, math.Inf(1)})
	admitted := 0.0
	for range 6000 {
		if p.now.UnixNano()/1e6%500 == 0 {
			p.round()
		}
		if p.lims[0].Take(p.now, simSubject, p.limit, Ask{Tokens: 700}) == nil {
			admitted += 700
			p.lims[0].Done(simSubject)
		}
		p.now = p.now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, admitted >= 0.8*6000 && admitted <= 6000+100+700, "%g tokens in 60 s of 100/s", admitted)
}
