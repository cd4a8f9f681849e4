package control

import (
	"context"
	"errors"
	"time"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/kernel"
)

const (
	// handoverAttempts bounds a handover in election timeouts: the first target may
	// die, and each transfer is given up after one.
	handoverAttempts = 3
	handoverPoll     = 5 * time.Millisecond
)

// Drain prepares a planned stop: if this replica leads, another takes over
// first, so that edits don't wait for an election timeout. It gives up after a
// bounded time; then the others elect a leader as after a crash.
func (c *Control) Drain(ctx context.Context) {
	r := c.current()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverAttempts*c.settings.ElectionTimeout.D())
	defer cancel()
	began := time.Now()
	led := r.handOver(ctx)
	if !led {
		return
	}
	_ = r.do(ctx, func() {
		kernel.Info(r.log, "Planned stop of the leader.", "next", r.node.Leader(), "took", time.Since(began))
	})
}

// handOver hands leadership over and waits until another leads and what was
// proposed here is answered. It returns whether this replica led.
func (r *Replica) handOver(ctx context.Context) (led bool) {
	tick := time.NewTicker(handoverPoll)
	defer tick.Stop()
	for {
		done := true
		if err := r.do(ctx, func() { done = r.handOverStep(&led) }); err != nil || done {
			return led
		}
		select {
		case <-ctx.Done():
			return led
		case <-tick.C:
		}
	}
}

// handOverStep is one look at a handover in the replica's loop. A transfer that
// was given up is tried again, maybe with another target.
func (r *Replica) handOverStep(led *bool) (done bool) {
	if r.failed != nil {
		return true
	}
	if r.node.Role() != consensus.Leader {
		// Without a leader, one that led may still be elected again.
		settled := r.node.Leader() != "" && len(r.waiting)+len(r.reads) == 0
		return !*led || settled
	}
	_, err := r.node.Transfer(r.now())
	// Just after it was elected again, a leader hasn't heard from anyone yet.
	if errors.Is(err, consensus.ErrNoTarget) && !*led {
		return true
	}
	*led = true
	return false
}
