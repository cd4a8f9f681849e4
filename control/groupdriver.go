package control

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

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

// rankOrders keeps at most one order on its way to a rank, and the one that
// follows it.
type rankOrders struct {
	busy bool
	next *rollout.Outgoing
}

// observed is one window. times are the ranks' busy times under one map, or nil.
type observed struct {
	at    time.Time
	load  placement.Load
	times []time.Duration
	under *placement.Map
}

// timesObserver is a planner that also takes the time that each rank is busy in a
// step, without waiting for the others, to tell a slow rank from a loaded one.
type timesObserver interface {
	ObserveTimes(times []time.Duration, current *placement.Map)
}

func (o *observed) tell(p placement.Planner) {
	p.Observe(o.at, o.load)
	if t, ok := p.(timesObserver); ok && o.times != nil {
		t.ObserveTimes(o.times, o.under)
	}
}

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

// holdPinned rolls out the pinned map if another one is in force.
func (d *groupDriver) holdPinned() {
	s := d.state
	if rollout.Undecided(s.Switch) && s.Switch.Reason.GetRepeats() != s.Pinned {
		d.coord.Cancel("pinned by " + s.PinnedBy)
		return
	}
	m := rollout.MapAt(s, s.Pinned)
	if m == nil || slices.Equal(m.ExpertsInSlots, s.Map.ExpertsInSlots) || !d.coord.Idle() {
		return
	}
	d.coord.Roll(&rollout.Target{Base: s.Map.Epoch, Map: m, Reason: &wire.MapReason{
		By: s.PinnedBy, Why: fmt.Sprintf("%s pinned map %d", s.PinnedBy, s.Pinned), Repeats: s.Pinned,
		Moves: countMoves(s.Map, m), AtMs: d.clock().UnixMilli(),
	}})
}

func countMoves(a, b *wire.GroupMap) uint32 {
	var n uint32
	for i, e := range a.ExpertsInSlots {
		if b.ExpertsInSlots[i] != e {
			n++
		}
	}
	return n
}

// usePlanner makes the planner that the row names; a row whose planner, shape or
// costs change starts a new one.
func (d *groupDriver) usePlanner() error {
	cost := placement.Cost{
		SkewWeight: d.row.SkewWeight, MoveWeight: d.row.MoveWeight,
		ExpertBytes: d.row.ExpertBytes, StoreRate: d.row.StoreRate, StepTime: d.row.StepTime,
	}
	key := fmt.Sprintf("%s %+v", d.row.Planner, cost)
	if d.planner != nil && key == d.planKey {
		return nil
	}
	if d.planning {
		return nil
	}
	d.planner = nil
	p, err := placement.NewPlanner(d.row.Planner)
	if err != nil {
		return err
	}
	p.Reset(d.shape, cost)
	d.planner, d.planKey = p, key
	return nil
}

// plan runs the planner beside the loop, because a plan of a large group takes
// longer than ranks that wait for a decision should.
func (d *groupDriver) plan(ctx context.Context, now time.Time) {
	if d.planning || !d.coord.Idle() || now.Sub(d.planned) < d.settings.PlanPeriod.D() {
		return
	}
	d.planning = true
	p, loads := d.planner, d.loads
	d.loads = nil
	current := d.state.Map
	name := d.row.Planner
	go func() {
		for _, l := range loads {
			l.tell(p)
		}
		decision := p.Plan(now, rollout.ToMap(current))
		d.mu.Lock()
		defer d.mu.Unlock()
		d.planning, d.planned = false, d.clock()
		if ctx.Err() == nil {
			d.follow(name, current, decision)
		}
	}()
}

// follow rolls out a planner's decision.
func (d *groupDriver) follow(planner string, current *wire.GroupMap, p placement.Decision) {
	d.last = &wire.MapReason{
		By: "planner " + planner, Why: p.Why, Moves: uint32(len(p.Moves)),
		SkewBefore: p.SkewBefore, SkewAfter: p.SkewAfter, Gain: p.Gain, Price: p.Price,
		AtMs: d.clock().UnixMilli(),
	}
	if p.Next == nil || d.row == nil || d.row.Paused || d.state.Pinned != 0 {
		return
	}
	if err := p.Next.Check(d.shape); err != nil {
		kernel.Warn(d.log, "Planner made a map that doesn't fit.", "group", d.name, "planner", planner, "err", err)
		d.last.Why = "refused: " + err.Error()
		return
	}
	d.coord.Roll(&rollout.Target{Base: current.Epoch, Map: rollout.FromMap(d.shape, p.Next), Reason: d.last})
}

// act carries out what the coordinator asks for.
func (d *groupDriver) act(ctx context.Context, now time.Time) {
	e := d.coord.Tick(now)
	for _, o := range e.Orders {
		d.order(ctx, o)
	}
	if e.Command == nil || d.proposing {
		return
	}
	d.proposing = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		r, err := d.replica.proposeGroup(ctx, e.Command)
		if err == nil && !r.Accepted {
			kernel.Debug(d.log, "The log refused a command.", "group", d.name, "detail", r.Detail)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.proposing = false
	}()
}

