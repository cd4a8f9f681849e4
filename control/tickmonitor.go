package control

import (
	"runtime/metrics"
	"time"

	"github.com/snipereach/snipereach/kernel"
)

// lateTickLogThreshold is the delay from which on a late tick is logged.
const lateTickLogThreshold = 200 * time.Millisecond

// tickMonitor measures how late the ticks of a replica's loop are. It is owned by the loop.
type tickMonitor struct {
	lastTick    time.Time
	skippedLast bool
	gcCycles    uint64
}

// delayOf records a tick at time now and returns how much later than tickInterval after the
// last one it comes.
func (m *tickMonitor) delayOf(now time.Time) time.Duration {
	if m.lastTick.IsZero() {
		m.lastTick = now
	}
	delay := now.Sub(m.lastTick) - tickInterval
	m.lastTick = now
	return max(delay, 0)
}

// shouldSkip reports whether a late tick should be skipped, so that messages which arrived
// during the delay are processed first. Otherwise a leader could step down, or a follower
// start an election, although its peers had sent heartbeats in time. Two ticks in a row are
// never skipped, so that the timers of a replica that is always late still run.
func (m *tickMonitor) shouldSkip(delay time.Duration) bool {
	m.skippedLast = delay > tickInterval && !m.skippedLast
	return m.skippedLast
}

// logLateTick logs a tick later than lateTickLogThreshold, with runtime statistics that may
// explain the delay.
func (r *Replica) logLateTick(delay time.Duration) {
	if delay < lateTickLogThreshold {
		return
	}
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/sched/goroutines:goroutines"}, {Name: "/gc/heap/live:bytes"}}
	metrics.Read(samples)
	cycles := samples[0].Value.Uint64()
	kernel.Info(r.log, "Replica was late.", "late_ms", delay.Milliseconds(), "leads", r.leader.leads, "waiting_calls", len(r.calls),
		"gc_cycles", cycles-r.ticks.gcCycles, "goroutines", samples[1].Value.Uint64(), "live_mb", samples[2].Value.Uint64()>>20)
	r.ticks.gcCycles = cycles
}
