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
	led, next := r.handOver(ctx)
	switch took := time.Since(began); {
	case led && next != "":
		kernel.Info(r.log, "Handed leadership over.", "next", next, "took", took)
	case led:
		kernel.Warn(r.log, "Leadership could not be handed over. The others will elect a leader.", "after", took)
	}
}

// handOver hands leadership over and waits until another leads and what was
// proposed here is answered. It returns whether this replica led, and who leads
// now if another does.
func (r *Replica) handOver(ctx context.Context) (led bool, next string) {
	tick := time.NewTicker(handoverPoll)
	defer tick.Stop()
	for {
		var h handover
		err := r.do(ctx, func() { h = r.handOverStep(led) })
		led = led || h.leads
		if err != nil || h.done {
			return led, h.next
		}
		select {
		case <-ctx.Done():
			return led, h.next
		case <-tick.C:
		}
	}
}

// handover is how a handover stands.
type handover struct {
	leads bool
	next  string
	done  bool
}

// handOverStep is one look at a handover in the replica's loop. A transfer that
// was given up is tried again, maybe with another target.
func (r *Replica) handOverStep(led bool) handover {
	if r.failed != nil {
		return handover{done: true}
	}
	if r.node.Role() != consensus.Leader {
		// Without a leader, one that led may still be elected again.
		next := r.node.Leader()
		settled := next != "" && len(r.waiting)+len(r.reads) == 0
		return handover{next: next, done: !led || settled}
	}
	_, err := r.node.Transfer(r.now())
	// Just after it was elected again, a leader hasn't heard from anyone yet.
	alone := errors.Is(err, consensus.ErrNoTarget) && !led
	return handover{leads: !alone, done: alone}
}
