package lockstep

import (
	"slices"
	"time"
)

const (
	// replanPeriod is the minimum time between two plans.
	replanPeriod = 300 * time.Millisecond
	// idleReplanPeriod replaces replanPeriod after a plan without result, while neither the
	// demand has shifted nor a pace has changed: the estimate improves only slowly then, and
	// plans of large groups are expensive.
	idleReplanPeriod = 1500 * time.Millisecond
)

// PlanSchedule schedules the plans of a group.
type PlanSchedule struct {
	plannedAt time.Time
	shifts    int
	pace      Slowdown
	idle      bool
}

// StartIfDue reports whether to plan now. If so, it records the plan as started.
func (r *PlanSchedule) StartIfDue(now time.Time, shifts int, pace Slowdown) bool {
	period := replanPeriod
	if r.idle && shifts == r.shifts && slices.Equal(pace, r.pace) {
		period = idleReplanPeriod
	}
	if now.Sub(r.plannedAt) < period {
		return false
	}
	*r = PlanSchedule{plannedAt: now, shifts: shifts, pace: pace}
	return true
}

// MarkNoResult records that the latest plan found no map worth a switch.
func (r *PlanSchedule) MarkNoResult() { r.idle = true }
