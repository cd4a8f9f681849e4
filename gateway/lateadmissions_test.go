package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newLateRetry returns a retried request that can't be on time any more.
func newLateRetry(at time.Time) *waiter {
	w := newArrival(at)
	w.onTimeBy, w.retried = at.Add(-time.Second), true
	return w
}

// Late requests are refused at once when others have been queued for a while and none was
// admitted. They are queued while the rate is unknown, while slots are free, while late ones are
// admitted, and when none is queued any more.
func TestLateRequestsAreRefusedWhenNoneIsAdmitted(t *testing.T) {
	p, g := poolWithSlots(144)
	g.inflight = g.limit(start, 8)
	now := start
	g.recordProgress(now)
	first := newLateRetry(now)
	v, _ := p.decide(now, 8, first)
	assert.Equal(t, v, decisionQueue, "the rate is unknown")
	now = now.Add(lateRateMinWait)
	g.recordProgress(now)
	v, wait := p.decide(now, 8, newLateRetry(now))
	assert.Assert(t, v == decisionRefuse && wait >= retryAfterMin)

	g.inflight--
	v, _ = p.decide(now, 8, newLateRetry(now))
	assert.Equal(t, v, decisionQueue, "a slot is free, the request is only held back by long passes")
	g.inflight++
	for range 6 {
		p.late.of(0).recordAdmission(now)
	}
	v, _ = p.decide(now, 8, newLateRetry(now))
	assert.Equal(t, v, decisionQueue, "late requests are admitted")

	p.queue = waitQueue{}
	p.admitQueued(now, 8)
	now = now.Add(lateRateWindow)
	g.recordProgress(now)
	v, _ = p.decide(now, 8, newLateRetry(now))
	assert.Equal(t, v, decisionQueue, "no late request is queued")
}

// The rate follows the recent admissions and is known only while late requests are queued.
func TestLateAdmissionRate(t *testing.T) {
	var l lateAdmissions
	line := &waitQueue{}
	_, known := l.rate(start)
	assert.Assert(t, !known)
	line.add(newLateRetry(start))
	l.observeQueue(start, line)
	now := start
	for now.Before(start.Add(6 * time.Second)) {
		now = now.Add(250 * time.Millisecond)
		l.recordAdmission(now)
		l.observeQueue(now, line)
	}
	rate, known := l.rate(now)
	assert.Assert(t, known && rate > 3.5 && rate < 4.7, "%f", rate)
	line.remove(line.waiters[0])
	l.observeQueue(now, line)
	_, known = l.rate(now)
	assert.Assert(t, !known)
}
