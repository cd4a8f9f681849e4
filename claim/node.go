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

// ErrMalformed is returned for a message that lacks what it must have.
var ErrMalformed = merry.Sentinel("claim message is malformed")

// Intervals and bounds of a Node.
const (
	copyInterval = 100 * time.Millisecond
	copyTimeout  = 2 * time.Second
	// copyBatch is how many records one message of a copy holds.
	copyBatch = 500
)

// Life numbers the process's run; Supersede gives it a number above that of a
// later life, and says whether it did.
type Life interface {
	Wire() *wire.Incarnation
	Supersede(known uint64) bool
}

// Node drives a register for goroutines: it answers other entries, and copies
// from the register's peers after a restart.
type Node struct {
	dial func(ctx context.Context, address string) drpc.Conn
	now  func() time.Time
	life Life
	// changes is sent to when there may be something to copy again.
	changes chan struct{}

	id string
	// events reports what becomes of the data folder.
	events Events

	mu   sync.Mutex
	reg  *Register
	ring *wire.Ring
	// store keeps the register's records; nil if they are in memory only.
	store *store
	// folder is the size of the data folder.
	folder int64
	seen   Seen
	// changedBy is the latest time at which the ring may have changed.
	changed   time.Time
	confirmed time.Time
}

// Events are called when something becomes of a register's data folder.
type Events struct {
	// Forgot: the folder held nothing that can be trusted, for this cause.
	Forgot func(cause error)
	// Failed: a record couldn't be made durable, and the register grants nothing
	// more.
	Failed func(cause error)
}

// ErrOlder is the cause when a folder is an older copy.
var ErrOlder = merry.Sentinel("data folder of claims is older than what other entries have seen")

// NewNode makes the node of a process that has just started.
func NewNode(s RegisterSettings, life Life, dial func(context.Context, string) drpc.Conn, now func() time.Time) *Node {
	return &Node{
		dial: dial, now: now, life: life, changes: make(chan struct{}, 1),
		id: life.Wire().Id, reg: NewRegister(s, life.Wire(), now()), ring: &wire.Ring{}, seen: Seen{},
	}
}

// Open keeps the register's records in a data folder from here on, and takes what
// it holds. It comes before any other call.
func (n *Node) Open(fs wal.FS, ev Events) error {
	log, st, damaged, err := openStore(fs)
	if err != nil {
		return err
	}
	n.events = ev
	if damaged != nil {
		ev.Forgot(damaged)
	}
	settings := n.reg.settings
	n.reg = NewDurableRegister(settings, n.life.Wire(), st, n.now())
	n.store, err = newStore(log, n.reg.TakeWrites(), settings.MaxTTL, n.now)
	n.store.synced = n.synced
	if err != nil {
		n.synced(err, 0)
	}
	go n.store.run()
	return nil
}

// Close releases the data folder.
func (n *Node) Close() {
	if n.store != nil {
		n.store.close()
	}
}

// synced takes the result of one sync.
func (n *Node) synced(err error, bytes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.folder = bytes
	n.reg.full = bytes >= MaxFolderBytes
	if err != nil && !n.reg.failed {
		n.reg.Fail()
		n.events.Failed(err)
	}
}

// collect hands the register's records to the store, and returns what a reply
// must wait for; nil is nothing. urgent says that a reply does wait. The caller holds
// the lock, so the records keep their order.
func (n *Node) collect(urgent bool) *batch {
	if n.store == nil {
		return nil
	}
	return n.store.add(n.reg.TakeWrites(), urgent)
}

// Register returns what others must know of the register.
func (n *Node) Register() *wire.ClaimRegister {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reg.Life()
}

// Granting says whether the register may grant any key: it has forgotten nothing
// that can still count, and its records can be kept.
func (n *Node) Granting() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	known := n.reg.Epoch() > 0 && len(n.reg.Missing(now)) == 0
	return known && !n.reg.failed && !n.reg.unchecked(now)
}

// Failed says whether a record couldn't be made durable.
func (n *Node) Failed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reg.failed
}

// Renumber takes up the number of the process's life after it has been raised,
// unless the register's life is older than the process.
func (n *Node) Renumber() {
	n.mu.Lock()
	if !n.reg.resumed {
		n.reg.Renumber(n.life.Wire().Number)
		n.collect(true)
	}
	n.mu.Unlock()
	n.rouse()
}

// rouse lets Run look again for what is to be copied.
func (n *Node) rouse() {
	select {
	case n.changes <- struct{}{}:
	default:
	}
}

// SetRing takes the ring that a control replica names: changed at most age ago,
// and known to be in force at confirmed.
func (n *Node) SetRing(ring *wire.Ring, age time.Duration, confirmed time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ring == nil || ring.Epoch < n.ring.Epoch {
		return
	}
	if ring.Epoch > n.ring.Epoch {
		n.ring = ring
		n.changed = n.now().Add(-age)
		n.reg.SetRing(ring)
		// A register that has forgotten may lack the copy of a new peer. It would
		// refuse the keys that it shares with that one until a time to live after
		// its restart.
		n.rouse()
	}
	// Another replica may have known the ring for longer.
	if at := n.now().Add(-age); at.Before(n.changed) {
		n.changed = at
	}
	if confirmed.After(n.confirmed) {
		n.confirmed = confirmed
	}
}

