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

var errFull = errors.New("no space left on device")

// fullDisk is a folder that refuses every write while it is full.
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
		return nil, errFull
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
		return 0, errFull
	}
	return f.File.Write(p)
}

// edited waits until an edit is accepted.
func (c *cluster) edited(id string) {
	c.t.Helper()
	reply := c.edit(poolEdit(id, id, "4", 0))
	assert.Equal(c.t, reply.Status, wire.EditStatus_EDIT_STATUS_ACCEPTED, reply.Detail)
}

// voters returns the voters by their names, as the leader sees them.
func (c *cluster) voters(addr string) map[string]bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	reply, err := wire.NewDRPCControlClient(c.pool.Conn(ctx, addr)).Members(ctx, &wire.MembersRequest{Verb: control.VerbList})
	names := map[string]bool{}
	if err != nil {
		return names
	}
	for _, m := range reply.Members {
		if !m.Learner {
			names[control.NameOf(m.Id)] = true
		}
	}
	return names
}

// A disk takes no more bytes for a while. Edits go on with the other replicas, and the
// one with the full disk takes part again once there is space, by itself: another loss
// after that leaves a quorum.
func TestReplicaComesBackAfterItsDiskWasFull(t *testing.T) {
	full := make([]atomic.Bool, 3)
	n := -1
	c := newClusterWith(t, 3, func(s *control.Settings) {
		n++
		fs, err := wal.OpenFolder(s.DataDir)
		assert.NilError(t, err)
		s.FS = fullDisk{fs, &full[n]}
	})
	c.edited("before")
	full[0].Store(true)
	c.edited("while-full")
	full[0].Store(false)
	c.edited("after")
	// Only with replica 0 back is there a majority.
	c.stop(1)
	c.edited("without-another")
}

// A host is lost for good and another one comes with an empty disk, another name and
// another address. It becomes a voter and the lost one goes, so that the next loss
// leaves a quorum; twice in a row.
func TestHostsAreReplacedByOthers(t *testing.T) {
	c := newClusterWith(t, 3, func(s *control.Settings) { s.Tolerate = &control.Tolerance{Hosts: 1} })
	c.edited("first")
	for lost, name := range []string{"c3", "c4"} {
		c.stop(lost)
		c.addrs = append(c.addrs, heldAddress(t))
		c.running = append(c.running, nil)
		i := len(c.addrs) - 1
		c.start(i)
		t.Cleanup(func() { c.stop(i) })
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			v := c.voters(c.addrs[2])
			if len(v) == 3 && v[name] {
				return poll.Success()
			}
			return poll.Continue("voters %v", v)
		}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
		c.client = control.NewClient(c.pool, c.addrs, "test")
		c.edited("after-" + name)
	}
}

// Five replicas, of which the settings of each name three only. One of them leads that
// isn't named, and another loses its disk. It comes back empty, knows nobody but the
// three, and becomes a voter all the same: the two losses that are to be borne next
// leave a quorum, and nothing that callers were told is lost.
func TestEmptyReplicaFindsALeaderThatItsSettingsDontName(t *testing.T) {
	c := newClusterWith(t, 5, func(s *control.Settings) {
		s.Tolerate = &control.Tolerance{Hosts: 2}
		s.Members = s.Members[:3]
	})
	c.edited("first")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if v := c.voters(c.addrs[0]); len(v) != 5 {
			return poll.Continue("voters %v", v)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	// Whoever leads and is named gives way until another leads.
	for tries := 0; c.leader() < 3; tries++ {
		assert.Assert(t, tries < 60, "no replica leads that the settings don't name")
		named := c.leader()
		c.stop(named)
		c.edited(fmt.Sprint("lead-", tries))
		c.start(named)
		c.waitHealth(control.HealthOK)
	}
	lost := 1
	old := c.memberAt(lost)
	c.stop(lost)
	assert.NilError(t, os.RemoveAll(c.folder(lost)))
	c.start(lost)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m := c.memberAt(lost)
		if m != nil && m.Id != old.Id && !m.Learner && len(c.voters(c.addrs[3])) == 5 {
			return poll.Success()
		}
		return poll.Continue("member %v, before %v", m, old)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
	assert.Assert(t, c.leader() >= 3, "another replica leads, which the settings name")
}

// memberAt is the member at a replica's address that is known longest; nil if none is.
func (c *cluster) memberAt(i int) *wire.Member {
	_, members := c.health()
	for _, m := range members {
		if m.Address == c.addrs[i] {
			return m
		}
	}
	return nil
}
