package thbalance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against a step of the time of day that returns an ejected or avoided server at once,
// or keeps it out of use for as long.
func TestStepOfTheClockKeepsEjections(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		for _, result := range []Result{{Kind: therror.Broken}, {Kind: therror.Full, RetryAfter: initialEjection}} {
			clock := thclock.NewStepped()
			b := &Balancer{Self: thwire.Member{Name: "self", Zone: "a-1"}, Clock: clock}
			b.Update(tables(), []thwire.Member{member("x", "a-1"), member("y", "a-1"), member("z", "a-1")})
			var x *Server
			for _, s := range b.view.Load().pools["p"].servers {
				if s.Member.Name == "x" {
					x = s
				}
			}
			x.Begin()
			x.Done(result)
			before := x.class(nil, clock.Now())
			assert.Assert(t, before != classUsable)
			clock.Step(step)
			assert.Equal(t, x.class(nil, clock.Now()), before, "step %s", step)
			clock.Advance(2 * initialEjection)
			assert.Equal(t, x.class(nil, clock.Now()), classUsable, "step %s", step)
		}
	}
}
