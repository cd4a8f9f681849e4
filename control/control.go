package control

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

// Intervals of forming and joining.
const (
	joinInterval    = 300 * time.Millisecond
	identifyTimeout = time.Second
	// standingInterval is how often a member looks whether it still hears a leader.
	standingInterval = time.Second
	// rejoinAfter is how long a member hears no leader before it asks to be taken
	// in again; longer than any election.
	rejoinAfter = 3 * time.Second
	// reopenInterval is the time between two tries to open the folder again after
	// its disk has failed.
	reopenInterval = 500 * time.Millisecond
)

// Place says who and where a control replica is.
type Place struct {
	// Name is unique among the members.
	Name          string
	Address       string
	FailureDomain string
}

// Control is a control replica with its way into a cluster: it opens the data
// folder, forms a cluster or joins one, and then runs a Replica.
type Control struct {
	// packed is the routing configuration as entries fetch it.
	packed packedRouting
	// routingWatchers counts the watches of the routing version.
	routingWatchers atomic.Int64

	settings Settings
	place    Place
	log      log.Logger
	pool     *transport.Pool

	entries  func() []*wire.RingMember
	groups   *groupLeader
	lockstep *lockstepLeader
	surveys  *surveyFeed
	metrics  *kernel.Metrics
	// suspicions are those of requests that may end upstreams.
	suspicions *suspicions

	mu       sync.Mutex
	identity *wire.Identity
	replica  *Replica
	stopped  bool
	cancel   context.CancelFunc
}

// New makes a control replica from checked settings.
func New(s Settings, l log.Logger, pool *transport.Pool) (*Control, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	s.Now = s.clock()
	c := &Control{settings: s, log: kernel.PartLog(l, "control"), pool: pool, surveys: &surveyFeed{}, metrics: kernel.NewMetrics(), suspicions: newSuspicions(s.Now)}
	c.groups = newGroupLeader(s, kernel.PartLog(l, "groups"), pool)
	var err error
	c.lockstep, err = newLockstepLeader(s, l, pool, c.metrics, c.surveys)
	return c, err
}

// SetEntries tells where a leader learns which entries are up. It is called
// before Start; without it there is no ring of claim registers.
func (c *Control) SetEntries(f func() []*wire.RingMember) { c.entries = f }

// SetUpstreams tells where a leader learns which ranks of groups are up. It is
// called before Start; without it no group is looked after.
func (c *Control) SetUpstreams(f func() []*wire.Announcement) {
	c.groups.upstreams = f
	if c.lockstep != nil {
		c.lockstep.upstreams = f
	}
}

// Register adds the replica's services to a server.
func (c *Control) Register(mux drpc.Mux) error {
	if err := wire.DRPCRegisterRaft(mux, raftService{c}); err != nil {
		return err
	}
	if err := wire.DRPCRegisterRouting(mux, routingService{&service{c}}); err != nil {
		return err
	}
	if err := wire.DRPCRegisterQuarantine(mux, quarantineService{&service{c}}); err != nil {
		return err
	}
	return wire.DRPCRegisterControl(mux, &service{c})
}

// Start opens the folder and, in the background, takes part as soon as it
// belongs to a cluster.
func (c *Control) Start(ctx context.Context, p Place) error {
	c.place = p
	ctx, c.cancel = context.WithCancel(ctx)
	j, st, err := c.openFolder()
	if err != nil {
		return err
	}
	if st.TornBytes > 0 {
		kernel.Info(c.log, "Cut a torn write from the journal.", "bytes", st.TornBytes)
	}
	id := st.Identity
	if id == nil {
		id = &wire.Identity{Name: p.Name, Incarnation: rand.Text()}
	}
	id.Address, id.FailureDomain = p.Address, p.FailureDomain
	c.setIdentity(id)
	if id.Cluster != "" {
		return c.run(ctx, j, st)
	}
	go c.enter(ctx, j, st)
	return nil
}

// openFolder opens the disk of the settings, or else the data folder.
func (c *Control) openFolder() (*wal.Journal, *wal.State, error) {
	fs := c.settings.FS
	if fs == nil {
		var err error
		if fs, err = wal.OpenFolder(c.settings.DataDir); err != nil {
			return nil, nil, err
		}
	}
	return wal.Open(fs)
}