// Ring returns what the entry knows of the ring.
func (n *Node) Ring() RingState {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	ttl := n.reg.settings.MaxTTL
	return RingState{
		Ring:      n.ring,
		Joint:     now.Sub(n.changed) < JointPeriod(ttl),
		Confirmed: now.Sub(n.confirmed) < ConfirmPeriod(ttl),
	}
}

// Grant implements the Claim service. A grant leaves when its record is durable:
// after a crash the register would otherwise give the key to another request.
func (n *Node) Grant(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	n.mu.Lock()
	reply := n.reg.Grant(n.now(), q)
	b := n.collect(reply.Granted)
	n.mu.Unlock()
	if reply.Granted && b.wait() != nil {
		return &wire.ClaimReply{RingEpoch: reply.RingEpoch, Self: reply.Self, Full: true, Forgetful: true}, nil
	}
	return reply, nil
}

// Settle implements the Claim service.
func (n *Node) Settle(_ context.Context, s *wire.ClaimSettle) (*wire.ClaimReply, error) {
	reply, b := n.settleHere(s)
	if b.wait() != nil {
		reply.Granted = false
	}
	return reply, nil
}

// settleHere settles without waiting for the sync.
func (n *Node) settleHere(s *wire.ClaimSettle) (*wire.ClaimReply, *batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	reply := n.reg.Settle(n.now(), s)
	return reply, n.collect(false)
}

// Seen implements the Claim service.
func (n *Node) Seen(_ context.Context, q *wire.ClaimSeenRequest) (*wire.ClaimSeen, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reg.SeenOf(q.Id, n.seen), nil
}

// Copy implements the Claim service. It waits for the sync too: a restart must
// not forget which life has copied.
func (n *Node) Copy(q *wire.ClaimCopyRequest, stream wire.DRPCClaim_CopyStream) error {
	if q.From == nil {
		return merry.Prepend(ErrMalformed, "copy for nobody")
	}
	n.mu.Lock()
	whole := n.reg.Copy(n.now(), q)
	b := n.collect(true)
	n.mu.Unlock()
	if b.wait() != nil {
		whole.Forgetful = true
	}
	for {
		k := min(len(whole.Records), copyBatch)
		part := &wire.ClaimCopy{Records: whole.Records[:k], Forgetful: whole.Forgetful}
		whole.Records = whole.Records[k:]
		part.Last = len(whole.Records) == 0
		if err := stream.Send(part); err != nil {
			return err
		}
		if part.Last {
			return nil
		}
	}
}

// Run copies what a restart has lost, until the context is done.
func (n *Node) Run(ctx context.Context) {
	for n.catchUp(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-n.changes:
		}
	}
}

// catchUp copies until nothing is missing; it returns false if the context ended.
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
		missing := n.reg.Missing(n.now())
		unheard := n.reg.Unheard(n.now())
		n.mu.Unlock()
		if epoch > 0 && len(missing)+len(unheard) == 0 {
			return true
		}
		askAll(unheard, func(m *wire.RingMember) { n.askSeen(ctx, m) })
		askAll(missing, func(m *wire.RingMember) { n.copyOne(ctx, epoch, m) })
	}
}

// askAll asks members side by side and returns when all are done.
func askAll(members []*wire.RingMember, ask func(*wire.RingMember)) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { ask(m) })
	}
	wg.Wait()
}

// askSeen asks a peer how far it has seen this register grant.
func (n *Node) askSeen(ctx context.Context, m *wire.RingMember) {
	ctx, cancel := context.WithTimeout(ctx, RoundTimeout)
	defer cancel()
	seen, err := wire.NewDRPCClaimClient(n.dial(ctx, m.Address)).Seen(ctx, &wire.ClaimSeenRequest{Id: n.id})
	if err == nil {
		n.takeSeen(m.Id, seen)
	}
}

func (n *Node) takeSeen(peer string, seen *wire.ClaimSeen) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.reg.TakeSeen(n.now(), peer, seen, n.life.Wire().Number) {
		return
	}
	n.collect(true)
	n.events.Forgot(ErrOlder)
}

func (n *Node) copyOne(ctx context.Context, epoch uint64, m *wire.RingMember) {
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
		if n.take(q, m.Id, part); part.Last {
			return
		}
	}
}

// take hands a part of a copy to the register, unless the register has taken a
// higher number since it asked: the peer knows it by the lower one.
func (n *Node) take(q *wire.ClaimCopyRequest, peer string, part *wire.ClaimCopy) {
	n.mu.Lock()
	resumed := n.reg.resumed
	n.mu.Unlock()
	switch {
	case part.SupersededBy != 0 && resumed:
		n.takeSeen(peer, &wire.ClaimSeen{Life: &wire.Incarnation{Id: n.id, Number: part.SupersededBy}})
		return
	case part.SupersededBy != 0 && n.life.Supersede(part.SupersededBy):
		n.Renumber()
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reg.self.Number == q.From.Number {
		n.reg.TakeCopy(n.now(), peer, part)
		n.collect(true)
	}
}

// Dump returns the register's state for a dump.
func (n *Node) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	var missing []string
	for _, m := range n.reg.Missing(n.now()) {
		missing = append(missing, m.Id)
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
		n.ring.Epoch, len(n.ring.Members), n.reg.Len(), n.reg.held, missing,
		n.reg.self.Number, n.reg.on, n.reg.failed, n.folder, n.reg.sequence, n.reg.unchecked(n.now()),
	}
}
