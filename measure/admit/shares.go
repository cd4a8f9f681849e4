package main

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/wire"
)

// shares is the production limiter: an allocator that divides the limit, and at each entry
// a local limiter that requests its share.
type shares struct {
	limit          admit.Amounts
	allocator      *admit.ShareAllocator
	limiters       []*admit.Limiter
	nextCheck      []time.Time
	demands, calls float64
}

var subject = admit.Subject{Team: "growers", Service: "pushpa-lm"}

func newShares(rate float64, now time.Time) limiter { return newSharesFor(entries, rate, now) }

func newSharesFor(n int, rate float64, now time.Time) *shares {
	s := &shares{limit: admit.Amounts{Requests: rate, Tokens: math.Inf(1), Concurrent: math.Inf(1)}, allocator: admit.NewShareAllocator(now.Add(-time.Hour), "home")}
	for i := range n {
		l := admit.NewLimiter()
		l.SetEntries(n)
		s.limiters = append(s.limiters, l)
		s.nextCheck = append(s.nextCheck, now.Add(admit.ShareCheckInterval*time.Duration(i)/time.Duration(n)))
	}
	return s
}

func (s *shares) admit(entry int, now time.Time) bool { return s.admitFor(entry, subject, now) }

func (s *shares) admitFor(entry int, subject admit.Subject, now time.Time) bool {
	l := s.limiters[entry]
	if l.Take(now, subject, s.limit, admit.Request{}) == nil {
		l.Done(subject)
		return true
	}
	if l.DueFor(now, subject) {
		s.requestShares(entry, now)
	}
	return false
}

// advanceTo runs the periodic checks of all entries up to a time, in the order of time.
func (s *shares) advanceTo(now time.Time) {
	for {
		first := 0
		for i := range s.nextCheck {
			if s.nextCheck[i].Before(s.nextCheck[first]) {
				first = i
			}
		}
		at := s.nextCheck[first]
		if at.After(now) {
			return
		}
		if s.limiters[first].Due(at) {
			s.requestShares(first, at)
		}
		s.nextCheck[first] = at.Add(admit.ShareCheckInterval)
	}
}

// requestShares sends an entry's demands to the allocator until none is due. Calls take
// no time.
func (s *shares) requestShares(entry int, now time.Time) {
	l := s.limiters[entry]
	for again := true; again; again = l.Due(now) {
		r, demands := l.Report(now)
		r.Entry, r.Incarnation = fmt.Sprint(entry), 1
		s.calls++
		s.demands += float64(len(demands))
		if !s.allocator.AcceptReport(now, r) {
			return
		}
		l.HandleAnswer(r, s.allocator.Name(now))
		for sub, d := range demands {
			l.Apply(now, now, sub, s.allocator.Name(now), s.allocator.Grant(now, r.Entry, sub, s.limit, d, time.Second))
		}
	}
}

func (s *shares) shareTraffic() (demands, calls float64) { return s.demands, s.calls }

// shareBytes prints the encoded sizes of share requests and grants.
func shareBytes(options) {
	size := func(pairs int) (req, reply int) {
		q := &wire.ShareRequest{Entry: "entry-1", Incarnation: 1 << 60, Seq: 1 << 20, Home: "entry-2/ABCDEFGHIJKLMNOP@17", Partial: true}
		a := &wire.ShareReply{Home: q.Home}
		for i := range pairs {
			team := fmt.Sprintf("team-%04d", i)
			q.Demands = append(q.Demands, &wire.ShareDemand{Team: team, Service: "pushpa-lm", Requests: 12.3, Tokens: 4567.8, Concurrent: 20, Running: 12, Ack: 1 << 24})
			a.Grants = append(a.Grants, &wire.ShareGrant{
				Team: team, Service: "pushpa-lm", RequestsPerSecond: 12.3, TokensPerSecond: 4567.8,
				Concurrent: 20, Epoch: 1 << 24, HoldMs: 30_000, RequestBurst: 12.3, AgainMs: 1500,
			})
		}
		return proto.Size(q), proto.Size(a)
	}
	q1, a1 := size(1)
	q, a := size(101)
	asked, granted := float64(q-q1)/100, float64(a-a1)/100
	fmt.Printf("Shares on the wire: %.0f bytes for a question (%.0f asked, %.0f granted), %.0f bytes for a call besides.\n",
		asked+granted, asked, granted, float64(q1+a1)-asked-granted)
}
