package lockstep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// After a plan without result, planning is less frequent until the demand shifts or a slowdown
// changes.
func TestPlanningIsLessFrequentAfterPlanWithoutResult(t *testing.T) {
	var r PlanSchedule
	now := time.Unix(100, 0)
	plans := func(d time.Duration, shifts int, slowdown Slowdown) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(25 * time.Millisecond) {
			if r.StartIfDue(now, shifts, slowdown) {
				r.MarkNoResult()
				n++
			}
		}
		return n
	}
	assert.Equal(t, plans(15*time.Second, 0, nil), 10)
	assert.Assert(t, r.StartIfDue(now, 1, nil), "a shift must be planned for at once")
	r.MarkNoResult()
	now = now.Add(planPeriod)
	assert.Assert(t, r.StartIfDue(now, 1, Slowdown{1, 3}), "a changed slowdown must be planned for at once")
	r.MarkNoResult()
	now = now.Add(planPeriod / 2)
	assert.Assert(t, !r.StartIfDue(now, 2, nil), "plans must be at least planPeriod apart")
}
