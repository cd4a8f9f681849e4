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

const (
	// maxLinesPerSecond limits a node's log lines.
	maxLinesPerSecond = 20
	// borrowTimeout bounds a call for permits, acquireTimeout all calls for one request. The request
	// waits for them, and can go to another upstream instead.
	borrowTimeout  = 50 * time.Millisecond
	acquireTimeout = 100 * time.Millisecond
	// restsReportInterval is how often a gateway that keeps any rest tells a replica.
	restsReportInterval = 2 * time.Second
)

// Node is what a gateway knows of what upstreams ask of all gateways, and its permits. It is safe
// for concurrent use.
type Node struct {
	id         string
	log        log.Logger
	now        func() time.Time
	metrics    *kernel.Metrics
	dial       directory.Dial
	replicas   func() []string
	lineBudget *kernel.LogLimiter
	reporters  *directory.Reporters
	rests      *Rests
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
		id: o.ID, log: o.Log, now: o.Now, metrics: o.Metrics, dial: o.Dial, replicas: o.Replicas, rests: o.Rests,
		lineBudget: kernel.NewLogLimiter(maxLinesPerSecond, o.Now), book: NewBook(), borrowers: map[string]*borrower{},
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
			n.logInfo("Invalid statement skipped.", "replica", replica, "err", err)
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
		n.logInfo("Upstream says that it leaves.", append([]any{"upstream", s.Upstream, "incarnation", s.Incarnation}, source...)...)
	}
	if after.Limited != before.Limited || after.PerS != before.PerS {
		n.metrics.Count("gateway.limits.changed")
		n.logInfo("Upstream limit changed.", append([]any{"upstream", s.Upstream, "limited", after.Limited, "per_s", after.PerS,
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

// report implements directory.ReportFunc. A replica that has been told nothing yet gets all
// statements; otherwise it gets those that were heard here, as it has the others itself.
func (n *Node) report(ctx context.Context, replica string, after uint64) (upTo uint64, sent bool, err error) {
	n.mu.Lock()
	list, upTo := n.book.Since(after, MaxStatements)
	n.mu.Unlock()
	if len(list) == 0 {
		return upTo, false, nil
	}
	var own []Statement
	for _, s := range list {
		if after == 0 || s.Source == n.id {
			own = append(own, s)
		}
	}
	if len(own) == 0 {
		return upTo, true, nil
	}
	if err := n.tell(ctx, replica, &wire.TellStatementsRequest{Teller: n.id, Statements: ToWire(n.now(), own)}); err != nil {
		n.logInfo("Reporting statements to a replica failed.", "replica", replica, "statements", len(own), "err", err)
		return after, false, err
	}
	return upTo, true, nil
}

// Blocked returns the upstreams whose limit allows this gateway no request now, with the time until
// it asks for a permit again; nil if there are none.
func (n *Node) Blocked() (list map[string]time.Duration) {
	if n.limited.Load() == 0 {
		return nil
	}
	replicas := n.replicas()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for id, b := range n.borrowers {
		until, blocked := b.blockedUntil(now, replicas)
		if !blocked || !n.book.Get(id).Limited {
			continue
		}
		if list == nil {
			list = map[string]time.Duration{}
		}
		list[id] = until.Sub(now)
	}
	return list
}

// Acquire reports whether a request may be sent to an upstream now. If the upstream has a limit,
// it takes a permit, and asks the replicas for one if none is held; it returns false if none of
// them has one, or ctx ends.
func (n *Node) Acquire(ctx context.Context, upstream string) bool {
	if n.limited.Load() == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for ctx.Err() == nil {
		permit := n.tryAcquire(upstream)
		switch {
		case permit.granted:
			return true
		case permit.refused:
			n.metrics.Count("gateway.limits.permits_refused")
			return false
		case permit.wait != nil:
			select {
			case <-permit.wait:
			case <-ctx.Done():
			}
		default:
			n.borrow(upstream, permit)
		}
	}
	return false
}

// permitStep is what follows of an attempt to take a permit: it is granted or refused, a call that
// is being made must be waited for, or a replica must be asked.
type permitStep struct {
	granted, refused bool
	wait             <-chan struct{}
	replica          string
	perS             float64
	want             int
}

// tryAcquire takes a permit if one is held. Otherwise it says what to do; if that is to ask a
// replica, borrow must follow.
func (n *Node) tryAcquire(upstream string) permitStep {
	replicas := n.replicas()
	n.mu.Lock()
	defer n.mu.Unlock()
	now, s := n.now(), n.book.Get(upstream)
	if !s.Limited {
		return permitStep{granted: true}
	}
	b := n.borrowers[upstream]
	if b == nil {
		b = &borrower{}
		n.borrowers[upstream] = b
	}
	switch {
	case b.take(now):
		return permitStep{granted: true}
	case b.asking != nil:
		return permitStep{wait: b.asking}
	}
	replica, ok := b.next(now, replicas)
	if !ok {
		return permitStep{refused: true}
	}
	b.asking = make(chan struct{})
	return permitStep{replica: replica, perS: s.PerS, want: b.want(now)}
}

// borrow asks a replica for permits, and records its reply. The call goes on if the caller of the
// request leaves: other requests may wait for it, and its end says nothing about the replica.
func (n *Node) borrow(upstream string, step permitStep) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	askedAt := n.now()
	req := &wire.BorrowPermitsRequest{Upstream: upstream, PerS: step.perS, Want: uint32(step.want)}
	reply, err := wire.NewDRPCBackpressureClient(n.dial(ctx, step.replica)).Borrow(ctx, req)
	if err != nil {
		n.logInfo("A permit can't be borrowed.", "replica", step.replica, "upstream", upstream, "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.borrowers[upstream]
	close(b.asking)
	b.asking = nil
	switch {
	case err != nil:
		b.refused(n.now(), step.replica, unreachableDelay)
	case reply.Lent > 0:
		n.metrics.Count("gateway.limits.permits_borrowed")
		b.receive(askedAt, int(reply.Lent))
	default:
		b.refused(n.now(), step.replica, time.Duration(reply.RetryMs)*time.Millisecond)
	}
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

// ownRests returns the rests that this gateway keeps, as many as fit in a message.
func (n *Node) ownRests() (list []*wire.UpstreamRest) {
	for id, left := range n.rests.Left() {
		if len(list) == MaxStatements {
			break
		}
		list = append(list, &wire.UpstreamRest{Upstream: id, Gateway: n.id, LeftMs: uint32(left.Milliseconds())})
	}
	return list
}

// reportRests tells the nearest replica at intervals which rests this gateway keeps, for operators,
// until ctx is done.
func (n *Node) reportRests(ctx context.Context) {
	tick := time.NewTicker(restsReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		rests, replicas := n.ownRests(), n.replicas()
		if len(rests) == 0 || len(replicas) == 0 {
			continue
		}
		if err := n.tell(ctx, replicas[0], &wire.TellStatementsRequest{Teller: n.id, Rests: rests}); err != nil {
			n.logInfo("Reporting rests to a replica failed.", "replica", replicas[0], "rests", len(rests), "err", err)
		}
	}
}

// tell reports to a replica.
func (n *Node) tell(ctx context.Context, replica string, req *wire.TellStatementsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, directory.ReportTimeout)
	defer cancel()
	_, err := wire.NewDRPCBackpressureClient(n.dial(ctx, replica)).Tell(ctx, req)
	return err
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
