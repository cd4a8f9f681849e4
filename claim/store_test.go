package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

type fixedIncarnation uint64

func (l fixedIncarnation) ToWire() *wire.Incarnation {
	return &wire.Incarnation{Id: "e0", Number: uint64(l)}
}
func (fixedIncarnation) RaiseAbove(uint64) bool { return false }

// testHost is an entry host with a disk. It runs one node at a time.
type testHost struct {
	t           *testing.T
	fs          wal.FS
	now         time.Time
	incarnation uint64
	ring        *wire.Ring
	node        *Node
	forgotCause error
	failedCause error
}

func newTestHost(t *testing.T, fs wal.FS) *testHost {
	h := &testHost{t: t, fs: fs, now: time.Unix(1000, 0)}
	h.start()
	h.ring = &wire.Ring{Epoch: 1}
	for i := range RegistersPerKey {
		m := &wire.RingMember{Id: entryID(i), FailureDomain: fmt.Sprint("hall-", i)}
		if i == 0 {
			m.Incarnation = h.node.RegisterStatus().Life
		}
		h.ring.Members = append(h.ring.Members, m)
	}
	h.node.SetRing(h.ring, 0, h.now)
	return h
}

// start starts a new process on the host.
func (h *testHost) start() {
	h.incarnation += 1000
	h.forgotCause, h.failedCause = nil, nil
	dial := func(context.Context, string) drpc.Conn { return nil }
	h.node = NewNode(DefaultRegisterSettings(), fixedIncarnation(h.incarnation), dial, func() time.Time { return h.now })
	assert.NilError(h.t, h.node.Open(h.fs, FolderEvents{
		Discarded:   func(cause error) { h.forgotCause = cause },
		WriteFailed: func(cause error) { h.failedCause = cause },
	}))
	h.node.SetRing(h.ring, 0, h.now)
}

// restart closes the process, loses what its disk hasn't synced, and starts another.
func (h *testHost) restart() {
	h.node.Close()
	if d, ok := h.fs.(*fake.Disk); ok {
		d.Crash(0)
	}
	h.start()
}

func (h *testHost) grant(key, request string) *wire.ClaimReply {
	reply, err := h.node.Grant(context.Background(), &wire.ClaimRequest{
		Key: &wire.ClaimKey{Team: "t", Service: "s", Key: key}, RequestId: request, RingEpoch: 1, TtlMs: 60_000,
	})
	assert.NilError(h.t, err)
	return reply
}

// applySeenFromPeers passes the same report to the register from both peers.
func (h *testHost) applySeenFromPeers(seen *wire.ClaimSeen) {
	for i := 1; i < RegistersPerKey; i++ {
		h.node.applySeen(entryID(i), seen)
	}
}

// After a restart a register refuses a granted key to a resend, and grants other keys once
// its peers have reported the grants that they have seen.
func TestRestartWithFolderKeepsGrants(t *testing.T) {
	for name, fs := range map[string]wal.FS{"fake": fake.NewDisk(), "real": openTempFolder(t)} {
		t.Run(name, func(t *testing.T) {
			h := newTestHost(t, fs)
			first := h.grant("bid", "a")
			assert.Assert(t, first.Granted)
			h.restart()
			assert.NilError(t, h.forgotCause)
			assert.Assert(t, h.grant("other", "b").Forgetful, "no peer has reported yet")
			h.applySeenFromPeers(&wire.ClaimSeen{Life: first.Self, Sequence: first.Sequence})
			assert.Assert(t, h.node.CanGrant())
			assert.Equal(t, h.grant("bid", "b").Record.GetHolder(), "a")
			assert.Assert(t, h.grant("other", "b").Granted)
			h.node.Close()
		})
	}
}

func openTempFolder(t *testing.T) wal.FS {
	fs, err := wal.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	return fs
}

// With one of two peers lost, the report of the other one is enough after
// RollbackCheckPeriod, but not before.
func TestOnePeerIsEnoughAfterCheckPeriod(t *testing.T) {
	h := newTestHost(t, fake.NewDisk())
	assert.Assert(t, h.grant("bid", "a").Granted)
	h.restart()
	h.node.applySeen("e1", &wire.ClaimSeen{})
	assert.Assert(t, !h.node.CanGrant())
	h.now = h.now.Add(RollbackCheckPeriod)
	assert.Assert(t, h.node.CanGrant())
	h.node.Close()
}

// A host restarts with an older copy of its folder, or an empty one, which lacks a grant
// that the peers have seen. The register must start a new incarnation and grant nothing,
// or it would grant the key twice.
func TestOlderOrEmptyFolderStartsNewIncarnation(t *testing.T) {
	disk := fake.NewDisk()
	h := newTestHost(t, disk)
	h.grant("bid-1", "a")
	copied := disk.Clone()
	last := h.grant("bid-2", "a")
	seen := &wire.ClaimSeen{Life: last.Self, Sequence: last.Sequence}
	h.node.Close()
	for name, fs := range map[string]*fake.Disk{"older": copied, "empty": fake.NewDisk()} {
		t.Run(name, func(t *testing.T) {
			h.fs = fs
			h.start()
			h.applySeenFromPeers(seen)
			assert.Assert(t, h.node.RegisterStatus().Life > seen.Life.Number)
			assert.Assert(t, h.grant("bid-2", "b").Forgetful)
			assert.Equal(t, errors.Is(h.forgotCause, ErrRolledBack), name == "older")
			// The new incarnation is durable: the next process keeps it.
			incarnation := h.node.RegisterStatus().Life
			h.restart()
			h.applySeenFromPeers(seen)
			assert.Equal(t, h.node.RegisterStatus().Life, incarnation)
			assert.Assert(t, h.grant("bid-2", "b").Forgetful)
			h.node.Close()
		})
	}
}

