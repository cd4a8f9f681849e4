package admit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shareCluster is some entries and an allocator in virtual time, with a network that loses
// nothing.
type shareCluster struct {
	now       time.Time
	allocator *ShareAllocator
	limit     Amounts
	hold      time.Duration
	limiters  []*Limiter
	// askWhenDue lets entries ask when something is due, as in production, and not in every
	// round.
	askWhenDue bool
	// demandsSent counts the demands that the allocator answered.
	demandsSent int
}

func newShareCluster(entries int, limit Amounts) *shareCluster {
	p := &shareCluster{now: simEpoch, limit: limit, hold: time.Second, allocator: NewShareAllocator(simEpoch, "allocator-1")}
	var ids []string
	for i := range entries {
		p.limiters = append(p.limiters, NewLimiter())
		p.limiters[i].SetEntries(entries)
		ids = append(ids, fmt.Sprint(i))
	}
	p.allocator.SetRingMembership(RingMembership{Members: ids, UnchangedFor: time.Hour})
	p.now = p.now.Add(grantTTL)
	return p
}

// round lets every entry ask the allocator once.
func (p *shareCluster) round() {
	for i, l := range p.limiters {
		if !p.askWhenDue || l.Due(p.now) {
			p.ask(i, l)
		}
	}
}

// settle runs enough rounds for the allocator to know all requests in progress: it names itself
// in the answers of the first, and entries send full reports in the second.
func (p *shareCluster) settle() {
	for range 3 {
		p.round()
		p.now = p.now.Add(ShareRetryInterval)
	}
}

func (p *shareCluster) ask(i int, l *Limiter) {
	r, demands := l.Report(p.now)
	r.Entry, r.Incarnation = fmt.Sprint(i), 1
	if !p.allocator.AcceptReport(p.now, r) {
		return
	}
	l.HandleAnswer(r, p.allocator.Name(p.now))
	p.demandsSent += len(demands)
	for s, d := range demands {
		l.Apply(p.now, p.now, s, p.allocator.Name(p.now), p.allocator.Grant(p.now, r.Entry, s, p.limit, d, p.hold))
	}
}

func (p *shareCluster) take(i int) bool {
	return p.limiters[i].Take(p.now, simSubject, p.limit, Request{Timeout: p.hold}) == nil
}

// run lets some entries attempt twice the limit, and returns how many requests each admits.
// A request ends at once.
func (p *shareCluster) run(d time.Duration, busy ...int) []int {
	got := make([]int, len(p.limiters))
	gap := min(time.Duration(float64(time.Second)/p.limit.Requests/2), 100*time.Millisecond)
	every := ShareRetryInterval
	if p.askWhenDue {
		every = ShareCheckInterval
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
				p.limiters[i].Done(simSubject)
			}
		}
	}
	return got
}

// The only active entry gets at least 95% of the limit within two seconds, even if others
// were active before.
func TestSingleActiveEntryGetsTheLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 2, 5, 20, 45, 49, 50, 51, 100, 1000} {
		p := newShareCluster(7, Amounts{rate, math.Inf(1), 40})
		p.run(10*time.Second, 1)
		p.run(5*time.Second, 2)
		p.now = p.now.Add(idleTimeout)
		p.run(2*time.Second, 0)
		share := p.limiters[0].subjects[simSubject].share(p.now)
		assert.Assert(t, share.Requests >= 0.95*rate, "%g of %g", share.Requests, rate)
		assert.Equal(t, share.Concurrent, 40.0)
		seconds := 100.0
		got := p.run(time.Duration(seconds)*time.Second, 0)[0]
		assert.Assert(t, float64(got) >= 0.95*rate*seconds-1, "%d of %g", got, rate*seconds)
	}
}

// With fewer units than entries, whole units rotate between them.
func TestSmallLimitRotatesBetweenEntries(t *testing.T) {
	for _, limit := range []Amounts{{3, math.Inf(1), math.Inf(1)}, {1000, math.Inf(1), 3}, {0.4, math.Inf(1), math.Inf(1)}} {
		p := newShareCluster(7, limit)
		for i, n := range p.run(200*time.Second, 0, 1, 2, 3, 4, 5, 6) {
			assert.Assert(t, n > 0, "entry %d admitted nothing under %v", i, limit)
		}
	}
}

// A burst that accumulated in a share is lost when the share becomes smaller or expires.
func TestAccumulatedBurstEndsWithTheShare(t *testing.T) {
	drain := func(p *shareCluster) (got int) {
		for p.take(0) {
			got++
		}
		return got
	}
	begin := func() *shareCluster {
		p := newShareCluster(2, Amounts{100, math.Inf(1), math.Inf(1)})
		p.run(3*time.Second, 0)
		for p.limiters[0].subjects[simSubject].sentAt != p.now {
			p.run(ShareCheckInterval, 0)
			p.round()
		}
		return p
	}
	floor := int(floorBurst(100, 2))

	p := begin()
	p.now = p.now.Add(time.Second)
	p.limiters[0].Apply(p.now, p.now, simSubject, "allocator-2", Share{Amounts: Amounts{Requests: 2}, Burst: 2, Epoch: 1})
	assert.Equal(t, drain(p), 2+floor, "smaller share")

	p = begin()
	p.now = p.now.Add(time.Minute)
	assert.Equal(t, drain(p), floor, "expired share")

	p = begin()
	p.now = p.now.Add(ShareTTL - time.Millisecond)
	drain(p)
	p.now = p.now.Add(50 * time.Millisecond)
	assert.Equal(t, drain(p), 0, "share that has just expired")
}

