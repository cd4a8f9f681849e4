package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

func report(running, waiting, slots uint32) *wire.Report {
	return &wire.Report{Load: &wire.Load{Running: running, Waiting: waiting, Slots: slots}}
}

// An entry watches an upstream whose load goes up and down, and reports get lost.
// What the entry then knows is wrong until the next report: with each report that
// arrives it is off by less than its slots, and one comes at the latest
// when the keep-alive has run out. Cache events and a leaving upstream never wait.
func TestReportsLeaveOutOnlySmallChanges(t *testing.T) {
	const step, keepAlive = 500 * time.Millisecond, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		r := Reports{Rule: ReportRule{Change: reportChange, KeepAlive: keepAlive}}
		now := time.Unix(1000, 0)
		known, heard := (*wire.Report)(nil), now
		for range 60 {
			next := report(rapid.Uint32Range(0, 8).Draw(t, "running"), rapid.Uint32Range(0, 20).Draw(t, "waiting"), 8)
			next.Leaving = known != nil && known.Leaving || rapid.IntRange(0, 19).Draw(t, "leaving") == 0
			if rapid.IntRange(0, 9).Draw(t, "cache") == 0 {
				next.Cache = []*wire.CacheEvent{{Seq: 1}}
			}
			lost := false
			if r.Due(now, next) {
				r.Sent(now, next)
				if lost = rapid.IntRange(0, 9).Draw(t, "lost") == 0; !lost {
					known, heard = next, now
				}
			} else {
				assert.Assert(t, len(next.Cache) == 0, "cache events wait")
			}
			if r.sent == known {
				off := int(next.Load.Running+next.Load.Waiting) - int(known.Load.Running+known.Load.Waiting)
				assert.Assert(t, max(off, -off) < 8 && next.Leaving == known.Leaving, "off by %d", off)
				assert.Assert(t, now.Sub(heard) < keepAlive)
			}
			now = now.Add(step)
		}
	})
}

// A report is lost and the load doesn't change again. The next one comes with the
// keep-alive and heals it.
func TestKeepAliveHealsALostReport(t *testing.T) {
	r := Reports{Rule: reportRule(&wire.WatchRequest{KeepAliveMs: 10_000})}
	now := time.Unix(1000, 0)
	r.Sent(now, report(8, 3, 8))
	assert.Assert(t, !r.Due(now.Add(9999*time.Millisecond), report(8, 3, 8)))
	assert.Assert(t, r.Due(now.Add(10*time.Second), report(8, 3, 8)))
}

// An entry of an earlier version asks without a keep-alive, and takes an upstream
// that says nothing for a lease as gone. It is told at each interval, as ever.
func TestEarlierEntriesAreToldAtEachInterval(t *testing.T) {
	r := Reports{Rule: reportRule(&wire.WatchRequest{IntervalMs: 500})}
	now := time.Unix(1000, 0)
	r.Sent(now, report(1, 0, 8))
	assert.Assert(t, r.Due(now.Add(500*time.Millisecond), report(1, 0, 8)))
}
