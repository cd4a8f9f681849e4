package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An upstream ends under three attempts, and starts again; a request ends it once more before any
// other was answered. Entries must count two ends, not one and not four: the attempts of one life
// name it alike, and an attempt that got to the upstream after an end names the next.
func TestLivesOfAnUpstreamAreToldApart(t *testing.T) {
	var l upstreamLives
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	l.reached(at(0))
	assert.Equal(t, l.end(at(100)), 0)
	// Two that began before the end notice it later.
	l.reached(at(50))
	assert.Equal(t, l.end(at(101)), 0)
	l.reached(at(90))
	assert.Equal(t, l.end(at(102)), 0)
	l.reached(at(500))
	assert.Equal(t, l.end(at(600)), 1)
	l.reached(at(550))
	assert.Equal(t, l.end(at(601)), 1)
}
