package quarantine

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// forgetInterval is how often obsolete records are dropped.
const forgetInterval = 10 * time.Second

// Run reports what is observed here to the control replicas until ctx is done. The list that replicas
// returns may change.
func (n *Node) Run(ctx context.Context, replicas func() []string) {
	go n.forgetPeriodically(ctx)
	n.reporters.Run(ctx, replicas)
}

// ReportAll has everything reported to a replica again, because it may have restarted with an empty
// table.
func (n *Node) ReportAll(replica string) {
	if n.recordCount.Load() > 0 {
		n.reporters.Repeat(replica)
	}
}

// report implements directory.ReportFunc.
func (n *Node) report(ctx context.Context, replica string, after uint64) (upTo uint64, sent bool, err error) {
	n.mu.Lock()
	batch := n.table.LocalSince(n.now(), after)
	n.mu.Unlock()
	if len(batch.Suspicions) == 0 {
		return batch.Version, false, nil
	}
	if err := n.send(ctx, replica, batch.Suspicions); err != nil {
		n.lines.Info("Reporting suspicions to a replica failed.", "replica", replica, "suspicions", len(batch.Suspicions), "err", err)
		return after, false, err
	}
	return batch.Version, true, nil
}

// send sends suspicions to a replica. It clears the requests whose quarantine an operator has lifted,
// as the reply tells.
func (n *Node) send(ctx context.Context, addr string, list []*wire.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, directory.ReportTimeout)
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
