package overload_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/overload"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func newPolicy(ranks int) *overload.Policy {
	p := &overload.Policy{}
	p.SetRanks(ranks)
	return p
}

// arrive records requests of a rank, spread evenly over a duration, of which every one in
// perAdmitted is admitted; none if it is 0. It returns the time of the end.
func arrive(p *overload.Policy, from time.Time, d time.Duration, perSecond float64, priority uint32, perAdmitted int) time.Time {
	gap := time.Duration(float64(time.Second) / perSecond)
	i := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(gap) {
		p.RecordArrival(now, priority)
		if i++; perAdmitted > 0 && i%perAdmitted == 0 {
			p.RecordAdmission(now, priority)
		}
	}
	return from.Add(d)
}

// A service whose requests all have one rank is served as before: nothing is reserved, and no rank
// is starved.
func TestOneRankChangesNothing(t *testing.T) {
	for _, p := range []*overload.Policy{{}, newPolicy(0), newPolicy(1)} {
		assert.Assert(t, !p.Enabled())
		now := arrive(p, start, 10*time.Second, 50, 0, 0)
		for _, rank := range []uint32{0, 4, 9} {
			assert.Equal(t, p.Reserved(now, rank), 0.0)
			assert.Equal(t, p.UrgentFraction(now, rank), 0.0)
			assert.Assert(t, !p.Starved(now, rank))
		}
	}
	assert.Assert(t, newPolicy(2).Enabled())
}

// The fraction of more urgent requests is that of the latest arrivals.
func TestUrgentFraction(t *testing.T) {
	p := newPolicy(3)
	assert.Equal(t, p.UrgentFraction(start, 2), 0.0, "nothing has arrived")
	arrive(p, start, 10*time.Second, 30, 0, 1)
	arrive(p, start, 10*time.Second, 10, 1, 1)
	now := arrive(p, start, 10*time.Second, 60, 2, 1)
	for rank, want := range []float64{0, 0.3, 0.4} {
		got := p.UrgentFraction(now, uint32(rank))
		assert.Assert(t, math.Abs(got-want) < 0.03, "rank %d: %f", rank, got)
	}
}

// The reservation is what more urgent requests need until a survey shows free slots, and only less
// urgent requests leave it free.
func TestReservationFollowsMoreUrgentArrivals(t *testing.T) {
	p := newPolicy(3)
	arrive(p, start, 10*time.Second, 20, 0, 1)
	now := arrive(p, start, 10*time.Second, 10, 1, 1)
	near := func(got, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got-want) < 0.1*want+0.01, "%f, not %f", got, want)
	}
	assert.Equal(t, p.Reserved(now, 0), 0.0)
	near(p.Reserved(now, 1), 20*0.3)
	near(p.Reserved(now, 2), 30*0.3)
}

// A gateway that sees few urgent requests reserves a fraction of a slot. Guards against reserving a
// whole one at each of many gateways.
func TestReservationIsFractionalWhereRequestsAreFew(t *testing.T) {
	p := newPolicy(2)
	now := arrive(p, start, 20*time.Second, 1, 0, 1)
	reserved := p.Reserved(now, 1)
	assert.Assert(t, reserved > 0.15 && reserved < 0.45, "%f", reserved)
}

// When no more urgent requests arrive the reservation is released. Guards against slots that stay
// free for a route that is no longer used.
func TestReservationIsReleasedWithoutArrivals(t *testing.T) {
	p := newPolicy(2)
	now := arrive(p, start, 10*time.Second, 40, 0, 1)
	before := p.Reserved(now, 1)
	assert.Assert(t, p.Reserved(now.Add(2*time.Second), 1) < 0.4*before)
	assert.Assert(t, p.Reserved(now.Add(10*time.Second), 1) < 0.01*before)
}

// A new gateway reserves nothing until it has seen requests, and has learned most of the rate within
// 2 s.
func TestReservationIsLearnedWithinTwoSeconds(t *testing.T) {
	p := newPolicy(2)
	assert.Equal(t, p.Reserved(start, 1), 0.0)
	now := arrive(p, start, 2*time.Second, 40, 0, 1)
	assert.Assert(t, p.Reserved(now, 1) > 0.6*40*0.3, "%f", p.Reserved(now, 1))
}

