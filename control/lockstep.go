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
	// lockstepTick is how often the leader looks after its groups, and
	// lockstepIdleTick how often another replica looks whether it leads.
	lockstepTick     = 25 * time.Millisecond
	lockstepIdleTick = 200 * time.Millisecond
	// lockstepGap is the least time between two looks after answers of ranks: 72 answers
	// to one round of orders come within some milliseconds, and 72 looks at 72 ranks took
	// a leader of 0.12 cores as long as the round itself. A group is held for at most
	// three such times longer.
	lockstepGap = 3 * time.Millisecond
	// lockstepLease is the prefix of these groups among leases.
	lockstepLease = "lockstep/"
	// surveyPeriod is how often entries are told the states of the ranks: requests run
	// for two seconds, and what 192 ranks report takes 6 kB for each entry.
	surveyPeriod = 200 * time.Millisecond
	// dialRank bounds the opening of a connection to a rank.
	dialRank = 500 * time.Millisecond
)

// lockstepLeader looks after the groups whose ranks are called directly, while its
// replica leads.
type lockstepLeader struct {
	settings  *LockstepSettings
	clock     func() time.Time
	log       log.Logger
	pool      *transport.Pool
	ranks     dialect.Ranks
	client    *direct.Client
	upstreams func() []*wire.Announcement

	metrics *kernel.Metrics
	// wake is sent to when a rank has answered an order.
	wake chan struct{}

	// readPeriod is the time between two readings of one rank.
	readPeriod time.Duration

	mu     sync.Mutex
	groups map[string]*lockstepGroup
	// surveys tells the states of the ranks to entries; surveyed is when that was done
	// last, numbered counts them.
	surveys  *surveyFeed
	surveyed time.Time
	numbered uint64

	// ledAt is when this replica led last.
	ledAt time.Time
	// seen is what the directory and the log said, as of seenAt. Looks that follow a
	// rank's answer don't ask again.
	seen   lockstepSeen
	seenAt time.Time
}

// lockstepSeen is what a look at the groups begins from.
type lockstepSeen struct {
	groups map[string]directGroup
	lockstepNow
}

func newLockstepLeader(s Settings, l log.Logger, pool *transport.Pool, m *kernel.Metrics, surveys *surveyFeed) (*lockstepLeader, error) {
	if s.Lockstep == nil {
		return nil, nil
	}
	d, err := dialect.Named(s.Lockstep.Dialect)
	if err != nil {
		return nil, err
	}
	return &lockstepLeader{
		settings: s.Lockstep, clock: s.Now, log: kernel.PartLog(l, "lockstep"), pool: pool, ranks: d,
		client: direct.NewClient(transport.NewDialer(dialRank).DialContext), groups: map[string]*lockstepGroup{},
		wake: make(chan struct{}, 1), metrics: m, surveys: surveys,
	}, nil
}

// lockstepNow is what the log says at one moment.
type lockstepNow struct {
	leads  bool
	config *wire.RoutingConfig
	tokens map[string]uint64
}

func (r *Replica) lockstepNow(ctx context.Context, groups []string) lockstepNow {
	n := lockstepNow{tokens: map[string]uint64{}}
	_ = r.do(ctx, func() {
		n.leads = r.failed == nil && r.takesCalls()
		n.config = r.machine.routing.Current()
		for _, name := range groups {
			n.tokens[name] = r.machine.fence.Token(lockstepLease + name)
		}
	})
	return n
}

// run looks after the groups until the replica stops.
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
			time.Sleep(lockstepGap)
		case <-time.After(wait):
		}
	}
}

// wakeUp makes the leader look at its groups at once: a group may be held until the
// next order of a switch.
func (l *lockstepLeader) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// tick does what is due; it returns whether this replica leads.
func (l *lockstepLeader) tick(ctx context.Context, r *Replica) bool {
	if now := l.clock(); now.Sub(l.seenAt) >= lockstepTick {
		l.seen, l.seenAt = l.look(ctx, r), now
	}
	if !l.seen.leads {
		l.drop(l.clock())
		return false
	}
	l.ledAt = l.clock()
	for name, g := range l.seen.groups {
		l.tickGroup(ctx, r, name, g, l.seen.lockstepNow)
	}
	l.survey()
	return true
}

