package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns a clock that also counts the time in which the host was
// suspended, and that no change of the time of day moves.
//
// The monotonic clock of the Go runtime stands still while a host is frozen: a
// leader that was frozen for seconds would find its lease still live beside the
// leader that was elected meanwhile, and answer a read with what is no longer in
// force. CLOCK_BOOTTIME counts those seconds. Its times compare only with others
// of the same process; as a time of day they are that of the process's start plus
// what has passed.
func BootClock() func() time.Time {
	base, ok := bootTime()
	if !ok {
		return time.Now
	}
	// Round drops the monotonic reading, so that differences are those of the
	// times themselves.
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
