package thclock

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// Guards against durations that follow a step of the time of day, and against a Stepped whose
// step does not move the time of day or moves the monotonic reading.
func TestStampDoesNotFollowSteps(t *testing.T) {
	c := NewStepped()
	start := c.Now()
	stamp := Stamp(start)
	for _, step := range []time.Duration{3 * time.Second, -time.Hour} {
		timeOfDay := c.Now().UnixNano()
		c.Step(step)
		assert.Equal(t, c.Now().UnixNano()-timeOfDay, int64(step))
		assert.Equal(t, c.Since(start), time.Duration(0))
		assert.Equal(t, Since(stamp, c.Now()), time.Duration(0))
	}
	c.Advance(time.Minute)
	assert.Equal(t, c.Since(start), time.Minute)
	assert.Equal(t, Since(stamp, c.Now()), time.Minute)
	assert.Equal(t, c.Until(start), -time.Minute)
}

// Guards against stamps that start near zero, which means "never" in many fields, and against
// times without a monotonic reading that no longer count by their time of day.
func TestStampOfOtherTimes(t *testing.T) {
	assert.Assert(t, Stamp(time.Now()) >= base.UnixNano())
	c := clockwork.NewFakeClockAt(time.Unix(5000, 0))
	assert.Equal(t, Stamp(c.Now()), c.Now().UnixNano())
	assert.Equal(t, Stamp(time.Unix(1000, 0)), time.Unix(1000, 0).UnixNano())
}
