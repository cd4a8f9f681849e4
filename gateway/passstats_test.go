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
	flushes := 0
	for n := range 30 {
		pass := 80 * time.Millisecond
		if n%10 == 9 {
			pass = 130 * time.Millisecond
		}
		now = now.Add(pass)
		event(now, pass+3*time.Millisecond)
		event(now, pass)
		event(now.Add(time.Millisecond), 4*pass)
		if stats, ok := c.flush(now); ok {
			flushes++
			assert.Assert(t, stats.count >= 11 && stats.count <= 13, "%d", stats.count)
			assert.Equal(t, stats.long, 1)
			assert.Equal(t, stats.longest, 130*time.Millisecond)
			assert.Assert(t, stats.mean() > 80*time.Millisecond && stats.mean() < 90*time.Millisecond)
		}
	}
	assert.Equal(t, flushes, 2)
}
