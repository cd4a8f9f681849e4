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

type fixedLife uint64

func (l fixedLife) Wire() *wire.Incarnation { return &wire.Incarnation{Id: "e0", Number: uint64(l)} }
func (fixedLife) Supersede(uint64) bool     { return false }

// host is an entry host with a disk, on which one node at a time runs.
type host struct {
	t      *testing.T
	fs     wal.FS
	now    time.Time
	life   uint64
	ring   *wire.Ring
	node   *Node
	forgot error
	failed error
}

func newHost(t *testing.T, fs wal.FS) *host {
	h := &host{t: t, fs: fs, now: time.Unix(1000, 0)}
	h.start()
	h.ring = &wire.Ring{Epoch: 1}
	for i := range Copies {
		m := &wire.RingMember{Id: id(i), FailureDomain: fmt.Sprint("hall-", i)}
		if i == 0 {
			m.Incarnation = h.node.Register().Life
		}
		h.ring.Members = append(h.ring.Members, m)
	}
	h.node.SetRing(h.ring, 0, h.now)
	return h
}

// start starts a process on the host.
func (h *host) start() {
	h.life += 1000
	h.forgot, h.failed = nil, nil
	dial := func(context.Context, string) drpc.Conn { return nil }
	h.node = NewNode(DefaultRegisterSettings(), fixedLife(h.life), dial, func() time.Time { return h.now })
	assert.NilError(h.t, h.node.Open(h.fs, Events{
		Forgot: func(cause error) { h.forgot = cause },
		Failed: func(cause error) { h.failed = cause },
	}))
	h.node.SetRing(h.ring, 0, h.now)
}

// restart ends the process, which has its whole say, and starts another.
func (h *host) restart() {
	h.node.Close()
	if d, ok := h.fs.(*fake.Disk); ok {
		d.Crash(0)
	}
	h.start()
}

func (h *host) grant(key, request string) *wire.ClaimReply {
	reply, err := h.node.Grant(context.Background(), &wire.ClaimRequest{
		Key: &wire.ClaimKey{Team: "t", Service: "s", Key: key}, RequestId: request, RingEpoch: 1, TtlMs: 60_000,
	})
	assert.NilError(h.t, err)
	return reply
}

// peersSaw tells the register what both its peers saw of it.
func (h *host) peersSaw(seen *wire.ClaimSeen) {
	for i := 1; i < Copies; i++ {
		h.node.takeSeen(id(i), seen)
	}
}

// A process is killed after its register granted a bid. The next one refuses the
// bid to a resend as soon as its peers have said that the folder is no older
// copy, and grants others.
func TestRestartOnItsFolderForgetsNothing(t *testing.T) {
	for name, fs := range map[string]wal.FS{"fake": fake.NewDisk(), "real": realFolder(t)} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, fs)
			first := h.grant("bid", "a")
			assert.Assert(t, first.Granted)
			h.restart()
			assert.NilError(t, h.forgot)
			assert.Assert(t, h.grant("other", "b").Forgetful, "no peer was heard")
			h.peersSaw(&wire.ClaimSeen{Life: first.Self, Sequence: first.Sequence})
			assert.Assert(t, h.node.Granting())
			assert.Equal(t, h.grant("bid", "b").Record.GetHolder(), "a")
			assert.Assert(t, h.grant("other", "b").Granted)
			h.node.Close()
		})
	}
}

func realFolder(t *testing.T) wal.FS {
	fs, err := wal.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	return fs
}

// One peer of three is lost for good. The other one's word is enough, but only
// after the lost one had its time.
func TestOnePeerIsEnoughAfterAWhile(t *testing.T) {
	h := newHost(t, fake.NewDisk())
	assert.Assert(t, h.grant("bid", "a").Granted)
	h.restart()
	h.node.takeSeen("e1", &wire.ClaimSeen{})
	assert.Assert(t, !h.node.Granting())
	h.now = h.now.Add(CheckPeriod)
	assert.Assert(t, h.node.Granting())
	h.node.Close()
}

// A host comes back with yesterday's copy of its disk, or an empty one. A grant
// that the copy lacks would be given twice; a peer knows of it, so the register
// has forgotten and takes a new life.
func TestOlderAndEmptyFoldersHaveForgotten(t *testing.T) {
	disk := fake.NewDisk()
	h := newHost(t, disk)
	h.grant("bid-1", "a")
	copied := disk.Clone()
	last := h.grant("bid-2", "a")
	seen := &wire.ClaimSeen{Life: last.Self, Sequence: last.Sequence}
	h.node.Close()
	for name, fs := range map[string]*fake.Disk{"older": copied, "empty": fake.NewDisk()} {
		t.Run(name, func(t *testing.T) {
			h.fs = fs
			h.start()
			h.peersSaw(seen)
			assert.Assert(t, h.node.Register().Life > seen.Life.Number)
			assert.Assert(t, h.grant("bid-2", "b").Forgetful)
			assert.Equal(t, errors.Is(h.forgot, ErrOlder), name == "older")
			// The new life is durable: the next process doesn't take it for the old one.
			life := h.node.Register().Life
			h.restart()
			h.peersSaw(seen)
			assert.Equal(t, h.node.Register().Life, life)
			assert.Assert(t, h.grant("bid-2", "b").Forgetful)
			h.node.Close()
		})
	}
}

