package thproxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Guards against a step of the time of day that empties the window of the retry budget, so
// that more retries are sent than the platform allows in it.
func TestStepOfTheClockKeepsTheRetryBudget(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		clock := thclock.NewStepped()
		b := &SharedRetryBudget{Slack: 8, Window: 10 * time.Second, Daemons: func() int { return 1 }, Clock: clock}
		taken := 0
		for b.TakeRetry("page", 0) {
			taken++
		}
		assert.Assert(t, taken > 0)
		clock.Step(step)
		assert.Assert(t, !b.TakeRetry("page", 0), "step %s", step)
		clock.Advance(10 * time.Second)
		assert.Assert(t, b.TakeRetry("page", 0), "step %s", step)
	}
}
