package kernel_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/kernel"
)

// A time with a reading of the runtime's monotonic clock would be compared by it,
// and the seconds of a freeze would be lost again.
func TestBootClockCarriesNoMonotonicReading(t *testing.T) {
	clock := kernel.BootClock()
	first := clock()
	assert.Equal(t, first, first.Round(0))
	time.Sleep(time.Millisecond)
	assert.Assert(t, clock().Sub(first) >= time.Millisecond)
	assert.Assert(t, time.Since(first).Abs() < time.Minute, "it starts at the time of day")
}
