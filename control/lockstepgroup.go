package control

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/wire"
)

// reportLagFactor covers a report that is a little older than the service says.
const reportLagFactor = 2

// lockstepGroup leads one group under one fencing token: it gives a Switcher sockets
// and a clock, and plans from what the ranks counted.
type lockstepGroup struct {
	*lockstepLeader
	name  string
	token uint64

	mu       sync.Mutex
	epoch    uint64
	shape    lockstep.Shape
	links    []*rankLink
	relays   *lockstep.Relays
	switcher *lockstep.Switcher
	demand   *lockstep.Demand
	replan   lockstep.Replan
	planning bool
	phase    lockstep.Phase
	proposal lockstep.Proposal
	began    time.Time
	// heldFrom is when the hold of the switch in progress was ordered.
	heldFrom time.Time
	// stateLogged is when the group's state was logged last.
	stateLogged time.Time
	// plannedShifts counts the shifts of demand that the latest plan knew.
	plannedShifts int
	// reportLag is how old a report is at most that a rank gives to another host.
	reportLag time.Duration
}

func newLockstepGroup(l *lockstepLeader, name string, token uint64) *lockstepGroup {
	return &lockstepGroup{lockstepLeader: l, name: name, token: token}
}

// tick takes what the directory says and does what is due.
func (g *lockstepGroup) tick(ctx context.Context, now time.Time, found directGroup, profile *wire.EngineProfile) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A switch that has begun goes on also while a registration is missing: the group
	// may be held, and the ranks are still where they were.
	begun := g.switcher != nil && g.switcher.Phase() != lockstep.Idle
	if (!found.whole() || found.latest.Broken) && !begun {
		return
	}
	shape := lockstep.ShapeOf(profile, found.size)
	if !shape.Valid() {
		return
	}
	g.reportLag = reportLagFactor * time.Duration(profile.GetReportLagMs()*float64(time.Millisecond))
	g.follow(found, shape)
	g.read(ctx, now)
	g.sendAll(ctx, now, g.switcher.Tick(now))
	g.logPhase(now)
	g.logState(now)
	g.plan(ctx, now)
}

// follow begins anew when the group has formed again or has another shape, and goes
// along with ranks that have started again.
func (g *lockstepGroup) follow(found directGroup, shape lockstep.Shape) {
	if g.switcher == nil || found.latest.Epoch > g.epoch || shape != g.shape {
		g.reset(found, shape)
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

func (g *lockstepGroup) reset(found directGroup, shape lockstep.Shape) {
	epoch := found.latest.Epoch
	g.epoch, g.shape = epoch, shape
	g.relays = lockstep.NewRelays(found.domains())
	cfg := lockstep.DefaultConfig(shape.Ranks, g.token, epoch)
	if g.switcher != nil {
		cfg.Used = g.switcher.Used()
	}
	g.switcher = lockstep.New(cfg)
	if g.demand == nil || len(g.links) != shape.Ranks {
		// Demand outlives a group that forms again: callers ask for the same.
		g.demand = lockstep.NewDemand(lockstep.DemandSettingsFor(g.readPeriod), shape)
	}
	g.links = make([]*rankLink, shape.Ranks)
	for i := range g.links {
		g.links[i] = &rankLink{}
	}
	g.phase = lockstep.Idle
	kernel.Info(g.log, "Group formed.", "group", g.name, "epoch", epoch, "ranks", shape.Ranks, "calls", g.relays.Calls(), "read_ms", g.readPeriod.Milliseconds(), "token", g.token)
}

// plan looks for a better map and begins the switch to it.
func (g *lockstepGroup) plan(ctx context.Context, now time.Time) {
	pace := g.pace()
	if g.planning || !g.mayBegin(now) || !g.demand.Settled() || !g.replan.Due(now, g.demand.Shifts(), pace) {
		return
	}
	g.planning = true
	shape, current, switcher := g.shape, g.switcher.Current(), g.switcher
	load := lockstep.CloneShares(g.demand.Load())
	go func() {
		p, ok := lockstep.Plan(shape, lockstep.DefaultPlanSettings(), current, load, pace)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.planning = false
		if !ok {
			g.replan.FoundNothing()
		}
		if !ok || ctx.Err() != nil || g.switcher != switcher || !g.mayBegin(g.clock()) {
			return
		}
		g.proposal, g.began, g.plannedShifts = p, g.clock(), g.demand.Shifts()
		switcher.Begin(g.clock(), p.Map)
	}()
}

// mayBegin says whether a switch may begin now: none is under way, or one that was
// planned for what is no longer in demand and has only begun to copy.
func (g *lockstepGroup) mayBegin(now time.Time) bool {
	return g.switcher.Ready(now) || g.switcher.Phase() == lockstep.Preparing && g.demand.Shifts() != g.plannedShifts
}
