package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// comes is a request that came at a time, whose caller is content within 400 ms and leaves
// after two seconds.
func comes(at time.Time) *waiter {
	return &waiter{
		inTime: at.Add(400*time.Millisecond - leastHead), until: at.Add(callerPatience - patienceMargin - leastHead),
		granted: make(chan struct{}),
	}
}

func granted(w *waiter) bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

func poolOf(slots int) (*servicePool, *gate) { return onlyGroup(ranks(slots/12, 1, false)) }

// The load: the group stood still for two seconds, and the callers of that time wait when
// it goes on. Those that come meanwhile and can be in time go first; of the late ones the
// one that has to be refused first, and none that its caller has left by then.
func TestLateRequestsGoAfterThoseInTime(t *testing.T) {
	l := &waitingLine{}
	now := start.Add(1500 * time.Millisecond)
	gone, older, late := comes(start.Add(-500*time.Millisecond)), comes(start), comes(start.Add(time.Second))
	fresh, fresher := comes(now.Add(-100*time.Millisecond)), comes(now)
	for _, w := range []*waiter{late, fresher, gone, fresh, older} {
		l.add(w)
	}
	for _, want := range []*waiter{fresh, fresher} {
		assert.Equal(t, l.next(now, true), want)
		l.remove(want)
	}
	assert.Assert(t, l.next(now, false) == nil, "late ones may not go")
	for _, want := range []*waiter{older, late} {
		assert.Equal(t, l.next(now, true), want)
		l.remove(want)
	}
	assert.Assert(t, l.next(now, true) == nil, "its caller has left")
}

// The load: sixty callers wait for an empty group of 12 ranks at one of eight entries. They
// are let in at the pace at which all entries fill the slots in refillTime, and not at once.
func TestEmptyGroupIsFilledAtAPace(t *testing.T) {
	p, _ := poolOf(144)
	for range 60 {
		p.line.add(comes(start))
	}
	let := func() int { return 60 - len(p.line.list) }
	p.turns(start, 8)
	assert.Equal(t, let(), int(paceBurst))
	for now := start; now.Before(start.Add(refillTime / 3)); now = now.Add(turnPeriod) {
		p.turns(now, 8)
	}
	assert.Assert(t, let() >= 144/8/3 && let() <= 144/8/3+paceBurst+1, "%d were let in", let())
}

// The load: a shift of demand makes the next pass take 110 ms in place of 55, with a pause
// of 120 ms that callers are content with. Requests that come are kept back until passes
// are shorter, also while a long pass goes on; when that takes too long they are let in.
func TestLongPassesKeepRequestsBack(t *testing.T) {
	const content = 120 * time.Millisecond
	b := &brake{}
	now := start
	pass := func(d time.Duration) {
		now = now.Add(d)
		b.passed(now, d+time.Millisecond, content)
		b.passed(now, d, content)
		b.passed(now, 4*d, content)
	}
	assert.Equal(t, b.room(now), 1.0, "nothing is known")
	for range 5 {
		pass(55 * time.Millisecond)
	}
	assert.Equal(t, b.room(now), 1.0)
	assert.Equal(t, b.room(now.Add(80*time.Millisecond)), 0.0, "a long pass goes on")
	pass(110 * time.Millisecond)
	assert.Equal(t, b.room(now), 0.0)
	pass(104 * time.Millisecond)
	few := b.room(now)
	assert.Assert(t, few > 0 && few < 0.5, "%f", few)
	pass(95 * time.Millisecond)
	assert.Assert(t, b.room(now) > few)
	pass(88 * time.Millisecond)
	assert.Equal(t, b.room(now), 1.0, "passes that are long but don't grow leave room")
	assert.Equal(t, b.room(now.Add(100*time.Millisecond)), 1.0, "nor is the next one longer yet")
	pass(72 * time.Millisecond)
	pass(88 * time.Millisecond)
	assert.Equal(t, b.room(now), 1.0, "passes differ by as much in a group that is well")
	for began := now; now.Sub(began) <= mostBrake+300*time.Millisecond; {
		pass(130 * time.Millisecond)
	}
	assert.Equal(t, b.room(now), 1.0, "fewer requests don't help")
	pass(55 * time.Millisecond)
	pass(110 * time.Millisecond)
	assert.Equal(t, b.room(now), 0.0, "kept back again")
	assert.Equal(t, b.room(now.Add(staleBrake+time.Millisecond)), 1.0, "no pass is seen any more")
}

// The load: passes leave no room for long, as after a loss of power until the first switch,
// and callers have waited for more than a second. Whoever would have to be refused soon is
// let in all the same, at a part of the pace.
func TestPressingRequestsAreLetIn(t *testing.T) {
	p, g := poolOf(144)
	g.brake.passed(start, 115*time.Millisecond, 120*time.Millisecond)
	first := comes(start.Add(-200 * time.Millisecond))
	assert.Assert(t, p.place(start, 8, false) == nil)
	p.line.add(first)
	p.turns(start, 8)
	assert.Assert(t, !granted(first))
	now := first.until.Add(-lastCall / 2)
	g.brake.passed(now, 115*time.Millisecond, 120*time.Millisecond)
	p.turns(now, 8)
	assert.Assert(t, granted(first))
}

// The load: an entry's share is taken and others wait. A first try for which no place comes
// in sight is told at once when to come back; one that was tried before waits, as it has no
// other try, but not for a service that it would have to leave before it is let in.
func TestFirstTryThatCanNotBeServedIsToldAtOnce(t *testing.T) {
	p, g := poolOf(144)
	g.inflight = g.limit(start, 8)
	for {
		v, wait := p.ask(start, 8, comes(start))
		if v == turnAway {
			assert.Assert(t, wait >= fullWait && wait <= crowdWait)
			break
		}
		assert.Equal(t, v, letWait)
		assert.Assert(t, len(p.line.list) < 100, "no place is in sight for so many")
	}
	again := comes(start)
	again.returned = true
	v, _ := p.ask(start, 8, again)
	assert.Equal(t, v, letWait)
	late := comes(start.Add(-callerPatience))
	late.returned = true
	v, _ = p.ask(start, 8, late)
	assert.Equal(t, v, turnAway)

	g.broke(start)
	v, wait := p.ask(start, 8, comes(start))
	assert.Assert(t, v == turnAway && wait == downWait)
}

// The first tries of a route name 6.8 to 8 s; later ones what is left of that. After a
// start nearly all are later tries, and the route's own limit tells it; a caller that
// always waits for less is no later try.
func TestAgeOfARequest(t *testing.T) {
	r := &wire.Route{Name: "r", TimeoutMs: 8000}
	times := newCallerTimes()
	assert.Equal(t, times.age(start, r, 5500*time.Millisecond), 2500*time.Millisecond)
	for range firstRequests {
		assert.Equal(t, times.age(start, r, 6900*time.Millisecond), time.Duration(0))
	}
	assert.Equal(t, times.age(start, r, 5500*time.Millisecond), 1400*time.Millisecond)
	assert.Equal(t, times.age(start, r, 0), time.Duration(0), "it names no time")
	assert.Equal(t, times.age(start, r, time.Second), time.Duration(0), "it waits for less")
	times.keep(nil)
	assert.Equal(t, len(times.routes), 0)
}
