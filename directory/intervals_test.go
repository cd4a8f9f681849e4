package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A replica may lengthen the announcement interval up to a third of the lease, whatever it
// requests, and never shorten a longer configured interval.
func TestAnnounceIntervalIsLimitedByLease(t *testing.T) {
	const configured, lease = 500 * time.Millisecond, 3 * time.Second
	assert.Equal(t, announceInterval(configured, lease, 0), configured, "earlier versions request no interval")
	assert.Equal(t, announceInterval(configured, lease, requestedInterval(30)), configured)
	assert.Equal(t, announceInterval(configured, lease, requestedInterval(4000)), 800*time.Millisecond)
	assert.Equal(t, announceInterval(configured, lease, requestedInterval(7500)), time.Second)
	assert.Equal(t, announceInterval(configured, lease, time.Hour), time.Second)
	assert.Equal(t, announceInterval(2*time.Second, lease, requestedInterval(7500)), 2*time.Second)
}

// The total rate of keepalives to all watchers is limited, few watchers get them at the
// usual interval, and the interval stays below half the lease of the source.
func TestKeepaliveRateIsLimited(t *testing.T) {
	assert.Equal(t, KeepaliveInterval(minKeepaliveInterval, 1), minKeepaliveInterval)
	assert.Equal(t, KeepaliveInterval(minKeepaliveInterval, 45), minKeepaliveInterval)
	for _, n := range []int{100, 147, 200} {
		each := KeepaliveInterval(minKeepaliveInterval, n)
		assert.Assert(t, float64(n)/each.Seconds() <= 201, "%d watchers each %s", n, each)
	}
	assert.Assert(t, 2*KeepaliveInterval(minKeepaliveInterval, 100_000) < DefaultSettings().SourceLease)
}
