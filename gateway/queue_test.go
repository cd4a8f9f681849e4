package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// newArrival returns a request that arrived at a time, with a target of 400 ms for the first
// event.
func newArrival(at time.Time) *waiter {
	return &waiter{
		onTimeBy: at.Add(400*time.Millisecond - defaultHeadTime), giveUpAt: at.Add(firstEventTimeout - firstEventMargin - defaultHeadTime),
		admitted: make(chan struct{}),
	}
}

func isAdmitted(w *waiter) bool {
	select {
	case <-w.admitted:
		return true
	default:
		return false
	}
}

func poolWithSlots(slots int) (*servicePool, *groupLimiter) {
	return singleGroup(registeredRanks(slots/12, 1, false))
}

// nextOf returns the request that is admitted next, among those that can be on time only unless
// late is set. No priority is starved.
func nextOf(q *waitQueue, now time.Time, late bool) *waiter {
	for _, w := range q.firsts(now, nil) {
		if late || w.canBeOnTime(now) {
			return w
		}
	}
	return nil
}

// Requests that can be on time go first, then late ones by giveUpAt, and none after its giveUpAt.
func TestQueueOrder(t *testing.T) {
	l := &waitQueue{}
	now := start.Add(1500 * time.Millisecond)
	gone, older, late := newArrival(start.Add(-500*time.Millisecond)), newArrival(start), newArrival(start.Add(time.Second))
	fresh, fresher := newArrival(now.Add(-100*time.Millisecond)), newArrival(now)
	for _, w := range []*waiter{late, fresher, gone, fresh, older} {
		l.add(w)
	}
	for _, want := range []*waiter{fresh, fresher} {
		assert.Equal(t, nextOf(l, now, true), want)
		l.remove(want)
	}
	assert.Assert(t, nextOf(l, now, false) == nil, "a late request was returned")
	for _, want := range []*waiter{older, late} {
		assert.Equal(t, nextOf(l, now, true), want)
		l.remove(want)
	}
	assert.Assert(t, nextOf(l, now, true) == nil, "a request past its giveUpAt was returned")
}

// A backlog is admitted to an empty group at the pace at which all gateways fill it in
// minFillTime.
func TestEmptyGroupIsFilledAtPace(t *testing.T) {
	p, _ := poolWithSlots(144)
	for range 60 {
		p.queue.add(newArrival(start))
	}
	let := func() int { return 60 - len(p.queue.waiters) }
	p.admitQueued(start, 8)
	assert.Equal(t, let(), int(paceBurst))
	for now := start; now.Before(start.Add(minFillTime / 3)); now = now.Add(admitInterval) {
		p.admitQueued(now, 8)
	}
	assert.Assert(t, let() >= 144/8/3 && let() <= 144/8/3+paceBurst+1, "%d were admitted", let())
}

// Requests are held back while passes are expected to exceed the target gap, also while a long
// pass is in progress, but for maxThrottleTime at most.
func TestLongPassesThrottleAdmission(t *testing.T) {
	const content = 120 * time.Millisecond
	b := &passThrottle{}
	now := start
	pass := func(d time.Duration) {
		now = now.Add(d)
		b.observeGap(now, d+time.Millisecond, content)
		b.observeGap(now, d, content)
		b.observeGap(now, 4*d, content)
	}
	assert.Equal(t, b.admitFraction(now), 1.0, "no pass is known")
	for range 5 {
		pass(55 * time.Millisecond)
	}
	assert.Equal(t, b.admitFraction(now), 1.0)
	assert.Equal(t, b.admitFraction(now.Add(80*time.Millisecond)), 0.0, "a long pass is in progress")
	pass(110 * time.Millisecond)
	assert.Equal(t, b.admitFraction(now), 0.0)
	pass(104 * time.Millisecond)
	few := b.admitFraction(now)
	assert.Assert(t, few > 0 && few < 0.5, "%f", few)
	pass(95 * time.Millisecond)
	assert.Assert(t, b.admitFraction(now) > few)
	pass(88 * time.Millisecond)
	assert.Equal(t, b.admitFraction(now), 1.0, "passes are long but don't grow")
	assert.Equal(t, b.admitFraction(now.Add(100*time.Millisecond)), 1.0, "the next pass isn't overdue yet")
	pass(72 * time.Millisecond)
	pass(88 * time.Millisecond)
	assert.Equal(t, b.admitFraction(now), 1.0, "a normal variation of passes")
	for began := now; now.Sub(began) <= maxThrottleTime+300*time.Millisecond; {
		pass(130 * time.Millisecond)
	}
	assert.Equal(t, b.admitFraction(now), 1.0, "maxThrottleTime has passed")
	pass(55 * time.Millisecond)
	pass(110 * time.Millisecond)
	assert.Equal(t, b.admitFraction(now), 0.0, "passes grow again")
	assert.Equal(t, b.admitFraction(now.Add(passStaleness+time.Millisecond)), 1.0, "the last pass is stale")
}

