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

// groupDriver leads one group under one lease: it gives the coordinator sockets
// and a clock, feeds the planner and rolls out what it decides. The mutex of the
// groupLeader guards it.
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
	// rowGone is when the group's row was first missed; zero while there is one.
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

// leaseRenewals is how often a lease is renewed in its time.
const leaseRenewals = 6

func newGroupDriver(g *groupLeader, r *Replica, name string, token uint64) *groupDriver {
	return &groupDriver{
		groupLeader: g, replica: r, name: name, token: token, planned: g.clock(),
		orders: map[int]*rankOrders{}, details: map[int]string{},
	}
}

// tick takes what the log, the table and the directory say, and does what is due.
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

func (d *groupDriver) watchRow(now time.Time) {
	switch {
	case d.row != nil:
		d.rowGone = time.Time{}
	case d.rowGone.IsZero():
		d.rowGone = now
	}
}

// over says whether nothing is left to do for a group whose row is gone: no switch is
// undecided, and either every rank uses the map in force and nothing is on its way, or
// the time for that is over. A rank that is down may never answer; one that still has a
// decided switch open is told the end by its own agent.
func (d *groupDriver) over(now time.Time) bool {
	if d.row != nil || rollout.Undecided(d.state.GetSwitch()) {
		return false
	}
	if now.Sub(d.rowGone) > d.settings.ArmTimeout.D() {
		return true
	}
	return !d.proposing && !d.ordering() && (d.state == nil || d.coord == nil || d.coord.Quiet())
}

// ordering says whether an order is on its way to a rank.
func (d *groupDriver) ordering() bool {
	for _, q := range d.orders {
		if q.busy {
			return true
		}
	}
	return d.window.waiting > 0
}

// prepare makes the coordinator once the group's shape is known. The shape of the
// map in force wins over the row's: ranks that restart must come back on it.
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

// shapeOfRow gives every rank an even share of the experts and the spare slots.
func shapeOfRow(g *table.Group) placement.Shape {
	return placement.Shape{
		Ranks: g.Ranks, Experts: g.Experts, Layers: g.Layers,
		Slots: (g.Experts+g.Ranks-1)/g.Ranks + g.SpareSlots,
	}
}

// steer decides whether the map is to change: an operator's pin first, also while
// the row is paused, then the planner. It returns why nothing is planned, if so.
func (d *groupDriver) steer(ctx context.Context, now time.Time) string {
	switch {
	case d.state == nil:
		return "no map is in force yet"
	case d.row == nil:
		d.coord.Cancel("the group's row is gone")
		return "the group's row is gone"
	case d.conflict != "":
		// Each of the two would take the other's orders for its own.
		d.coord.Cancel(d.conflict)
		return d.conflict
	case d.state.Pinned != 0:
		d.holdPinned()
		return ""
	case d.row.Paused:
		d.coord.Cancel("the row is paused")
		return ""
	case shapeOfRow(d.row) != d.shape:
		d.coord.Cancel("the row has another shape than the map in force")
		return fmt.Sprintf("row: shape %+v differs from that of the map in force, %+v", shapeOfRow(d.row), d.shape)
	}
	if err := d.usePlanner(); err != nil {
		return "row: column planner: " + err.Error()
	}
	d.plan(ctx, now)
	return ""
}

// logRecords tells of switches that ended since the last tick.
func (d *groupDriver) logRecords(state *wire.GroupState) {
	if d.state == nil || state == nil || len(state.Records) == 0 {
		return
	}
	r := state.Records[0]
	if len(d.state.Records) > 0 && d.state.Records[0].Epoch >= r.Epoch {
		return
	}
	kernel.Info(d.log, "A switch has ended.", "group", d.name, "epoch", r.Epoch, "outcome", r.Outcome, "detail", r.Detail,
		"by", r.Reason.GetBy(), "why", r.Reason.GetWhy(), "moves", r.Reason.GetMoves())
}

// view is what operators see.
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