// One bit of the folder flips. The register never comes up with other records
// than it wrote: it says that the folder is damaged, and has forgotten.
func TestDamagedFolderHasForgotten(t *testing.T) {
	disk := fake.NewDisk()
	h := newHost(t, disk)
	h.grant("bid-1", "a")
	h.grant("bid-2", "a")
	h.node.Close()
	names, err := disk.List()
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1)
	for bit := range disk.Size(names[0]) * 8 {
		damaged := disk.Clone()
		damaged.Flip(names[0], bit)
		h.fs = damaged
		h.start()
		assert.ErrorIs(t, h.forgot, wal.ErrCorrupt)
		assert.Assert(t, h.grant("bid-1", "b").Forgetful)
		h.node.Close()
		left, err := damaged.List()
		assert.NilError(t, err)
		assert.Equal(t, len(left), 1, "the damaged file is dropped")
	}
}

// Power is lost while a grant is written. Its caller was told nothing, and the
// grants before it are there.
func TestTornEndIsCut(t *testing.T) {
	for keep := range 40 {
		disk := fake.NewDisk()
		h := newHost(t, disk)
		assert.Assert(t, h.grant("bid-1", "a").Granted)
		disk.FailSync = true
		assert.Assert(t, !h.grant("bid-2", "a").Granted)
		h.node.Close()
		disk.Crash(keep)
		h.start()
		assert.NilError(t, h.forgot)
		h.peersSaw(&wire.ClaimSeen{})
		assert.Equal(t, h.grant("bid-1", "b").Record.GetHolder(), "a")
		h.node.Close()
	}
}

// A sync fails, or the disk is full. The caller is told that the register is
// full, now and later, though the next sync would succeed.
func TestFailedDiskEndsTheGranting(t *testing.T) {
	for name, fail := range map[string]func(*fake.Disk){
		"sync": func(d *fake.Disk) { d.FailSync = true },
		"full": func(d *fake.Disk) { d.Full = true },
	} {
		t.Run(name, func(t *testing.T) {
			disk := fake.NewDisk()
			h := newHost(t, disk)
			fail(disk)
			for range 2 {
				reply := h.grant("bid", "a")
				assert.Assert(t, !reply.Granted && reply.Full && reply.Forgetful)
				disk.Full = false
			}
			assert.Assert(t, h.failed != nil && h.node.Failed())
			assert.Assert(t, !h.node.Register().Durable)
			h.node.Close()
		})
	}
}

func TestSecondProcessOnTheFolderIsRefused(t *testing.T) {
	fs := realFolder(t)
	h := newHost(t, fs)
	defer h.node.Close()
	second := NewNode(DefaultRegisterSettings(), fixedLife(5), nil, time.Now)
	assert.ErrorContains(t, second.Open(fs, Events{}), wal.ErrLocked.Error())
}

// Bids come for hours. The folder holds those of a time to live and a quarter.
func TestFolderStaysBounded(t *testing.T) {
	disk := fake.NewDisk()
	h := newHost(t, disk)
	ttl := DefaultRegisterSettings().MaxTTL
	most := int64(0)
	for n := range 400 {
		h.now = h.now.Add(ttl / 40)
		assert.Assert(t, h.grant(fmt.Sprint("bid-", n), "a").Granted)
		most = max(most, h.node.store.log.Bytes())
	}
	assert.Assert(t, most < 55*200, "%d bytes", most)
	h.restart()
	h.peersSaw(&wire.ClaimSeen{})
	assert.Equal(t, h.grant("bid-399", "b").Record.GetHolder(), "a")
	names, err := disk.List()
	assert.NilError(t, err)
	assert.Equal(t, len(names), 1, strings.Join(names, " "))
	h.node.Close()
}

// A bid was answered, and one of its registers has restarted on its folder, which
// keeps no bodies. A resend gets the answer from another register, whichever of
// them replies first.
func TestResendGetsTheAnswerThatAnotherRegisterKept(t *testing.T) {
	ring := ringOf(Copies)
	c := NewClaimant(ring, claimBy("resent").Key, false)
	rec := func(a *wire.StoredAnswer) *wire.ClaimReply {
		return &wire.ClaimReply{RingEpoch: 1, Record: &wire.ClaimRecord{State: wire.ClaimState_CLAIM_STATE_ANSWERED, Answer: a}}
	}
	c.Take(id(0), rec(&wire.StoredAnswer{Dropped: true}))
	v, _ := c.Verdict()
	assert.Equal(t, v, Pending)
	c.Take(id(1), rec(&wire.StoredAnswer{Body: []byte("sold")}))
	v, got := c.Verdict()
	assert.Equal(t, v, Settled)
	assert.Equal(t, string(got.Answer.Body), "sold")
}

// A peer lost its disk, copied from this register and so has a new life. Then this
// register restarts. A claimant that holds a grant of the peer's earlier life must
// still hear that it counts for nothing, or its bid runs beside a resend.
func TestRestartRemembersWhoCopied(t *testing.T) {
	h := newHost(t, fake.NewDisk())
	assert.Assert(t, h.grant("bid-1", "a").Granted)
	h.node.reg.Copy(h.now, &wire.ClaimCopyRequest{From: &wire.Incarnation{Id: "e1", Number: 77}, RingEpoch: 1})
	assert.NilError(t, h.node.collect(true).wait())
	h.restart()
	h.peersSaw(&wire.ClaimSeen{})
	reply := h.grant("bid-2", "a")
	assert.Assert(t, reply.Granted)
	assert.Equal(t, len(reply.Known), 1)
	assert.Equal(t, reply.Known[0].Number, uint64(77))
	h.node.Close()
}
