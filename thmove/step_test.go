package thmove

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Guards against a step of the time of day that hides the latest calls from the verdict on a
// version, or keeps older ones in it.
func TestStepOfTheClockKeepsTheWindows(t *testing.T) {
	for _, step := range []time.Duration{20 * time.Second, -20 * time.Second} {
		clock := thclock.NewStepped()
		var counter slidingCounter
		counter.observe(clock.Now(), true, true, time.Millisecond)
		clock.Step(step)
		counter.observe(clock.Now(), true, true, time.Millisecond)
		assert.Equal(t, counter.count(clock.Now(), windows[0]).Errors, uint64(2), "step %s", step)
		clock.Advance(windows[0])
		clock.Step(-step)
		assert.Equal(t, counter.count(clock.Now(), windows[0]).Errors, uint64(0), "step %s", step)
		assert.Equal(t, counter.count(clock.Now(), windows[lastWindow]).Errors, uint64(2), "step %s", step)
	}
}

// Guards against a step of the time of day that ends or prolongs the suspension of a version
// that is bad by the local statistics.
func TestStepOfTheClockKeepsTheSuspension(t *testing.T) {
	for _, step := range []time.Duration{time.Minute, -time.Minute} {
		clock := thclock.NewStepped()
		tr := newTrack(thconfig.Move{Name: "m", From: "a", To: "b"}, clock.Now())
		tr.suspendedUntil.Store(thclock.Stamp(clock.Now().Add(suspension)))
		clock.Step(step)
		assert.Assert(t, tr.isSuspended(clock.Now()), "step %s", step)
		clock.Advance(suspension)
		assert.Assert(t, !tr.isSuspended(clock.Now()), "step %s", step)
	}
}
