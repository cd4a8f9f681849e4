package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/quota"
)

var alone = quota.Position{Count: 1}

// Guards against a rate above the limit, from rounding to whole permits.
func TestPermitsHaveTheRateOfTheLimit(t *testing.T) {
	for _, perS := range []float64{0.1, 0.3, 0.5, 1, 1.2, 7.7, 1000, MaxPerS} {
		permits, window := permitsOf(perS)
		rate := float64(permits) / window.Seconds()
		assert.Assert(t, rate <= perS*1.001 && rate >= perS*0.999, "%g gives %g", perS, rate)
		assert.Assert(t, window >= minWindow-time.Millisecond)
	}
	permits, window := permitsOf(0)
	assert.Assert(t, permits == 1 && window == 10*time.Second, "an upstream would stay limited for ever")
	permits, _ = permitsOf(1e300)
	assert.Equal(t, permits, int(MaxPerS*minWindow.Seconds()))
}

// Guards against a replica that restarts and lends again what it lent just before.
func TestRestartedReplicaLendsNothingForAWindow(t *testing.T) {
	now := start
	l := NewLender(func() time.Time { return now })
	lent, retry := l.Lend("u", 1, 1, alone)
	assert.Assert(t, lent == 0 && retry == 2*time.Second)
	now = now.Add(2 * time.Second)
	lent, _ = l.Lend("u", 1, 1, alone)
	assert.Equal(t, lent, 1)
}

// Guards against a call for each request to an upstream with a high limit, and against one gateway
// that takes all of it.
func TestHighLimitsAreLentInBatches(t *testing.T) {
	now := start
	l := NewLender(func() time.Time { return now })
	now = now.Add(time.Minute)
	lent, _ := l.Lend("u", 1000, 30, alone)
	assert.Equal(t, lent, 30)
	lent, _ = l.Lend("u", 1000, 5000, alone)
	assert.Equal(t, lent, 250)

	var b borrower
	b.receive(now, 30)
	for range 30 {
		assert.Assert(t, b.take(now))
	}
	assert.Assert(t, !b.take(now))
	assert.Equal(t, b.want(now.Add(permitLifetime)), 30)
	assert.Equal(t, b.want(now.Add(3*permitLifetime)), 1)
	b.receive(now, 2)
	assert.Assert(t, !b.take(now.Add(permitLifetime)), "an old permit is used")
}

// Guards against lenders that remember upstreams of all times.
func TestLenderForgetsIdleUpstreams(t *testing.T) {
	now := start
	l := NewLender(func() time.Time { return now })
	now = now.Add(time.Minute)
	for _, id := range []string{"a", "b", "c"} {
		l.Lend(id, 1, 1, alone)
	}
	now = now.Add(2 * idleAfter)
	l.Lend("d", 1, 1, alone)
	assert.Equal(t, len(l.byUpstream), 1)
}

// Guards against calls to replicas that have no permit, and against gateways that all come back at the
// same moment, when the next one is free.
func TestRefusedGatewaysAskLater(t *testing.T) {
	now := start
	var b borrower
	replicas := []string{"x", "y"}
	b.refused(now, "x", time.Second)
	replica, ok := b.next(now, replicas)
	assert.Assert(t, ok && replica == "y")
	_, blocked := b.blockedUntil(now, replicas)
	assert.Assert(t, !blocked)
	b.refused(now, "y", 3*time.Second)
	_, ok = b.next(now, replicas)
	assert.Assert(t, !ok)
	until, blocked := b.blockedUntil(now, replicas)
	assert.Assert(t, blocked && until.Equal(now.Add(time.Second)))

	l := NewLender(func() time.Time { return now })
	now = now.Add(time.Minute)
	l.Lend("u", 0.5, 1, alone)
	_, first := l.Lend("u", 0.5, 1, alone)
	var last time.Duration
	for range 100 {
		_, last = l.Lend("u", 0.5, 1, alone)
	}
	assert.Assert(t, first == 2*time.Second && last > 10*first, "%s, %s", first, last)
}
