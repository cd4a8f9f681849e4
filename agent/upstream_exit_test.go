package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Several attempts may notice the same exit of the upstream. They must report the same
// generation, and an attempt that reached the upstream after an exit must report the next
// one, so that entries count each exit once.
func TestEachUpstreamExitIsCountedOnce(t *testing.T) {
	var l upstreamGenerations
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	l.recordContact(at(0))
	assert.Equal(t, l.recordExit(at(100)), 0)
	// Two attempts that were sent before the exit notice it later.
	l.recordContact(at(50))
	assert.Equal(t, l.recordExit(at(101)), 0)
	l.recordContact(at(90))
	assert.Equal(t, l.recordExit(at(102)), 0)
	l.recordContact(at(500))
	assert.Equal(t, l.recordExit(at(600)), 1)
	l.recordContact(at(550))
	assert.Equal(t, l.recordExit(at(601)), 1)
}
