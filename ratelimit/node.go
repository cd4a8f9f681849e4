package ratelimit

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/kernel"
)

// maxLinesPerSecond limits a node's log lines.
const maxLinesPerSecond = 20

// Node is what a gateway knows of the limits of upstreams. It is safe for concurrent use.
type Node struct {
	id         string
	log        log.Logger
	now        func() time.Time
	metrics    *kernel.Metrics
	lineBudget *kernel.LogLimiter

	mu   sync.Mutex
	book *Book
}

// NewNode returns the node of the gateway with this ID.
func NewNode(id string, l log.Logger, now func() time.Time, m *kernel.Metrics) *Node {
	return &Node{id: id, log: l, now: now, metrics: m, lineBudget: kernel.NewLogLimiter(maxLinesPerSecond, now), book: NewBook()}
}

// Observe records what an upstream has said in an answer to this gateway. limit is nil if the
// answer had no limit.
func (n *Node) Observe(upstream string, limit *float64) {
	s := Statement{Upstream: upstream, HeardAt: n.now(), Source: n.id}
	if limit != nil {
		s.Limited, s.PerS = true, *limit
	}
	n.record(s, "")
}

// Known returns the latest statement of an upstream.
func (n *Node) Known(upstream string) Statement {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Get(upstream)
}

// record applies a statement and logs a change. from is the replica that has passed it on; empty
// if the upstream has said it here.
func (n *Node) record(s Statement, from string) (changed bool) {
	n.mu.Lock()
	before, changed := n.book.Record(s)
	n.mu.Unlock()
	if !changed {
		return false
	}
	n.metrics.Count("gateway.limits.changed")
	n.logInfo("Upstream limit changed.", "upstream", s.Upstream, "limited", s.Limited, "per_s", s.PerS,
		"limited_before", before.Limited, "per_s_before", before.PerS,
		"heard_by", s.Source, "age_ms", n.now().Sub(s.HeardAt).Milliseconds(), "replica", from)
	return true
}

// logInfo logs a line unless the line budget is exhausted.
func (n *Node) logInfo(msg string, kv ...any) {
	ok, leftOut := n.lineBudget.Allow()
	if !ok {
		return
	}
	if leftOut > 0 {
		kv = append(kv, "lines_left_out", leftOut)
	}
	kernel.Info(n.log, msg, kv...)
}
