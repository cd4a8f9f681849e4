package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The leader's process is frozen, another replica is elected, and the old leader wakes.
// Before its first tick it is asked whether it leads, to divide a limit for example: it
// must not go by the time of its last step, or two would divide the limit at once.
func TestWokenLeaderDoesNotLead(t *testing.T) {
	s := newSim(7, 3, simSwitches{})
	l := s.waitLeader(t, nil)
	for range 50 {
		s.step()
	}
	asleep := s.clock(l)
	assert.Assert(t, l.node.IsLeader(asleep))
	assert.Assert(t, !l.node.IsLeader(asleep+time.Minute))
}