// A late request that is about to expire is admitted although passes are long.
func TestExpiringRequestsAreAdmitted(t *testing.T) {
	p, g := poolWithSlots(144)
	g.throttle.observeGap(start, 115*time.Millisecond, 120*time.Millisecond)
	first := newArrival(start.Add(-200 * time.Millisecond))
	assert.Assert(t, p.pickGroup(start, 8, class{}) == nil)
	p.queue.add(first)
	p.admitQueued(start, 8)
	assert.Assert(t, !isAdmitted(first))
	now := first.giveUpAt.Add(-expiringWindow / 2)
	g.throttle.observeGap(now, 115*time.Millisecond, 120*time.Millisecond)
	p.admitQueued(now, 8)
	assert.Assert(t, isAdmitted(first))
}

// A first try that isn't expected to be admitted is refused at once with a Retry-After. A retried
// request is queued, unless it has already expired.
func TestFirstTryIsRefusedEarly(t *testing.T) {
	p, g := poolWithSlots(144)
	g.inflight = g.limit(start, 8)
	for {
		v, wait := p.decide(start, 8, newArrival(start))
		if v == decisionRefuse {
			assert.Assert(t, wait >= retryAfterMin && wait <= retryAfterMax)
			break
		}
		assert.Equal(t, v, decisionQueue)
		assert.Assert(t, len(p.queue.waiters) < 100, "too many requests are queued")
	}
	again := newArrival(start)
	again.retried = true
	v, _ := p.decide(start, 8, again)
	assert.Equal(t, v, decisionQueue)
	late := newArrival(start.Add(-firstEventTimeout))
	late.retried = true
	v, _ = p.decide(start, 8, late)
	assert.Equal(t, v, decisionRefuse)

	g.markDown(start)
	v, wait := p.decide(start, 8, newArrival(start))
	assert.Assert(t, v == decisionRefuse && wait == retryAfterDown)
}

// The age is estimated from the timeouts that recent callers named, and just after a start from
// the route's timeout too. A caller with a much shorter timeout isn't taken for a retry.
func TestRequestAge(t *testing.T) {
	r := &wire.Route{Name: "r", TimeoutMs: 8000}
	times := newCallerTimeouts()
	assert.Equal(t, times.age(start, r, 5500*time.Millisecond), 2500*time.Millisecond)
	for range minTimeoutSamples {
		assert.Equal(t, times.age(start, r, 6900*time.Millisecond), time.Duration(0))
	}
	assert.Equal(t, times.age(start, r, 5500*time.Millisecond), 1400*time.Millisecond)
	assert.Equal(t, times.age(start, r, 0), time.Duration(0), "it names no timeout")
	assert.Equal(t, times.age(start, r, time.Second), time.Duration(0), "it has a shorter timeout")
	times.retain(nil)
	assert.Equal(t, len(times.routes), 0)
}
