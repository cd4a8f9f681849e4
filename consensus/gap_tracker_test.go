package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testElectionTimeout = 400 * time.Millisecond

// The load: the leader's host has a tenth of a core, and a leader that works is late by 0.35 s
// every other second. The followers wait for it after they have seen that once or twice;
// a leader that is in time and is lost is replaced as soon as ever.
func TestExtraTimeoutFollowsAppendGaps(t *testing.T) {
	var p gapTracker
	now := Time(0)
	appendOnTime := func(n int) {
		for range n {
			now += 100 * time.Millisecond
			p.recordAppend(now, "a")
		}
	}
	appendOnTime(50)
	assert.Equal(t, p.extraTimeout(testElectionTimeout), time.Duration(0))
	now += 350 * time.Millisecond
	p.recordAppend(now, "a")
	appendOnTime(20)
	assert.Assert(t, testElectionTimeout+p.extraTimeout(testElectionTimeout) > 500*time.Millisecond)
	appendOnTime(300)
	assert.Equal(t, p.extraTimeout(testElectionTimeout), time.Duration(0), "and no longer once it is in time again")
}

// The former leader was lost; the time without one is no gap of the next.
func TestGapBetweenLeadersIsIgnored(t *testing.T) {
	var p gapTracker
	p.recordAppend(0, "a")
	p.recordAppend(time.Minute, "b")
	assert.Equal(t, p.extraTimeout(testElectionTimeout), time.Duration(0))
	p.recordAppend(2*time.Minute, "b")
	assert.Equal(t, p.extraTimeout(testElectionTimeout), maxExtraTimeouts*testElectionTimeout)
}

// A leader's process stands still for longer than its lease, again and again, and shorter than
// the followers wait, who have seen it late before. It leads again as soon as the others have
// answered it, in its term: whoever has work in progress at it goes on.
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