func (c *Control) setIdentity(id *wire.Identity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.identity = id
}

func (c *Control) currentIdentity() *wire.Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.identity
}

// current returns the running replica, or nil.
func (c *Control) current() *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica
}

// run starts the replica over an open journal.
func (c *Control) run(ctx context.Context, j *wal.Journal, st *wal.State) error {
	id := c.currentIdentity()
	restored := consensus.Restored{Hard: st.Hard, Snapshot: st.Snapshot, Entries: st.Entries}
	restored.Fresh = st.Hard == nil && st.Snapshot == nil && len(st.Entries) == 0
	if restored.Fresh && id.Founder {
		restored = consensus.Bootstrap(&wire.Peer{Id: idOf(id), Address: id.Address, FailureDomain: id.FailureDomain})
		if err := j.Compact(restored.Snapshot, restored.Hard, nil); err != nil {
			j.Close()
			return err
		}
	}
	r, err := newReplica(c.settings, c.log, id, j, restored, c.pool)
	if err != nil {
		j.Close()
		return err
	}
	r.entries, r.quarantined = c.entries, c.suspicions.learn
	r.tellQuarantined(r.machine.quarantine.Told(r.clock())...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		j.Close()
		return ErrStopped
	}
	r.start(ctx)
	c.replica = r
	go c.keepJoined(ctx, r)
	go c.keepSettled(ctx, r)
	go c.groups.run(ctx, r)
	if c.lockstep != nil {
		go c.lockstep.run(ctx, r)
	}
	go c.reopenOnFailure(ctx, r)
	return nil
}

// reopenOnFailure starts the replica again from what its disk holds after a write
// or a sync has failed. A full disk refuses every write and is emptied later: a
// replica that stayed out until its process is restarted would leave the others
// without one voter for good.
func (c *Control) reopenOnFailure(ctx context.Context, r *Replica) {
	select {
	case <-ctx.Done():
		return
	case <-r.broken:
	}
	r.close()
	c.mu.Lock()
	c.replica = nil
	c.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reopenInterval):
		}
		err := c.reopen(ctx)
		if err == nil || errors.Is(err, ErrStopped) {
			kernel.Info(c.log, "Replica runs again.", "err", err)
			return
		}
		kernel.Debug(c.log, "Folder can't be opened again yet.", "err", err)
	}
}

func (c *Control) reopen(ctx context.Context) error {
	j, st, err := c.openFolder()
	if err != nil {
		return err
	}
	return c.run(ctx, j, st)
}

// enter finds the cluster that the members belong to, or forms one.
func (c *Control) enter(ctx context.Context, j *wal.Journal, st *wal.State) {
	for {
		id, ok := c.choose(ctx)
		if ok {
			if err := j.WriteIdentity(id); err != nil {
				kernel.Warn(c.log, "Identity can't be written.", "err", err)
				j.Close()
				return
			}
			c.setIdentity(id)
			kernel.Info(c.log, "Belongs to a cluster.", "cluster", id.Cluster, "replica", idOf(id), "founder", id.Founder)
			if err := c.run(ctx, j, st); err != nil && !errors.Is(err, ErrStopped) {
				kernel.Warn(c.log, "Replica can't run.", "err", err)
			}
			return
		}
		select {
		case <-ctx.Done():
			j.Close()
			return
		case <-time.After(joinInterval):
		}
	}
}

// choose asks every other member who it is. If one belongs to a cluster, that
// is ours. If all answer and none does, the one with the lowest name forms a
// cluster; one silent member is enough to wait, because it may know of a
// cluster whose accepted rows a new one would not have.
func (c *Control) choose(ctx context.Context) (*wire.Identity, bool) {
	own := proto.Clone(c.currentIdentity()).(*wire.Identity)
	lowest, answers := true, 0
	for _, addr := range c.others() {
		peer, err := c.identify(ctx, addr)
		if err != nil {
			continue
		}
		if peer.Cluster != "" {
			own.Cluster = peer.Cluster
			return own, true
		}
		answers++
		if peer.Name <= own.Name {
			lowest = false
		}
	}
	if !c.settings.FormCluster || !lowest || answers < len(c.others()) {
		return nil, false
	}
	if !slices.Contains(c.settings.Members, c.place.Address) {
		// Two that are both no member could each find itself the lowest.
		return nil, false
	}
	own.Cluster = rand.Text()
	own.Founder = true
	return own, true
}

