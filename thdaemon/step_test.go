package thdaemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Guards against a step of the time of day during a planned stop that changes how much time
// the daemon believes to have left for calls.
func TestStepOfTheClockKeepsTheTimeOfAStop(t *testing.T) {
	clock := thclock.NewStepped()
	d := &Daemon{Clock: clock}
	d.endsAt.Store(thclock.Stamp(clock.Now().Add(4 * time.Second)))
	for _, step := range []time.Duration{time.Hour, -2 * time.Hour} {
		clock.Step(step)
		left, stopping := d.timeLeft()
		assert.Assert(t, stopping)
		assert.Equal(t, left, 4*time.Second)
	}
	clock.Advance(3 * time.Second)
	left, _ := d.timeLeft()
	assert.Equal(t, left, time.Second)
}
