package kernel_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/kernel"
)

// Times with a monotonic reading are compared by it, which would exclude the time in
// which the host was suspended.
func TestBootClockHasNoMonotonicReading(t *testing.T) {
	clock := kernel.BootClock()
	first := clock()
	assert.Equal(t, first, first.Round(0))
	time.Sleep(time.Millisecond)
	assert.Assert(t, clock().Sub(first) >= time.Millisecond)
	assert.Assert(t, time.Since(first).Abs() < time.Minute, "the clock starts at the wall-clock time")
}
