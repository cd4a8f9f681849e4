package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Draining a leader transfers leadership, and concurrent edits are all accepted. The election
// timeout is longer than the test, so the new leader can't come from an ordinary election.
func TestDrainTransfersLeadership(t *testing.T) {
	c := newClusterWith(t, 3, func(s *control.Settings) { s.ElectionTimeout = kernel.Duration(time.Minute) })
	c.accept(poolEdit("a", "lm", "8", 0))
	c.waitHealth(control.HealthOK)
	old := c.leader()
	const edits = 24
	replies := make([]*wire.EditReply, edits)
	var wg sync.WaitGroup
	for i := range edits {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			key := fmt.Sprintf("p%d", i)
			replies[i], _ = c.client.Edit(ctx, poolEdit(key, key, "9", 0))
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.running[old].ctl.Drain(ctx)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, c.leader() != old, "no other replica leads after the drain")
	c.stop(old)
	wg.Wait()
	for i, r := range replies {
		assert.Assert(t, r != nil, "edit %d was not decided", i)
		assert.Equal(t, r.Status, wire.EditStatus_EDIT_STATUS_ACCEPTED, r.Detail)
	}
	c.accept(poolEdit("b", "lm", "9", 1))
	assert.Equal(t, len(c.rows()), edits+1)
}

// Draining a follower or the only replica of a cluster returns at once and changes no leader.
func TestDrainReturnsAtOnceWithoutTransfer(t *testing.T) {
	c := newClusterWith(t, 3, func(s *control.Settings) { s.ElectionTimeout = kernel.Duration(time.Minute) })
	c.accept(poolEdit("a", "lm", "8", 0))
	c.waitHealth(control.HealthOK)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	leader := c.leader()
	c.running[(leader+1)%3].ctl.Drain(ctx)
	assert.NilError(t, ctx.Err())
	assert.Equal(t, c.leader(), leader)

	alone := newCluster(t, 1)
	alone.accept(poolEdit("a", "lm", "8", 0))
	alone.running[0].ctl.Drain(ctx)
	assert.NilError(t, ctx.Err())
	alone.accept(poolEdit("b", "lm", "9", 1))
}

// Draining a leader ends even if the transfer target has just died but still counts as live.
// Edits are accepted afterwards.
func TestDrainEndsWhenTransferTargetIsDead(t *testing.T) {
	c := newCluster(t, 3)
	c.accept(poolEdit("a", "lm", "8", 0))
	c.waitHealth(control.HealthOK)
	leader := c.leader()
	for i := range 2 {
		dead := (leader + 1 + i) % 3
		c.stop(dead)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		c.running[leader].ctl.Drain(ctx)
		assert.NilError(t, ctx.Err())
		cancel()
		c.accept(poolEdit(fmt.Sprint("b", i), "lm", "9", uint64(i+1)))
		c.start(dead)
		c.waitHealth(control.HealthOK)
		leader = c.leader()
	}
}
