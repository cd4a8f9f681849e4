package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testElectionTimeout = 400 * time.Millisecond

// After a late append the follower waits longer than the election timeout; while appends
// are on time it doesn't, so that a lost leader is replaced without extra delay.
func TestExtraTimeoutFollowsAppendGaps(t *testing.T) {
	var g gapTracker
	now := Time(0)
	appendOnTime := func(n int) {
		for range n {
			now += 100 * time.Millisecond
			g.recordAppend(now, "a")
		}
	}
	appendOnTime(50)
	assert.Equal(t, g.extraTimeout(testElectionTimeout), time.Duration(0))
	now += 350 * time.Millisecond
	g.recordAppend(now, "a")
	appendOnTime(20)
	assert.Assert(t, testElectionTimeout+g.extraTimeout(testElectionTimeout) > 500*time.Millisecond)
	appendOnTime(300)
	assert.Equal(t, g.extraTimeout(testElectionTimeout), time.Duration(0), "appends are on time again")
}

// The time without a leader must not count as an append gap of the next leader.
func TestGapBetweenLeadersIsIgnored(t *testing.T) {
	var g gapTracker
	g.recordAppend(0, "a")
	g.recordAppend(time.Minute, "b")
	assert.Equal(t, g.extraTimeout(testElectionTimeout), time.Duration(0))
	g.recordAppend(2*time.Minute, "b")
	assert.Equal(t, g.extraTimeout(testElectionTimeout), maxExtraTimeouts*testElectionTimeout)
}

// A leader whose process is paused repeatedly, for longer than its lease but shorter than
// the followers' extended timeout, continues in its term once its peers have replied.
func TestPausedLeaderKeepsItsTerm(t *testing.T) {
	s := newSim(11, 3, disabledSafeguards{})
	l := s.waitLeader(t, nil)
	pause := func(d time.Duration) {
		l.pausedUntil = s.now + d
		for until := l.pausedUntil + 2*time.Second; s.now < until; {
			s.step()
		}
	}
	electionTimeout := l.node.cfg.ElectionTimeout
	pause(0)
	term := l.node.Status().Term
	for range 10 {
		pause(electionTimeout * 8 / 10)
		pause(electionTimeout * 12 / 10)
		assert.Equal(t, l.node.Status().Term, term)
		assert.Assert(t, l.node.IsLeader(s.clock(l)))
	}
}
