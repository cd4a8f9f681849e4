package control_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/snipereach/snipereach/control"
	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

var errDiskFull = errors.New("no space left on device")

// fullDisk is a wal.FS whose writes fail while full is set.
type fullDisk struct {
	wal.FS
	full *atomic.Bool
}

type fullFile struct {
	wal.File
	full *atomic.Bool
}

func (d fullDisk) Create(name string) (wal.File, error) {
	if d.full.Load() {
		return nil, errDiskFull
	}
	f, err := d.FS.Create(name)
	return fullFile{f, d.full}, err
}

func (d fullDisk) Append(name string) (wal.File, error) {
	f, err := d.FS.Append(name)
	return fullFile{f, d.full}, err
}

func (f fullFile) Write(p []byte) (int, error) {
	if f.full.Load() {
		return 0, errDiskFull
	}
	return f.File.Write(p)
}

// acceptNewRow adds a pool row, keyed by the edit ID, and checks that it is accepted.
func (c *cluster) acceptNewRow(id string) {
	c.t.Helper()
	reply := c.edit(poolEdit(id, id, "4", 0))
	assert.Equal(c.t, reply.Status, wire.EditStatus_EDIT_STATUS_ACCEPTED, reply.Detail)
}

// voterNames returns the names of the voters according to the leader, as answered by the
// replica at addr. It is empty if the call fails.
func (c *cluster) voterNames(addr string) map[string]bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	reply, err := wire.NewDRPCControlClient(c.pool.Conn(ctx, addr)).Members(ctx, &wire.MembersRequest{Verb: control.VerbList})
	names := map[string]bool{}
	if err != nil {
		return names
	}
	for _, m := range reply.Members {
		if !m.Learner {
			names[control.ReplicaName(m.Id)] = true
		}
	}
	return names
}

// A replica whose disk was full takes part again once there is space, so that the loss of
// another replica leaves a quorum.
func TestReplicaRecoversAfterDiskFull(t *testing.T) {
	full := make([]atomic.Bool, 3)
	n := -1
	c := newClusterWith(t, 3, func(s *control.Settings) {
		n++
		fs, err := wal.OpenFolder(s.DataDir)
		assert.NilError(t, err)
		s.FS = fullDisk{fs, &full[n]}
	})
	c.acceptNewRow("before")
	full[0].Store(true)
	c.acceptNewRow("while-full")
	full[0].Store(false)
	c.acceptNewRow("after")
	// Without replica 1 there is a majority only if replica 0 is back.
	c.stop(1)
	c.acceptNewRow("without-another")
}

// Two hosts in turn are replaced by hosts with another name, another address and an empty disk.
// Each new replica becomes a voter in place of the lost one.
func TestReplicasOnNewHostsReplaceLostVoters(t *testing.T) {
	c := newClusterWith(t, 3, func(s *control.Settings) { s.Tolerate = &control.Tolerance{Hosts: 1} })
	c.acceptNewRow("first")
	for lost, name := range []string{"c3", "c4"} {
		c.stop(lost)
		c.addReplica()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			v := c.voterNames(c.addrs[2])
			if len(v) == 3 && v[name] {
				return poll.Success()
			}
			return poll.Continue("voters %v", v)
		}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
		c.client = control.NewClient(c.pool, c.addrs, "test")
		c.acceptNewRow("after-" + name)
	}
}

// A replica that has lost its disk becomes a voter again although the leader is not among the
// members that its settings list.
func TestEmptyReplicaJoinsThroughLeaderNotInSettings(t *testing.T) {
	c := newClusterWith(t, 5, func(s *control.Settings) {
		s.Tolerate = &control.Tolerance{Hosts: 2}
		s.Members = s.Members[:3]
	})
	c.acceptNewRow("first")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if v := c.voterNames(c.addrs[0]); len(v) != 5 {
			return poll.Continue("voters %v", v)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	// Stop leaders that the settings list until another replica leads.
	for tries := 0; c.leader() < 3; tries++ {
		assert.Assert(t, tries < 60, "no replica that the settings don't list became the leader")
		listed := c.leader()
		c.stop(listed)
		c.acceptNewRow(fmt.Sprint("lead-", tries))
		c.start(listed)
		c.waitHealth(control.HealthOK)
	}
	lost := 1
	old := c.oldestMemberAt(lost)
	c.stop(lost)
	assert.NilError(t, os.RemoveAll(c.folder(lost)))
	c.start(lost)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m := c.oldestMemberAt(lost)
		if m != nil && m.Id != old.Id && !m.Learner && len(c.voterNames(c.addrs[3])) == 5 {
			return poll.Success()
		}
		return poll.Continue("member %v, before %v", m, old)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
	assert.Assert(t, c.leader() >= 3, "a replica that the settings list became the leader")
}

// oldestMemberAt returns the first member in the membership with the address of replica i, or
// nil.
func (c *cluster) oldestMemberAt(i int) *wire.Member {
	_, members := c.health()
	for _, m := range members {
		if m.Address == c.addrs[i] {
			return m
		}
	}
	return nil
}
