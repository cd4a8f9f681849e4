package fake

import (
	"sync/atomic"
	"time"
)

// Clock is the clock of one part; it can be frozen to simulate a paused host. Now
// blocks while the clock is frozen and then returns the time after the thaw, when
// timeouts and leases may have expired. A part that reads the clock before it acts
// on time thus pauses with the state that it had before. The zero value runs.
type Clock struct {
	// frozen is closed by Thaw; nil while the clock runs.
	frozen atomic.Pointer[chan struct{}]
}

// Now returns the current time. It blocks while the clock is frozen.
func (c *Clock) Now() time.Time {
	for {
		frozen := c.frozen.Load()
		if frozen == nil {
			return time.Now()
		}
		<-*frozen
	}
}

// Freeze stops the clock. It has no effect on a frozen clock.
func (c *Clock) Freeze() {
	frozen := make(chan struct{})
	c.frozen.CompareAndSwap(nil, &frozen)
}

// Thaw starts the clock again and unblocks pending calls of Now.
func (c *Clock) Thaw() {
	if frozen := c.frozen.Swap(nil); frozen != nil {
		close(*frozen)
	}
}
