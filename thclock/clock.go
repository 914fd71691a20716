// Package thclock provides the default for optional clocks, and the time that passes
// whatever happens to the time of day.
package thclock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

var system = clockwork.NewRealClock()

// OrSystem returns c, or the system clock if c is nil. It makes the zero value of types
// with a Clock field usable.
func OrSystem(c clockwork.Clock) clockwork.Clock {
	if c == nil {
		return system
	}
	return c
}

// base is a time with a monotonic reading.
var base = time.Now()

// Stamp returns t as a number for atomics and time slots, in ns. The difference of two stamps
// is the time that has passed between them: unlike UnixNano, a stamp doesn't follow a step of
// the time of day. Stamps of other processes can't be compared with it. A time without a
// monotonic reading, such as one received or one of clockwork's fake clock, counts by its
// time of day.
func Stamp(t time.Time) int64 { return base.UnixNano() + int64(t.Sub(base)) }

// Since returns the time that has passed from a stamp to now.
func Since(stamp int64, now time.Time) time.Duration { return time.Duration(Stamp(now) - stamp) }
