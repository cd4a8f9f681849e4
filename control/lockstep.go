package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/direct"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

const (
	// lockstepTick is the tick interval of the leader, and lockstepIdleTick the interval
	// at which another replica checks whether it leads.
	lockstepTick     = 25 * time.Millisecond
	lockstepIdleTick = 200 * time.Millisecond
	// lockstepReplyDelay is the delay before the tick that a rank's answer triggers, so
	// that one tick handles many answers to a round of orders.
	lockstepReplyDelay = 3 * time.Millisecond
	// lockstepLeasePrefix is the prefix of these groups in the names of leases.
	lockstepLeasePrefix = "lockstep/"
	// surveyPeriod is the interval at which rank states are published to entries.
	surveyPeriod = 200 * time.Millisecond
	// rankDialTimeout bounds the time to connect to a rank.
	rankDialTimeout = 500 * time.Millisecond
)

// lockstepLeader manages the groups whose ranks are called directly while its replica
// leads.
type lockstepLeader struct {
	settings    *LockstepSettings
	clock       func() time.Time
	log         log.Logger
	pool        *transport.Pool
	rankDialect dialect.Ranks
	client      *direct.Client
	upstreams   func() []*wire.Announcement
	// onRankAnswer is called for each rank that has answered a reading; it may be nil.
	onRankAnswer func(instance string, incarnation uint64)

	metrics *kernel.Metrics
	// wake triggers a tick when a rank has answered an order.
	wake chan struct{}

	// readPeriod is the interval between two readings of one rank.
	readPeriod time.Duration

	mu     sync.Mutex
	groups map[string]*lockstepGroup
	// surveys publishes the states of the ranks; surveyedAt is when it last did, and
	// surveyNumber is the number of the latest survey.
	surveys      *surveyFeed
	surveyedAt   time.Time
	surveyNumber uint64

	// lastLedAt is when this replica last led.
	lastLedAt time.Time
	// snapshot is the state of the directory and the log at snapshotAt. Ticks triggered
	// by a rank's answer reuse it for up to lockstepTick.
	snapshot   lockstepSnapshot
	snapshotAt time.Time
}

// lockstepSnapshot is the state of the directory and the log that a tick starts from.
type lockstepSnapshot struct {
	groups map[string]directGroup
	lockstepLogState
}

func newLockstepLeader(s Settings, l log.Logger, pool *transport.Pool, m *kernel.Metrics, surveys *surveyFeed) (*lockstepLeader, error) {
	if s.Lockstep == nil {
		return nil, nil
	}
	d, err := dialect.ByName(s.Lockstep.Dialect)
	if err != nil {
		return nil, err
	}
	return &lockstepLeader{
		settings: s.Lockstep, clock: s.Now, log: kernel.PartLog(l, "lockstep"), pool: pool, rankDialect: d,
		client: direct.NewClient(transport.NewDialer(rankDialTimeout).DialContext), groups: map[string]*lockstepGroup{},
		wake: make(chan struct{}, 1), metrics: m, surveys: surveys,
	}, nil
}

// lockstepLogState is what the log says of the groups at one moment. tokens holds the
// fencing token of each group.
type lockstepLogState struct {
	isLeader bool
	config   *wire.RoutingConfig
	tokens   map[string]uint64
}

func (r *Replica) readLockstepState(ctx context.Context, groups []string) lockstepLogState {
	state := lockstepLogState{tokens: map[string]uint64{}}
	_ = r.runInLoop(ctx, func() {
		state.isLeader = r.failed == nil && r.acceptsLeaderCalls()
		state.config = r.machine.routing.Current()
		for _, name := range groups {
			state.tokens[name] = r.machine.fence.Token(lockstepLeasePrefix + name)
		}
	})
	return state
}

// run drives the groups until the replica stops.
func (l *lockstepLeader) run(ctx context.Context, r *Replica) {
	for {
		wait := lockstepIdleTick
		if l.tick(ctx, r) {
			wait = lockstepTick
		}
		select {
		case <-ctx.Done():
			return
		case <-r.done:
			return
		case <-l.wake:
			time.Sleep(lockstepReplyDelay)
		case <-time.After(wait):
		}
	}
}

// requestTick makes run tick without waiting for the interval: during a switch the group
// may be held until the next order.
func (l *lockstepLeader) requestTick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// tick runs one iteration and returns whether the next one is due after lockstepTick.
func (l *lockstepLeader) tick(ctx context.Context, r *Replica) bool {
	if now := l.clock(); now.Sub(l.snapshotAt) >= lockstepTick {
		l.snapshot, l.snapshotAt = l.readSnapshot(ctx, r), now
	}
	if !l.snapshot.isLeader {
		unfinished := l.finishSwitches(ctx, l.clock())
		l.dropGroups(l.clock())
		return unfinished
	}
	l.lastLedAt = l.clock()
	for name, g := range l.snapshot.groups {
		l.tickGroup(ctx, r, name, g, l.snapshot.lockstepLogState)
	}
	l.publishSurvey()
	return true
}

