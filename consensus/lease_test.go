package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The leader's process is frozen, another replica is elected, and the old leader wakes.
// Before its first tick it is asked whether it leads, to divide a limit for example: it
// must not go by the time of its last step, or two would divide the limit at once.
func TestPausedLeaderLosesLease(t *testing.T) {
	s := newSim(7, 3, disabledSafeguards{})
	l := s.waitLeader(t, nil)
	for range 50 {
		s.step()
	}
	pausedAt := s.clock(l)
	assert.Assert(t, l.node.IsLeader(pausedAt))
	assert.Assert(t, !l.node.IsLeader(pausedAt+time.Minute))
}
