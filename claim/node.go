package claim

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

// ErrMalformed is returned for a message that lacks a required field.
var ErrMalformed = merry.Sentinel("claim message is malformed")

const (
	copyInterval = 100 * time.Millisecond
	copyTimeout  = 2 * time.Second
	// copyBatch is the maximum number of records per message of a copy.
	copyBatch = 500
)

// IncarnationSource provides the incarnation of the process. RaiseAbove raises
// its number above that of a known later incarnation, and reports whether it did.
type IncarnationSource interface {
	ToWire() *wire.Incarnation
	RaiseAbove(known uint64) bool
}

// Node runs a Register: it serves the claims of other entries, acquires keys for
// this entry, and copies from the register's peers after a restart. It is safe for
// concurrent use.
type Node struct {
	dial        func(ctx context.Context, address string) drpc.Conn
	now         func() time.Time
	incarnation IncarnationSource
	// copyNeeded wakes Run when there may be records to copy.
	copyNeeded chan struct{}

	id string
	// events is notified of failures of the data folder.
	events FolderEvents

	mu   sync.Mutex
	reg  *Register
	ring *wire.Ring
	// store keeps the register's records on disk; nil if they are in memory only.
	store *store
	// folderBytes is the size of the data folder.
	folderBytes int64
	seenGrants  SeenGrants
	// ringChanged is the latest time at which the ring can have changed.
	ringChanged time.Time
	// ringConfirmed is the latest time at which the ring was known to be current.
	ringConfirmed time.Time
}

// FolderEvents holds callbacks for failures of a register's data folder. All must be set.
type FolderEvents struct {
	// Discarded is called if the contents of the folder can't be trusted and the
	// register starts without records.
	Discarded func(cause error)
	// WriteFailed is called if a record couldn't be made durable. The register then grants
	// nothing more.
	WriteFailed func(cause error)
}

// ErrRolledBack is the cause given to FolderEvents.Discarded if the folder is an older copy.
var ErrRolledBack = merry.Sentinel("claim data folder is older than the grants that other entries have seen")

// NewNode returns the node of a process that has just started.
func NewNode(s RegisterSettings, source IncarnationSource, dial func(context.Context, string) drpc.Conn, now func() time.Time) *Node {
	return &Node{
		dial: dial, now: now, incarnation: source, copyNeeded: make(chan struct{}, 1),
		id: source.ToWire().Id, reg: NewRegister(s, source.ToWire(), now()), ring: &wire.Ring{}, seenGrants: SeenGrants{},
	}
}

// Open loads the register's records from a data folder, and keeps them there from
// then on. It must be called before any other method.
func (n *Node) Open(fs wal.FS, ev FolderEvents) error {
	log, st, damaged, err := openStore(fs)
	if err != nil {
		return err
	}
	n.events = ev
	if damaged != nil {
		ev.Discarded(damaged)
	}
	settings := n.reg.settings
	n.reg = NewDurableRegister(settings, n.incarnation.ToWire(), st, n.now())
	n.store, err = newStore(log, n.reg.TakeWrites(), settings.MaxTTL, n.now)
	n.store.onSynced = n.onSynced
	if err != nil {
		n.onSynced(err, 0)
	}
	go n.store.run()
	return nil
}

// Close writes the pending records and releases the data folder.
func (n *Node) Close() {
	if n.store != nil {
		n.store.close()
	}
}

// onSynced handles the result of a sync; bytes is the size of the folder.
func (n *Node) onSynced(err error, bytes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.folderBytes = bytes
	n.reg.folderFull = bytes >= MaxFolderBytes
	if err != nil && !n.reg.writeFailed {
		n.reg.MarkWriteFailed()
		n.events.WriteFailed(err)
	}
}

// queueWrites passes the register's pending writes to the store, and returns the
// batch that a reply must wait for, or nil. With urgent, the batch is written at
// once. The caller must hold n.mu, so that writes keep their order.
func (n *Node) queueWrites(urgent bool) *batch {
	if n.store == nil {
		return nil
	}
	return n.store.enqueue(n.reg.TakeWrites(), urgent)
}

// RegisterStatus returns the status of the register to announce.
func (n *Node) RegisterStatus() *wire.ClaimRegister {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reg.Status()
}

// CanGrant reports whether the register may grant every key: it has a ring, can't
// lack an earlier grant, and its records can be written.
func (n *Node) CanGrant() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	known := n.reg.Epoch() > 0 && len(n.reg.PeersToCopy(now)) == 0
	return known && !n.reg.writeFailed && !n.reg.mayBeRolledBack(now)
}

