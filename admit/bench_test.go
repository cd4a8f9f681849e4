package admit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGateDecision measures one offer, one start and one end with a long queue in
// which all teams wait.
func BenchmarkGateDecision(b *testing.B) {
	for _, teams := range []int{10, 100, 1000, 3800} {
		for _, name := range []string{"gate", "fifo"} {
			b.Run(fmt.Sprintf("%s/teams=%d", name, teams), func(b *testing.B) {
				s := Settings{Slots: 256, Reserved: 16, MaxQueue: 8 * teams}
				var q Queue = NewGate(s)
				if name == "fifo" {
					q = NewFIFO(s)
				}
				benchmarkDecisions(b, q, teams)
			})
		}
	}
}

func benchmarkDecisions(b *testing.B, q Queue, teams int) {
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprint("team-", i)
	}
	now := simEpoch
	var running []*Work
	work := make([]Work, b.N+4*teams+256)
	offer := func(i int) {
		w := &work[i]
		*w = Work{Team: names[i%teams], Weight: 1 + i%5, Priority: normal, Cost: float64(1 + i%7), Deadline: now.Add(time.Hour), Queue: "lm", MaxQueue: 8 * teams}
		_ = q.Offer(now, w)
		start, _ := q.Start(now)
		running = append(running, start...)
	}
	for i := range 4*teams + 256 {
		offer(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		offer(4*teams + 256 + i)
		q.Done(now, running[i])
		start, _ := q.Start(now)
		running = append(running, start...)
	}
}

// BenchmarkLimiterTake measures one Take, over all teams in turn.
func BenchmarkLimiterTake(b *testing.B) {
	for _, teams := range []int{10, 100, 1000, 3800} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			l := NewLimiter()
			l.SetEntries(7)
			subjects := make([]Subject, teams)
			for i := range subjects {
				subjects[i] = Subject{fmt.Sprint("team-", i), "lm"}
			}
			now, limit := simEpoch, Amounts{1000, 1e6, 100}
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				s := subjects[i%teams]
				if l.Take(now, s, limit, Request{Tokens: 10}) == nil {
					l.Done(s)
				}
			}
		})
	}
}

// BenchmarkShareAllocatorGrant measures one Grant for a team whose callers use several entries.
func BenchmarkShareAllocatorGrant(b *testing.B) {
	for _, entries := range []int{1, 7, 50} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			p := newShareCluster(entries, Amounts{1000, 1e6, 100})
			p.settle()
			d := Demand{Wanted: Amounts{100, 1e4, 10}}
			names := make([]string, entries)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			for i := range b.N {
				p.now = p.now.Add(time.Millisecond)
				d.AckedEpoch = p.allocator.Grant(p.now, names[i%entries], simSubject, p.limit, d, time.Second).Epoch
			}
		})
	}
}

// BenchmarkLimiterDue measures the check for due demands, which runs once per ShareCheckInterval.
func BenchmarkLimiterDue(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			l := NewLimiter()
			l.SetEntries(7)
			for i := range teams {
				l.Take(simEpoch, Subject{fmt.Sprint("team-", i), "lm"}, Amounts{1000, 1e6, 100}, Request{})
			}
			l.Report(simEpoch)
			now := simEpoch.Add(2 * minAskInterval)
			b.ReportAllocs()
			for range b.N {
				if l.Due(now) {
					b.Fatal("a demand is due although nothing changed")
				}
			}
		})
	}
}
