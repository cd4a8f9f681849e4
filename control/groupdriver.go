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

	row       *table.Group
	state     *wire.GroupState
	ranks     map[int]*wire.Announcement
	conflict  string
	shape     placement.Shape
	cfg       rollout.Config
	coord     *rollout.Coordinator
	orders    map[int]*rankOrders
	proposing bool
	renewed   time.Time
	// rowGone is when the group's row was first found missing; zero while there is one.
	rowGone time.Time
	details map[int]string

	window   counterWindow
	turn     int
	planner  placement.Planner
	planKey  string
	planning bool
	planned  time.Time
	loads    []observed
	skew     float64
	windows  uint64
	last     *wire.MapReason
	err      string
}

// leaseRenewals is how many times a lease is renewed within its duration.
const leaseRenewals = 6

func newGroupDriver(g *groupLeader, r *Replica, name string, token uint64) *groupDriver {
	return &groupDriver{
		groupLeader: g, replica: r, name: name, token: token, planned: g.clock(),
		orders: map[int]*rankOrders{}, details: map[int]string{},
	}
}

// tick applies the group's state in the log, its row and its announced ranks, and does
// what is due.
func (d *groupDriver) tick(ctx context.Context, now time.Time, row *table.Group, state *wire.GroupState, ranks groupRanks) {
	d.logRecords(state)
	d.row, d.state, d.ranks, d.conflict = row, state, ranks.byRank, ranks.conflict
	if now.Sub(d.renewed) > maxLease/leaseRenewals {
		d.renewed = now
		_ = d.replica.do(ctx, func() { d.replica.leads.renew(d.name, now, maxLease) })
	}
	d.watchRow(now)
	if !d.prepare() || row == nil && state == nil {
		return
	}
	d.coord.Applied(now, state)
	d.err = d.steer(ctx, now)
	if row != nil {
		d.collect(ctx, now)
	}
	d.act(ctx, now)
}

// watchRow records since when the group has no row.
func (d *groupDriver) watchRow(now time.Time) {
	switch {
	case d.row != nil:
		d.rowGone = time.Time{}
	case d.rowGone.IsZero():
		d.rowGone = now
	}
}

// over reports whether the driver of a group without a row may stop: no switch is
// undecided, and either every rank uses the map in force with no call in flight, or
// ArmTimeout has passed since the row went missing. The timeout is for ranks that are
// down and may never answer; a rank that has yet to apply a decided switch learns the
// decision through its own agent.
func (d *groupDriver) over(now time.Time) bool {
	if d.row != nil || rollout.Undecided(d.state.GetSwitch()) {
		return false
	}
	if now.Sub(d.rowGone) > d.settings.ArmTimeout.D() {
		return true
	}
	return !d.proposing && !d.ordering() && (d.state == nil || d.coord == nil || d.coord.Quiet())
}

// ordering reports whether an order or a request for counters is in flight.
func (d *groupDriver) ordering() bool {
	for _, q := range d.orders {
		if q.busy {
			return true
		}
	}
	return d.window.waiting > 0
}

// prepare creates the coordinator once the group's shape is known, and returns whether
// there is one. The shape of the map in force takes precedence over the row's, because
// ranks that restart must come back with that map.
func (d *groupDriver) prepare() bool {
	if d.coord != nil {
		return true
	}
	switch {
	case d.state != nil:
		d.shape = rollout.ShapeOf(d.state.Map)
	case d.row != nil:
		d.shape = shapeOfRow(d.row)
		if err := placement.Contiguous(d.shape).Check(d.shape); err != nil {
			d.err = "row: " + err.Error()
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

// steer starts or cancels map changes. An operator's pin takes precedence over the
// planner and applies also while the row is paused. It returns the reason if a fault
// prevents planning, and otherwise an empty string.
func (d *groupDriver) steer(ctx context.Context, now time.Time) string {
	switch {
	case d.state == nil:
		return "no map is in force yet"
	case d.row == nil:
		d.coord.Cancel("the group has no row")
		return "the group has no row"
	case d.conflict != "":
		// Either upstream would carry out orders that are meant for the other.
		d.coord.Cancel(d.conflict)
		return d.conflict
	case d.state.Pinned != 0:
		d.holdPinned()
		return ""
	case d.row.Paused:
		d.coord.Cancel("the row is paused")
		return ""
	case shapeOfRow(d.row) != d.shape:
		d.coord.Cancel("the row's shape differs from that of the map in force")
		return fmt.Sprintf("row: shape %+v differs from that of the map in force, %+v", shapeOfRow(d.row), d.shape)
	}
	if err := d.usePlanner(); err != nil {
		return "row: column planner: " + err.Error()
	}
	d.plan(ctx, now)
	return ""
}

// logRecords logs the newest switch record if it was added since the last tick.
func (d *groupDriver) logRecords(state *wire.GroupState) {
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
		Group: d.name, State: d.state, Token: d.token, Skew: d.skew, Last: d.last, Error: d.err, Windows: d.windows,
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
