package fake

import (
	"sync/atomic"
	"time"
)

// Clock is the time of one part, which can be frozen with its host. While it is
// frozen, whoever asks for the time waits; what it then learns is the time of the
// thaw, all timers passed. A part acts on time only after it asked for it, so that
// it stands where it is: what it knew before the freeze it still believes when it
// wakes. The zero value runs.
type Clock struct {
	// frozen is closed at the thaw; nil while the clock runs.
	frozen atomic.Pointer[chan struct{}]
}

// Now returns the time, after the thaw if the clock is frozen.
func (c *Clock) Now() time.Time {
	for {
		frozen := c.frozen.Load()
		if frozen == nil {
			return time.Now()
		}
		<-*frozen
	}
}

// Freeze stops the clock; once it is frozen it does nothing.
func (c *Clock) Freeze() {
	frozen := make(chan struct{})
	c.frozen.CompareAndSwap(nil, &frozen)
}

// Thaw lets everybody who asked go on.
func (c *Clock) Thaw() {
	if frozen := c.frozen.Swap(nil); frozen != nil {
		close(*frozen)
	}
}
