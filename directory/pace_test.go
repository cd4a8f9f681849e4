package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A replica that many instances announce to slows them down. It can't take a
// lease's announcements away: a third of the lease is the longest interval, also if
// a replica with a fault asks for hours, and settings that name a longer one hold.
func TestPaceIsBoundByTheLease(t *testing.T) {
	const own, lease = 500 * time.Millisecond, 3 * time.Second
	assert.Equal(t, pace(own, lease, 0), own, "an earlier version asks for nothing")
	assert.Equal(t, pace(own, lease, askedInterval(30)), own)
	assert.Equal(t, pace(own, lease, askedInterval(4000)), 800*time.Millisecond)
	assert.Equal(t, pace(own, lease, askedInterval(7500)), time.Second)
	assert.Equal(t, pace(own, lease, time.Hour), time.Second)
	assert.Equal(t, pace(2*time.Second, lease, askedInterval(7500)), 2*time.Second)
}

// The load: 147 entries watch each replica. A replica speaks to all of them together a
// bounded number of times a second; few watchers are spoken to as often as ever, and the
// word of a replica never runs out between two of its messages.
func TestWatchersAreSpokenToAtABoundedRate(t *testing.T) {
	assert.Equal(t, SpeakInterval(vouchInterval, 1), vouchInterval)
	assert.Equal(t, SpeakInterval(vouchInterval, 45), vouchInterval)
	for _, n := range []int{100, 147, 200} {
		each := SpeakInterval(vouchInterval, n)
		assert.Assert(t, float64(n)/each.Seconds() <= 201, "%d watchers each %s", n, each)
	}
	assert.Assert(t, 2*SpeakInterval(vouchInterval, 100_000) < DefaultSettings().VouchLease)
}
