package fake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A part on a frozen host asks for the time. It waits until the host wakes, and then
// learns the time of that moment: a lease that ran out meanwhile shows as over.
func TestFrozenClockReturnsTimeAfterThaw(t *testing.T) {
	c := &Clock{}
	before := c.Now()
	c.Freeze()
	c.Freeze()
	returned := make(chan time.Time)
	go func() { returned <- c.Now() }()
	select {
	case at := <-returned:
		t.Fatalf("a frozen clock told %v", at)
	case <-time.After(20 * time.Millisecond):
	}
	thaw := time.Now()
	c.Thaw()
	c.Thaw()
	at := <-returned
	assert.Assert(t, !at.Before(thaw) && at.After(before))
	assert.Assert(t, !c.Now().Before(at))
}
