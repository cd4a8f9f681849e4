package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// ErrLeaseHeld is returned when a group's lease can't be acquired.
var ErrLeaseHeld = merry.Sentinel("group lease can't be acquired")

const (
	// groupTick is the tick interval while a group has work in progress, and
	// groupIdleTick the interval while none has.
	groupTick     = 20 * time.Millisecond
	groupIdleTick = 100 * time.Millisecond
	// leaseHolderPrefix is the prefix of control replicas among lease holders.
	leaseHolderPrefix = "control "
	// leaseTimeout bounds the acquisition of a lease and the proposal of a group command.
	leaseTimeout = 2 * time.Second
)

// UpstreamLister returns a function that lists the upstreams in a directory that aren't gone.
func UpstreamLister(n *directory.Node) func() []*wire.Announcement {
	return func() []*wire.Announcement {
		var list []*wire.Announcement
		for _, i := range n.Instances(wire.Role_ROLE_UPSTREAM) {
			list = append(list, i.Announcement)
		}
		return list
	}
}

// groupLeader manages the expert maps of all groups while its replica leads.
type groupLeader struct {
	settings  GroupSettings
	clock     func() time.Time
	log       log.Logger
	pool      *transport.Pool
	upstreams func() []*wire.Announcement

	// mu guards drivers and the state of each driver.
	mu      sync.Mutex
	drivers map[string]*groupDriver
}

func newGroupLeader(s Settings, l log.Logger, pool *transport.Pool) *groupLeader {
	return &groupLeader{settings: s.Groups, clock: s.Now, log: l, pool: pool, drivers: map[string]*groupDriver{}}
}

// groupsSnapshot is a consistent snapshot of the groups in the log and the table.
type groupsSnapshot struct {
	isLeader bool
	view     *table.View
	states   map[string]*wire.GroupState
	tokens   map[string]uint64
}

// run drives the groups until the replica stops.
func (g *groupLeader) run(ctx context.Context, r *Replica) {
	if g.upstreams == nil {
		return
	}
	defer g.dropDrivers()
	changed, cancel := r.watchers.Subscribe()
	defer cancel()
	for {
		wait := groupIdleTick
		if g.tick(ctx, r) {
			wait = groupTick
		}
		select {
		case <-ctx.Done():
			return
		case <-r.done:
			return
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// tick runs one iteration and returns whether a group has work in progress.
func (g *groupLeader) tick(ctx context.Context, r *Replica) bool {
	snap := r.readGroups(ctx, g.drivenGroups())
	if !snap.isLeader {
		g.dropDrivers()
		return false
	}
	ranks := ranksByGroup(g.upstreams())
	names := map[string]bool{}
	for name := range snap.view.Groups {
		names[name] = true
	}
	// A group whose row was deleted may have an undecided switch, and ranks that
	// have stopped to wait for the decision.
	for name, s := range snap.states {
		names[name] = names[name] || rollout.Undecided(s.Switch)
	}
	for _, name := range g.drivenGroups() {
		names[name] = true
	}
	busy := false
	for name, due := range names {
		if !due {
			continue
		}
		d := g.ensureDriver(ctx, r, name, snap)
		if d == nil {
			busy = true
			continue
		}
		g.mu.Lock()
		d.tick(ctx, g.clock(), snap.view.Groups[name], snap.states[name], ranks[name])
		busy = busy || d.coord == nil || !d.coord.Converged()
		finished := d.finished(time.Now())
		g.mu.Unlock()
		if finished {
			g.stopDriver(ctx, r, d)
		}
	}
	return busy
}

// drivenGroups returns the names of the groups that have a driver.
func (g *groupLeader) drivenGroups() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.drivers))
}

// stopDriver stops a group's driver and releases its lease. A driver that kept running
// would renew the lease, go on sending orders and lock out the next holder.
func (g *groupLeader) stopDriver(ctx context.Context, r *Replica, d *groupDriver) {
	g.mu.Lock()
	delete(g.drivers, d.name)
	g.mu.Unlock()
	err := r.runInLoop(ctx, func() {
		if r.machine.fence.Token(d.name) == d.token {
			r.leadership().renew(d.name, time.Now(), 0)
		}
	})
	kernel.Info(g.log, "Stopped leading a group whose row was deleted.", "group", d.name, "token", d.token, "err", err)
}

