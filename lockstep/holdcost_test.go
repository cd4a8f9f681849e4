package lockstep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// While ranks answer orders late, each switch pauses all streams for too long. Guards against such a
// pause for a small improvement, and against maps that no longer follow shifts of demand.
func TestSmallImprovementsAreNotWorthSlowHolds(t *testing.T) {
	const shift, refinement = 1.1, 0.2
	now := time.Unix(100, 0)
	var c HoldCost
	assert.Assert(t, c.Allows(now, refinement), "no hold is known")
	c.Record(now, 60*time.Millisecond)
	assert.Assert(t, c.Allows(now, refinement), "ranks answer in time")
	c.Record(now, 160*time.Millisecond)
	assert.Assert(t, !c.Allows(now.Add(time.Second), refinement))
	assert.Assert(t, c.Allows(now.Add(time.Second), shift))
	assert.Assert(t, c.Allows(now.Add(slowHoldMemory), refinement), "ranks may answer in time again")
	c.Record(now.Add(time.Second), 60*time.Millisecond)
	assert.Assert(t, c.Allows(now.Add(time.Second), refinement), "the latest hold was quick")
}