func (c *Control) others() []string {
	var list []string
	for _, m := range c.settings.Members {
		if m != c.place.Address {
			list = append(list, m)
		}
	}
	return list
}

func (c *Control) identify(ctx context.Context, addr string) (*wire.Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	id, err := wire.NewDRPCRaftClient(c.pool.Conn(ctx, addr)).Identify(ctx, &wire.IdentifyRequest{})
	if err != nil {
		return nil, merry.Prepend(ErrUnavailable, err.Error())
	}
	return id, nil
}

// keepJoined asks to be taken in while the membership doesn't name this replica,
// or no leader is heard: one that was replaced while it was cut off still finds
// itself named in its own log.
func (c *Control) keepJoined(ctx context.Context, r *Replica) {
	var leaderless time.Time
	for ctx.Err() == nil {
		now := c.settings.Now()
		member, led := r.standing(ctx)
		if led {
			leaderless = now
		}
		wait := standingInterval
		if !member || now.Sub(leaderless) > rejoinAfter {
			c.askAllToJoin(ctx)
			wait = joinInterval
		}
		select {
		case <-ctx.Done():
		case <-r.done:
			return
		case <-time.After(wait):
		}
	}
}

// knownPeers are the addresses of the members in the settings and of those in the
// log; either may be out of date.
func (c *Control) knownPeers(ctx context.Context) []string {
	list := c.others()
	for _, p := range c.DirectoryReplicas(ctx) {
		if p.Address != c.place.Address && !slices.Contains(list, p.Address) {
			list = append(list, p.Address)
		}
	}
	return list
}

// askAllToJoin asks every replica that is known, and those that these know. The
// settings name some of the members only, and on an empty folder the log names none: a
// leader that the settings don't name would never be asked, and the next loss of a disk
// would leave no quorum.
func (c *Control) askAllToJoin(ctx context.Context) {
	list := c.knownPeers(ctx)
	for i := 0; i < len(list) && ctx.Err() == nil; i++ {
		for _, addr := range c.askToJoin(ctx, list[i]) {
			if addr != c.place.Address && !slices.Contains(list, addr) {
				list = append(list, addr)
			}
		}
	}
}

// askToJoin asks a replica to take this one in. One that can't returns the members that
// it knows.
func (c *Control) askToJoin(ctx context.Context, addr string) []string {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	reply, err := wire.NewDRPCRaftClient(c.pool.Conn(ctx, addr)).Join(ctx, &wire.JoinRequest{Identity: c.currentIdentity()})
	if err != nil {
		kernel.Debug(c.log, "Replica can't be asked to take this one in.", "addr", addr, "err", err)
		return nil
	}
	if !reply.Accepted && reply.Detail != "" {
		kernel.Debug(c.log, "Not taken in yet.", "by", addr, "detail", reply.Detail)
	}
	return reply.Members
}

// Stop ends the replica and releases the folder.
func (c *Control) Stop() {
	c.mu.Lock()
	c.stopped = true
	r := c.replica
	c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
	if r != nil {
		r.close()
	}
}

// Formed says whether the cluster takes edits.
func (c *Control) Formed(ctx context.Context) bool {
	r := c.current()
	formed := false
	if r != nil {
		_ = r.do(ctx, func() { formed = r.machine.formed })
	}
	return formed
}

// Dump returns the replica's state for a state dump.
func (c *Control) Dump() any {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	d := struct {
		Identity *wire.Identity `json:"identity"`
		Replica  any            `json:"replica,omitempty"`
		Groups   []groupDump    `json:"groups,omitempty"`
		// Suspicions are of requests under which upstreams ended.
		Suspicions []quarantine.Shown `json:"suspicions"`
	}{Identity: c.currentIdentity(), Groups: c.groups.dump(), Suspicions: quarantine.Show(c.suspicions.all())}
	if r := c.current(); r != nil {
		_ = r.do(ctx, func() { d.Replica = r.dump() })
	}
	return d
}
