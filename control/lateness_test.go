package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The caller's stream waits for a switch of a group whose leader stood still for half a second:
// the leader must first read what the others sent meanwhile, and not step down because it has
// heard nothing. One that is late at each tick goes by its clock all the same, every other time.
func TestLateTickIsPostponedOnce(t *testing.T) {
	var l lateness
	now := time.Unix(100, 0)
	assert.Equal(t, l.late(now), time.Duration(0))
	now = now.Add(tickInterval)
	assert.Assert(t, !l.postpone(l.late(now)))
	now = now.Add(tickInterval + 500*time.Millisecond)
	late := l.late(now)
	assert.Equal(t, late, 500*time.Millisecond)
	assert.Assert(t, l.postpone(late))
	now = now.Add(time.Second)
	assert.Assert(t, !l.postpone(l.late(now)))
	now = now.Add(time.Second)
	assert.Assert(t, l.postpone(l.late(now)))
}
