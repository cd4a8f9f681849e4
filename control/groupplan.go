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