// readGroups reads the groups' state in the replica's loop. It includes the fencing
// tokens of the driven groups, which may be neither in the log nor in the table any more.
func (r *Replica) readGroups(ctx context.Context, driven []string) groupsSnapshot {
	snap := groupsSnapshot{states: map[string]*wire.GroupState{}, tokens: map[string]uint64{}}
	err := r.runInLoop(ctx, func() {
		v, err := r.tableView()
		if err != nil || !r.node.IsLeader(r.now()) || r.failed != nil {
			return
		}
		snap.isLeader, snap.view = true, v
		for _, name := range r.machine.groups.Groups() {
			snap.states[name] = r.machine.groups.Get(name)
			snap.tokens[name] = r.machine.fence.Token(name)
		}
		for _, name := range slices.AppendSeq(driven, maps.Keys(v.Groups)) {
			snap.tokens[name] = r.machine.fence.Token(name)
		}
	})
	snap.isLeader = snap.isLeader && err == nil
	return snap
}

// groupRanks are the upstreams that announce the ranks of one group.
type groupRanks struct {
	byRank map[int]*wire.Announcement
	// conflict describes two upstreams that announce the same rank; empty if none do.
	conflict string
}

// ranksByGroup groups the announcements of ranks by the name of their group.
func ranksByGroup(list []*wire.Announcement) map[string]groupRanks {
	groups := map[string]groupRanks{}
	for _, a := range list {
		if a.Group == "" {
			continue
		}
		g, ok := groups[a.Group]
		if !ok {
			g.byRank = map[int]*wire.Announcement{}
		}
		if other := g.byRank[int(a.Rank)]; other != nil {
			g.conflict = fmt.Sprintf("upstreams %s and %s both announce rank %d", other.Id, a.Id, a.Rank)
		} else {
			g.byRank[int(a.Rank)] = a
		}
		groups[a.Group] = g
	}
	return groups
}

// ensureDriver returns a group's driver if it runs under the lease in force. Otherwise it
// acquires the lease, creates a new driver and returns nil. It also returns nil if the
// lease can't be acquired.
func (g *groupLeader) ensureDriver(ctx context.Context, r *Replica, name string, snap groupsSnapshot) *groupDriver {
	g.mu.Lock()
	d := g.drivers[name]
	g.mu.Unlock()
	if d != nil && d.token == snap.tokens[name] {
		return d
	}
	if d != nil {
		g.mu.Lock()
		delete(g.drivers, name)
		g.mu.Unlock()
	}
	token, err := r.acquireGroupLease(ctx, name)
	if err != nil {
		if !errors.Is(err, ErrUnavailable) {
			kernel.Warn(g.log, "Group lease can't be acquired.", "group", name, "err", err)
		}
		return nil
	}
	kernel.Info(g.log, "Became leader of a group.", "group", name, "token", token)
	d = newGroupDriver(g, r, name, token)
	g.mu.Lock()
	g.drivers[name] = d
	g.mu.Unlock()
	// The first tick must use state that was read after the lease was granted.
	return nil
}

// acquireGroupLease acquires a group's lease for this replica and returns the fencing
// token. It doesn't wait until the lease of another control replica expires: agents that
// know the new token reject the orders of the former holder, and the log its commands. It
// returns ErrLeaseHeld if the holder of an unexpired lease isn't a control replica.
func (r *Replica) acquireGroupLease(ctx context.Context, group string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	holder := leaseHolderPrefix + idOf(r.identity)
	var held *wire.Lease
	var expired bool
	if err := r.runInLoop(ctx, func() {
		held = r.machine.fence.Get(group)
		expired = held.Token == 0 || r.leadership().expired(group, r.clock())
	}); err != nil {
		return 0, err
	}
	if len(held.Holder) > 0 && !isControlHolder(held.Holder) && !expired {
		return 0, merry.Prependf(ErrLeaseHeld, "held by %s", held.Holder)
	}
	v, err := r.propose(ctx, &wire.Command{Command: &wire.Command_Lease{
		Lease: &wire.LeaseGrant{Group: group, Holder: holder, Replaces: held.Token},
	}})
	if err != nil {
		return 0, merry.Prepend(ErrUnavailable, err.Error())
	}
	l := v.(*wire.Lease)
	if l.Holder != holder {
		return 0, merry.Prependf(ErrLeaseHeld, "held by %s", l.Holder)
	}
	return l.Token, nil
}

func isControlHolder(holder string) bool {
	return len(holder) > len(leaseHolderPrefix) && holder[:len(leaseHolderPrefix)] == leaseHolderPrefix
}

// dropDrivers removes all drivers when this replica doesn't lead any more.
func (g *groupLeader) dropDrivers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.drivers)
}

// proposeGroupCommand proposes a group command to the log and returns the state machine's
// result.
func (r *Replica) proposeGroupCommand(ctx context.Context, c *wire.GroupCommand) (rollout.Result, error) {
	c.AtMs = r.clock().UnixMilli()
	v, err := r.propose(ctx, &wire.Command{Command: &wire.Command_Group{Group: c}})
	if err != nil {
		return rollout.Result{}, err
	}
	return v.(rollout.Result), nil
}
