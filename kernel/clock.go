package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns a clock that includes the time in which the host was suspended and
// is not affected by changes of the wall clock. It falls back to time.Now where
// CLOCK_BOOTTIME is not available.
//
// The monotonic clock of the Go runtime stops while a host is suspended: a leader that
// was suspended for seconds would still consider its lease valid although another
// leader had been elected, and serve stale reads. CLOCK_BOOTTIME includes those
// seconds. Its times are comparable only within one process; they are the wall-clock
// time of the call to BootClock plus the time elapsed since.
func BootClock() func() time.Time {
	base, ok := bootTime()
	if !ok {
		return time.Now
	}
	// Round strips the monotonic reading, which Sub would otherwise use.
	start := time.Now().Round(0)
	return func() time.Time {
		now, _ := bootTime()
		return start.Add(now - base)
	}
}

func bootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

// processStart is the origin of SteadyNanos.
var processStart = time.Now()

// SteadyNanos returns the nanoseconds since the start of the process by a clock that doesn't follow jumps of
// the time of day and stands still while the host is suspended: it tells how long a peer had time to send.
func SteadyNanos() int64 { return int64(time.Since(processStart)) }
