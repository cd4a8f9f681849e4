package fake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A part on a frozen host asks for the time. It waits until the host wakes, and then
// learns the time of that moment: a lease that ran out meanwhile shows as over.
func TestFrozenClockTellsTheTimeOfTheThaw(t *testing.T) {
	c := &Clock{}
	before := c.Now()
	c.Freeze()
	c.Freeze()
	told := make(chan time.Time)
	go func() { told <- c.Now() }()
	select {
	case at := <-told:
		t.Fatalf("a frozen clock told %v", at)
	case <-time.After(20 * time.Millisecond):
	}
	thaw := time.Now()
	c.Thaw()
	c.Thaw()
	at := <-told
	assert.Assert(t, !at.Before(thaw) && at.After(before))
	assert.Assert(t, !c.Now().Before(at))
}
