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

// The leader is stopped as planned while operators edit. Each edit is accepted,
// and another replica leads before the first one's process ends: the election
// timeout is far longer than the test, so it can't have been an election.
func TestPlannedStopHandsLeadershipOver(t *testing.T) {
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
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			key := fmt.Sprintf("p%d", i)
			replies[i], _ = c.client.Edit(ctx, poolEdit(key, key, "9", 0))
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c.running[old].ctl.Drain(ctx)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, c.leader() != old, "another leads while the first still runs")
	c.stop(old)
	wg.Wait()
	for i, r := range replies {
		assert.Assert(t, r != nil, "edit %d was not decided", i)
		assert.Equal(t, r.Status, wire.EditStatus_EDIT_STATUS_ACCEPTED, r.Detail)
	}
	c.accept(poolEdit("b", "lm", "9", 1))
	assert.Equal(t, len(c.rows()), edits+1)
}

// The only replica, one that follows, and one that belongs to no cluster yet have
// nothing to hand over: their stop doesn't wait.
func TestPlannedStopWithoutAHandoverDoesNotWait(t *testing.T) {
	c := newClusterWith(t, 3, func(s *control.Settings) { s.ElectionTimeout = kernel.Duration(time.Minute) })
	c.accept(poolEdit("a", "lm", "8", 0))
	c.waitHealth(control.HealthOK)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// The leader is stopped as planned just after another replica died, which it may
// still take for live and choose. The stop ends all the same, and edits go on.
func TestPlannedStopEndsWhenTheTargetIsDead(t *testing.T) {
	c := newCluster(t, 3)
	c.accept(poolEdit("a", "lm", "8", 0))
	c.waitHealth(control.HealthOK)
	leader := c.leader()
	for i := range 2 {
		dead := (leader + 1 + i) % 3
		c.stop(dead)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		c.running[leader].ctl.Drain(ctx)
		assert.NilError(t, ctx.Err())
		cancel()
		c.accept(poolEdit(fmt.Sprint("b", i), "lm", "9", uint64(i+1)))
		c.start(dead)
		c.waitHealth(control.HealthOK)
		leader = c.leader()
	}
}
