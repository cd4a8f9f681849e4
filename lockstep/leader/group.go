package leader

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/wire"
)

// reportLagFactor allows for reports that are older than the engine profile says.
const reportLagFactor = 2

// group runs one group under one fencing token: it connects a Switcher to the
// network and the clock, and plans maps from the ranks' counters.
type group struct {
	*Leader
	name  string
	token uint64

	mu            sync.Mutex
	epoch         uint64
	shape         lockstep.Shape
	links         []*rankLink
	relays        *lockstep.Relays
	switcher      *lockstep.Switcher
	demand        *lockstep.DemandEstimate
	schedule      lockstep.PlanSchedule
	planning      bool
	loggedPhase   lockstep.Phase
	proposal      lockstep.Proposal
	switchBeganAt time.Time
	// holdBeganAt is when the switch in progress began to hold the group; zero if it hasn't.
	holdBeganAt   time.Time
	holdCost      lockstep.HoldCost
	stateLoggedAt time.Time
	// delayLogged is the version of the latest switch for which a delay of the hold was logged.
	delayLogged uint64
	// incompleteLoggedAt is when missing ranks were last logged.
	incompleteLoggedAt time.Time
	// shiftsAtBegin is the number of demand shifts seen when the latest switch began.
	shiftsAtBegin int
	// reportLag is the assumed maximum age of a report that a rank gives to another host.
	reportLag time.Duration
}

func newGroup(l *Leader, name string, token uint64) *group {
	return &group{Leader: l, name: name, token: token}
}

// tick applies the ranks' registrations and the engine profile, and does what is due.
func (g *group) tick(ctx context.Context, now time.Time, found registeredGroup, profile *wire.EngineProfile) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A switch in progress continues while a registration is missing: the group may be
	// held, and the ranks can be reached at their last addresses.
	switching := g.switcher != nil && g.switcher.Phase() != lockstep.Idle
	if (!found.complete() || found.latestEpoch.Broken) && !switching {
		g.logIncomplete(now, found)
		return
	}
	shape := lockstep.ShapeOf(profile, found.size)
	if !shape.Valid() {
		return
	}
	g.reportLag = reportLagFactor * time.Duration(profile.GetReportLagMs()*float64(time.Millisecond))
	g.updateLinks(found, shape)
	g.readRanks(ctx, now)
	g.sendOrders(ctx, now, g.switcher.Tick(now))
	g.logPhase(now)
	g.logHoldDelay()
	g.logState(now)
	g.startPlanning(ctx, now)
}

// finishSwitch goes on with a switch that holds the group, and returns whether it is
// unfinished. It begins no other one.
func (g *group) finishSwitch(ctx context.Context, now time.Time) (unfinished bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.switcher == nil || !g.switcher.HoldsGroup() || g.switcher.Fenced() {
		return false
	}
	g.readRanks(ctx, now)
	g.sendOrders(ctx, now, g.switcher.Tick(now))
	g.logPhase(now)
	return g.switcher.HoldsGroup()
}

// updateLinks updates the links of ranks that have restarted or moved. It first starts a
// new epoch if the group has formed again or has another shape.
func (g *group) updateLinks(found registeredGroup, shape lockstep.Shape) {
	if g.switcher == nil || found.latestEpoch.Epoch > g.epoch || shape != g.shape {
		g.startEpoch(found, shape)
	}
	for i, link := range g.links {
		a := found.ranks[i]
		if a == nil {
			continue
		}
		if link.instance != a.Id || link.incarnation != a.Incarnation {
			*link = rankLink{instance: a.Id, incarnation: a.Incarnation, address: a.Address}
		}
		link.address = a.Address
	}
}

// startEpoch resets the state for the epoch and the shape in which the group has formed.
func (g *group) startEpoch(found registeredGroup, shape lockstep.Shape) {
	epoch := found.latestEpoch.Epoch
	g.epoch, g.shape = epoch, shape
	g.relays = lockstep.NewRelays(found.failureDomains())
	cfg := lockstep.DefaultConfig(shape.Ranks, g.token, epoch)
	if g.settings.SidecarPort == 0 {
		// Without this, each hold of a group without sidecars would be delayed: all of its
		// readings are taken to be older by this time.
		cfg.MaxReadingAge += g.reportLag
	}
	if g.switcher != nil {
		cfg.LastVersion = g.switcher.LastVersion()
	}
	g.switcher = lockstep.New(cfg)
	if g.demand == nil || len(g.links) != shape.Ranks {
		// The estimate is kept when the group forms again: the demand is the callers'.
		g.demand = lockstep.NewDemandEstimate(lockstep.DemandSettingsFor(g.readPeriod), shape)
	}
	g.links = make([]*rankLink, shape.Ranks)
	for i := range g.links {
		g.links[i] = &rankLink{}
	}
	g.loggedPhase = lockstep.Idle
	kernel.Info(g.log, "Group formed.", "group", g.name, "epoch", epoch, "ranks", shape.Ranks, "calls", g.relays.CallCount(), "read_ms", g.readPeriod.Milliseconds(), "token", g.token)
}

// startPlanning looks for a better map in a goroutine of its own and begins the switch to
// it.
func (g *group) startPlanning(ctx context.Context, now time.Time) {
	slowdown := g.rankSlowdowns()
	if g.planning || !g.canBeginSwitch(now) || !g.demand.Stable() || !g.schedule.StartIfDue(now, g.demand.Shifts(), slowdown) {
		return
	}
	g.planning = true
	shape, current, switcher := g.shape, g.switcher.Current(), g.switcher
	load := lockstep.CloneShares(g.demand.Load())
	go func() {
		p, ok := lockstep.Plan(shape, lockstep.DefaultPlanSettings(), current, load, slowdown)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.planning = false
		if ok && !g.holdCost.Allows(g.clock(), p.SkewBefore-p.SkewAfter) {
			g.metrics.Count("lockstep.switches.not_worth_hold")
			ok = false
		}
		if !ok {
			g.schedule.MarkNoResult()
		}
		if !ok || ctx.Err() != nil || g.switcher != switcher || !g.canBeginSwitch(g.clock()) {
			return
		}
		g.proposal, g.switchBeganAt, g.shiftsAtBegin = p, g.clock(), g.demand.Shifts()
		switcher.Begin(g.clock(), p.Map)
	}()
}

// canBeginSwitch reports whether a switch may begin now: the switcher is ready for one, or
// the switch in progress is still preparing and the demand has shifted since it began.
func (g *group) canBeginSwitch(now time.Time) bool {
	return g.switcher.Ready(now) || g.switcher.Phase() == lockstep.Preparing && g.demand.Shifts() != g.shiftsAtBegin
}
