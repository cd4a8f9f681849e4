package directory

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// Intervals of a Node.
const (
	tickInterval = 100 * time.Millisecond
	// watchInterval is the least time between two updates of a watcher, so that changes
	// which come together go together.
	watchInterval = 200 * time.Millisecond
	// vouchInterval is the longest time between two updates, where watchers are few.
	vouchInterval = 400 * time.Millisecond
)

// Node drives a State for goroutines: it serves announcements and watches, and
// follows other nodes.
type Node struct {
	mu       sync.Mutex
	state    *State
	now      func() time.Time
	onChange func()
	// replicas lists the control replicas that take announcements; it may be nil.
	replicas func(context.Context) []*wire.DirectoryReplica
	// ask asks an instance for a sign of life; it may be nil.
	ask func(*Instance)
	// watchers are woken by changes; told is how far they were.
	watchers kernel.Watchers
	told     mark
}

// mark is how far a directory has come: what its watchers are sent depends on both.
type mark struct {
	changes, revisions uint64
}

// NewNode makes a node. onChange is called, outside any lock, after a change;
// it may be nil.
func NewNode(s Settings, now func() time.Time, onChange func()) *Node {
	if onChange == nil {
		onChange = func() {}
	}
	return &Node{state: New(s, now(), 0), now: now, onChange: onChange}
}

// SetReplicas tells where the node learns the control replicas and their failure
// domains, for those that announce to it. It is called before the node serves.
func (n *Node) SetReplicas(f func(context.Context) []*wire.DirectoryReplica) { n.replicas = f }

// SetAsk tells how the node asks an instance for a sign of life, without waiting
// for the answer. It is called before the node runs.
func (n *Node) SetAsk(f func(*Instance)) { n.ask = f }

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
		asks := n.state.TakeAsks()
		n.wakeWatchers()
		n.mu.Unlock()
		n.askAll(asks)
		if len(changed) > 0 {
			n.onChange()
		}
	}
}

func (n *Node) askAll(list []*Instance) {
	if n.ask == nil {
		return
	}
	for _, i := range list {
		n.ask(i)
	}
}

// Announce implements the Directory service.
func (n *Node) Announce(ctx context.Context, a *wire.Announcement) (*wire.AnnounceReply, error) {
	changed, superseded, known := n.take(a, 0, true)
	if changed {
		n.onChange()
	}
	reply := &wire.AnnounceReply{
		LeaseMs: a.LeaseMs, Superseded: superseded,
		IntervalMs: uint32(askedInterval(known).Milliseconds()),
	}
	if superseded {
		reply.KnownIncarnation = n.Incarnation(a.Id)
	}
	if a.AskReplicas && n.replicas != nil {
		reply.Replicas = n.replicas(ctx)
	}
	return reply, nil
}

// Incarnation is the latest known of an ID; 0 if there is none.
func (n *Node) Incarnation(id string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := n.state.Get(id); i != nil {
		return i.Incarnation
	}
	return 0
}

// Leaves says whether an instance has said itself that it leaves, or has left.
func (n *Node) Leaves(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := n.state.Get(id)
	switch {
	case i == nil:
		return false
	case i.Phase == wire.Phase_PHASE_GONE:
		return !i.expired()
	}
	return i.Phase == wire.Phase_PHASE_LEAVING
}

// Contradicts says whether an announcement can't be one of the incarnation that it names.
func (n *Node) Contradicts(a *wire.Announcement) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := n.state.Get(a.Id)
	return i != nil && i.contradicts(a)
}

// Heard notes that an instance was heard from directly.
func (n *Node) Heard(id string, incarnation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.Heard(n.now(), id, incarnation)
}

// take returns also how many instances are known.
func (n *Node) take(a *wire.Announcement, age time.Duration, local bool) (changed, superseded bool, known int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.wakeWatchers()
	changed, superseded = n.state.Announce(n.now(), a, age, local)
	return changed, superseded, n.state.Len()
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
				Id: i.Id, Address: i.Address, FailureDomain: i.FailureDomain,
				Incarnation: registerLife(i.Announcement), Durable: i.ClaimRegister.GetDurable(),
			})
		}
	}
	return list
}

// registerLife is the life of an entry's register; that of the process, for an
// entry of a release that announces none.
func registerLife(a *wire.Announcement) uint64 {
	if r := a.ClaimRegister; r != nil {
		return r.Life
	}
	return a.Incarnation
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

// Watch implements the Directory service: it sends the whole directory, then
// what changes, and at least every vouchInterval, or more seldom where there are
// many watchers, a message that vouches for all that has not changed.
func (n *Node) Watch(req *wire.DirectoryWatchRequest, stream wire.DRPCDirectory_WatchStream) error {
	changed, cancel := n.watchers.Subscribe()
	defer cancel()
	timer := time.NewTimer(watchInterval)
	defer timer.Stop()
	view := &View{LocalOnly: req.LocalOnly, Known: req.Known}
	var due time.Time
	for {
		u, more := n.update(view)
		if more || worthSending(u) || !n.now().Before(due) {
			next := n.speakInterval(req)
			u.NextMs = uint32(next.Milliseconds())
			if err := stream.Send(u); err != nil {
				return err
			}
			due = n.now().Add(next)
		}
		if more {
			continue
		}
		// Changes are looked for again no sooner than watchInterval.
		select {
		case <-stream.Context().Done():
			return nil
		case <-after(timer, watchInterval):
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-changed:
		case <-after(timer, due.Sub(n.now())):
		}
	}
}

func after(t *time.Timer, d time.Duration) <-chan time.Time {
	t.Reset(max(d, 0))
	return t.C
}

// speakInterval is the longest time between two updates of a watcher. Replicas hear of each
// other as often as ever: the word of one that fell silent must run out soon.
func (n *Node) speakInterval(req *wire.DirectoryWatchRequest) time.Duration {
	if req.LocalOnly {
		return vouchInterval
	}
	return SpeakInterval(vouchInterval, n.watchers.Len())
}

// wakeWatchers wakes the watchers if they lack something. The lock is held.
func (n *Node) wakeWatchers() {
	now := mark{n.state.changes.version, n.state.revisions}
	if now == n.told {
		return
	}
	n.told = now
	n.watchers.Wake()
}

func worthSending(u *wire.DirectoryUpdate) bool {
	return u.Synced || len(u.Kept) > 0 || len(u.Entries)+len(u.Withdrawn) > 0 || u.Revision != 0
}

func (n *Node) update(v *View) (u *wire.DirectoryUpdate, more bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Update(n.now(), v)
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