// readSnapshot reads the directory and the log, and adapts readPeriod to the groups' sizes.
func (l *lockstepLeader) readSnapshot(ctx context.Context, r *Replica) lockstepSnapshot {
	s := lockstepSnapshot{groups: directGroups(l.upstreams())}
	names := make([]string, 0, len(s.groups))
	sizes := make([]int, 0, len(s.groups))
	for name, g := range s.groups {
		names = append(names, name)
		sizes = append(sizes, g.size)
	}
	l.readPeriod = l.settings.readPeriodFor(sizes)
	s.lockstepLogState = r.readLockstepState(ctx, names)
	return s
}

// publishSurvey publishes the states of the ranks to the watchers of this replica, once
// per surveyPeriod.
func (l *lockstepLeader) publishSurvey() {
	now := l.clock()
	if now.Sub(l.surveyedAt) < surveyPeriod {
		return
	}
	l.surveyedAt = now
	var ranks []*wire.RankState
	l.mu.Lock()
	for _, g := range l.groups {
		ranks = append(ranks, g.rankStates(now)...)
	}
	l.mu.Unlock()
	if len(ranks) == 0 {
		return
	}
	states, err := encodeRankStates(ranks)
	if err != nil {
		kernel.Warn(l.log, "Rank states can't be encoded.", "err", err)
		return
	}
	l.surveyNumber++
	l.surveys.publish(&publishedSurvey{number: l.surveyNumber, states: states, takenAt: now, local: true})
}

func (l *lockstepLeader) tickGroup(ctx context.Context, r *Replica, name string, found directGroup, state lockstepLogState) {
	profile := engineProfileOf(state.config, found.service)
	if profile.GetSets() == 0 {
		return
	}
	l.mu.Lock()
	g := l.groups[name]
	l.mu.Unlock()
	if g == nil || g.token != state.tokens[name] {
		token, err := r.acquireGroupLease(ctx, lockstepLeasePrefix+name)
		if err != nil {
			kernel.Debug(l.log, "Group lease can't be acquired yet.", "group", name, "err", err)
			return
		}
		state.tokens[name] = token
		g = newLockstepGroup(l, name, token)
		l.mu.Lock()
		l.groups[name] = g
		l.mu.Unlock()
		kernel.Info(l.log, "Became leader of a group.", "group", name, "token", token)
	}
	g.tick(ctx, l.clock(), found, profile)
}

// groupRetention is how long groups are kept after this replica last led. A leader that
// loses its lease for a moment then needn't read the experts of all ranks again.
const groupRetention = 5 * time.Second

// dropGroups removes all groups once this replica hasn't led for groupRetention. Until
// then nothing is read or ordered. Keeping them is safe: the fencing token of orders in
// flight is superseded by the next leader's, and a group that another replica has led
// meanwhile has another token in the log and is set up again.
func (l *lockstepLeader) dropGroups(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastLedAt) > groupRetention {
		clear(l.groups)
	}
}

// switchFinishTime is how long after losing its lease a leader goes on with a switch that
// holds a group: about the time until the next leader has been elected and has read the
// ranks.
const switchFinishTime = 600 * time.Millisecond

// finishSwitches goes on with the switches that hold a group after this replica has lost its
// lease, and returns whether some are unfinished.
//
// It guards against a leader that is partitioned from the other replicas in the middle of a
// switch, but not from the ranks: no pass would begin until the next leader had released the
// group. It is safe because a switch keeps its invariant beside another leader's: the first
// order of the next leader makes the ranks reject all later ones of this leader.
func (l *lockstepLeader) finishSwitches(ctx context.Context, now time.Time) (unfinished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastLedAt) > switchFinishTime {
		return false
	}
	for _, g := range l.groups {
		unfinished = g.finishSwitch(ctx, now) || unfinished
	}
	return unfinished
}

// directGroup is a group as registered by its ranks.
type directGroup struct {
	service     string
	latestEpoch directory.GroupEpoch
	size        int
	ranks       map[int]*wire.Announcement
}

// directGroups groups the announcements of ranks that are called directly. Those of a
// later group epoch take precedence.
func directGroups(list []*wire.Announcement) map[string]directGroup {
	groups := map[string]directGroup{}
	for _, a := range list {
		if a.Group == "" || a.Direct == nil || len(a.Pools) == 0 {
			continue
		}
		g, ok := groups[a.Group]
		if !ok {
			g = directGroup{service: a.Pools[0], ranks: map[int]*wire.Announcement{}}
		}
		g.latestEpoch.Merge(a.Direct)
		g.size = max(g.size, int(a.Direct.GroupSize))
		if old := g.ranks[int(a.Rank)]; old == nil || a.Direct.GroupEpoch >= old.Direct.GroupEpoch {
			g.ranks[int(a.Rank)] = a
		}
		groups[a.Group] = g
	}
	return groups
}

// failureDomains returns the failure domain of each rank; empty if the rank isn't registered.
func (g *directGroup) failureDomains() []string {
	list := make([]string, g.size)
	for i := range list {
		list[i] = g.ranks[i].GetFailureDomain()
	}
	return list
}

// complete reports whether every rank is registered.
func (g *directGroup) complete() bool { return g.size > 0 && len(g.ranks) == g.size }

// engineProfileOf returns the engine profile of a service; nil if it has none.
func engineProfileOf(c *wire.RoutingConfig, service string) *wire.EngineProfile {
	for _, s := range c.GetServices() {
		if s.Name == service {
			return s.Engine
		}
	}
	return nil
}
