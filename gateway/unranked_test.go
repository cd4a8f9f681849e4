package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Without a recent survey a group in lock-step has its whole even share. Guards against a limit that is one
// too low where the share is a whole number, by an error of rounding.
func TestEvenShareIsNotRoundedDown(t *testing.T) {
	for slots := 1; slots <= 2000; slots++ {
		for _, gateways := range []int{1, 3, 10, 40} {
			g := &groupLimiter{lockstep: true, slots: slots}
			want := max(int(evenShareMargin*float64(slots)*g.share(gateways)), 1)
			assert.Equal(t, g.limit(start, gateways), want, "%d slots, %d gateways", slots, gateways)
		}
	}
}

// While a late request is about to expire, requests of a service without priorities that can be on time are
// admitted before it, at the same pace. Guards against ones that are held back by long passes and overtaken.
func TestExpiringRequestDoesNotOvertake(t *testing.T) {
	p, g := poolWithSlots(144)
	late := newArrival(start)
	now := late.giveUpAt.Add(-expiringWindow / 2)
	fresh := newArrival(now)
	g.throttle.observeGap(now, 115*time.Millisecond, 120*time.Millisecond)
	p.sorted[0].pacer = pacer{tokens: 1, refilledAt: now}
	p.queue.add(late)
	p.queue.add(fresh)
	p.admitQueued(now, 8)
	assert.Assert(t, isAdmitted(fresh) && !isAdmitted(late))
	p.sorted[0].pacer.tokens = 1
	p.admitQueued(now, 8)
	assert.Assert(t, isAdmitted(late))
}

// Guards against a request that is queued for minutes although the wait is expected to be longer than that,
// and against waits so long that they overflow.
func TestLongExpectedWaitIsNotCutShort(t *testing.T) {
	p, g := poolWithSlots(12)
	g.inflight, g.progressAt, p.holdTime = g.limit(start, 1), start, time.Hour
	for range maxQueued - 1 {
		p.queue.add(newArrival(start))
	}
	w := newArrival(start)
	w.onTimeBy, w.giveUpAt = start.Add(5*time.Minute), start.Add(5*time.Minute)
	assert.Assert(t, !p.likelyAdmitted(start, 1, w))
	p.holdTime = 1 << 62
	for range 2 {
		assert.Assert(t, p.expectedWait(start, 1, class{}, maxQueued, 1) > time.Hour)
		p.policy.SetRanks(2)
	}
}
