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

	"github.com/snipereach/snipereach/backpressure"
	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep/leader"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/retry"
	"github.com/snipereach/snipereach/teamshare"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wal"
	"github.com/snipereach/snipereach/wire"
)

const (
	// joinInterval is the time between two attempts to form or join a cluster.
	joinInterval    = 300 * time.Millisecond
	identifyTimeout = time.Second
	// membershipCheckInterval is how often a member checks whether it knows a leader.
	membershipCheckInterval = time.Second
	// rejoinAfter is how long a member knows no leader before it asks to join again. It is
	// longer than an election usually takes.
	rejoinAfter = 3 * time.Second
	// reopenInterval is the time between two attempts to reopen the journal after a disk
	// error.
	reopenInterval = 500 * time.Millisecond
)

// ReplicaInfo is the name and location of a control replica.
type ReplicaInfo struct {
	// Name must be unique among the members.
	Name          string
	Address       string
	FailureDomain string
}

// Control opens the data folder of a control replica, forms or joins a cluster, and then runs
// a Replica.
type Control struct {
	packed packedRouting
	// routingWatchers is the number of open watches of the routing version.
	routingWatchers atomic.Int64

	settings Settings
	info     ReplicaInfo
	log      log.Logger
	pool     *transport.Pool

	entries  func() []*wire.RingMember
	groups   *groupLeader
	lockstep *leader.Leader
	surveys  *surveyFeed
	metrics  *kernel.Metrics
	// suspicions are about requests that may crash upstreams.
	suspicions *suspicionStore
	// lender lends retries to gateways.
	lender *retry.Lender
	// statements are what upstreams ask of gateways, permits lends permits within their limits.
	statements *statementStore
	permits    *backpressure.Lender
	// demand sums up what callers ask of contended services.
	demand *teamshare.Collector
	// silences are reports of silent upstreams.
	silences silenceStore

	mu       sync.Mutex
	identity *wire.Identity
	replica  *Replica
	stopped  bool
	cancel   context.CancelFunc
}

// New returns a control replica. It returns an error if the settings are invalid.
func New(s Settings, l log.Logger, pool *transport.Pool) (*Control, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	s.Now = s.Clock()
	c := &Control{settings: s, log: kernel.PartLog(l, "control"), pool: pool, surveys: &surveyFeed{}, metrics: kernel.NewMetrics(), suspicions: newSuspicionStore(s.Now), lender: retry.NewLender(s.Now), statements: newStatementStore(s.Now), permits: backpressure.NewLender(s.Now), demand: teamshare.NewCollector(s.Now)}
	c.groups = newGroupLeader(s, kernel.PartLog(l, "groups"), pool)
	if s.Lockstep == nil {
		return c, nil
	}
	var err error
	c.lockstep, err = leader.New(leader.Options{
		Settings: *s.Lockstep, Clock: s.Now, Logger: kernel.PartLog(l, "lockstep"), Pool: pool, Metrics: c.metrics,
		Publish: c.surveys.publishLocal,
	})
	return c, err
}

// Metrics returns the counters of the replica.
func (c *Control) Metrics() *kernel.Metrics { return c.metrics }

// SetEntrySource sets the source from which a leader learns which entries are up. It must be
// called before Start; without it there is no ring of claim registers.
func (c *Control) SetEntrySource(f func() []*wire.RingMember) { c.entries = f }

// SetUpstreamSource sets the source from which a leader learns which ranks of groups are up. It
// must be called before Start; without it groups are not managed.
func (c *Control) SetUpstreamSource(f func() []*wire.Announcement) {
	c.groups.upstreams = f
	if c.lockstep != nil {
		c.lockstep.SetUpstreamSource(f)
	}
}

