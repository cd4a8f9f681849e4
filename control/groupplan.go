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

// loadWindow is the load of one counter window. busyTimes are the ranks' busy times per
// step under busyTimesMap; nil if a rank is missing or used another map.
type loadWindow struct {
	at           time.Time
	load         placement.Load
	busyTimes    []time.Duration
	busyTimesMap *placement.Map
}

// busyTimesObserver is a planner that also uses the time each rank is busy in a step,
// excluding the wait for other ranks, to tell a slow rank from a loaded one.
type busyTimesObserver interface {
	ObserveTimes(times []time.Duration, current *placement.Map)
}

// reportTo passes the window to a planner.
func (w *loadWindow) reportTo(p placement.Planner) {
	p.Observe(w.at, w.load)
	if t, ok := p.(busyTimesObserver); ok && w.busyTimes != nil {
		t.ObserveTimes(w.busyTimes, w.busyTimesMap)
	}
}

// rollOutPinned rolls out the pinned map if another one is in force. It cancels an
// undecided switch to any other map.
func (d *groupDriver) rollOutPinned() {
	s := d.state
	if rollout.Undecided(s.Switch) && s.Switch.Reason.GetRepeats() != s.Pinned {
		d.coord.CancelSwitch("pinned by " + s.PinnedBy)
		return
	}
	m := rollout.MapByEpoch(s, s.Pinned)
	if m == nil || slices.Equal(m.ExpertsInSlots, s.Map.ExpertsInSlots) || !d.coord.Idle() {
		return
	}
	d.coord.RequestSwitch(&rollout.Target{BaseEpoch: s.Map.Epoch, Map: m, Reason: &wire.MapReason{
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

// ensurePlanner creates the planner that the row names, and replaces it when the row's
// planner or costs change. It returns an error if there is no such planner.
func (d *groupDriver) ensurePlanner() error {
	cost := placement.Cost{
		SkewWeight: d.row.SkewWeight, MoveWeight: d.row.MoveWeight,
		ExpertBytes: d.row.ExpertBytes, StoreRate: d.row.StoreRate, StepTime: d.row.StepTime,
	}
	key := fmt.Sprintf("%s %+v", d.row.Planner, cost)
	if d.planner != nil && key == d.plannerKey {
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
	d.planner, d.plannerKey = p, key
	return nil
}

// startPlanning runs the planner in a goroutine of its own once per PlanPeriod. Planning
// in the loop would delay the decisions that stopped ranks of a large group wait for.
func (d *groupDriver) startPlanning(ctx context.Context, now time.Time) {
	if d.planning || !d.coord.Idle() || now.Sub(d.plannedAt) < d.settings.PlanPeriod.D() {
		return
	}
	d.planning = true
	p, windows := d.planner, d.pendingWindows
	d.pendingWindows = nil
	current := d.state.Map
	name := d.row.Planner
	go func() {
		for _, w := range windows {
			w.reportTo(p)
		}
		decision := p.Plan(now, rollout.ToPlacementMap(current))
		d.mu.Lock()
		defer d.mu.Unlock()
		d.planning, d.plannedAt = false, d.clock()
		if ctx.Err() == nil {
			d.applyDecision(name, current, decision)
		}
	}()
}

// applyDecision records a planner's decision and rolls out its map, unless the group has
// been paused or pinned or has lost its row.
func (d *groupDriver) applyDecision(planner string, current *wire.GroupMap, decision placement.Decision) {
	d.lastDecision = &wire.MapReason{
		By: "planner " + planner, Why: decision.Reason, Moves: uint32(len(decision.Moves)),
		SkewBefore: decision.SkewBefore, SkewAfter: decision.SkewAfter, Gain: decision.Gain, Price: decision.Price,
		AtMs: d.clock().UnixMilli(),
	}
	if decision.Next == nil || d.row == nil || d.row.Paused || d.state.Pinned != 0 {
		return
	}
	if err := decision.Next.Check(d.shape); err != nil {
		kernel.Warn(d.log, "Planner returned an invalid map.", "group", d.name, "planner", planner, "err", err)
		d.lastDecision.Why = "refused: " + err.Error()
		return
	}
	d.coord.RequestSwitch(&rollout.Target{BaseEpoch: current.Epoch, Map: rollout.FromPlacementMap(d.shape, decision.Next), Reason: d.lastDecision})
}
