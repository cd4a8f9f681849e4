package quarantine

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// reportDelay is the time for which suspicions are batched: all requests that ran at a crashed
	// upstream are known within milliseconds.
	reportDelay = 5 * time.Millisecond
	// reportTimeout limits one call, reportRetryDelay is the pause after a failed one, and
	// reportAttempts is the number of calls until the reporter waits for the next change or ReportAll.
	reportTimeout    = time.Second
	reportRetryDelay = 150 * time.Millisecond
	reportAttempts   = 4
	// forgetInterval is how often obsolete records are dropped.
	forgetInterval = 10 * time.Second
)

// reporter reports to one replica what this node observed. Node.mu guards its version.
type reporter struct {
	changed chan struct{}
	// version is the table version up to which the replica has been told.
	version uint64
}

func (r *reporter) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run reports what is observed here to the control replicas until ctx is done. The list that replicas
// returns may change. All replicas are told directly, so that the loss of some of them, or of their
// leader, keeps no suspicion from other entries.
func (n *Node) Run(ctx context.Context, replicas func() []string) {
	go n.forgetPeriodically(ctx)
	directory.FollowList(ctx, replicas, n.reportTo)
}

// ReportAll has everything reported to a replica again, because it may have restarted with an empty
// table.
func (n *Node) ReportAll(replica string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.reporters[replica]; r != nil && n.table.Len() > 0 {
		r.version = 0
		r.notify()
	}
}

// reportTo reports to one replica until ctx is done.
func (n *Node) reportTo(ctx context.Context, addr string) {
	r := &reporter{changed: make(chan struct{}, 1)}
	r.notify()
	n.mu.Lock()
	n.reporters[addr] = r
	n.mu.Unlock()
	defer n.dropReporter(addr, r)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
		}
		pause(ctx, reportDelay)
		for attempt := 0; attempt < reportAttempts && !n.reportPending(ctx, addr, r); attempt++ {
			pause(ctx, reportRetryDelay)
		}
	}
}

func (n *Node) dropReporter(addr string, r *reporter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reporters[addr] == r {
		delete(n.reporters, addr)
	}
}

// reportPending sends a replica everything that it hasn't been told yet. It returns false if a call
// failed.
func (n *Node) reportPending(ctx context.Context, addr string, r *reporter) bool {
	for ctx.Err() == nil {
		batch, from := n.pending(r)
		if len(batch.Suspicions) == 0 {
			return true
		}
		if err := n.send(ctx, addr, batch.Suspicions); err != nil {
			n.logInfo("Reporting suspicions to a replica failed.", "replica", addr, "suspicions", len(batch.Suspicions), "err", err)
			return false
		}
		n.markReported(r, from, batch.Version)
	}
	return true
}

// pending returns the next batch that a replica hasn't been told yet, and the version after which it
// begins.
func (n *Node) pending(r *reporter) (batch Batch, from uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch, from = n.table.LocalSince(n.now(), r.version), r.version
	if len(batch.Suspicions) == 0 {
		r.version = batch.Version
	}
	return batch, from
}

// markReported notes that a replica was told everything up to version, unless ReportAll has reset the
// reporter since pending returned from.
func (n *Node) markReported(r *reporter, from, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.version == from {
		r.version = version
	}
}

// send sends suspicions to a replica. It clears the requests whose quarantine an operator has lifted,
// as the reply tells.
func (n *Node) send(ctx context.Context, addr string, list []*wire.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req := &wire.TellSuspicionsRequest{Teller: n.id, Suspicions: list}
	reply, err := wire.NewDRPCQuarantineClient(n.dial(ctx, addr)).Tell(ctx, req)
	if err != nil {
		return err
	}
	kernel.Debug(n.log, "Suspicions reported to a replica.", "replica", addr, "suspicions", len(list), "lifted", len(reply.Lifted))
	var lifted []*wire.Suspicion
	for _, key := range reply.Lifted {
		lifted = append(lifted, &wire.Suspicion{Key: key, Cleared: true})
	}
	n.ApplyReport(addr, lifted)
	return nil
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
