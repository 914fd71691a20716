package thbalance

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// ejected returns how many servers are taken out of use after rounds in which
// server i answers with an error in share[i] of its calls.
func ejected(t *testing.T, rounds int, share ...float64) map[string]bool {
	b, clock := balancer("aa")
	var members []thwire.Member
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}[:len(share)]
	for _, n := range names {
		members = append(members, member(n, "aa"))
	}
	b.Update(tables(), members)
	out := map[string]bool{}
	for range rounds {
		for i, n := range names {
			s := find(t, b, n)
			status := http.StatusOK
			if float64(b.randomUint64()%1000) < share[i]*1000 {
				status = http.StatusInternalServerError
			}
			s.Begin()
			s.Done(Result{Status: status, Latency: 20 * time.Millisecond})
			if s.ejectedUntil.Load() > clock.Now().UnixNano() {
				out[n] = true
			}
		}
		clock.Advance(20 * time.Millisecond)
	}
	return out
}

// Pattern: a service behind all servers of a pool is short of room, so that they
// all answer half or nearly all calls with an error. Guards against servers that
// are taken out of use in turns, which takes half of the pool away and helps
// nobody.
func TestServersThatFailAlikeStayInUse(t *testing.T) {
	for _, share := range []float64{0.5, 0.7, 0.9} {
		out := ejected(t, 100, share, share, share, share, share, share)
		assert.Assert(t, len(out) <= 2, "share %v: %d servers taken out of use", share, len(out))
	}
}

// Pattern: one server fails while others are good, or fail much less. Guards
// against one that stays in use because errors are common.
func TestServerThatFailsMoreThanOthersIsEjected(t *testing.T) {
	for _, c := range [][]float64{{1, 0, 0}, {0.5, 0, 0}, {0.7, 0, 0, 0, 0, 0}, {1, 0.3, 0.3, 0.3, 0.3}} {
		out := ejected(t, 100, c...)
		assert.Assert(t, out["a"], "%v", c)
		assert.Assert(t, len(out) <= 2, "%v: %d servers taken out of use", c, len(out))
	}
}

// Pattern: inner calls whose short deadline passes in a queue. Guards against a
// server that is taken out of use for a late call although it has answered others
// meanwhile, and against one that hangs and stays in use.
func TestLateCallAtServerThatAnswersOthers(t *testing.T) {
	const deadline = 400 * time.Millisecond
	for _, answers := range []bool{true, false} {
		b, clock := balancer("aa")
		b.Update(&thconfig.Tables{Pools: tables().Pools}, []thwire.Member{member("a", "aa"), member("b", "aa")})
		s := find(t, b, "a")
		s.Begin()
		s.Begin()
		clock.Advance(deadline / 2)
		if answers {
			s.Done(Result{Status: http.StatusOK, Latency: deadline / 2})
		}
		clock.Advance(deadline / 2)
		s.Done(Result{Kind: therror.Late, Latency: deadline})
		assert.Equal(t, s.ejectedUntil.Load() > clock.Now().UnixNano(), !answers)
	}
}
