package control

import (
	"context"
	"fmt"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// groupDriver runs one group under one lease: it connects the coordinator to the
// network and the clock, passes counters to the planner and rolls out its decisions.
// The mutex of the groupLeader guards it.
type groupDriver struct {
	*groupLeader
	replica *Replica
	name    string
	token   uint64

	row          *table.Group
	state        *wire.GroupState
	ranks        map[int]*wire.Announcement
	rankConflict string
	shape        placement.Shape
	cfg          rollout.Config
	coord        *rollout.Coordinator
	orders       map[int]*rankOrderQueue
	proposing    bool
	renewedAt    time.Time
	// rowMissingSince is when the group's row was first found missing; zero while there is one.
	rowMissingSince time.Time
	details         map[int]string

	window         counterWindow
	nextRank       int
	planner        placement.Planner
	plannerKey     string
	planning       bool
	plannedAt      time.Time
	pendingWindows []loadWindow
	skew           float64
	windowCount    uint64
	lastDecision   *wire.MapReason
	planningError  string
}

// leaseRenewals is how many times a lease is renewed within its duration.
const leaseRenewals = 6

func newGroupDriver(g *groupLeader, r *Replica, name string, token uint64) *groupDriver {
	return &groupDriver{
		groupLeader: g, replica: r, name: name, token: token, plannedAt: g.clock(),
		orders: map[int]*rankOrderQueue{}, details: map[int]string{},
	}
}

// tick applies the group's state in the log, its row and its announced ranks, and does
// what is due.
func (d *groupDriver) tick(ctx context.Context, now time.Time, row *table.Group, state *wire.GroupState, ranks groupRanks) {
	d.logEndedSwitch(state)
	d.row, d.state, d.ranks, d.rankConflict = row, state, ranks.byRank, ranks.conflict
	if now.Sub(d.renewedAt) > maxLease/leaseRenewals {
		d.renewedAt = now
		_ = d.replica.runInLoop(ctx, func() { d.replica.leadership().renew(d.name, now, maxLease) })
	}
	d.trackRow(now)
	if !d.ensureCoordinator() || row == nil && state == nil {
		return
	}
	d.coord.SetState(now, state)
	d.planningError = d.updateTarget(ctx, now)
	if row != nil {
		d.startWindow(ctx, now)
	}
	d.runCoordinator(ctx, now)
}

// trackRow records since when the group has no row.
func (d *groupDriver) trackRow(now time.Time) {
	switch {
	case d.row != nil:
		d.rowMissingSince = time.Time{}
	case d.rowMissingSince.IsZero():
		d.rowMissingSince = now
	}
}

// finished reports whether the driver of a group without a row may stop: no switch is
// undecided, and either every rank uses the map in force with no call in flight, or
// ArmTimeout has passed since the row went missing. The timeout is for ranks that are
// down and may never answer; a rank that has yet to apply a decided switch learns the
// decision through its own agent.
func (d *groupDriver) finished(now time.Time) bool {
	if d.row != nil || rollout.Undecided(d.state.GetSwitch()) {
		return false
	}
	if now.Sub(d.rowMissingSince) > d.settings.ArmTimeout.D() {
		return true
	}
	return !d.proposing && !d.hasCallsInFlight() && (d.state == nil || d.coord == nil || d.coord.Converged())
}

// hasCallsInFlight reports whether an order or a request for counters is in flight.
func (d *groupDriver) hasCallsInFlight() bool {
	for _, q := range d.orders {
		if q.inFlight {
			return true
		}
	}
	return d.window.waiting > 0
}

// ensureCoordinator creates the coordinator once the group's shape is known, and returns
// whether there is one. The shape of the map in force takes precedence over the row's,
// because ranks that restart must come back with that map.
func (d *groupDriver) ensureCoordinator() bool {
	if d.coord != nil {
		return true
	}
	switch {
	case d.state != nil:
		d.shape = rollout.ShapeOf(d.state.Map)
	case d.row != nil:
		d.shape = shapeOfRow(d.row)
		if err := placement.Contiguous(d.shape).Check(d.shape); err != nil {
			d.planningError = "row: " + err.Error()
			return false
		}
	default:
		return false
	}
	d.cfg = rollout.DefaultConfig(d.name, d.shape, d.token)
	d.cfg.StageTimeout = d.settings.StageTimeout.D()
	d.cfg.ArmTimeout = d.settings.ArmTimeout.D()
	d.coord = rollout.NewCoordinator(d.cfg)
	return true
}

// shapeOfRow returns the shape in which each rank has slots for an even share of the
// experts, rounded up, and the row's spare slots.
func shapeOfRow(g *table.Group) placement.Shape {
	return placement.Shape{
		Ranks: g.Ranks, Experts: g.Experts, Layers: g.Layers,
		Slots: (g.Experts+g.Ranks-1)/g.Ranks + g.SpareSlots,
	}
}

// updateTarget starts or cancels map changes. An operator's pin takes precedence over the
// planner and applies also while the row is paused. It returns the reason if a fault
// prevents planning, and otherwise an empty string.
func (d *groupDriver) updateTarget(ctx context.Context, now time.Time) string {
	switch {
	case d.state == nil:
		return "no map is in force yet"
	case d.row == nil:
		d.coord.CancelSwitch("the group has no row")
		return "the group has no row"
	case d.rankConflict != "":
		// Either upstream would carry out orders that are meant for the other.
		d.coord.CancelSwitch(d.rankConflict)
		return d.rankConflict
	case d.state.Pinned != 0:
		d.rollOutPinned()
		return ""
	case d.row.Paused:
		d.coord.CancelSwitch("the row is paused")
		return ""
	case shapeOfRow(d.row) != d.shape:
		d.coord.CancelSwitch("the row's shape differs from that of the map in force")
		return fmt.Sprintf("row: shape %+v differs from that of the map in force, %+v", shapeOfRow(d.row), d.shape)
	}
	if err := d.ensurePlanner(); err != nil {
		return "row: column planner: " + err.Error()
	}
	d.startPlanning(ctx, now)
	return ""
}

// logEndedSwitch logs the newest switch record if it was added since the last tick.
func (d *groupDriver) logEndedSwitch(state *wire.GroupState) {
	if d.state == nil || state == nil || len(state.Records) == 0 {
		return
	}
	r := state.Records[0]
	if len(d.state.Records) > 0 && d.state.Records[0].Epoch >= r.Epoch {
		return
	}
	kernel.Info(d.log, "Map switch ended.", "group", d.name, "epoch", r.Epoch, "outcome", r.Outcome, "detail", r.Detail,
		"by", r.Reason.GetBy(), "why", r.Reason.GetWhy(), "moves", r.Reason.GetMoves())
}

// view returns the group's state as shown to operators.
func (d *groupDriver) view() *wire.GroupView {
	v := &wire.GroupView{
		Group: d.name, State: d.state, Token: d.token, Skew: d.skew, Last: d.lastDecision, Error: d.planningError, Windows: d.windowCount,
	}
	if d.row != nil {
		v.Planner, v.Paused = d.row.Planner, d.row.Paused
	}
	if d.coord == nil {
		return v
	}
	for i := range d.shape.Ranks {
		s, heard := d.coord.Status(i)
		rv := &wire.RankView{
			Rank: uint32(i), Heard: heard, Incarnation: s.Incarnation, Epoch: s.Epoch,
			NextStep: s.NextStep, Armed: s.Armed, Detail: d.details[i],
		}
		if a := d.ranks[i]; a != nil {
			rv.Upstream = a.Id
		}
		v.Ranks = append(v.Ranks, rv)
	}
	return v
}
