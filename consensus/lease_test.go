package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A leader that resumes after a long pause must not report a live lease before its first
// tick: another replica may have been elected meanwhile.
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