// A priority is starved while it gets a much smaller part than all together.
func TestStarved(t *testing.T) {
	for _, c := range []struct {
		name string
		// perAdmitted says which of the requests of rank 1 are admitted, and perUrgentAdmitted
		// which of those of rank 0; 0 for none.
		perAdmitted, perUrgentAdmitted int
		want                           bool
	}{
		{"all admitted", 1, 1, false},
		{"none of the patient ones", 0, 1, true},
		{"a tenth of the patient ones", 10, 1, true},
		{"half of the patient ones", 2, 1, false},
		{"equally few", 4, 4, false},
		{"none at all", 0, 0, false},
		{"none of the urgent ones", 1, 0, false},
	} {
		p := newPolicy(2)
		arrive(p, start, 8*time.Second, 40, 0, c.perUrgentAdmitted)
		now := arrive(p, start, 8*time.Second, 20, 1, c.perAdmitted)
		assert.Equal(t, p.Starved(now, 1), c.want, c.name)
	}
}

// A few requests don't tell that a priority is starved, and an old deficit is forgotten.
func TestStarvedNeedsRecentRequests(t *testing.T) {
	p := newPolicy(2)
	now := arrive(p, start, 8*time.Second, 40, 0, 1)
	p.RecordArrival(now, 1)
	p.RecordArrival(now, 1)
	assert.Assert(t, !p.Starved(now, 1), "two requests are too few")
	now = arrive(p, now, 2*time.Second, 20, 1, 0)
	assert.Assert(t, p.Starved(now, 1))
	assert.Assert(t, !p.Starved(now.Add(20*time.Second), 1), "nothing has arrived for long")
}

// A configuration that changes the number of ranks takes effect at once, and the counts start anew,
// as a rank then means another priority. One that keeps it keeps the counts.
func TestRanksChange(t *testing.T) {
	p := newPolicy(3)
	arrive(p, start, 5*time.Second, 20, 0, 1)
	now := arrive(p, start, 5*time.Second, 20, 1, 1)
	both := p.Reserved(now, 2)
	p.SetRanks(3)
	assert.Equal(t, p.Reserved(now, 2), both)
	p.SetRanks(2)
	assert.Equal(t, p.Reserved(now, 1), 0.0, "learned anew")
	p.SetRanks(1)
	assert.Assert(t, !p.Enabled())
	assert.Equal(t, p.Reserved(now, 1), 0.0)
}

// A request queued before a change may be admitted with a rank that the configuration no longer
// has. Guards against a fault there, and against a reservation for it.
func TestRequestsOfARemovedRank(t *testing.T) {
	p := newPolicy(3)
	p.SetRanks(2)
	p.RecordArrival(start, 2)
	p.RecordAdmission(start, 2)
	assert.Equal(t, p.Reserved(start, 1), 0.0)
	assert.Assert(t, !p.Starved(start, 2))
}

// For any arrivals, a less urgent priority reserves at least as much as a more urgent one, the most
// urgent reserves nothing, and while not a request arrives the reservation never grows.
func TestReservationBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPolicy(3)
		now := start
		for range rapid.IntRange(0, 100).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			priority := rapid.Uint32Range(0, 2).Draw(t, "priority")
			p.RecordArrival(now, priority)
			if rapid.Bool().Draw(t, "admitted") {
				p.RecordAdmission(now, priority)
			}
		}
		if r := p.Reserved(now, 0); r != 0 {
			t.Fatalf("the most urgent priority reserves %f", r)
		}
		if p.Reserved(now, 1) > p.Reserved(now, 2) {
			t.Fatalf("priority 1 reserves %f, priority 2 %f", p.Reserved(now, 1), p.Reserved(now, 2))
		}
		later := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "later")) * time.Millisecond)
		for priority := range uint32(3) {
			if p.Reserved(later, priority) > p.Reserved(now, priority) {
				t.Fatalf("the reservation of priority %d grew without arrivals", priority)
			}
		}
	})
}

// Not all priorities that have enough requests can be starved, as the admitted fraction of all lies
// between theirs. Guards against an order in which every class goes first.
func TestNotAllAreStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPolicy(3)
		now := start
		for range rapid.IntRange(20, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			priority := rapid.Uint32Range(0, 2).Draw(t, "priority")
			p.RecordArrival(now, priority)
			if rapid.IntRange(0, 3).Draw(t, "admitted") <= int(priority) {
				p.RecordAdmission(now, priority)
			}
		}
		if p.Starved(now, 0) && p.Starved(now, 1) && p.Starved(now, 2) {
			t.Fatal("all priorities are starved")
		}
	})
}
