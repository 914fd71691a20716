package thadmit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busyMachine runs consecutive calls at a limiter. In some spans of 100 ms every call also
// waits for a processor for up to 5 ms.
type busyMachine struct {
	limiter
	random *rand.Rand
	now    time.Time
	span   time.Time // start of the current span
	busy   bool
}

// call runs one call.
func (b *busyMachine) call(work time.Duration) {
	if b.now.Sub(b.span) >= 100*time.Millisecond {
		b.span, b.busy = b.now, b.random.IntN(2) == 0
	}
	latency := time.Duration(float64(work) * math.Exp(0.2*b.random.NormFloat64()))
	if b.busy {
		latency += time.Duration((0.5 + 0.5*b.random.Float64()) * float64(5*time.Millisecond))
	}
	b.now = b.now.Add(latency)
	b.observe(b.now, latency, true)
}

// Guards against a limit that falls to a few calls, so that the rest is rejected, because the
// calls of a fast server wait for a processor of a busy machine; and against a limit that
// ignores overload of the same server.
func TestBusyMachineKeepsTheLimit(t *testing.T) {
	const slots, calls, work = 20, 1000, 2 * time.Millisecond
	for seed := range uint64(10) {
		b := busyMachine{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
		b.reset(slots)
		for range calls {
			b.call(work)
		}
		for range calls {
			b.call(work)
			assert.Equal(t, b.limit, slots, "seed %d", seed)
		}
		for range 2 * slots {
			b.call(slots * work)
		}
		assert.Assert(t, b.limit < slots, "seed %d: the limit of an overloaded server", seed)
	}
}
