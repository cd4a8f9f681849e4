package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An upstream ends under three attempts, and starts again; a request ends it once more before any
// other was answered. Entries must count two ends, not one and not four: the attempts of one life
// name it alike, and an attempt that got to the upstream after an end names the next.
func TestEachUpstreamExitIsCountedOnce(t *testing.T) {
	var l upstreamGenerations
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	l.recordContact(at(0))
	assert.Equal(t, l.recordExit(at(100)), 0)
	// Two that began before the end notice it later.
	l.recordContact(at(50))
	assert.Equal(t, l.recordExit(at(101)), 0)
	l.recordContact(at(90))
	assert.Equal(t, l.recordExit(at(102)), 0)
	l.recordContact(at(500))
	assert.Equal(t, l.recordExit(at(600)), 1)
	l.recordContact(at(550))
	assert.Equal(t, l.recordExit(at(601)), 1)
}
