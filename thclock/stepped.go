package thclock

import (
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/jonboulle/clockwork"
)

// Stepped is a fake clock for tests whose time of day can be stepped while its monotonic
// reading goes on, as on a machine whose time of day is corrected. Advance moves both.
type Stepped struct {
	*clockwork.FakeClock

	origin time.Time // of FakeClock
	start  time.Time // with a monotonic reading
	step   atomic.Int64
}

// NewStepped returns a clock without a step.
func NewStepped() *Stepped {
	c := clockwork.NewFakeClock()
	return &Stepped{FakeClock: c, origin: c.Now(), start: base}
}

// Step moves the time of day by d, in whole seconds, forwards or backwards.
func (c *Stepped) Step(d time.Duration) { c.step.Add(int64(d / time.Second)) }

// Now returns the stepped time of day with the monotonic reading.
func (c *Stepped) Now() time.Time {
	t := c.start.Add(c.FakeClock.Since(c.origin))
	addToTimeOfDay(&t, c.step.Load())
	return t
}

// Since returns the time that has passed since t.
func (c *Stepped) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time that is left until t.
func (c *Stepped) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// addToTimeOfDay adds seconds to the time of day of t, which has a monotonic reading, and
// keeps the reading. Package time has no function for that: a time.Time with a monotonic
// reading holds the seconds from bit 30 of its first word on.
func addToTimeOfDay(t *time.Time, seconds int64) {
	const secondsShift = 30
	first := (*uint64)(unsafe.Pointer(t)) //nolint:gosec // G103: fake clock of tests
	*first += uint64(seconds) << secondsShift
}
