package agent

import (
	"cmp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/wire"
)

func report(running, waiting, slots uint32) *wire.Report {
	return &wire.Report{Load: &wire.Load{Running: running, Waiting: waiting, Slots: slots}}
}

// The load changes and reports get lost. After each report that arrives, a watcher's count
// must be off by less than the slots, and the next report must be sent within the
// keep-alive. Cache events and any change of a leaving upstream must be sent at once.
func TestReportsOmitOnlySmallChanges(t *testing.T) {
	const step, keepAlive = 500 * time.Millisecond, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		r := ReportTracker{Rule: ReportRule{ChangeThreshold: reportChange, KeepAlive: keepAlive}}
		now := time.Unix(1000, 0)
		known, receivedAt := (*wire.Report)(nil), now
		for range 60 {
			next := report(rapid.Uint32Range(0, 8).Draw(t, "running"), rapid.Uint32Range(0, 20).Draw(t, "waiting"), 8)
			next.Leaving = known != nil && known.Leaving || rapid.IntRange(0, 19).Draw(t, "leaving") == 0
			if rapid.IntRange(0, 9).Draw(t, "cache") == 0 {
				next.Cache = []*wire.CacheEvent{{Seq: 1}}
			}
			lost := false
			if r.ShouldSend(now, next) {
				r.RecordSent(now, next)
				if lost = rapid.IntRange(0, 9).Draw(t, "lost") == 0; !lost {
					known, receivedAt = next, now
				}
			} else {
				assert.Assert(t, len(next.Cache) == 0, "cache events are delayed")
			}
			if r.lastSent == known {
				off := int(next.Load.Running+next.Load.Waiting) - int(known.Load.Running+known.Load.Waiting)
				threshold := 8
				if next.Leaving {
					threshold = 1
				}
				assert.Assert(t, max(off, -off) < threshold && next.Leaving == known.Leaving, "off by %d", off)
				assert.Assert(t, now.Sub(receivedAt) < keepAlive)
			}
			now = now.Add(step)
		}
	})
}

// After a lost report, and with an unchanged load, the next report must be sent when the
// keep-alive has passed.
func TestKeepAliveRepairsLostReport(t *testing.T) {
	r := ReportTracker{Rule: watchReportRule(&wire.WatchRequest{KeepAliveMs: 10_000})}
	now := time.Unix(1000, 0)
	r.RecordSent(now, report(8, 3, 8))
	assert.Assert(t, !r.ShouldSend(now.Add(9999*time.Millisecond), report(8, 3, 8)))
	assert.Assert(t, r.ShouldSend(now.Add(10*time.Second), report(8, 3, 8)))
}

// An entry of an earlier version sends no keep-alive and treats an upstream that is silent
// for a lease as gone. It must get a report at each interval.
func TestWatchWithoutKeepAliveReportsAtEachInterval(t *testing.T) {
	r := ReportTracker{Rule: watchReportRule(&wire.WatchRequest{IntervalMs: 500})}
	now := time.Unix(1000, 0)
	r.RecordSent(now, report(1, 0, 8))
	assert.Assert(t, r.ShouldSend(now.Add(500*time.Millisecond), report(1, 0, 8)))
}

// Replies and reports read the load concurrently, and an entry keeps the one with the
// highest sequence number. That one must not hold older counts.
func TestLoadSequenceFollowsCounts(t *testing.T) {
	const works, readers = 500, 4
	set := DefaultSettings()
	set.ID, set.FailureDomain, set.ClusterSecret = "up-1", "hall-a", "a secret of the tests"
	set.Kind, set.Pools, set.AnnounceTo = "plain", []string{"p"}, []string{"127.0.0.1:1"}
	set.Upstream = map[string]any{"url": "http://127.0.0.1:1"}
	set.Slots = works
	a, err := New(set, log.NewNopLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { a.Stop() })
	loads := make([][]*wire.Load, readers)
	var wg sync.WaitGroup
	done := make(chan struct{})
	for i := range readers {
		wg.Go(func() {
			for over := false; !over; {
				select {
				case <-done:
					over = true
				default:
				}
				loads[i] = append(loads[i], a.currentLoad())
			}
		})
	}
	// Requests are only added, so the counts only grow.
	for range works {
		_, err := a.runner.Acquire(t.Context(), &admit.Work{Team: "t", Weight: 1, Priority: wire.Priority_PRIORITY_URGENT, Cost: 1})
		assert.NilError(t, err)
	}
	close(done)
	wg.Wait()
	all := slices.Concat(loads...)
	slices.SortFunc(all, func(x, y *wire.Load) int { return cmp.Compare(x.Seq, y.Seq) })
	for i := 1; i < len(all); i++ {
		assert.Assert(t, all[i].Running >= all[i-1].Running, "number %d", all[i].Seq)
	}
}
