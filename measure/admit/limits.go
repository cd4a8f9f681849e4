package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/wire"
)

// limiter admits at one entry.
type limiter interface {
	take(entry int, now time.Time) bool
	round(now time.Time)
}

// shares is what runs: a home, and a limiter at each entry.
type shares struct {
	limit admit.Amounts
	home  *admit.Home
	lims  []*admit.Limiter
}

var subject = admit.Subject{Team: "growers", Service: "pushpa-lm"}

func newShares(rate float64, now time.Time) limiter {
	s := &shares{limit: admit.Amounts{Requests: rate, Tokens: math.Inf(1), Concurrent: math.Inf(1)}, home: admit.NewHome(now.Add(-time.Hour), "home")}
	for range entries {
		l := admit.NewLimiter()
		l.SetEntries(entries)
		s.lims = append(s.lims, l)
	}
	return s
}

func (s *shares) take(entry int, now time.Time) bool {
	if s.lims[entry].Take(now, subject, s.limit, admit.Ask{}) != nil {
		return false
	}
	s.lims[entry].Done(subject)
	return true
}

func (s *shares) round(now time.Time) {
	for i, l := range s.lims {
		r, demands := l.Report(now)
		r.Entry, r.Incarnation = fmt.Sprint(i), 1
		if !s.home.Hear(now, r) {
			continue
		}
		l.Answered(s.home.Name(now))
		for sub, d := range demands {
			l.Apply(now, now, sub, s.home.Name(now), s.home.Grant(now, r.Entry, sub, s.limit, d, time.Second))
		}
	}
}

// buckets are independent token buckets, one at each entry: the naive ways give
// each of them the whole limit, or a fixed part.
type buckets struct {
	rate  float64
	level []float64
	last  []time.Time
}

func newBuckets(rate float64, now time.Time) limiter {
	b := &buckets{rate: rate, level: make([]float64, entries)}
	for range entries {
		b.last = append(b.last, now)
	}
	return b
}

func (b *buckets) take(entry int, now time.Time) bool {
	b.level[entry] = min(b.level[entry]+b.rate*now.Sub(b.last[entry]).Seconds(), max(b.rate, 1))
	b.last[entry] = now
	if b.level[entry] < 1 {
		return false
	}
	b.level[entry]--
	return true
}

func (b *buckets) round(time.Time) {}

// central is the bound: one bucket that every entry asks, without delay.
type central struct{ *buckets }

func (c central) take(_ int, now time.Time) bool { return c.buckets.take(0, now) }

// limits drives each way with the same callers: they ask for twice the limit, use
// one to three entries at a time and move on every few seconds.
func limits(o options) {
	fmt.Println("Limits: callers ask for twice the limit and move between entries every 2 to 12 s.")
	fmt.Printf("%-10s %-20s %10s %22s\n", "limit/s", "way", "admitted", "most above l*(w+1s)")
	for _, rate := range []float64{5, 20, 100, 1000} {
		ways := []struct {
			name string
			make func(float64, time.Time) limiter
		}{
			{"whole at each entry", newBuckets},
			{"fixed part", func(r float64, t time.Time) limiter { return newBuckets(r/entries, t) }},
			{"shares", newShares},
			{"central, no delay", func(r float64, t time.Time) limiter { return central{newBuckets(r, t).(*buckets)} }},
		}
		for _, w := range ways {
			admitted, over := drive(o, rate, w.make)
			fmt.Printf("%-10g %-20s %9.1f%% %22.0f\n", rate, w.name, 100*admitted, over)
		}
	}
}

// drive returns what was admitted of the limit, and the most requests in any
// window above it.
func drive(o options, rate float64, way func(float64, time.Time) limiter) (admitted, over float64) {
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	now := time.Unix(1_000_000, 0)
	l := way(rate, now)
	begin, moved, asked, last := now, now, now, now
	var used []int
	level, count := max(rate, 1), 0.0
	for now.Sub(begin).Seconds() < o.Seconds {
		if !now.Before(moved) {
			used = rng.Perm(entries)[:1+rng.IntN(3)]
			moved = now.Add(time.Duration(2+rng.IntN(11)) * time.Second)
		}
		if !now.Before(asked) {
			l.round(now)
			asked = now.Add(admit.ShareInterval)
		}
		level = min(level+rate*now.Sub(last).Seconds(), max(rate, 1))
		last = now
		if l.take(used[rng.IntN(len(used))], now) {
			level--
			count++
		}
		over = max(over, -level)
		now = now.Add(time.Duration(rng.ExpFloat64() / (2 * rate) * float64(time.Second)))
	}
	return count / (rate * o.Seconds), math.Round(over)
}

// shareBytes prints what an active pair of team and entry costs on the wire.
func shareBytes() {
	size := func(pairs int) (req, reply int) {
		q := &wire.ShareRequest{Entry: "entry-1", Incarnation: 1 << 60, Seq: 1 << 20, Home: "entry-2/ABCDEFGHIJKLMNOP@17"}
		a := &wire.ShareReply{Home: q.Home}
		for i := range pairs {
			team := fmt.Sprintf("team-%04d", i)
			q.Demands = append(q.Demands, &wire.ShareDemand{Team: team, Service: "pushpa-lm", Requests: 12.3, Tokens: 4567.8, Concurrent: 20, Running: 12, Ack: 1 << 24})
			a.Grants = append(a.Grants, &wire.ShareGrant{
				Team: team, Service: "pushpa-lm", RequestsPerSecond: 12.3, TokensPerSecond: 4567.8,
				Concurrent: 20, Epoch: 1 << 24, HoldMs: 30_000, RequestBurst: 12.3,
			})
		}
		return proto.Size(q), proto.Size(a)
	}
	perSecond := float64(time.Second / admit.ShareInterval)
	q1, a1 := size(1)
	q, a := size(101)
	fmt.Printf("Shares on the wire: %.0f bytes/s for each active pair of team and entry (%.0f asked, %.0f granted), %.0f bytes/s for an entry besides.\n",
		float64(q-q1+a-a1)/100*perSecond, float64(q-q1)/100*perSecond, float64(a-a1)/100*perSecond,
		(float64(q1+a1)-float64(q-q1+a-a1)/100)*perSecond)
}
