package fake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Now must not return a time from before the thaw: a lease that expired during the
// freeze would look valid.
func TestFrozenClockReturnsTimeAfterThaw(t *testing.T) {
	c := &Clock{}
	before := c.Now()
	c.Freeze()
	c.Freeze()
	returned := make(chan time.Time)
	go func() { returned <- c.Now() }()
	select {
	case at := <-returned:
		t.Fatalf("Now returned %v while the clock was frozen", at)
	case <-time.After(20 * time.Millisecond):
	}
	thaw := time.Now()
	c.Thaw()
	c.Thaw()
	at := <-returned
	assert.Assert(t, !at.Before(thaw) && at.After(before))
	assert.Assert(t, !c.Now().Before(at))
}
