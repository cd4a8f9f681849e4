package admit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Callers of a team leave one entry for another while they ask for twice the limit.
// The entry that they left gives its share back before the share ends, so that the
// other one has nearly all of the limit a second later.
func TestCallersThatMoveFindTheShareFree(t *testing.T) {
	for _, rate := range []float64{100, 1000} {
		p := newPair(7, Amounts{rate, math.Inf(1), math.Inf(1)})
		p.look = true
		p.run(10*time.Second, 0)
		p.run(time.Second, 1)
		share := p.lims[1].subjects[simSubject].share(p.now)
		assert.Assert(t, share.Requests >= 0.95*rate, "%g of %g", share.Requests, rate)
	}
}

// Callers ask for twice the limit without end, and most are refused. The entries
// don't ask at each refusal, but when their grants are about to end.
func TestSteadyDemandAsksAtTheGrantsEnd(t *testing.T) {
	p := newPair(3, Amounts{1000, math.Inf(1), math.Inf(1)})
	p.look = true
	p.run(5*time.Second, 0, 1, 2)
	before := p.questions
	p.run(60*time.Second, 0, 1, 2)
	assert.Assert(t, p.questions-before <= 3*60, "%d questions of 3 entries in 60 s", p.questions-before)
}

// Callers send sixty requests at once, every second and a half, of a limit of a hundred
// a second. Between two pulses the entry keeps its share, and what was saved up in it:
// once it has seen a few, none of the sixty is refused.
func TestPulsesKeepWhatTheySavedUp(t *testing.T) {
	p := newPair(7, Amounts{100, math.Inf(1), math.Inf(1)})
	p.look = true
	for pulse := range 20 {
		admitted := 0
		for range 60 {
			if p.take(0) {
				admitted++
				p.lims[0].Done(simSubject)
			}
		}
		assert.Assert(t, pulse < 5 || admitted == 60, "%d in pulse %d", admitted, pulse)
		for range 15 {
			p.round()
			p.now = p.now.Add(ShareCheck)
		}
	}
}

// An entry gives its grant up, but the answer to an earlier question is still under
// way. When that comes, it is used only if the home counts it.
func TestAnswerThatComesAfterTheGrantWasGivenUp(t *testing.T) {
	p := newPair(2, Amounts{100, math.Inf(1), math.Inf(1)})
	p.look = true
	p.run(5*time.Second, 0)
	l := p.lims[0]
	ask := func() (Report, Demand) {
		r, demands := l.Report(p.now)
		r.Entry, r.Incarnation = "0", 1
		return r, demands[simSubject]
	}
	p.now = p.now.Add(quietLeast / 2)
	l.subjects[simSubject].question.stale = true
	sent := p.now
	r, d := ask()
	assert.Assert(t, p.home.Hear(p.now, r))
	late := p.home.Grant(p.now, "0", simSubject, p.limit, d, p.hold)
	p.now = p.now.Add(quietMost / 2)
	r, d = ask()
	assert.Equal(t, l.subjects[simSubject].grant(p.now), Amounts{})
	assert.Assert(t, p.home.Hear(p.now, r))
	p.home.Grant(p.now, "0", simSubject, p.limit, d, p.hold)
	l.Apply(p.now, sent, simSubject, "home-1", late)
	used := l.subjects[simSubject].grant(p.now).Requests
	assert.Assert(t, used <= p.home.Live(p.now, simSubject).Requests, "%g used", used)
	assert.Assert(t, used > 0)
}

// A report that leaves subjects out reaches a new home first. What runs under them
// isn't in it, so the home goes on waiting for the whole.
func TestPartialReportDoesNotTellWhatRuns(t *testing.T) {
	now := simEpoch.Add(homeTTL)
	h := NewHome(simEpoch, "home-2")
	h.SetFleet(Fleet{Members: []string{"a", "b"}, Unchanged: time.Hour})
	hear := func(entry string, seq uint64, partial bool) {
		assert.Assert(t, h.Hear(now, Report{Entry: entry, Incarnation: 1, Seq: seq, Home: h.Name(now), Partial: partial}))
	}
	hear("b", 1, false)
	hear("a", 1, true)
	assert.Assert(t, !h.settled(now, time.Minute))
	hear("a", 2, false)
	assert.Assert(t, h.settled(now, time.Minute))
}

// A home answers an entry, and is replaced. The entry reports all that it has in
// progress until the new home has answered such a report, also if answers are lost.
func TestEntryReportsAllUntilItsHomeAnswered(t *testing.T) {
	p := newPair(1, Amounts{1000, math.Inf(1), 10})
	p.take(0)
	p.settle()
	assert.Assert(t, p.take(0))
	l := p.lims[0]
	report := func() Report {
		r, _ := l.Report(p.now)
		return r
	}
	assert.Assert(t, report().Partial)
	assert.Assert(t, l.Answered(report(), "home-2"))
	for range 3 {
		r, demands := l.Report(p.now)
		assert.Assert(t, !r.Partial)
		assert.Equal(t, demands[simSubject].Running, 1.0)
	}
	assert.Assert(t, !l.Answered(report(), "home-2"))
	assert.Assert(t, report().Partial)
}
