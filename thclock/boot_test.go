package thclock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a clock that omits the time of suspensions or follows steps of the time of day:
// it lies between two readings of CLOCK_BOOTTIME, which the kernel documents for that.
func TestBootReadsBootTime(t *testing.T) {
	read := func() time.Duration {
		var s unix.Timespec
		assert.NilError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &s))
		return time.Duration(s.Nano())
	}
	before := read()
	now := Boot()
	assert.Assert(t, before <= now && now <= read())
}
