package directory

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/snipereach/snipereach/wire"
)

// Intervals of a Node.
const (
	tickInterval  = 100 * time.Millisecond
	watchInterval = 200 * time.Millisecond
	redialDelay   = 300 * time.Millisecond
)

// Node drives a State for goroutines: it serves announcements and watches, and
// follows other nodes.
type Node struct {
	mu       sync.Mutex
	state    *State
	now      func() time.Time
	onChange func()
}

// NewNode makes a node. onChange is called, outside any lock, after a change;
// it may be nil.
func NewNode(s Settings, now func() time.Time, onChange func()) *Node {
	if onChange == nil {
		onChange = func() {}
	}
	return &Node{state: New(s, now(), 0), now: now, onChange: onChange}
}

// Run ends leases until the context is done.
func (n *Node) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.mu.Lock()
		changed := n.state.Tick(n.now())
		n.mu.Unlock()
		if len(changed) > 0 {
			n.onChange()
		}
	}
}

// Announce implements the Directory service.
func (n *Node) Announce(_ context.Context, a *wire.Announcement) (*wire.AnnounceReply, error) {
	changed, superseded := n.take(a, 0, true)
	if changed {
		n.onChange()
	}
	return &wire.AnnounceReply{LeaseMs: a.LeaseMs, Superseded: superseded}, nil
}

// Heard notes that an instance was heard from directly.
func (n *Node) Heard(id string, incarnation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.Heard(n.now(), id, incarnation)
}

func (n *Node) take(a *wire.Announcement, age time.Duration, local bool) (changed, superseded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Announce(n.now(), a, age, local)
}

// Instances returns the instances of a role that are not gone.
func (n *Node) Instances(role wire.Role) []*Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Instances(role)
}

// RingMembers lists the entries that are up, as members of a ring of claim
// registers.
func (n *Node) RingMembers() []*wire.RingMember {
	var list []*wire.RingMember
	for _, i := range n.Instances(wire.Role_ROLE_ENTRY) {
		if i.Up() {
			list = append(list, &wire.RingMember{
				Id: i.Id, Address: i.Address, FailureDomain: i.FailureDomain, Incarnation: i.Incarnation,
			})
		}
	}
	return list
}

// Gone says whether a life of an instance has ended: it is known as gone, or a
// later life is known. An instance that is not known at all may be new here.
func (n *Node) Gone(life *wire.Incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := n.state.Get(life.GetId())
	return i != nil && (i.Incarnation > life.GetNumber() || i.Phase == wire.Phase_PHASE_GONE && i.Incarnation == life.GetNumber())
}

// Settled says whether the node may declare instances gone.
func (n *Node) Settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Settled(n.now())
}

// Watch implements the Directory service.
func (n *Node) Watch(req *wire.DirectoryWatchRequest, stream wire.DRPCDirectory_WatchStream) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	sent := map[string]*Instance{}
	first := true
	for {
		u := n.update(req.LocalOnly, sent)
		u.Synced = first
		if first || len(u.Entries)+len(u.Renewals) > 0 {
			if err := stream.Send(u); err != nil {
				return err
			}
		}
		first = false
		select {
		case <-stream.Context().Done():
			return nil
		case <-tick.C:
		}
	}
}

// update collects what a watcher has not been sent.
func (n *Node) update(localOnly bool, sent map[string]*Instance) *wire.DirectoryUpdate {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	u := &wire.DirectoryUpdate{Settling: !n.state.Settled(now)}
	for _, inst := range n.state.All() {
		if localOnly && !inst.Local {
			continue
		}
		old := sent[inst.Id]
		if old == inst {
			continue
		}
		sent[inst.Id] = inst
		age := uint32(max(now.Sub(inst.Heard), 0).Milliseconds())
		if old != nil && old.Incarnation == inst.Incarnation && sameButForLoad(old.Announcement, inst.Announcement) {
			u.Renewals = append(u.Renewals, &wire.Renewal{Id: inst.Id, Incarnation: inst.Incarnation, Seq: inst.Seq, AgeMs: age, Revision: inst.Revision})
			continue
		}
		u.Entries = append(u.Entries, &wire.DirectoryEntry{Announcement: inst.Announcement, AgeMs: age})
	}
	return u
}

// Follow copies another node's directory until the context is done.
func (n *Node) Follow(ctx context.Context, conn func(context.Context) drpc.Conn, req *wire.DirectoryWatchRequest) {
	for ctx.Err() == nil {
		_ = n.followOnce(ctx, conn(ctx), req)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func (n *Node) followOnce(ctx context.Context, conn drpc.Conn, req *wire.DirectoryWatchRequest) error {
	stream, err := wire.NewDRPCDirectoryClient(conn).Watch(ctx, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		if n.apply(u) {
			n.onChange()
		}
	}
}

func (n *Node) apply(u *wire.DirectoryUpdate) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	changed := false
	for _, e := range u.Entries {
		age := time.Duration(e.AgeMs) * time.Millisecond
		c, _ := n.state.Announce(now, e.Announcement, age, false)
		changed = changed || c
	}
	for _, r := range u.Renewals {
		n.state.Renew(now, r)
	}
	return changed
}

type instanceDump struct {
	ID            string   `json:"id"`
	Role          string   `json:"role"`
	Phase         string   `json:"phase"`
	Incarnation   uint64   `json:"incarnation"`
	Seq           uint64   `json:"seq"`
	FailureDomain string   `json:"failure_domain"`
	Address       string   `json:"address"`
	Pools         []string `json:"pools,omitempty"`
	HeardAgoMS    int64    `json:"heard_ago_ms"`
}

// Dump returns the node's state for a dump.
func (n *Node) Dump() any {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	list := []instanceDump{}
	for _, i := range n.state.All() {
		list = append(list, instanceDump{
			ID: i.Id, Role: i.Role.String(), Phase: i.Phase.String(), Incarnation: i.Incarnation, Seq: i.Seq,
			FailureDomain: i.FailureDomain, Address: i.Address, Pools: i.Pools, HeardAgoMS: now.Sub(i.Heard).Milliseconds(),
		})
	}
	return struct {
		Settled   bool           `json:"settled"`
		Instances []instanceDump `json:"instances"`
	}{n.state.Settled(now), list}
}
