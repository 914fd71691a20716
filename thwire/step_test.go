package thwire

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Guards against a step of the time of day that counts as silence of the peer, which ends the
// calls in progress, or that hides its silence.
func TestStepOfTheClockIsNoSilence(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -time.Hour} {
		a, b := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		clock := thclock.NewStepped()
		s := startSession(a, nil, clock, nil)
		st, err := s.open(t.Context(), &Open{Ended: true})
		assert.NilError(t, err)
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		tick := func() {
			clock.Advance(pingInterval)
			time.Sleep(10 * time.Millisecond)
		}
		answer := func() {
			pong, err := AppendFrame(nil, TypePong, &Pong{})
			assert.NilError(t, err)
			_, err = b.Write(pong)
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		for range 3 {
			tick()
			answer()
			clock.Step(step)
		}
		tick()
		assert.Equal(t, s.Active(), 1, "step %s", step)
		assert.Assert(t, s.alive())
		tick()
		tick()
		_, err = st.Head(t.Context())
		assert.ErrorContains(t, err, "silent for 1", "step %s", step)
		s.Close()
		b.Close()
	}
}

// Guards against a step of the time of day that makes a healthy connection look stalled to new
// calls, or a stalled one healthy.
func TestStepOfTheClockIsNoStall(t *testing.T) {
	for _, step := range []time.Duration{3 * time.Second, -time.Hour} {
		a, b := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		clock := thclock.NewStepped()
		s := startSession(a, nil, clock, nil)
		_, err := s.open(t.Context(), &Open{Ended: true})
		assert.NilError(t, err)
		clock.Step(step)
		assert.Assert(t, s.answersPing())
		assert.Equal(t, s.pinged.Load(), int64(0), "a ping was sent after a step of %s", step)
		clock.Advance(stallPingDelay)
		assert.Assert(t, s.answersPing())
		clock.Step(step)
		assert.Assert(t, s.answersPing())
		clock.Advance(stallTimeout)
		assert.Assert(t, !s.answersPing())
		s.Close()
		b.Close()
	}
}
