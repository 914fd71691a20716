package thclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine was started, including the time for which it was
// suspended, which the monotonic clock of package time does not count. It does not follow
// steps of the time of day.
func Boot() time.Duration {
	var t unix.Timespec
	// Linux has had CLOCK_BOOTTIME since 2.6.39, and a pointer to a local variable is valid:
	// the call has no other causes of failure.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