// For any flipped bit, the register reports ErrCorrupt and starts without records, and
// never with records other than those that were written.
func TestDamagedFolderIsDiscarded(t *testing.T) {
	disk := fake.NewDisk()
	h := newTestHost(t, disk)
	h.grant("bid-1", "a")
	h.grant("bid-2", "a")
	h.node.Close()
	names, err := disk.List()
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1)
	for bit := range disk.Size(names[0]) * 8 {
		damaged := disk.Clone()
		damaged.FlipBit(names[0], bit)
		h.fs = damaged
		h.start()
		assert.ErrorIs(t, h.forgotCause, wal.ErrCorrupt)
		assert.Assert(t, h.grant("bid-1", "b").Forgetful)
		h.node.Close()
		left, err := damaged.List()
		assert.NilError(t, err)
		assert.Equal(t, len(left), 1, "the damaged file is dropped")
	}
}

// A power loss tears the write of a grant that wasn't returned to the caller. Earlier
// grants are kept.
func TestTornWriteIsTruncated(t *testing.T) {
	for keep := range 40 {
		disk := fake.NewDisk()
		h := newTestHost(t, disk)
		assert.Assert(t, h.grant("bid-1", "a").Granted)
		disk.FailSync = true
		assert.Assert(t, !h.grant("bid-2", "a").Granted)
		h.node.Close()
		disk.Crash(keep)
		h.start()
		assert.NilError(t, h.forgotCause)
		h.applySeenFromPeers(&wire.ClaimSeen{})
		assert.Equal(t, h.grant("bid-1", "b").Record.GetHolder(), "a")
		h.node.Close()
	}
}

// After a failed sync or a full disk the register replies Full from then on, even if the
// next write would succeed.
func TestDiskFailureStopsGranting(t *testing.T) {
	for name, fail := range map[string]func(*fake.Disk){
		"sync": func(d *fake.Disk) { d.FailSync = true },
		"full": func(d *fake.Disk) { d.Full = true },
	} {
		t.Run(name, func(t *testing.T) {
			disk := fake.NewDisk()
			h := newTestHost(t, disk)
			fail(disk)
			for range 2 {
				reply := h.grant("bid", "a")
				assert.Assert(t, !reply.Granted && reply.Full && reply.Forgetful)
				disk.Full = false
			}
			assert.Assert(t, h.failedCause != nil && h.node.WriteFailed())
			assert.Assert(t, !h.node.RegisterStatus().Durable)
			h.node.Close()
		})
	}
}

func TestSecondProcessOnFolderIsRefused(t *testing.T) {
	fs := openTempFolder(t)
	h := newTestHost(t, fs)
	defer h.node.Close()
	second := NewNode(DefaultRegisterSettings(), fixedIncarnation(5), nil, time.Now)
	assert.ErrorContains(t, second.Open(fs, FolderEvents{}), wal.ErrLocked.Error())
}

// The folder holds the records of no more than one time to live and one file period.
func TestFolderSizeIsBounded(t *testing.T) {
	disk := fake.NewDisk()
	h := newTestHost(t, disk)
	ttl := DefaultRegisterSettings().MaxTTL
	most := int64(0)
	for n := range 400 {
		h.now = h.now.Add(ttl / 40)
		assert.Assert(t, h.grant(fmt.Sprint("bid-", n), "a").Granted)
		most = max(most, h.node.store.log.Bytes())
	}
	assert.Assert(t, most < 55*200, "%d bytes", most)
	h.restart()
	h.applySeenFromPeers(&wire.ClaimSeen{})
	assert.Equal(t, h.grant("bid-399", "b").Record.GetHolder(), "a")
	names, err := disk.List()
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1, strings.Join(names, " "))
	h.node.Close()
}

// A register that restarted with its folder has no answer body. A resend gets the answer
// from another register, whichever replies first.
func TestResendGetsAnswerKeptByAnotherRegister(t *testing.T) {
	ring := newRing(RegistersPerKey)
	c := NewRound(ring, claimRequest("resent").Key, false)
	rec := func(a *wire.StoredAnswer) *wire.ClaimReply {
		return &wire.ClaimReply{RingEpoch: 1, Record: &wire.ClaimRecord{State: wire.ClaimState_CLAIM_STATE_ANSWERED, Answer: a}}
	}
	c.AddReply(entryID(0), rec(&wire.StoredAnswer{Dropped: true}))
	v, _ := c.Verdict()
	assert.Equal(t, v, Pending)
	c.AddReply(entryID(1), rec(&wire.StoredAnswer{Body: []byte("sold")}))
	v, got := c.Verdict()
	assert.Equal(t, v, Settled)
	assert.Equal(t, string(got.Answer.Body), "sold")
}

// A peer copied from this register, which then restarts. Its replies must still name the
// peer's incarnation, so that a round doesn't count a grant of an earlier one.
func TestRestartKeepsIncarnationsThatCopied(t *testing.T) {
	h := newTestHost(t, fake.NewDisk())
	assert.Assert(t, h.grant("bid-1", "a").Granted)
	h.node.reg.CopyRecords(h.now, &wire.ClaimCopyRequest{From: &wire.Incarnation{Id: "e1", Number: 77}, RingEpoch: 1})
	assert.NilError(t, h.node.queueWrites(true).wait())
	h.restart()
	h.applySeenFromPeers(&wire.ClaimSeen{})
	reply := h.grant("bid-2", "a")
	assert.Assert(t, reply.Granted)
	assert.Equal(t, len(reply.Known), 1)
	assert.Equal(t, reply.Known[0].Number, uint64(77))
	h.node.Close()
}
