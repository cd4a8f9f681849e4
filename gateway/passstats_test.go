package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A pass is counted once the next one has begun, with the shortest gap as its duration. The
// counts are flushed once per second.
func TestPassStatsPerSecond(t *testing.T) {
	const content = 120 * time.Millisecond
	c := &passStats{}
	g := &groupLimiter{}
	event := func(now time.Time, pause time.Duration) {
		if pass, over := g.observeGap(now, 1, pause, content, 0); over {
			c.record(pass, content)
		}
	}
	now := start
	told := 0
	for n := range 30 {
		pass := 80 * time.Millisecond
		if n%10 == 9 {
			pass = 130 * time.Millisecond
		}
		now = now.Add(pass)
		event(now, pass+3*time.Millisecond)
		event(now, pass)
		event(now.Add(time.Millisecond), 4*pass)
		if seen, ok := c.flush(now); ok {
			told++
			assert.Assert(t, seen.count >= 11 && seen.count <= 13, "%d", seen.count)
			assert.Equal(t, seen.long, 1)
			assert.Equal(t, seen.longest, 130*time.Millisecond)
			assert.Assert(t, seen.mean() > 80*time.Millisecond && seen.mean() < 90*time.Millisecond)
		}
	}
	assert.Equal(t, told, 2)
}
