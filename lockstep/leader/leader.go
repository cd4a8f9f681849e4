// Package leader manages the groups in lock-step of a cluster while its replica leads the
// replicated log: it reads the ranks, plans expert maps for their demand, switches the groups
// to them and publishes surveys of the ranks' load. It connects the decisions of package
// lockstep to the network and the clock.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/direct"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

const (
	// tickInterval is the tick interval of the leader, and idleTickInterval the interval
	// at which another replica checks whether it leads.
	tickInterval     = 25 * time.Millisecond
	idleTickInterval = 200 * time.Millisecond
	// replyDelay is the delay before the tick that a rank's answer triggers, so
	// that one tick handles many answers to a round of orders: with a tick for each of 72
	// answers, a leader with 0.12 cores took as long for them as the round itself. A group is
	// held for at most three such times longer.
	replyDelay = 3 * time.Millisecond
	// surveyPeriod is the interval at which rank states are published to entries. Requests run
	// for about two seconds, and the states of 192 ranks take 6 kB for each entry.
	surveyPeriod = 200 * time.Millisecond
	// rankDialTimeout bounds the time to connect to a rank.
	rankDialTimeout = 500 * time.Millisecond
)

// ReplicatedLog is the replicated log, as a Leader uses it.
type ReplicatedLog interface {
	// State returns what the log says of groups, given by name.
	State(ctx context.Context, groups []string) LogState
	// AcquireLease acquires the lease of a group and returns its fencing token.
	AcquireLease(ctx context.Context, group string) (token uint64, err error)
	// Done is closed when the replica stops.
	Done() <-chan struct{}
}

// LogState is what the log says of the groups at one moment.
type LogState struct {
	// Leads says that this replica leads the log.
	Leads bool
	// Config is the routing configuration in force; nil if there is none.
	Config *wire.RoutingConfig
	// Tokens holds the fencing token of each group by name; 0 if its lease was never acquired.
	Tokens map[string]uint64
}

// Survey is the state of the ranks of all groups at one moment.
type Survey struct {
	Number uint64
	// States is an encoded wire.RankStates.
	States  []byte
	TakenAt time.Time
}

// Options are what a Leader needs of its process.
type Options struct {
	Settings Settings
	Clock    func() time.Time
	Logger   log.Logger
	Pool     *transport.Pool
	Metrics  *kernel.Metrics
	// Publish publishes a survey to the entries.
	Publish func(Survey)
}

// Leader manages the groups whose ranks are called directly while its replica leads.
type Leader struct {
	settings    *Settings
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
	groups map[string]*group
	// publish publishes the states of the ranks; surveyedAt is when it last did, and
	// surveyNumber is the number of the latest survey.
	publish      func(Survey)
	surveyedAt   time.Time
	surveyNumber uint64

	// lastLedAt is when this replica last led.
	lastLedAt time.Time
	// view is the state of the directory and the log at viewAt. Ticks triggered by a rank's
	// answer reuse it for up to tickInterval.
	view   view
	viewAt time.Time
}

// view is the state of the directory and the log that a tick starts from.
type view struct {
	groups map[string]registeredGroup
	LogState
}

// New returns a Leader. It returns an error if the settings name an unknown dialect.
func New(o Options) (*Leader, error) {
	d, err := dialect.ByName(o.Settings.Dialect)
	if err != nil {
		return nil, err
	}
	return &Leader{
		settings: &o.Settings, clock: o.Clock, log: o.Logger, pool: o.Pool, rankDialect: d,
		client: direct.NewClient(transport.NewDialer(rankDialTimeout).DialContext), groups: map[string]*group{},
		wake: make(chan struct{}, 1), metrics: o.Metrics, publish: o.Publish,
	}, nil
}

// SetUpstreamSource sets the source of the ranks' registrations. It must be called before Run.
func (l *Leader) SetUpstreamSource(f func() []*wire.Announcement) { l.upstreams = f }

// SetRankAnswerHandler sets the function that is called for each rank that has answered a
// reading. It must be called before Run.
func (l *Leader) SetRankAnswerHandler(f func(instance string, incarnation uint64)) {
	l.onRankAnswer = f
}

// Run drives the groups until ctx is done or the replica stops.
func (l *Leader) Run(ctx context.Context, r ReplicatedLog) {
	for {
		wait := idleTickInterval
		if l.tick(ctx, r) {
			wait = tickInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-r.Done():
			return
		case <-l.wake:
			time.Sleep(replyDelay)
		case <-time.After(wait):
		}
	}
}

// requestTick makes Run tick without waiting for the interval: during a switch the group
// may be held until the next order.
func (l *Leader) requestTick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// tick runs one iteration and returns whether the next one is due after tickInterval.
func (l *Leader) tick(ctx context.Context, r ReplicatedLog) bool {
	if now := l.clock(); now.Sub(l.viewAt) >= tickInterval {
		l.view, l.viewAt = l.readView(ctx, r), now
	}
	if !l.view.Leads {
		unfinished := l.finishSwitches(ctx, l.clock())
		l.dropGroups(l.clock())
		return unfinished
	}
	l.lastLedAt = l.clock()
	for name, g := range l.view.groups {
		l.tickGroup(ctx, r, name, g, l.view.LogState)
	}
	l.publishSurvey()
	return true
}

// readView reads the directory and the log, and adapts readPeriod to the groups' sizes.
func (l *Leader) readView(ctx context.Context, r ReplicatedLog) view {
	v := view{groups: registeredGroups(l.upstreams())}
	names := make([]string, 0, len(v.groups))
	sizes := make([]int, 0, len(v.groups))
	for name, g := range v.groups {
		names = append(names, name)
		sizes = append(sizes, g.size)
	}
	l.readPeriod = l.settings.readPeriodFor(sizes)
	v.LogState = r.State(ctx, names)
	return v
}

// publishSurvey publishes the states of the ranks once per surveyPeriod.
func (l *Leader) publishSurvey() {
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
	states, err := proto.Marshal(&wire.RankStates{Ranks: ranks})
	if err != nil {
		kernel.Warn(l.log, "Rank states can't be encoded.", "err", err)
		return
	}
	l.surveyNumber++
	l.publish(Survey{Number: l.surveyNumber, States: states, TakenAt: now})
}

func (l *Leader) tickGroup(ctx context.Context, r ReplicatedLog, name string, found registeredGroup, state LogState) {
	profile := engineProfileOf(state.Config, found.service)
	if profile.GetSets() == 0 {
		return
	}
	l.mu.Lock()
	g := l.groups[name]
	l.mu.Unlock()
	if g == nil || g.token != state.Tokens[name] {
		token, err := r.AcquireLease(ctx, name)
		if err != nil {
			kernel.Debug(l.log, "Group lease can't be acquired yet.", "group", name, "err", err)
			return
		}
		state.Tokens[name] = token
		g = newGroup(l, name, token)
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
// then nothing is read or ordered, but by finishSwitches. Keeping them is safe: the fencing token of orders in
// flight is superseded by the next leader's, and a group that another replica has led
// meanwhile has another token in the log and is set up again.
func (l *Leader) dropGroups(now time.Time) {
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
// group. It is safe because the invariant of a switch holds beside the orders of another leader:
// any leader may be late to learn that it was replaced, and a rank that has had an order of
// the next one rejects those of this one.
func (l *Leader) finishSwitches(ctx context.Context, now time.Time) (unfinished bool) {
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
