package quarantine

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// maxLinesPerSecond limits a node's log lines.
const maxLinesPerSecond = 24

// Node is what an entry or gateway knows of requests that may crash upstreams: what it observed
// itself, and what control replicas report from others. It is safe for concurrent use. A
// RequestGuard with a nil Node suspects no request.
//
// A poison request cuts off all other requests on the upstream, and in a group those on all ranks.
// Its caller then sends it again, possibly to another entry that has not seen it yet; unless entries
// share what they observe, one such request can keep a group down.
type Node struct {
	id   string
	log  log.Logger
	now  func() time.Time
	dial directory.Dial
	// lines has a limit: every request that was running on a crashed upstream logs one.
	lines *kernel.LimitedLogger
	// recordCount is the number of remembered requests. While it is 0, which is the usual case, a
	// request costs one atomic load.
	recordCount atomic.Int64

	reporters *directory.Reporters

	// parts is what is known of the parts of prompts that are served here.
	parts *partHistory

	mu    sync.Mutex
	table *Table
}

// NewNode returns the node of the entry or gateway with this ID. It uses dial to reach control
// replicas.
func NewNode(id string, l log.Logger, now func() time.Time, dial directory.Dial) *Node {
	n := &Node{
		id: id, log: l, now: now, dial: dial, lines: kernel.NewLimitedLogger(l, maxLinesPerSecond, now),
		table: NewTable(DefaultSettings()), parts: newPartHistory(),
	}
	n.reporters = directory.NewReporters(n.report)
	return n
}

// Crash describes the crash of an upstream while it ran a request.
type Crash struct {
	RequestInfo
	// Parts are the parts of the request's prompt that other requests may have as well.
	Parts []RequestInfo
	// RequestID is the caller's ID of the request, for logs.
	RequestID string
	// Upstream is the ID of the incarnation that crashed, Address where it was reached.
	Upstream, Address string
	// RunTime is how long the request had been running there, Ago the time since it was cut off.
	RunTime, Age time.Duration
	// DetectedBy tells how the crash was detected, for logs.
	DetectedBy string
}

// RecordCrash records a crash that was observed here, and returns the verdict on the request after
// it.
//
// The parts of its prompt come first: where one of them explains the crashes, the request itself needs no
// record of them, and the next one with the part is another request.
func (n *Node) RecordCrash(e Crash) (v Verdict) {
	var suspects []string
	n.updateTable(func(now time.Time, t *Table) bool {
		ended := now.Add(-e.Age)
		run := CrashedRun{Upstream: e.Upstream, Began: ended.Add(-e.RunTime), Ended: ended}
		partRun := run
		partRun.Requests = []uint32{hashRequestID(e.RequestID)}
		for _, part := range e.Parts {
			if !n.parts.exonerates(now, uint64(part.Hint)) {
				pv := t.RecordCrash(now, part, partRun)
				suspects = append(suspects, fmt.Sprintf("%s:%d:%s", part.Part, pv.Crashes, pv.Status))
			}
		}
		v = t.RecordCrash(now, e.RequestInfo, run)
		return true
	})
	n.lines.Info("Upstream ended under a request.", "request", e.RequestID, "key", e.Key, "route", e.Route, "team", e.Team,
		"upstream", e.Upstream, "addr", e.Address, "sign", e.DetectedBy, "ends", v.Crashes, "standing", v.Status, "parts", strings.Join(suspects, ","))
	return v
}

// ApplyReport merges the suspicions in a message and logs the requests whose status changes. The
// name of the sender is only logged.
func (n *Node) ApplyReport(from string, list []*wire.Suspicion) {
	if len(list) == 0 {
		return
	}
	for _, c := range n.merge(from, list) {
		n.lines.Info("Request standing changed.", "replica", from, "key", c.key, "part", c.suspicion.Part, "route", c.suspicion.Route, "team", c.suspicion.Team,
			"standing", c.verdict.Status, "ends", c.verdict.Crashes, "upstreams", strings.Join(c.verdict.Upstreams, ","),
			"left_ms", c.verdict.Left.Milliseconds())
	}
}

// statusChange is a request whose status was changed by a peer's message.
type statusChange struct {
	key       Key
	suspicion *wire.Suspicion
	verdict   Verdict
}

// merge merges suspicions into the table and returns the resulting changes of status. Invalid
// suspicions are logged and skipped.
func (n *Node) merge(from string, list []*wire.Suspicion) (changes []statusChange) {
	n.updateTable(func(now time.Time, t *Table) (clears bool) {
		for _, m := range list {
			if err := Check(m); err != nil {
				n.lines.Info("Invalid suspicion skipped.", "replica", from, "err", err)
				continue
			}
			k := Key(m.Key)
			before := t.Verdict(now, k).Status
			t.Merge(now, m)
			if m.Part != "" && t.Verdict(now, k).Status == LastTrial && n.parts.exonerates(now, m.Hint) {
				// Those that suspect it haven't served it lately, e.g. as they have just started.
				clears = t.RecordAnswer(now, k) || clears
			}
			if v := t.Verdict(now, k); v.Status != before {
				changes = append(changes, statusChange{key: k, suspicion: m, verdict: v})
			}
		}
		return clears
	})
	return changes
}

// forgetPeriodically drops obsolete records every forgetInterval until ctx is done.
func (n *Node) forgetPeriodically(ctx context.Context) {
	tick := time.NewTicker(forgetInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.updateTable(func(now time.Time, t *Table) bool {
			t.Forget(now)
			return false
		})
	}
}

// Count returns how many requests are suspected, and how many of these are in quarantine.
func (n *Node) Count() (suspected, quarantined int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Count(n.now())
}

// Dump returns the suspected requests for operators.
func (n *Node) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	return SuspicionViews(n.table.All(n.now()))
}

// updateTable calls f with the table. If f returns true, the reporters are notified.
func (n *Node) updateTable(f func(now time.Time, t *Table) (notify bool)) {
	n.mu.Lock()
	notify := f(n.now(), n.table)
	n.recordCount.Store(int64(n.table.Len()))
	n.mu.Unlock()
	if notify {
		n.reporters.Notify()
	}
}
