package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const timeout = 400 * time.Millisecond

// The load: the leader's host has a tenth of a core, and a leader that works is late by 0.35 s
// every other second. The followers wait for it after they have seen that once or twice;
// a leader that is in time and is lost is replaced as soon as ever.
func TestFollowersWaitForALateLeader(t *testing.T) {
	var p patience
	now := Time(0)
	beats := func(n int) {
		for range n {
			now += 100 * time.Millisecond
			p.heard(now, "a")
		}
	}
	beats(50)
	assert.Equal(t, p.extra(timeout), time.Duration(0))
	now += 350 * time.Millisecond
	p.heard(now, "a")
	beats(20)
	assert.Assert(t, timeout+p.extra(timeout) > 500*time.Millisecond)
	beats(300)
	assert.Equal(t, p.extra(timeout), time.Duration(0), "and no longer once it is in time again")
}

// The former leader was lost; the time without one is no gap of the next.
func TestPatienceIsForOneLeader(t *testing.T) {
	var p patience
	p.heard(0, "a")
	p.heard(time.Minute, "b")
	assert.Equal(t, p.extra(timeout), time.Duration(0))
	p.heard(2*time.Minute, "b")
	assert.Equal(t, p.extra(timeout), mostPatience*timeout)
}

// A leader's process stands still for longer than its lease, again and again, and shorter than
// the followers wait, who have seen it late before. It leads again as soon as the others have
// answered it, in its term: whoever has work in progress at it goes on.
func TestLeaderThatWasLateLeadsOn(t *testing.T) {
	s := newSim(11, 3, simSwitches{})
	l := s.waitLeader(t, nil)
	freeze := func(d time.Duration) {
		l.frozen = s.now + d
		for until := l.frozen + 2*time.Second; s.now < until; {
			s.step()
		}
	}
	election := l.node.cfg.ElectionTimeout
	freeze(0)
	term := l.node.Status().Term
	for range 10 {
		freeze(election * 8 / 10)
		freeze(election * 12 / 10)
		assert.Equal(t, l.node.Status().Term, term)
		assert.Assert(t, l.node.IsLeader(s.clock(l)))
	}
}
