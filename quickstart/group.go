package quickstart

import (
	"context"
	"fmt"
	"time"

	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/placement"
)

// GroupName is the name of the lock-step group of a quickstart with a planner.
const GroupName = "pushpa"

const (
	groupExpertsPerRank = 4
	groupLayers         = 2
	groupStep           = 5 * time.Millisecond
	groupStaging        = 200 * time.Millisecond
	// stepsPerHotExpert is the number of steps for which a layer's busiest expert
	// stays the same.
	stepsPerHotExpert = 4000
)

func groupRow(o Options) string {
	return fmt.Sprintf("group\t%s\tpool=%s\tranks=%d\texperts=%d\tlayers=%d\tspare_slots=1\tplanner=%s\n",
		GroupName, o.Layout.ModelPool, o.Engines, groupExpertsPerRank*o.Engines, groupLayers, o.Planner)
}

// startGroup makes the engines one lock-step group with a load that drifts from
// expert to expert. It does nothing without a planner.
func (s *System) startGroup(ctx context.Context) {
	if s.opts.Planner == "" {
		return
	}
	shape := placement.Shape{
		Ranks: s.opts.Engines, Experts: groupExpertsPerRank * s.opts.Engines,
		Layers: groupLayers, Slots: groupExpertsPerRank + 1,
	}
	s.Group = &fake.Group{
		Name: GroupName, Shape: shape, Step: groupStep, LoadTime: groupStaging,
		Tokens: func(step uint64) placement.Load { return driftingLoad(shape, step) },
	}
	s.Group.Start(ctx)
}

func driftingLoad(s placement.Shape, step uint64) placement.Load {
	const even, busy = 12, 120
	load := make(placement.Load, s.Layers*s.Experts)
	for i := range load {
		load[i] = even
	}
	for layer := range s.Layers {
		hot := (int(step/stepsPerHotExpert) + 5*layer) % s.Experts
		load[layer*s.Experts+hot] = busy
	}
	return load
}
