package thbalance

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// ejected returns the servers that are ejected at least once in a number of rounds.
// In each round every server gets one call, and server i fails with probability
// errorRates[i].
func ejected(t *testing.T, rounds int, errorRates ...float64) map[string]bool {
	b, clock := balancer("aa")
	var members []thwire.Member
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}[:len(errorRates)]
	for _, n := range names {
		members = append(members, member(n, "aa"))
	}
	b.Update(tables(), members)
	out := map[string]bool{}
	for range rounds {
		for i, n := range names {
			s := find(t, b, n)
			status := http.StatusOK
			if float64(b.randomUint64()%1000) < errorRates[i]*1000 {
				status = http.StatusInternalServerError
			}
			s.Begin()
			s.Done(Result{Status: status, Latency: 20 * time.Millisecond})
			if s.ejectedUntil.Load() > thclock.Stamp(clock.Now()) {
				out[n] = true
			}
		}
		clock.Advance(20 * time.Millisecond)
	}
	return out
}

// A service behind all servers of a pool is overloaded, so that all servers
// fail between half and nearly all of their calls. Guards against servers that are
// ejected in turn, which removes half of the pool's capacity without any benefit.
func TestServersThatFailAlikeStayInUse(t *testing.T) {
	for _, rate := range []float64{0.5, 0.7, 0.9} {
		out := ejected(t, 100, rate, rate, rate, rate, rate, rate)
		assert.Assert(t, len(out) <= 2, "error rate %v: %d servers ejected", rate, len(out))
	}
}

// One server fails while the others don't, or fail much less often. Guards
// against a server that stays in use because errors are common in its pool.
func TestServerThatFailsMoreThanOthersIsEjected(t *testing.T) {
	for _, c := range [][]float64{{1, 0, 0}, {0.5, 0, 0}, {0.7, 0, 0, 0, 0, 0}, {1, 0.3, 0.3, 0.3, 0.3}} {
		out := ejected(t, 100, c...)
		assert.Assert(t, out["a"], "%v", c)
		assert.Assert(t, len(out) <= 2, "%v: %d servers ejected", c, len(out))
	}
}

// Nested calls have short deadlines that pass while they are queued. Guards
// against a server that is ejected because of a timeout although it has responded to
// another call in the meantime, and against a server that hangs and isn't ejected.
func TestLateCallAtServerThatAnswersOthers(t *testing.T) {
	const deadline = 400 * time.Millisecond
	for _, responds := range []bool{true, false} {
		b, clock := balancer("aa")
		b.Update(&thconfig.Tables{Pools: tables().Pools}, []thwire.Member{member("a", "aa"), member("b", "aa")})
		s := find(t, b, "a")
		s.Begin()
		s.Begin()
		clock.Advance(deadline / 2)
		if responds {
			s.Done(Result{Status: http.StatusOK, Latency: deadline / 2})
		}
		clock.Advance(deadline / 2)
		s.Done(Result{Kind: therror.Late, Latency: deadline})
		assert.Equal(t, s.ejectedUntil.Load() > thclock.Stamp(clock.Now()), !responds)
	}
}