// look asks the directory and the log.
func (l *lockstepLeader) look(ctx context.Context, r *Replica) lockstepSeen {
	s := lockstepSeen{groups: directGroups(l.upstreams())}
	names := make([]string, 0, len(s.groups))
	sizes := make([]int, 0, len(s.groups))
	for name, g := range s.groups {
		names = append(names, name)
		sizes = append(sizes, g.size)
	}
	l.readPeriod = l.settings.readPeriodFor(sizes)
	s.lockstepNow = r.lockstepNow(ctx, names)
	return s
}

// survey makes the states of the ranks known to the watchers of this replica.
func (l *lockstepLeader) survey() {
	now := l.clock()
	if now.Sub(l.surveyed) < surveyPeriod {
		return
	}
	l.surveyed = now
	var ranks []*wire.RankState
	l.mu.Lock()
	for _, g := range l.groups {
		ranks = append(ranks, g.states(now)...)
	}
	l.mu.Unlock()
	if len(ranks) == 0 {
		return
	}
	states, err := encodeStates(ranks)
	if err != nil {
		kernel.Warn(l.log, "States of ranks can't be encoded.", "err", err)
		return
	}
	l.numbered++
	l.surveys.tell(&toldSurvey{number: l.numbered, states: states, at: now, own: true})
}

func (l *lockstepLeader) tickGroup(ctx context.Context, r *Replica, name string, found directGroup, n lockstepNow) {
	profile := profileOf(n.config, found.service)
	if profile.GetSets() == 0 {
		return
	}
	l.mu.Lock()
	g := l.groups[name]
	l.mu.Unlock()
	if g == nil || g.token != n.tokens[name] {
		token, err := r.takeLease(ctx, lockstepLease+name)
		if err != nil {
			kernel.Debug(l.log, "Group can't be led yet.", "group", name, "err", err)
			return
		}
		n.tokens[name] = token
		g = newLockstepGroup(l, name, token)
		l.mu.Lock()
		l.groups[name] = g
		l.mu.Unlock()
		kernel.Info(l.log, "Leads a group.", "group", name, "token", token)
	}
	g.tick(ctx, l.clock(), found, profile)
}

// keepGroups is how long groups are kept while this replica doesn't lead. One that was late
// loses its lease for some tenths of a second; forming the group anew, with a reading of
// all that its ranks hold, took it longer than it had been late.
const keepGroups = 5 * time.Second

// drop forgets all groups once this replica hasn't led for a while. Until then they stand
// still: nothing is read or ordered. Orders that are on their way carry a fencing token that
// the next leader's replaces; a group that another has led meanwhile has another token
// in the log, and is led anew.
func (l *lockstepLeader) drop(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.ledAt) > keepGroups {
		clear(l.groups)
	}
}

// directGroup is a group as its ranks have registered.
type directGroup struct {
	service string
	latest  directory.GroupEpoch
	size    int
	ranks   map[int]*wire.Announcement
}

// directGroups sorts the ranks that are called directly by group. What the latest
// epoch says holds.
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
		g.latest.Take(a.Direct)
		g.size = max(g.size, int(a.Direct.GroupSize))
		if old := g.ranks[int(a.Rank)]; old == nil || a.Direct.GroupEpoch >= old.Direct.GroupEpoch {
			g.ranks[int(a.Rank)] = a
		}
		groups[a.Group] = g
	}
	return groups
}

// domains are the failure domains of the ranks; empty for one that isn't known.
func (g *directGroup) domains() []string {
	list := make([]string, g.size)
	for i := range list {
		list[i] = g.ranks[i].GetFailureDomain()
	}
	return list
}

// whole says whether every rank is known.
func (g *directGroup) whole() bool { return g.size > 0 && len(g.ranks) == g.size }

func profileOf(c *wire.RoutingConfig, service string) *wire.EngineProfile {
	for _, s := range c.GetServices() {
		if s.Name == service {
			return s.Engine
		}
	}
	return nil
}
