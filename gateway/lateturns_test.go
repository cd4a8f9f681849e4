package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateAgain is a request that comes back to a crowd: it can't be in time any more.
func lateAgain(at time.Time) *waiter {
	w := comes(at)
	w.inTime, w.returned = at.Add(-time.Second), true
	return w
}

// What callers see: those that were refused once and came back are held for 1.6 s, and refused then.
// What happens: more callers come than a group can serve in time, for many seconds. Those that can be in time get
// all places, and late ones wait for one that doesn't come. Once late ones have waited in vain for a while the next is told
// at once; while slots are free, or late ones get places, it waits, and as soon as none waits any more too.
func TestLateRequestsAreToldAtOnceWhereNoneGetsAPlace(t *testing.T) {
	p, g := poolOf(144)
	g.inflight = g.limit(start, 8)
	now := start
	g.alive(now)
	first := lateAgain(now)
	v, _ := p.ask(now, 8, first)
	assert.Equal(t, v, letWait, "nobody knows yet")
	now = now.Add(lateKnown)
	g.alive(now)
	v, wait := p.ask(now, 8, lateAgain(now))
	assert.Assert(t, v == turnAway && wait >= fullWait)

	g.inflight--
	v, _ = p.ask(now, 8, lateAgain(now))
	assert.Equal(t, v, letWait, "a slot is free: only the passes leave no room, for a moment")
	g.inflight++
	for range 6 {
		p.late.granted(now)
	}
	v, _ = p.ask(now, 8, lateAgain(now))
	assert.Equal(t, v, letWait, "late ones get places")

	p.line = waitingLine{}
	p.turns(now, 8)
	now = now.Add(lateMemory)
	g.alive(now)
	v, _ = p.ask(now, 8, lateAgain(now))
	assert.Equal(t, v, letWait, "none waits in vain")
}

// The rate is that of the last seconds, and known only while late ones wait.
func TestRateOfPlacesForLateRequests(t *testing.T) {
	var l lateTurns
	line := &waitingLine{}
	_, known := l.rate(start)
	assert.Assert(t, !known)
	line.add(lateAgain(start))
	l.waits(start, line)
	now := start
	for now.Before(start.Add(6 * time.Second)) {
		now = now.Add(250 * time.Millisecond)
		l.granted(now)
		l.waits(now, line)
	}
	rate, known := l.rate(now)
	assert.Assert(t, known && rate > 3.5 && rate < 4.7, "%f", rate)
	line.remove(line.list[0])
	l.waits(now, line)
	_, known = l.rate(now)
	assert.Assert(t, !known)
}
