package lockstep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load: demand stays the same for many seconds, and the map in force suits it. Plans
// that find nothing come seldom then, and at once when demand shifts or a rank turns slow.
func TestPlansThatFindNothingComeSeldom(t *testing.T) {
	var r Replan
	now := time.Unix(100, 0)
	plans := func(d time.Duration, shifts int, pace Pace) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(25 * time.Millisecond) {
			if r.Due(now, shifts, pace) {
				r.FoundNothing()
				n++
			}
		}
		return n
	}
	assert.Equal(t, plans(15*time.Second, 0, nil), 10)
	assert.Assert(t, r.Due(now, 1, nil), "a shift is planned for at once")
	r.FoundNothing()
	now = now.Add(replanPeriod)
	assert.Assert(t, r.Due(now, 1, Pace{1, 3}), "and so is a slow rank")
	r.FoundNothing()
	now = now.Add(replanPeriod / 2)
	assert.Assert(t, !r.Due(now, 2, nil), "never sooner than a plan takes to be of use")
}
