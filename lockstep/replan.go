package lockstep

import (
	"slices"
	"time"
)

const (
	// replanPeriod is the least time between two plans.
	replanPeriod = 300 * time.Millisecond
	// idleReplanPeriod is that after a plan that found nothing to do, while the same
	// experts are in demand and the ranks are as fast as then: the estimate grows better by
	// some hundredths of the skew in this time. A plan of 192 ranks takes 6 ms, and made
	// each 0.3 s it was a sixth of what a leader of 0.12 cores may spend.
	idleReplanPeriod = 1500 * time.Millisecond
)

// Replan says when to plan again.
type Replan struct {
	at     time.Time
	shifts int
	pace   Pace
	idle   bool
}

// Due says whether to plan now, and notes that it is done.
func (r *Replan) Due(now time.Time, shifts int, pace Pace) bool {
	period := replanPeriod
	if r.idle && shifts == r.shifts && slices.Equal(pace, r.pace) {
		period = idleReplanPeriod
	}
	if now.Sub(r.at) < period {
		return false
	}
	*r = Replan{at: now, shifts: shifts, pace: pace}
	return true
}

// FoundNothing notes that the latest plan found no map that is worth a switch.
func (r *Replan) FoundNothing() { r.idle = true }
