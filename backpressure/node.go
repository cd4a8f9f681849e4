package backpressure

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// maxLinesPerSecond limits a node's log lines.
const maxLinesPerSecond = 20

// Node is what a gateway knows of what upstreams ask of all gateways, and its permits. It is safe
// for concurrent use.
type Node struct {
	id        string
	lines     *kernel.LimitedLogger
	now       func() time.Time
	metrics   *kernel.Metrics
	dial      directory.Dial
	replicas  func() []string
	reporters *directory.Reporters
	rests     *Rests
	// limited is the number of limited upstreams, leaving those that leave. While they are 0, which
	// is the usual case, a request costs two atomic loads.
	limited, leaving atomic.Int64

	mu        sync.Mutex
	book      *Book
	borrowers map[string]*borrower
}

// Options are what a Node needs of its gateway.
type Options struct {
	// ID is the gateway's ID.
	ID      string
	Log     log.Logger
	Now     func() time.Time
	Metrics *kernel.Metrics
	// Rests are those that the gateway keeps.
	Rests *Rests
	// Dial opens connections to control replicas, Replicas lists their addresses, the nearest first.
	Dial     directory.Dial
	Replicas func() []string
}

// NewNode returns the node of a gateway.
func NewNode(o Options) *Node {
	n := &Node{
		id: o.ID, lines: kernel.NewLimitedLogger(o.Log, maxLinesPerSecond, o.Now), now: o.Now, metrics: o.Metrics,
		dial: o.Dial, replicas: o.Replicas, rests: o.Rests, book: NewBook(), borrowers: map[string]*borrower{},
	}
	n.reporters = directory.NewReporters(n.report)
	return n
}

// Run reports what upstreams say here to the control replicas until ctx is done.
func (n *Node) Run(ctx context.Context) {
	go n.reportRests(ctx)
	n.reporters.Run(ctx, n.replicas)
}

// Observe records what an upstream has said in an answer to this gateway. The time and the source are
// set here.
func (n *Node) Observe(s Statement) {
	if !s.Limited && !s.Leaving && n.limited.Load() == 0 {
		return
	}
	s.HeardAt, s.Source = n.now(), n.id
	if n.record(s, "") {
		n.reporters.Notify()
	}
}

// ApplyReport records statements that a replica passes on. Invalid ones are logged and skipped.
func (n *Node) ApplyReport(replica string, list []*wire.UpstreamStatement) {
	for _, m := range list {
		if err := Check(m); err != nil {
			n.lines.Info("Invalid statement skipped.", "replica", replica, "err", err)
			continue
		}
		n.record(FromWire(n.now(), m), replica)
	}
}

// ReportAll has everything reported to a replica again, because it may have restarted and know
// nothing.
func (n *Node) ReportAll(replica string) {
	if n.limited.Load()+n.leaving.Load() > 0 {
		n.reporters.Repeat(replica)
	}
}

// Known returns the latest statement of an upstream.
func (n *Node) Known(upstream string) Statement {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Get(upstream)
}

// Forget drops what is known of upstreams that are no longer known.
func (n *Node) Forget(known func(upstream string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.book.Forget(n.now(), known)
	n.updateCounts()
	for id, b := range n.borrowers {
		if b.asking == nil && !n.book.Get(id).Limited {
			delete(n.borrowers, id)
		}
	}
}

// record applies a statement and logs a change. replica has passed it on; empty if the upstream
// has said it here.
func (n *Node) record(s Statement, replica string) (changed bool) {
	n.mu.Lock()
	before, changed := n.book.Record(s)
	after := n.book.Get(s.Upstream)
	n.updateCounts()
	n.mu.Unlock()
	if !changed {
		return false
	}
	source := []any{"heard_by", s.Source, "age_ms", n.now().Sub(s.HeardAt).Milliseconds(), "replica", replica}
	if after.Leaving && !before.Leaving {
		n.metrics.Count("gateway.leaving")
		n.lines.Info("Upstream says that it leaves.", append([]any{"upstream", s.Upstream, "incarnation", s.Incarnation}, source...)...)
	}
	if after.Limited != before.Limited || after.PerS != before.PerS {
		n.metrics.Count("gateway.limits.changed")
		n.lines.Info("Upstream limit changed.", append([]any{"upstream", s.Upstream, "limited", after.Limited, "per_s", after.PerS,
			"limited_before", before.Limited, "per_s_before", before.PerS}, source...)...)
	}
	return true
}

// updateCounts updates the numbers of upstreams that ask for anything. The caller holds the lock.
func (n *Node) updateCounts() {
	n.limited.Store(int64(n.book.limited))
	n.leaving.Store(int64(n.book.leaving))
}

// Leaving returns the incarnations of the upstreams that leave; nil if none does.
func (n *Node) Leaving() map[string]uint64 {
	if n.leaving.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Leaving()
}

// dumpView is what a dump shows: what is known of upstreams, and for how much longer this gateway asks
// for no permit to send to a limited one, in milliseconds.
type dumpView struct {
	Upstreams []View           `json:"upstreams"`
	Blocked   map[string]int64 `json:"blocked_ms"`
}

// Dump returns what is known, for operators.
func (n *Node) Dump() any {
	v := dumpView{Blocked: map[string]int64{}}
	for id, left := range n.Blocked() {
		v.Blocked[id] = left.Milliseconds()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v.Upstreams = Views(ToWire(n.now(), n.book.All()), n.ownRests())
	return v
}
