package admit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// When all callers move from one entry to another, the entry that they left releases its
// share before it expires.
func TestShareIsReleasedWhenCallersMove(t *testing.T) {
	for _, rate := range []float64{100, 1000} {
		p := newShareCluster(7, Amounts{rate, math.Inf(1), math.Inf(1)})
		p.askWhenDue = true
		p.run(10*time.Second, 0)
		p.run(time.Second, 1)
		share := p.limiters[1].subjects[simSubject].share(p.now)
		assert.Assert(t, share.Requests >= 0.95*rate, "%g of %g", share.Requests, rate)
	}
}

// Refusals under steady overload don't trigger extra demands: entries ask when their grants
// are about to expire.
func TestSteadyOverloadCausesNoExtraDemands(t *testing.T) {
	p := newShareCluster(3, Amounts{1000, math.Inf(1), math.Inf(1)})
	p.askWhenDue = true
	p.run(5*time.Second, 0, 1, 2)
	before := p.demandsSent
	p.run(60*time.Second, 0, 1, 2)
	assert.Assert(t, p.demandsSent-before <= 3*60, "%d demands of 3 entries in 60 s", p.demandsSent-before)
}

// An entry keeps its share and its accumulated burst between regular bursts of requests.
func TestShareIsKeptBetweenBursts(t *testing.T) {
	p := newShareCluster(7, Amounts{100, math.Inf(1), math.Inf(1)})
	p.askWhenDue = true
	for burst := range 20 {
		admitted := 0
		for range 60 {
			if p.take(0) {
				admitted++
				p.limiters[0].Done(simSubject)
			}
		}
		assert.Assert(t, burst < 5 || admitted == 60, "%d in burst %d", admitted, burst)
		for range 15 {
			p.round()
			p.now = p.now.Add(ShareCheckInterval)
		}
	}
}

// An answer that arrives after the entry released its grant is used only if the allocator still
// counts that answer's grant.
func TestDelayedAnswerAfterReleaseStaysCounted(t *testing.T) {
	p := newShareCluster(2, Amounts{100, math.Inf(1), math.Inf(1)})
	p.askWhenDue = true
	p.run(5*time.Second, 0)
	l := p.limiters[0]
	ask := func() (Report, Demand) {
		r, demands := l.Report(p.now)
		r.Entry, r.Incarnation = "0", 1
		return r, demands[simSubject]
	}
	p.now = p.now.Add(inactiveMin / 2)
	l.subjects[simSubject].renewal.stale = true
	sent := p.now
	r, d := ask()
	assert.Assert(t, p.allocator.AcceptReport(p.now, r))
	late := p.allocator.Grant(p.now, "0", simSubject, p.limit, d, p.hold)
	p.now = p.now.Add(inactiveMax / 2)
	r, d = ask()
	assert.Equal(t, l.subjects[simSubject].activeGrant(p.now), Amounts{})
	assert.Assert(t, p.allocator.AcceptReport(p.now, r))
	p.allocator.Grant(p.now, "0", simSubject, p.limit, d, p.hold)
	l.Apply(p.now, sent, simSubject, "allocator-1", late)
	used := l.subjects[simSubject].activeGrant(p.now).Requests
	assert.Assert(t, used <= p.allocator.InUse(p.now, simSubject).Requests, "%g used", used)
	assert.Assert(t, used > 0)
}

// A partial report omits requests in progress, so a new allocator must not count it as a full
// one.
func TestPartialReportDoesNotSettleAllocator(t *testing.T) {
	now := simEpoch.Add(grantTTL)
	h := NewShareAllocator(simEpoch, "allocator-2")
	h.SetRingMembership(RingMembership{Members: []string{"a", "b"}, UnchangedFor: time.Hour})
	hear := func(entry string, seq uint64, partial bool) {
		assert.Assert(t, h.AcceptReport(now, Report{Entry: entry, Incarnation: 1, Seq: seq, Allocator: h.Name(now), Partial: partial}))
	}
	hear("b", 1, false)
	hear("a", 1, true)
	assert.Assert(t, !h.settled(now, time.Minute))
	hear("a", 2, false)
	assert.Assert(t, h.settled(now, time.Minute))
}

// After a change of the allocator, the entry sends full reports until the new one has answered
// one, also if answers are lost.
func TestFullReportsUntilNewAllocatorAnswers(t *testing.T) {
	p := newShareCluster(1, Amounts{1000, math.Inf(1), 10})
	p.take(0)
	p.settle()
	assert.Assert(t, p.take(0))
	l := p.limiters[0]
	report := func() Report {
		r, _ := l.Report(p.now)
		return r
	}
	assert.Assert(t, report().Partial)
	assert.Assert(t, l.HandleAnswer(report(), "allocator-2"))
	for range 3 {
		r, demands := l.Report(p.now)
		assert.Assert(t, !r.Partial)
		assert.Equal(t, demands[simSubject].Running, 1.0)
	}
	assert.Assert(t, !l.HandleAnswer(report(), "allocator-2"))
	assert.Assert(t, report().Partial)
}
