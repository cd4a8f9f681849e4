package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/placement"
	"github.com/snipereach/snipereach/rollout"
	"github.com/snipereach/snipereach/wire"
)

// observed is the load of one counter window. times are the ranks' busy times per step
// under the map in under; nil if a rank is missing or used another map.
type observed struct {
	at    time.Time
	load  placement.Load
	times []time.Duration
	under *placement.Map
}

// timesObserver is a planner that also uses the time each rank is busy in a step,
// excluding the wait for other ranks, to tell a slow rank from a loaded one.
type timesObserver interface {
	ObserveTimes(times []time.Duration, current *placement.Map)
}

// tell passes the window to a planner.
func (o *observed) tell(p placement.Planner) {
	p.Observe(o.at, o.load)
	if t, ok := p.(timesObserver); ok && o.times != nil {
		t.ObserveTimes(o.times, o.under)
	}
}

// holdPinned rolls out the pinned map if another one is in force. It cancels an
// undecided switch to any other map.
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

// usePlanner creates the planner that the row names, and replaces it when the row's
// planner or costs change. It returns an error if there is no such planner.
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

// plan runs the planner in a goroutine of its own once per PlanPeriod. In the loop, the
// plan of a large group would delay the decisions that stopped ranks wait for.
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

// follow records a planner's decision and rolls out its map, unless the group has been
// paused or pinned or has lost its row.
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
		kernel.Warn(d.log, "Planner returned an invalid map.", "group", d.name, "planner", planner, "err", err)
		d.last.Why = "refused: " + err.Error()
		return
	}
	d.coord.Roll(&rollout.Target{Base: current.Epoch, Map: rollout.FromMap(d.shape, p.Next), Reason: d.last})
}
