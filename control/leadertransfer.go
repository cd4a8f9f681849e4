package control

import (
	"context"
	"errors"
	"time"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/kernel"
)

const (
	// leaderTransferAttempts bounds a planned leader transfer in election timeouts. Each
	// attempt times out after one, and the first target may fail.
	leaderTransferAttempts     = 3
	leaderTransferPollInterval = 5 * time.Millisecond
)

// Drain prepares a planned stop. If this replica leads, it transfers leadership first, so that
// edits don't wait for an election timeout. It gives up after leaderTransferAttempts election
// timeouts; the other replicas then elect a leader as after a crash. It then hands over its vote.
func (c *Control) Drain(ctx context.Context) {
	r := c.currentReplica()
	if r == nil {
		return
	}
	r.drainLeadership(ctx)
	r.handOverVote(ctx)
}

// drainLeadership transfers leadership, if this replica leads, and logs the outcome.
func (r *Replica) drainLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaderTransferAttempts*r.settings.ElectionTimeout.D())
	defer cancel()
	began := time.Now()
	led, next := r.transferLeadership(ctx)
	switch took := time.Since(began); {
	case led && next != "":
		kernel.Info(r.log, "Leadership was transferred.", "next", next, "took", took)
	case led:
		kernel.Warn(r.log, "Leadership could not be transferred; the other replicas will elect a leader.", "after", took)
	}
}

// transferLeadership transfers leadership and waits until another replica leads and the
// pending calls of this one are answered. It returns whether this replica led, and the ID of
// the new leader if one is known.
func (r *Replica) transferLeadership(ctx context.Context) (led bool, next string) {
	tick := time.NewTicker(leaderTransferPollInterval)
	defer tick.Stop()
	for {
		var st transferState
		err := r.runInLoop(ctx, func() { st = r.transferLeadershipStep(led) })
		led = led || st.leads
		if err != nil || st.done {
			return led, st.next
		}
		select {
		case <-ctx.Done():
			return led, st.next
		case <-tick.C:
		}
	}
}

// transferState is the state of a leader transfer.
type transferState struct {
	// leads reports that this replica still leads and the transfer must go on.
	leads bool
	// next is the ID of the new leader; empty if none is known.
	next string
	done bool
}

// transferLeadershipStep starts or polls a leader transfer in the replica's loop. A transfer
// that timed out is started again, possibly with another target. led says whether this replica
// has led in an earlier step.
func (r *Replica) transferLeadershipStep(led bool) transferState {
	if r.failed != nil {
		return transferState{done: true}
	}
	if r.node.Role() != consensus.Leader {
		// While no leader is known, this replica may still be elected again.
		next := r.node.Leader()
		settled := next != "" && len(r.proposals)+len(r.pendingReads) == 0
		return transferState{next: next, done: !led || settled}
	}
	_, err := r.node.TransferLeadership(r.now())
	// A leader that was just elected again has no live peers yet and must try again.
	giveUp := errors.Is(err, consensus.ErrNoTransferTarget) && !led
	return transferState{leads: !giveUp, done: giveUp}
}
