package agent

import (
	"time"

	"github.com/snipereach/snipereach/wire"
)

// ReportRule says when a load is worth a report to an entry that watches.
type ReportRule struct {
	// Change is the share of the slots by which the number of requests must
	// differ from the one reported last; at least one request.
	Change float64
	// KeepAlive is the longest time between two reports. It heals what a lost or
	// late one left behind, and shows a watcher that the agent lives.
	KeepAlive time.Duration
}

// reportChange is the ReportRule.Change of this version: as many requests as the
// upstream has slots. Smaller changes cost more messages and, where many entries
// watch one upstream, more waiting; docs/design/directory.md has the figures.
const reportChange = 1

// Reports is what one watcher was told. It is pure: time and reports go in.
type Reports struct {
	Rule       ReportRule
	lastSent   *wire.Report
	lastSentAt time.Time
}

// Due says whether a report should be sent now. Cache events always go at once:
// by their numbers a watcher sees a gap only when the next one comes.
func (r *Reports) Due(now time.Time, next *wire.Report) bool {
	if r.lastSent == nil || now.Sub(r.lastSentAt) >= r.Rule.KeepAlive || len(next.Cache) > 0 || next.Leaving != r.lastSent.Leaving {
		return true
	}
	l, last := next.Load, r.lastSent.Load
	if l.Slots != last.Slots {
		return true
	}
	threshold := max(r.Rule.Change*float64(l.Slots), 1)
	if next.Leaving {
		// An operator who drains it looks at its last requests.
		threshold = 1
	}
	change := int(l.Running+l.Waiting) - int(last.Running+last.Waiting)
	return float64(max(change, -change)) >= threshold
}

// Sent notes that a report was sent.
func (r *Reports) Sent(now time.Time, sent *wire.Report) { r.lastSent, r.lastSentAt = sent, now }