// order sends an order to a rank as soon as the one before it is answered.
func (d *groupDriver) order(ctx context.Context, o rollout.Outgoing) {
	q := d.orders[o.Rank]
	if q == nil {
		q = &rankOrders{}
		d.orders[o.Rank] = q
	}
	if q.busy {
		q.next = &o
		return
	}
	a := d.ranks[o.Rank]
	if a == nil {
		d.details[o.Rank] = "no upstream announces this rank"
		return
	}
	q.busy = true
	go func() {
		reply, err := d.give(ctx, a, o.Verb, o.Order)
		d.mu.Lock()
		defer d.mu.Unlock()
		q.busy = false
		d.answered(o, reply, err)
		next := q.next
		q.next = nil
		if ctx.Err() != nil || d.drivers[d.name] != d {
			return
		}
		if next != nil {
			d.order(ctx, *next)
		}
		d.act(ctx, d.clock())
	}()
}

// answered takes a rank's answer.
func (d *groupDriver) answered(o rollout.Outgoing, reply *wire.OrderReply, err error) {
	var s rollout.Status
	if err == nil && reply.Accepted {
		err = json.Unmarshal(reply.Body, &s)
	}
	switch {
	case err != nil:
		d.details[o.Rank] = err.Error()
		return
	case !reply.Accepted:
		d.details[o.Rank] = reply.Detail
		return
	}
	d.details[o.Rank] = s.Refused
	d.coord.Heard(d.clock(), o.Rank, s)
}

// timeoutOf bounds an order. Those that carry no map are answered at once, and a
// group may be waiting for them: a connection that hangs is given up early.
func (d *groupDriver) timeoutOf(verb string) time.Duration {
	switch verb {
	case rollout.VerbArm, rollout.VerbCommit, rollout.VerbAbort:
		return min(d.cfg.Resend, d.settings.OrderTimeout.D())
	}
	return d.settings.OrderTimeout.D()
}

// give sends one order through the rank's agent.
func (d *groupDriver) give(ctx context.Context, a *wire.Announcement, verb string, body any) (*wire.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeoutOf(verb))
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCAgentClient(d.pool.Conn(ctx, a.Address)).Give(ctx, &wire.Order{
		Group: d.name, Token: d.token, Verb: verb, Body: text,
		OrderId: fmt.Sprintf("%s/%d/%d", d.name, d.token, a.Rank),
	})
}

// counterWindow gathers one window of counters from all ranks. Ranks that don't
// answer leave a gap; the others stand in for them.
type counterWindow struct {
	began   time.Time
	open    bool
	waiting int
	heard   int
	load    placement.Load
	// times are kept for windows in which every rank used one map.
	times []time.Duration
	epoch uint64
	mixed bool
}

// collect asks the ranks for their counters once a period.
func (d *groupDriver) collect(ctx context.Context, now time.Time) {
	w := &d.window
	if w.open || d.state == nil || now.Sub(w.began) < d.settings.CounterPeriod.D() {
		return
	}
	*w = counterWindow{
		began: now, open: true, epoch: d.state.Map.Epoch,
		load: make(placement.Load, d.shape.Layers*d.shape.Experts), times: make([]time.Duration, d.shape.Ranks),
	}
	for _, a := range d.asked() {
		w.waiting++
		go func() {
			reply, err := d.give(ctx, a, rollout.VerbCounters, struct{}{})
			d.mu.Lock()
			defer d.mu.Unlock()
			if err == nil && reply.Accepted {
				d.count(reply.Body)
			}
			w.waiting--
			d.closeWindow()
		}()
	}
	d.closeWindow()
}

// asked lists the ranks of this window, in turn.
func (d *groupDriver) asked() []*wire.Announcement {
	n := d.shape.Ranks
	if c := d.settings.CounterRanks; c > 0 {
		n = min(c, n)
	}
	var list []*wire.Announcement
	for range n {
		if a := d.ranks[d.turn%d.shape.Ranks]; a != nil {
			list = append(list, a)
		}
		d.turn++
	}
	return list
}

func (d *groupDriver) count(body []byte) {
	c := &wire.ExpertCounters{}
	if proto.Unmarshal(body, c) != nil || c.Group != d.name || len(c.Tokens) != len(d.window.load) {
		return
	}
	w := &d.window
	w.heard++
	w.mixed = w.mixed || c.MapEpoch != w.epoch || c.StepUs == 0
	if int(c.Rank) < len(w.times) {
		w.times[c.Rank] = time.Duration(c.StepUs) * time.Microsecond
	}
	for i, n := range c.Tokens {
		d.window.load[i] += float64(n)
	}
}

// closeWindow hands a whole window to the planner.
func (d *groupDriver) closeWindow() {
	w := &d.window
	if !w.open || w.waiting > 0 {
		return
	}
	w.open = false
	if w.heard == 0 {
		return
	}
	total := 0.0
	for i := range w.load {
		w.load[i] *= float64(d.shape.Ranks) / float64(w.heard)
		total += w.load[i]
	}
	if total == 0 {
		return
	}
	d.windows++
	d.skew = meanSkew(d.shape, d.state.Map, w.load)
	o := observed{at: d.clock(), load: w.load}
	if !w.mixed && !slices.Contains(w.times, 0) && d.state.Map.Epoch == w.epoch {
		o.times, o.under = w.times, rollout.ToMap(d.state.Map)
	}
	d.loads = append(d.loads, o)
	if len(d.loads) > maxLoads {
		d.loads = d.loads[1:]
	}
}

// maxLoads bounds the windows that wait for a planner, while a group is paused.
const maxLoads = 120

// meanSkew is the busiest rank over the mean, averaged over the layers.
func meanSkew(s placement.Shape, m *wire.GroupMap, l placement.Load) float64 {
	sum := 0.0
	pm := rollout.ToMap(m)
	for layer := range s.Layers {
		sum += pm.Skew(s, layer, l)
	}
	return sum / float64(s.Layers)
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
