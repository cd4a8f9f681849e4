package lockstep

import (
	"slices"
	"time"
)

const (
	// planPeriod is the minimum time between two plans.
	planPeriod = 300 * time.Millisecond
	// idlePlanPeriod replaces planPeriod after a plan without result, while neither the
	// demand has shifted nor a slowdown has changed: the estimate improves by some hundredths of
	// the skew in that time. A plan of 192 ranks takes 6 ms; one each planPeriod was a sixth of
	// what a leader with 0.12 cores may spend.
	idlePlanPeriod = 1500 * time.Millisecond
)

// PlanSchedule schedules the plans of a group.
type PlanSchedule struct {
	plannedAt time.Time
	shifts    int
	slowdown  Slowdown
	idle      bool
}

// StartIfDue reports whether to plan now. If so, it records the plan as started.
func (s *PlanSchedule) StartIfDue(now time.Time, shifts int, slowdown Slowdown) bool {
	period := planPeriod
	if s.idle && shifts == s.shifts && slices.Equal(slowdown, s.slowdown) {
		period = idlePlanPeriod
	}
	if now.Sub(s.plannedAt) < period {
		return false
	}
	*s = PlanSchedule{plannedAt: now, shifts: shifts, slowdown: slowdown}
	return true
}

// MarkNoResult records that the latest plan found no map worth a switch.
func (s *PlanSchedule) MarkNoResult() { s.idle = true }
