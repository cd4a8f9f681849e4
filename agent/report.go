package agent

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// ReportRule decides when a load report is sent to an entry that watches the upstream.
type ReportRule struct {
	// ChangeThreshold is the fraction of the slots by which the number of requests must differ from
	// the last report. The difference must be at least one request.
	ChangeThreshold float64
	// KeepAlive is the longest time between two reports. A periodic report corrects a
	// watcher that missed one, and shows that the agent is alive.
	KeepAlive time.Duration
}

// reportChange is the ReportRule.ChangeThreshold of agents: a difference of as many requests as the
// upstream has slots. Smaller values cost more messages and, where many entries watch one
// upstream, longer queueing; see docs/design/directory.md.
const reportChange = 1

// ReportTracker tracks what was sent to one watcher. It uses no clock and does no I/O.
type ReportTracker struct {
	Rule       ReportRule
	lastSent   *wire.Report
	lastSentAt time.Time
}

// ShouldSend returns whether a report must be sent now. Cache events are always sent at once: a
// watcher detects a gap in their sequence only when the next one arrives.
func (r *ReportTracker) ShouldSend(now time.Time, next *wire.Report) bool {
	if r.lastSent == nil || now.Sub(r.lastSentAt) >= r.Rule.KeepAlive || len(next.Cache) > 0 || next.Leaving != r.lastSent.Leaving {
		return true
	}
	l, last := next.Load, r.lastSent.Load
	if l.Slots != last.Slots {
		return true
	}
	threshold := max(r.Rule.ChangeThreshold*float64(l.Slots), 1)
	if next.Leaving {
		// Operators watch the last requests of a draining upstream, so every change is
		// sent.
		threshold = 1
	}
	change := int(l.Running+l.Waiting) - int(last.Running+last.Waiting)
	return float64(max(change, -change)) >= threshold
}

// RecordSent records a report that was sent.
func (r *ReportTracker) RecordSent(now time.Time, sent *wire.Report) {
	r.lastSent, r.lastSentAt = sent, now
}