// A delayed report doesn't include the requests that were admitted after it was sent, so the
// allocator must not grant their part to another entry.
func TestDelayedReportDoesNotFreeRunningRequests(t *testing.T) {
	p := newShareCluster(2, Amounts{1000, math.Inf(1), 10})
	p.hold = 5 * time.Second
	p.take(0)
	p.settle()
	late, demands := p.limiters[0].Report(p.now)
	late.Entry, late.Incarnation = "0", 1
	started := 0
	for p.now = p.now.Add(ShareTTL / 2); p.take(0); {
		started++
	}
	assert.Equal(t, started, 10)
	p.now = p.now.Add(grantTTL)
	assert.Assert(t, p.allocator.AcceptReport(p.now, late))
	d := demands[simSubject]
	d.Wanted = Amounts{} // no new grant, so that only running requests count
	p.allocator.Grant(p.now, "0", simSubject, p.limit, d, p.hold)
	p.take(1)
	p.ask(1, p.limiters[1])
	assert.Equal(t, p.limiters[1].subjects[simSubject].share(p.now).Concurrent, 0.0)
	p.now = p.now.Add(grantTTL + 2*p.hold)
	p.take(1)
	p.ask(1, p.limiters[1])
	assert.Equal(t, p.limiters[1].subjects[simSubject].share(p.now).Concurrent, 10.0)
}

// While an entry is partitioned from a new leader, other entries keep the requests in
// progress that they have, and get no more of the concurrent limit until the partitioned
// entry has reported or its requests must have ended.
func TestNewAllocatorWaitsForPartitionedEntry(t *testing.T) {
	grant := func(h *ShareAllocator, now time.Time, entry string, seq uint64, running float64) float64 {
		assert.Assert(t, h.AcceptReport(now, Report{Entry: entry, Incarnation: 1, Seq: seq, Allocator: h.Name(now)}))
		d := Demand{Wanted: Amounts{Requests: 50, Concurrent: 20}, Running: running}
		return h.Grant(now, entry, simSubject, Amounts{1000, math.Inf(1), 10}, d, 30*time.Second).Concurrent
	}
	ring := RingMembership{Members: []string{"a", "b"}, UnchangedFor: time.Hour}
	now := simEpoch.Add(grantTTL)
	h := NewShareAllocator(simEpoch, "allocator-2")
	h.SetRingMembership(ring)
	assert.Equal(t, grant(h, now, "b", 1, 0), 0.0)
	assert.Equal(t, grant(h, now, "b", 2, 3), 3.0)
	assert.Equal(t, grant(h, now, "b", 3, 1), 3.0, "the entry keeps its peak")
	assert.Equal(t, grant(h, now, "a", 1, 7), 5.0, "the partitioned entry has reported, with more than its part")
	assert.Equal(t, grant(h, now.Add(grantTTL), "b", 4, 3), 3.0, "seven requests still run")

	h = NewShareAllocator(simEpoch, "allocator-3")
	h.SetRingMembership(ring)
	assert.Equal(t, grant(h, now.Add(34*time.Second), "b", 1, 0), 10.0, "30 s timeouts have passed by any clock")

	h = NewShareAllocator(simEpoch, "allocator-4")
	left := RingMembership{Members: []string{"b"}, Previous: []string{"a", "b"}, UnchangedFor: 10 * time.Second, MinChangeInterval: time.Minute}
	h.SetRingMembership(left)
	assert.Equal(t, grant(h, now, "b", 1, 0), 0.0, "requests of an entry that left the ring may still run")
	left.Previous, left.MinChangeInterval = nil, time.Second
	h.SetRingMembership(left)
	assert.Equal(t, grant(h, now, "b", 2, 0), 0.0, "the ring may have changed twice")
	assert.Equal(t, grant(h, now.Add(34*time.Second), "stranger", 1, 0), 0.0, "a later allocator would not wait for an entry outside the ring")
}

// The allocator counts the requests of a grant for the timeout known at the time. After the
// timeout was raised, a request that may run longer is held to the floor until the next grant.
func TestLongerTimeoutNeedsANewGrant(t *testing.T) {
	p := newShareCluster(2, Amounts{1000, math.Inf(1), 10})
	p.take(0)
	p.settle()
	longer := Request{Timeout: 2 * p.hold}
	refused := p.limiters[0].Take(p.now, simSubject, p.limit, longer)
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Measure, MeasureConcurrent)
	p.hold = longer.Timeout
	p.round()
	p.now = p.now.Add(time.Second)
	assert.Assert(t, p.limiters[0].Take(p.now, simSubject, p.limit, longer) == nil)
}

// Nothing that accumulated while a team was unlimited counts under its first limit.
func TestFirstLimitStartsEmpty(t *testing.T) {
	p := newShareCluster(1, Unlimited)
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

// Requests with more tokens than the burst pass when the bucket is full, and the average
// rate is kept.
func TestLargeTokenRequestsKeepTheAverageRate(t *testing.T) {
	p := newShareCluster(1, Amounts{math.Inf(1), 100, math.Inf(1)})
	admitted := 0.0
	for range 6000 {
		if p.now.UnixNano()/1e6%500 == 0 {
			p.round()
		}
		if p.limiters[0].Take(p.now, simSubject, p.limit, Request{Tokens: 700}) == nil {
			admitted += 700
			p.limiters[0].Done(simSubject)
		}
		p.now = p.now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, admitted >= 0.8*6000 && admitted <= 6000+100+700, "%g tokens in 60 s of 100/s", admitted)
}
