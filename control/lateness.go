package control

import (
	"runtime/metrics"
	"time"

	"github.com/snipereach/snipereach/kernel"
)

// lateAfter is how much later than usual a tick comes that is told of: half of what a
// leader may be silent before the others look for another.
const lateAfter = 200 * time.Millisecond

// lateness watches how late the loop of a replica is. Only its loop uses it.
type lateness struct {
	last      time.Time
	postponed bool
	cycles    uint64
}

// late takes the time of a tick and returns how much later than usual it comes.
func (l *lateness) late(now time.Time) time.Duration {
	if l.last.IsZero() {
		l.last = now
	}
	late := now.Sub(l.last) - tickInterval
	l.last = now
	return max(late, 0)
}

// postpone says whether a late tick is to be left out: what came meanwhile waits in queues
// and sockets. Judged before it is read, a leader that stood still for a moment would step
// down, and a follower campaign, though all the others had spoken in time. It is never left
// out twice in a row, so that a replica which is always late goes on.
func (l *lateness) postpone(late time.Duration) bool {
	l.postponed = late > tickInterval && !l.postponed
	return l.postponed
}

// tellLate logs a late tick with what may have taken the time.
func (r *Replica) tellLate(late time.Duration) {
	if late < lateAfter {
		return
	}
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/sched/goroutines:goroutines"}, {Name: "/gc/heap/live:bytes"}}
	metrics.Read(samples)
	cycles := samples[0].Value.Uint64()
	kernel.Info(r.log, "Replica was late.", "late_ms", late.Milliseconds(), "leads", r.leader.leads, "waiting_calls", len(r.calls),
		"gc_cycles", cycles-r.lateness.cycles, "goroutines", samples[1].Value.Uint64(), "live_mb", samples[2].Value.Uint64()>>20)
	r.lateness.cycles = cycles
}
