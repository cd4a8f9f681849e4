package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A leader that was paused must process waiting messages before its timers run, so that it
// doesn't step down. Ticks that are always late run every other time.
func TestLateTickIsSkippedOnce(t *testing.T) {
	var m tickMonitor
	now := time.Unix(100, 0)
	assert.Equal(t, m.delayOf(now), time.Duration(0))
	now = now.Add(tickInterval)
	assert.Assert(t, !m.shouldSkip(m.delayOf(now)))
	now = now.Add(tickInterval + 500*time.Millisecond)
	delay := m.delayOf(now)
	assert.Equal(t, delay, 500*time.Millisecond)
	assert.Assert(t, m.shouldSkip(delay))
	now = now.Add(time.Second)
	assert.Assert(t, !m.shouldSkip(m.delayOf(now)))
	now = now.Add(time.Second)
	assert.Assert(t, m.shouldSkip(m.delayOf(now)))
}
