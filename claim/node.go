package claim

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"

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
	// renumbered is sent to when the register must copy again.
	renumbered chan struct{}

	mu   sync.Mutex
	reg  *Register
	ring *wire.Ring
	// changedBy is the latest time at which the ring may have changed.
	changed   time.Time
	confirmed time.Time
}

// NewNode makes the node of a process that has just started.
func NewNode(s RegisterSettings, life Life, dial func(context.Context, string) drpc.Conn, now func() time.Time) *Node {
	return &Node{
		dial: dial, now: now, life: life, renumbered: make(chan struct{}, 1),
		reg: NewRegister(s, life.Wire(), now()), ring: &wire.Ring{},
	}
}

// Renumber takes up the number of the process's life after it has been raised.
func (n *Node) Renumber() {
	n.mu.Lock()
	n.reg.Renumber(n.life.Wire().Number)
	n.mu.Unlock()
	select {
	case n.renumbered <- struct{}{}:
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

// Grant implements the Claim service.
func (n *Node) Grant(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reg.Grant(n.now(), q), nil
}

// Settle implements the Claim service.
func (n *Node) Settle(_ context.Context, s *wire.ClaimSettle) (*wire.ClaimReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reg.Settle(n.now(), s), nil
}

// Copy implements the Claim service.
func (n *Node) Copy(q *wire.ClaimCopyRequest, stream wire.DRPCClaim_CopyStream) error {
	if q.From == nil {
		return merry.Prepend(ErrMalformed, "copy for nobody")
	}
	n.mu.Lock()
	whole := n.reg.Copy(n.now(), q)
	n.mu.Unlock()
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
		case <-n.renumbered:
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
		n.mu.Unlock()
		if epoch > 0 && len(missing) == 0 {
			return true
		}
		n.copyFrom(ctx, epoch, missing)
	}
}

func (n *Node) copyFrom(ctx context.Context, epoch uint64, peers []*wire.RingMember) {
	var wg sync.WaitGroup
	for _, m := range peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.copyOne(ctx, epoch, m)
		}()
	}
	wg.Wait()
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
	if part.SupersededBy != 0 && n.life.Supersede(part.SupersededBy) {
		n.Renumber()
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reg.self.Number == q.From.Number {
		n.reg.TakeCopy(n.now(), peer, part)
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
		Epoch   uint64   `json:"ring_epoch"`
		Members int      `json:"ring_members"`
		Records int      `json:"records"`
		Bytes   int64    `json:"answer_bytes"`
		Missing []string `json:"copies_missing"`
	}{n.ring.Epoch, len(n.ring.Members), n.reg.Len(), n.reg.held, missing}
}