// WriteFailed reports whether a record couldn't be made durable.
func (n *Node) WriteFailed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reg.writeFailed
}

// RaiseIncarnation gives the register the process's incarnation number after that was raised,
// unless the register's incarnation began in an earlier process.
func (n *Node) RaiseIncarnation() {
	n.mu.Lock()
	if !n.reg.resumed {
		n.reg.RaiseIncarnation(n.incarnation.ToWire().Number)
		n.queueWrites(true)
	}
	n.mu.Unlock()
	n.wakeRun()
}

// wakeRun wakes Run to look for peers to copy from.
func (n *Node) wakeRun() {
	select {
	case n.copyNeeded <- struct{}{}:
	default:
	}
}

// SetRing sets the ring that a control replica reports. age is a lower bound of the
// time since the ring changed; confirmed is a time at which the ring was known to be
// current. A ring of an older epoch is ignored.
func (n *Node) SetRing(ring *wire.Ring, age time.Duration, confirmed time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ring == nil || ring.Epoch < n.ring.Epoch {
		return
	}
	if ring.Epoch > n.ring.Epoch {
		n.ring = ring
		n.ringChanged = n.now().Add(-age)
		n.reg.SetRing(ring)
		// A restarted register must also copy from new peers. Until it has, it
		// grants no keys that it shares with them.
		n.wakeRun()
	}
	// Another replica may have known the ring for longer.
	if at := n.now().Add(-age); at.Before(n.ringChanged) {
		n.ringChanged = at
	}
	if confirmed.After(n.ringConfirmed) {
		n.ringConfirmed = confirmed
	}
}

// Ring returns what this entry knows of the ring.
func (n *Node) Ring() RingState {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	ttl := n.reg.settings.MaxTTL
	return RingState{
		Ring:      n.ring,
		Joint:     now.Sub(n.ringChanged) < JointPeriod(ttl),
		Confirmed: now.Sub(n.ringConfirmed) < ConfirmPeriod(ttl),
	}
}

// Grant implements the Claim service. It returns a grant only when its record is
// durable: otherwise the register would grant the key to another request after a
// crash.
func (n *Node) Grant(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	n.mu.Lock()
	reply := n.reg.Grant(n.now(), q)
	b := n.queueWrites(reply.Granted)
	n.mu.Unlock()
	if reply.Granted && b.wait() != nil {
		return &wire.ClaimReply{RingEpoch: reply.RingEpoch, Self: reply.Self, Full: true, Forgetful: true}, nil
	}
	return reply, nil
}

// Settle implements the Claim service.
func (n *Node) Settle(_ context.Context, s *wire.ClaimSettle) (*wire.ClaimReply, error) {
	reply, b := n.settleLocally(s)
	if b.wait() != nil {
		reply.Granted = false
	}
	return reply, nil
}

// settleLocally settles a claim in this entry's register, and returns the batch that
// makes it durable.
func (n *Node) settleLocally(s *wire.ClaimSettle) (*wire.ClaimReply, *batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	reply := n.reg.Settle(n.now(), s)
	return reply, n.queueWrites(false)
}

// Seen implements the Claim service.
func (n *Node) Seen(_ context.Context, q *wire.ClaimSeenRequest) (*wire.ClaimSeen, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reg.SeenOfEntry(q.Id, n.seenGrants), nil
}

// Copy implements the Claim service. It waits until the copying incarnation is
// recorded durably, so that this register still names it after a restart.
func (n *Node) Copy(q *wire.ClaimCopyRequest, stream wire.DRPCClaim_CopyStream) error {
	if q.From == nil {
		return merry.Prepend(ErrMalformed, "copy request has no sender")
	}
	n.mu.Lock()
	all := n.reg.CopyRecords(n.now(), q)
	b := n.queueWrites(true)
	n.mu.Unlock()
	if b.wait() != nil {
		all.Forgetful = true
	}
	for {
		k := min(len(all.Records), copyBatch)
		part := &wire.ClaimCopy{Records: all.Records[:k], Forgetful: all.Forgetful}
		all.Records = all.Records[k:]
		part.Last = len(all.Records) == 0
		if err := stream.Send(part); err != nil {
			return err
		}
		if part.Last {
			return nil
		}
	}
}

