package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A pass is known in full when the next one has ended: until then another stream may show that it
// was shorter. Long ones are counted, and each second is told once.
func TestPassesOfASecondAreCounted(t *testing.T) {
	const content = 120 * time.Millisecond
	c := &passCount{}
	g := &gate{}
	event := func(now time.Time, pause time.Duration) {
		if pass, over := g.paused(now, 1, pause, content, 0); over {
			c.passed(pass, content)
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
		if seen, ok := c.due(now); ok {
			told++
			assert.Assert(t, seen.n >= 11 && seen.n <= 13, "%d", seen.n)
			assert.Equal(t, seen.long, 1)
			assert.Equal(t, seen.longest, 130*time.Millisecond)
			assert.Assert(t, seen.mean() > 80*time.Millisecond && seen.mean() < 90*time.Millisecond)
		}
	}
	assert.Equal(t, told, 2)
}
