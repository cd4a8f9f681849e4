package control_test

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/kernel"
)

// newPlannedCluster returns three replicas with a formed log that presume no silent replica
// dead while the test runs.
func newPlannedCluster(t *testing.T) *cluster {
	c := newClusterWith(t, 3, func(s *control.Settings) {
		s.Tolerate = &control.Tolerance{Hosts: 1}
		s.ReplaceAfter = kernel.Duration(time.Minute)
	})
	c.acceptNewRow("first")
	c.waitHealth(control.HealthOK)
	return c
}

// addCaughtUpReplica starts a further replica and waits until the leader knows that it has
// caught up.
func (c *cluster) addCaughtUpReplica() {
	c.t.Helper()
	i := c.addReplica()
	c.waitCaughtUp(i)
	c.client = control.NewClient(c.pool, c.addrs, "test")
}

// waitCaughtUp waits until the leader knows that a learner has caught up.
func (c *cluster) waitCaughtUp(i int) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		_, members := c.health()
		for _, m := range members {
			if m.Address == c.addrs[i] && m.Learner && m.CaughtUp {
				return poll.Success()
			}
		}
		return poll.Continue("%v", members)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
}

// stopAsPlanned drains a replica and stops it for good.
func (c *cluster) stopAsPlanned(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.running[i].ctl.Drain(ctx)
	c.stop(i)
}

// The log ends if a replica that stops as planned keeps its vote although a caught-up replica
// could take it, and another host is lost right after.
func TestLossRightAfterPlannedReplacement(t *testing.T) {
	for name, stopLeader := range map[string]bool{"leader": true, "follower": false} {
		t.Run(name, func(t *testing.T) {
			c := newPlannedCluster(t)
			c.addCaughtUpReplica()
			stopped := c.leader()
			if !stopLeader {
				stopped = (stopped + 1) % 3
			}
			c.stopAsPlanned(stopped)
			lost := (stopped + 1) % 3
			c.stop(lost)
			assert.NilError(t, os.RemoveAll(c.folder(lost)))
			c.acceptNewRow("while-lost")
			c.start(lost)
			c.waitHealth(control.HealthOK)
			assert.Equal(t, len(c.rows()), 2)
		})
	}
}

// The log ends if two replicas that are replaced as planned side by side keep their votes.
func TestTwoPlannedReplacementsSideBySide(t *testing.T) {
	c := newPlannedCluster(t)
	c.addCaughtUpReplica()
	c.addCaughtUpReplica()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.stopAsPlanned(0)
	}()
	c.stopAsPlanned(1)
	<-done
	c.acceptNewRow("after-both")
	c.waitHealth(control.HealthOK)
	assert.Equal(t, len(c.rows()), 2)
}

// Replicas that restart in turn must stay voters if no other replica could take their votes;
// with fewer voters the next loss would end the log. The drain must not wait either.
func TestRestartsInTurnKeepTheVoters(t *testing.T) {
	c := newPlannedCluster(t)
	for i := range 3 {
		began := time.Now()
		c.stopAsPlanned(i)
		assert.Assert(t, time.Since(began) < 3*time.Second, "stop took %v", time.Since(began))
		c.start(i)
		members := c.waitHealth(control.HealthOK)
		assert.Equal(t, len(members), 3)
		for _, m := range members {
			assert.Assert(t, !m.Learner, "%v", m)
		}
	}
}

// A replica that has handed over its vote and starts again must join as a learner and be able to
// take the vote of the next one that stops.
func TestVoteMovesAroundWhileReplicasRestart(t *testing.T) {
	c := newPlannedCluster(t)
	c.addCaughtUpReplica()
	for i := range 4 {
		c.stopAsPlanned(i)
		members := c.waitHealth(control.HealthOK)
		for _, m := range members {
			assert.Assert(t, m.Learner || m.Address != c.addrs[i], "a stopped replica is still a voter: %v", m)
		}
		c.start(i)
		c.waitCaughtUp(i)
	}
	c.acceptNewRow("last")
}