// Run copies from the register's peers after restarts and ring changes, until the
// context is done.
func (n *Node) Run(ctx context.Context) {
	for n.catchUp(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-n.copyNeeded:
		}
	}
}

// catchUp copies and checks until no peer is left to copy from or to hear from; it
// returns false if the context ended.
func (n *Node) catchUp(ctx context.Context) bool {
	tick := time.NewTicker(copyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
		n.mu.Lock()
		epoch := n.reg.Epoch()
		toCopy := n.reg.PeersToCopy(n.now())
		unchecked := n.reg.UncheckedPeers(n.now())
		n.mu.Unlock()
		if epoch > 0 && len(toCopy)+len(unchecked) == 0 {
			return true
		}
		callAll(unchecked, func(m *wire.RingMember) { n.requestSeen(ctx, m) })
		callAll(toCopy, func(m *wire.RingMember) { n.copyFrom(ctx, epoch, m) })
	}
}

// callAll calls call for all members concurrently, and returns when all calls have.
func callAll(members []*wire.RingMember, call func(*wire.RingMember)) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { call(m) })
	}
	wg.Wait()
}

// requestSeen asks a peer for the latest grant that it has seen of this register.
func (n *Node) requestSeen(ctx context.Context, m *wire.RingMember) {
	ctx, cancel := context.WithTimeout(ctx, DefaultRoundTimeout)
	defer cancel()
	seen, err := wire.NewDRPCClaimClient(n.dial(ctx, m.Address)).Seen(ctx, &wire.ClaimSeenRequest{Id: n.id})
	if err == nil {
		n.applySeen(m.Id, seen)
	}
}

func (n *Node) applySeen(peer string, seen *wire.ClaimSeen) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.reg.ApplySeen(n.now(), peer, seen, n.incarnation.ToWire().Number) {
		return
	}
	n.queueWrites(true)
	n.events.Discarded(ErrRolledBack)
}

func (n *Node) copyFrom(ctx context.Context, epoch uint64, m *wire.RingMember) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	n.mu.Lock()
	q := &wire.ClaimCopyRequest{From: n.reg.self, RingEpoch: epoch}
	n.mu.Unlock()
	stream, err := wire.NewDRPCClaimClient(n.dial(ctx, m.Address)).Copy(ctx, q)
	if err != nil {
		return
	}
	defer stream.Close()
	for {
		part, err := stream.Recv()
		if err != nil {
			return
		}
		if n.applyCopyPart(q, m.Id, part); part.Last {
			return
		}
	}
}

// applyCopyPart passes one message of a copy to the register, unless the register's
// incarnation number has changed since the request: the peer then names the earlier
// number in its replies. If the peer knows a later incarnation, the register takes a
// higher number or starts anew.
func (n *Node) applyCopyPart(q *wire.ClaimCopyRequest, peer string, part *wire.ClaimCopy) {
	n.mu.Lock()
	resumed := n.reg.resumed
	n.mu.Unlock()
	switch {
	case part.SupersededBy != 0 && resumed:
		n.applySeen(peer, &wire.ClaimSeen{Life: &wire.Incarnation{Id: n.id, Number: part.SupersededBy}})
		return
	case part.SupersededBy != 0 && n.incarnation.RaiseAbove(part.SupersededBy):
		n.RaiseIncarnation()
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reg.self.Number == q.From.Number {
		n.reg.ApplyCopy(n.now(), peer, part)
		n.queueWrites(true)
	}
}

// Dump returns the state of the node for diagnostics, to be encoded as JSON.
func (n *Node) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	var toCopy []string
	for _, m := range n.reg.PeersToCopy(n.now()) {
		toCopy = append(toCopy, m.Id)
	}
	return struct {
		Epoch     uint64   `json:"ring_epoch"`
		Members   int      `json:"ring_members"`
		Records   int      `json:"records"`
		Bytes     int64    `json:"answer_bytes"`
		Missing   []string `json:"copies_missing"`
		Life      uint64   `json:"life"`
		Durable   bool     `json:"durable"`
		Failed    bool     `json:"folder_failed"`
		Folder    int64    `json:"folder_bytes"`
		Sequence  uint64   `json:"grants"`
		Unchecked bool     `json:"folder_unchecked"`
	}{
		n.ring.Epoch, len(n.ring.Members), n.reg.Len(), n.reg.answerBytes, toCopy,
		n.reg.self.Number, n.reg.persistent, n.reg.writeFailed, n.folderBytes, n.reg.sequence, n.reg.mayBeRolledBack(n.now()),
	}
}
