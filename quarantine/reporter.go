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
	tellGather = 5 * time.Millisecond
	// reportTimeout limits one call, reportRetryDelay is the pause after a failed one, and
	// reportAttempts is the number of calls until the reporter waits for the next change or TellAgain.
	tellTimeout = time.Second
	tellRetry   = 150 * time.Millisecond
	tellTries   = 4
	// forgetInterval is how often obsolete records are dropped.
	forgetInterval = 10 * time.Second
)

// reporter reports to one replica what this node observed. Node.mu guards its version.
type teller struct {
	changed chan struct{}
	// version is the table version up to which the replica has been told.
	version uint64
}

func (t *teller) wake() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Run reports what is observed here to the control replicas until ctx is done. The list that replicas
// returns may change. All replicas are told directly, so that the loss of some of them, or of their
// leader, keeps no suspicion from other entries.
func (n *Node) Run(ctx context.Context, replicas func() []string) {
	go n.forgetNowAndThen(ctx)
	directory.FollowList(ctx, replicas, n.tellReplica)
}

// TellAgain has everything reported to a replica again, because it may have restarted with an empty
// table.
func (n *Node) TellAgain(replica string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.tellers[replica]; t != nil && n.table.Len() > 0 {
		t.version = 0
		t.wake()
	}
}

// reportTo reports to one replica until ctx is done.
func (n *Node) tellReplica(ctx context.Context, addr string) {
	t := &teller{changed: make(chan struct{}, 1)}
	t.wake()
	n.mu.Lock()
	n.tellers[addr] = t
	n.mu.Unlock()
	defer n.dropTeller(addr, t)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.changed:
		}
		pause(ctx, tellGather)
		for try := 0; try < tellTries && !n.tellAll(ctx, addr, t); try++ {
			pause(ctx, tellRetry)
		}
	}
}

func (n *Node) dropTeller(addr string, t *teller) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tellers[addr] == t {
		delete(n.tellers, addr)
	}
}

// reportPending sends a replica everything that it hasn't been told yet. It returns false if a call
// failed.
func (n *Node) tellAll(ctx context.Context, addr string, t *teller) bool {
	for ctx.Err() == nil {
		batch, from := n.untold(t)
		if len(batch.Suspicions) == 0 {
			return true
		}
		if err := n.tellOnce(ctx, addr, batch.Suspicions); err != nil {
			n.tell("Reporting suspicions to a replica failed.", "replica", addr, "suspicions", len(batch.Suspicions), "err", err)
			return false
		}
		n.told(t, from, batch.Version)
	}
	return true
}

// pending returns the next batch that a replica hasn't been told yet, and the version after which it
// begins.
func (n *Node) untold(t *teller) (batch Told, from uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch, from = n.table.Own(n.now(), t.version), t.version
	if len(batch.Suspicions) == 0 {
		t.version = batch.Version
	}
	return batch, from
}

// markReported notes that a replica was told up to version, unless TellAgain has reset the reporter
// since pending returned from.
func (n *Node) told(t *teller, from, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.version == from {
		t.version = version
	}
}

// send sends suspicions to a replica. It clears the requests whose quarantine an operator has lifted,
// as the reply tells.
func (n *Node) tellOnce(ctx context.Context, addr string, list []*wire.Suspicion) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
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
	n.Hear(addr, lifted)
	return nil
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
