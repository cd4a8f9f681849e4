package directory

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	tickInterval = 100 * time.Millisecond
	// minUpdateInterval is the minimum time between two updates of a watcher, which
	// batches changes that occur together.
	minUpdateInterval = 200 * time.Millisecond
	// minKeepaliveInterval is the longest time between two updates of a watcher while
	// there are few watchers.
	minKeepaliveInterval = 400 * time.Millisecond
)

// DepartureLog stores durably that upstreams leave or are gone.
type DepartureLog interface {
	// Record returns once the announcement, or one that says at least as much, is durable.
	Record(ctx context.Context, a *wire.Announcement) error
	// Revive reports that an upstream has announced to be up.
	Revive(id string)
}

// Node is a State for concurrent use: it serves announcements and watches, and follows
// other nodes.
type Node struct {
	mu       sync.Mutex
	state    *State
	now      func() time.Time
	onChange func()
	// replicas lists the control replicas that accept announcements; it may be nil.
	replicas func(context.Context) []*wire.DirectoryReplica
	// probe sends a probe to an instance without waiting for the reply; it may be nil.
	probe func(*Instance)
	// departures stores departures before they are acknowledged; it may be nil.
	departures DepartureLog
	// watchers are woken by changes; notified is the watermark of the last wake-up.
	watchers kernel.Watchers
	notified watermark
}

// watermark identifies a state of the directory as far as it is sent to watchers.
type watermark struct {
	changes, revisions uint64
}

// NewNode returns a node. onChange is called after changes, without holding a lock; it
// may be nil.
func NewNode(s Settings, now func() time.Time, onChange func()) *Node {
	if onChange == nil {
		onChange = func() {}
	}
	return &Node{state: New(s, now(), 0), now: now, onChange: onChange}
}

// SetReplicas sets the function that lists the control replicas and their failure
// domains for processes that announce here. Call it before the node serves.
func (n *Node) SetReplicas(f func(context.Context) []*wire.DirectoryReplica) { n.replicas = f }

// SetDepartureLog sets where departures are stored before they are acknowledged. Call it before
// the node serves.
func (n *Node) SetDepartureLog(d DepartureLog) { n.departures = d }

// SetProbe sets the function that probes an instance; it must not wait for the reply.
// Call it before Run.
func (n *Node) SetProbe(f func(*Instance)) { n.probe = f }

// Run expires leases and sends probes until the context is done.
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
		probes := n.state.TakeProbes()
		n.wakeWatchers()
		n.mu.Unlock()
		n.probeAll(probes)
		if len(changed) > 0 {
			n.onChange()
		}
	}
}

func (n *Node) probeAll(list []*Instance) {
	if n.probe == nil {
		return
	}
	for _, i := range list {
		n.probe(i)
	}
}

// Announce implements the Directory service. That an upstream leaves is durable when it returns.
func (n *Node) Announce(ctx context.Context, a *wire.Announcement) (*wire.AnnounceReply, error) {
	changed, superseded, known := n.applyAnnouncement(a, 0, true)
	if changed {
		n.onChange()
	}
	reply := &wire.AnnounceReply{
		LeaseMs: a.LeaseMs, Superseded: superseded,
		IntervalMs: uint32(requestedInterval(known).Milliseconds()),
	}
	if superseded {
		reply.KnownIncarnation = n.Incarnation(a.Id)
	} else if err := n.recordDeparture(ctx, a, changed); err != nil {
		return nil, err
	}
	if a.AskReplicas && n.replicas != nil {
		reply.Replicas = n.replicas(ctx)
	}
	return reply, nil
}

func (n *Node) recordDeparture(ctx context.Context, a *wire.Announcement, changed bool) error {
	switch {
	case n.departures == nil || a.Role != wire.Role_ROLE_UPSTREAM:
		return nil
	case a.Phase != wire.Phase_PHASE_UP:
		return n.departures.Record(ctx, a)
	case changed:
		n.departures.Revive(a.Id)
	}
	return nil
}

// RestoreDepartures applies stored departures; see State.RestoreDepartures.
func (n *Node) RestoreDepartures(list []Departure) {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.wakeWatchers()
	n.state.RestoreDepartures(n.now(), list)
}

// Registrations returns the announcements of the upstreams that are up, to be saved.
func (n *Node) Registrations() []*wire.Announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Registrations()
}

// OfferSaved provides saved registrations; see State.OfferSaved.
func (n *Node) OfferSaved(list []*wire.Announcement, peers int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.OfferSaved(list, peers)
}

// Incarnation returns the latest known incarnation number of an ID, or 0.
func (n *Node) Incarnation(id string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if i := n.state.Get(id); i != nil {
		return i.Incarnation
	}
	return 0
}