// SetRankAnswerHandler sets the function that is called for each rank of a lock-step group
// that has answered a reading of its leader. It must be called before Start.
func (c *Control) SetRankAnswerHandler(f func(instance string, incarnation uint64)) {
	if c.lockstep != nil {
		c.lockstep.SetRankAnswerHandler(f)
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
	if err := wire.DRPCRegisterBackpressure(mux, backpressureService{&service{c}}); err != nil {
		return err
	}
	if err := wire.DRPCRegisterDemand(mux, demandService{c}); err != nil {
		return err
	}
	if err := wire.DRPCRegisterOutliers(mux, outlierService{&service{c}}); err != nil {
		return err
	}
	return wire.DRPCRegisterControl(mux, &service{c})
}

// Start opens the journal. If the replica belongs to a cluster, Start runs it; otherwise it
// forms or joins a cluster in the background.
func (c *Control) Start(ctx context.Context, p ReplicaInfo) error {
	c.info = p
	ctx, c.cancel = context.WithCancel(ctx)
	j, st, err := c.openJournal()
	if err != nil {
		return err
	}
	if st.TornBytes > 0 {
		kernel.Info(c.log, "Truncated a torn write at the end of the journal.", "bytes", st.TornBytes)
	}
	id := st.Identity
	if id == nil {
		id = &wire.Identity{Name: p.Name, Incarnation: rand.Text()}
	}
	id.Address, id.FailureDomain = p.Address, p.FailureDomain
	c.setIdentity(id)
	if id.Cluster != "" {
		return c.runReplica(ctx, j, st)
	}
	go c.enterCluster(ctx, j, st)
	return nil
}

func (c *Control) openJournal() (*wal.Journal, *wal.State, error) {
	fs, err := c.settings.OpenFolder()
	if err != nil {
		return nil, nil, err
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

// currentReplica returns the running replica, or nil.
func (c *Control) currentReplica() *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica
}

// runReplica restores the replica from an open journal and starts it and the loops that serve
// it. It closes the journal on an error, which is ErrStopped after Stop.
func (c *Control) runReplica(ctx context.Context, j *wal.Journal, st *wal.State) error {
	id := c.currentIdentity()
	restored := consensus.Restored{HardState: st.HardState, Snapshot: st.Snapshot, Entries: st.Entries}
	restored.Fresh = st.HardState == nil && st.Snapshot == nil && len(st.Entries) == 0
	if restored.Fresh && id.Founder {
		restored = consensus.Bootstrap(&wire.Peer{Id: idOf(id), Address: id.Address, FailureDomain: id.FailureDomain})
		if err := j.Compact(restored.Snapshot, restored.HardState, nil); err != nil {
			j.Close()
			return err
		}
	}
	r, err := newReplica(c.settings, c.log, id, j, restored, c.pool)
	if err != nil {
		j.Close()
		return err
	}
	r.liveEntries, r.onQuarantines = c.entries, c.suspicions.merge
	r.notifyQuarantines(r.machine.quarantine.Suspicions(r.clock())...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		j.Close()
		return ErrStopped
	}
	r.start(ctx)
	c.replica = r
	go c.ensureJoined(ctx, r)
	go c.syncQuarantinesToLog(ctx, r)
	go c.groups.run(ctx, r)
	if c.lockstep != nil {
		go c.lockstep.Run(ctx, lockstepLog{r})
	}
	go c.reopenOnFailure(ctx, r)
	return nil
}

// reopenOnFailure waits until the replica fails, e.g. because the disk is full, and then
// retries to restart it from its journal. Without this the cluster would lack a voter until
// the process is restarted.
func (c *Control) reopenOnFailure(ctx context.Context, r *Replica) {
	select {
	case <-ctx.Done():
		return
	case <-r.failedCh:
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
		kernel.Debug(c.log, "Replica could not be reopened; it will be retried.", "err", err)
	}
}

func (c *Control) reopen(ctx context.Context) error {
	j, st, err := c.openJournal()
	if err != nil {
		return err
	}
	return c.runReplica(ctx, j, st)
}

// enterCluster retries until it has found the cluster that the members belong to or may form
// one. It then writes the identity to the journal and runs the replica.
func (c *Control) enterCluster(ctx context.Context, j *wal.Journal, st *wal.State) {
	for {
		id, ok := c.chooseCluster(ctx)
		if ok {
			if err := j.WriteIdentity(id); err != nil {
				kernel.Warn(c.log, "Identity could not be written.", "err", err)
				j.Close()
				return
			}
			c.setIdentity(id)
			kernel.Info(c.log, "Found or formed a cluster.", "cluster", id.Cluster, "replica", idOf(id), "founder", id.Founder)
			if err := c.runReplica(ctx, j, st); err != nil && !errors.Is(err, ErrStopped) {
				kernel.Warn(c.log, "Replica could not be started.", "err", err)
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

// chooseCluster asks every other member for its identity and returns this replica's own
// identity with a cluster. If a member belongs to a cluster, it is that one. If all members
// answer and none belongs to a cluster, the one with the lowest name forms a new one. While a
// member doesn't answer, no cluster is formed, because that member may belong to a cluster
// whose rows would be missing in a new one.
func (c *Control) chooseCluster(ctx context.Context) (*wire.Identity, bool) {
	own := proto.Clone(c.currentIdentity()).(*wire.Identity)
	lowest, answers := true, 0
	for _, addr := range c.otherMembers() {
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
	if !c.settings.FormCluster || !lowest || answers < len(c.otherMembers()) {
		return nil, false
	}
	if !slices.Contains(c.settings.Members, c.info.Address) {
		// Of several replicas that Members doesn't list, each could find itself the lowest.
		return nil, false
	}
	own.Cluster = rand.Text()
	own.Founder = true
	return own, true
}

func (c *Control) otherMembers() []string {
	var list []string
	for _, m := range c.settings.Members {
		if m != c.info.Address {
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

// ensureJoined requests to join while the membership doesn't include this replica, or while it
// has known no leader for rejoinAfter or since its start. The latter is for a replica that was
// removed during a partition: its own log still includes it.
func (c *Control) ensureJoined(ctx context.Context, r *Replica) {
	var hadLeaderAt time.Time
	for ctx.Err() == nil {
		now := c.settings.Now()
		member, hasLeader := r.membershipStatus(ctx)
		if hasLeader {
			hadLeaderAt = now
		}
		wait := membershipCheckInterval
		if !member || now.Sub(hadLeaderAt) > rejoinAfter {
			c.requestJoinFromAll(ctx)
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

// ReplicaAddresses returns the addresses of the other members in the settings and on the
// log. Either may be out of date.
func (c *Control) ReplicaAddresses(ctx context.Context) []string {
	list := c.otherMembers()
	for _, p := range c.DirectoryReplicas(ctx) {
		if p.Address != c.info.Address && !slices.Contains(list, p.Address) {
			list = append(list, p.Address)
		}
	}
	return list
}

// requestJoinFromAll requests to join at every known replica and at the replicas that these
// return. Otherwise a replica with an empty data folder could not find a leader that its
// settings don't list.
func (c *Control) requestJoinFromAll(ctx context.Context) {
	list := c.ReplicaAddresses(ctx)
	for i := 0; i < len(list) && ctx.Err() == nil; i++ {
		for _, addr := range c.requestJoin(ctx, list[i]) {
			if addr != c.info.Address && !slices.Contains(list, addr) {
				list = append(list, addr)
			}
		}
	}
}

// requestJoin asks a replica to add this one to the membership. It returns the addresses of
// the members that the replica knows, if it isn't the leader.
func (c *Control) requestJoin(ctx context.Context, addr string) []string {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	reply, err := wire.NewDRPCRaftClient(c.pool.Conn(ctx, addr)).Join(ctx, &wire.JoinRequest{Identity: c.currentIdentity()})
	if err != nil {
		kernel.Debug(c.log, "Join request failed.", "addr", addr, "err", err)
		return nil
	}
	if !reply.Accepted && reply.Detail != "" {
		kernel.Debug(c.log, "Join request was refused; it will be retried.", "by", addr, "detail", reply.Detail)
	}
	return reply.Members
}

// Stop stops the replica and closes the journal.
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

// DurableCopies returns how many replicas must hold a fact on their disks so that it survives the
// losses that the cluster bears: a majority of the voters.
func (c *Control) DurableCopies() int { return c.settings.voterTarget()/2 + 1 }

// Formed reports whether the cluster is formed and accepts edits. It is false if the replica
// doesn't run or ctx ends.
func (c *Control) Formed(ctx context.Context) bool {
	r := c.currentReplica()
	formed := false
	if r != nil {
		_ = r.runInLoop(ctx, func() { formed = r.machine.formed })
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
		// Suspicions are about requests that may crash upstreams.
		Suspicions []quarantine.SuspicionView `json:"suspicions"`
		Upstreams  []backpressure.View        `json:"backpressure"`
	}{
		Identity: c.currentIdentity(), Groups: c.groups.dump(), Suspicions: quarantine.SuspicionViews(c.suspicions.all()),
		Upstreams: backpressure.Views(c.statements.all(), c.statements.allRests()),
	}
	if r := c.currentReplica(); r != nil {
		_ = r.runInLoop(ctx, func() { d.Replica = r.dump() })
	}
	return d
}