// IsLeaving reports whether the instance has announced that it is leaving or gone. It is
// false for one whose lease expired.
func (n *Node) IsLeaving(id string) bool {
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

// Conflicts reports whether an announcement conflicts with what is known of the
// incarnation that it names; see Instance.conflictsWith.
func (n *Node) Conflicts(a *wire.Announcement) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := n.state.Get(a.Id)
	return i != nil && i.conflictsWith(a)
}

// RenewDirect renews the lease of an instance that this process heard from directly.
func (n *Node) RenewDirect(id string, incarnation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.RenewDirect(n.now(), id, incarnation)
}

// applyAnnouncement passes an announcement to the state, and also returns the number of
// known instances.
func (n *Node) applyAnnouncement(a *wire.Announcement, age time.Duration, local bool) (changed, superseded bool, known int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.wakeWatchers()
	changed, superseded = n.state.Announce(n.now(), a, age, local)
	return changed, superseded, n.state.Len()
}

// Instances returns the instances of a role that are not gone, sorted by ID.
func (n *Node) Instances(role wire.Role) []*Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Instances(role)
}

// RingMembers returns the entries that are up, as members of a ring of claim
// registers.
func (n *Node) RingMembers() []*wire.RingMember {
	var list []*wire.RingMember
	for _, i := range n.Instances(wire.Role_ROLE_ENTRY) {
		if i.Up() {
			list = append(list, &wire.RingMember{
				Id: i.Id, Address: i.Address, FailureDomain: i.FailureDomain,
				Incarnation: registerIncarnation(i.Announcement), Durable: i.ClaimRegister.GetDurable(),
			})
		}
	}
	return list
}

// registerIncarnation returns the incarnation of an entry's claim register. Entries of
// releases that don't announce one use that of the process.
func registerIncarnation(a *wire.Announcement) uint64 {
	if r := a.ClaimRegister; r != nil {
		return r.Life
	}
	return a.Incarnation
}

// HasEnded reports whether an incarnation of an instance has ended: it is known as gone, or
// a later incarnation is known. It is false for an unknown instance, which may be new.
func (n *Node) HasEnded(incarnation *wire.Incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := n.state.Get(incarnation.GetId())
	return i != nil && (i.Incarnation > incarnation.GetNumber() || i.Phase == wire.Phase_PHASE_GONE && i.Incarnation == incarnation.GetNumber())
}

// Settled reports whether the directory has settled; see State.Settled.
func (n *Node) Settled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Settled(n.now())
}

// Watch implements the Directory service. It sends the whole directory, or what differs
// from req.Known, then its changes, and at least every keepaliveInterval a message that
// renews all unchanged instances.
func (n *Node) Watch(req *wire.DirectoryWatchRequest, stream wire.DRPCDirectory_WatchStream) error {
	changed, cancel := n.watchers.Subscribe()
	defer cancel()
	timer := time.NewTimer(minUpdateInterval)
	defer timer.Stop()
	view := &View{LocalOnly: req.LocalOnly, References: req.References, Digest: req.Known}
	var due time.Time
	for {
		u, more := n.update(view)
		if more || hasContent(u) || !n.now().Before(due) {
			next := n.keepaliveInterval(req)
			u.NextMs = uint32(next.Milliseconds())
			if err := stream.Send(u); err != nil {
				return err
			}
			due = n.now().Add(next)
		}
		if more {
			continue
		}
		// Batches changes for at least minUpdateInterval.
		select {
		case <-stream.Context().Done():
			return nil
		case <-resetTimer(timer, minUpdateInterval):
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-changed:
		case <-resetTimer(timer, due.Sub(n.now())):
		}
	}
}

// Resolve implements the Directory service.
func (n *Node) Resolve(_ context.Context, req *wire.ResolveRequest) (*wire.ResolveReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &wire.ResolveReply{Entries: n.state.Resolve(n.now(), req.References)}, nil
}

func resetTimer(t *time.Timer, d time.Duration) <-chan time.Time {
	t.Reset(max(d, 0))
	return t.C
}

// keepaliveInterval returns the longest time between two updates of a watcher. For other
// replicas it doesn't grow with the number of watchers.
func (n *Node) keepaliveInterval(req *wire.DirectoryWatchRequest) time.Duration {
	if req.LocalOnly {
		return minKeepaliveInterval
	}
	return KeepaliveInterval(minKeepaliveInterval, n.watchers.Len())
}

// wakeWatchers wakes the watchers if there are changes to send. The caller must hold
// n.mu.
func (n *Node) wakeWatchers() {
	current := watermark{n.state.changes.version, n.state.revisionVersion}
	if current == n.notified {
		return
	}
	n.notified = current
	n.watchers.Notify()
}

func hasContent(u *wire.DirectoryUpdate) bool {
	return u.Synced || len(u.Kept) > 0 || len(u.Entries)+len(u.Withdrawn)+len(u.References) > 0 || u.Revision != 0
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

// Dump returns the instances for a diagnostic dump.
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
