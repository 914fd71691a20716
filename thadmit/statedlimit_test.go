package thadmit

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// statedServer is a model of a backend server that states a limit in its responses.
type statedServer struct {
	*Scheduler
	t       *testing.T
	clock   *clockwork.FakeClock
	limit   float64
	limited bool
}

func newStatedServer(t *testing.T, slots int) *statedServer {
	clock := clockwork.NewFakeClock()
	s := &statedServer{Scheduler: &Scheduler{Clock: clock}, t: t, clock: clock}
	s.SetServer(slots, false, time.Time{}, 0)
	return s
}

// run offers more calls than the server can take for d, and returns how many were
// dispatched in each step of 10 ms. Each call takes 50 ms and learns the limit.
func (s *statedServer) run(d time.Duration) []int {
	const step, work = 10 * time.Millisecond, 50 * time.Millisecond
	type running struct {
		admission *Admission
		sent, end time.Time
	}
	var active []running
	var dispatched []int
	for range int(d / step) {
		n := 0
		for {
			a, err := s.Enter(s.t.Context(), &thwire.Open{Route: "view", Deadline: int64(time.Millisecond)})
			if err != nil {
				assert.Assert(s.t, therror.Is(err, therror.Full), "%v", err)
				assert.Assert(s.t, therror.RetryAfter(err) > 0, "no time at which a place is likely: %v", err)
				break
			}
			active = append(active, running{a, s.clock.Now(), s.clock.Now().Add(work)})
			n++
		}
		dispatched = append(dispatched, n)
		s.clock.Advance(step)
		for len(active) > 0 && !active[0].end.After(s.clock.Now()) {
			s.ObserveLimit(active[0].sent, s.limit, s.limited)
			active[0].admission.Done(work, true)
			active = active[1:]
		}
	}
	for _, a := range active {
		a.admission.Done(work, true)
	}
	return dispatched
}

// most returns the largest sum of counts in a span of 10 ms steps.
func most(counts []int, span time.Duration) int {
	best, sum, steps := 0, 0, int(span/(10*time.Millisecond))
	for i, n := range counts {
		sum += n
		if i >= steps {
			sum -= counts[i-steps]
		}
		best = max(best, sum)
	}
	return best
}

func total(counts []int) int { return most(counts, time.Hour) }

// Guards against a server that gets more calls than it states, also at once after its
// first statement, and against one that gets far fewer.
func TestStatedLimitPacesCalls(t *testing.T) {
	for _, limit := range []float64{0.3, 1, 2.5, 7.8, 40} {
		s := newStatedServer(t, 20)
		s.limit, s.limited = limit, true
		s.run(200 * time.Millisecond) // learns the limit
		got := s.run(8 * time.Second)
		// A call may be dispatched ahead of the pace by pacingBurst.
		allowed := max(limit, minStatedRate)*(4*time.Second+pacingBurst).Seconds() + 1
		assert.Assert(t, float64(most(got, 4*time.Second)) <= allowed, "limit %v: %d in 4 s", limit, most(got, 4*time.Second))
		assert.Assert(t, float64(total(got)) >= 0.8*8*limit-1, "limit %v: %d in 8 s", limit, total(got))
	}
}

// Guards against a limit that is not lowered at once, not raised, or kept after the
// server has stopped to state it; also from zero, where few responses arrive.
func TestStatedLimitFollowsTheServer(t *testing.T) {
	s := newStatedServer(t, 4)
	s.limit, s.limited = 20, true
	s.run(time.Second)
	s.limit = 5
	s.run(300 * time.Millisecond)
	low := s.run(4 * time.Second)
	assert.Assert(t, total(low) <= 21, "%d calls in 4 s after the limit fell to 5", total(low))
	s.limit = 0
	s.run(500 * time.Millisecond)
	none := s.run(4 * time.Second)
	assert.Assert(t, total(none) >= 1 && total(none) <= 3, "%d calls in 4 s at a limit of 0", total(none))
	s.limit = 20
	s.run(3 * time.Second) // learns it with the next call
	raised := s.run(4 * time.Second)
	assert.Assert(t, total(raised) >= 64 && total(raised) <= 81, "%d calls in 4 s after the limit rose to 20", total(raised))
	s.limited = false
	s.run(300 * time.Millisecond)
	free := s.run(time.Second)
	assert.Assert(t, total(free) >= 60, "%d calls in 1 s without a limit, with 4 slots of 50 ms each", total(free))
	assert.Assert(t, s.Load("view").Rate == 0)
}

// Guards against a response that was made before the server stated its limit, arrives
// after one that states it, and ends or raises it.
func TestLateResponseDoesNotEndStatedLimit(t *testing.T) {
	s := newStatedServer(t, 4)
	early := s.clock.Now()
	s.clock.Advance(time.Second)
	s.ObserveLimit(early, 5, true)
	s.ObserveLimit(early, 0, false)
	assert.Assert(t, s.Load("view").Rate > 0, "ended by a response to an earlier call")
	s.ObserveLimit(early, 9, true)
	assert.Equal(t, s.stated.rate, 5.0, "raised by a response to an earlier call")
	s.ObserveLimit(early, 4, true)
	assert.Equal(t, s.stated.rate, 4.0, "a lower limit takes effect at once")
	s.ObserveLimit(s.clock.Now(), 9, true)
	assert.Equal(t, s.stated.rate, 9.0)
	s.clock.Advance(time.Second)
	s.ObserveLimit(s.clock.Now(), 0, false)
	assert.Assert(t, s.Load("view").Rate == 0)
}

// Guards against the successor of a server being held to the limit of the server.
func TestStatedLimitEndsWithTheInstance(t *testing.T) {
	s := newStatedServer(t, 4)
	s.ObserveLimit(s.clock.Now(), 0, true)
	s.run(time.Second)
	s.ResetPacing()
	assert.Assert(t, total(s.run(time.Second)) >= 60)
}

// Guards against ingresses that keep sending a limited server its full share: it
// advertises no more concurrency than the limit keeps busy.
func TestStatedLimitIsAdvertised(t *testing.T) {
	s := newStatedServer(t, 20)
	s.run(2 * time.Second) // the mean service time is 50 ms
	assert.Equal(t, s.Load("view").Limit, 20)
	s.ObserveLimit(s.clock.Now(), 7, true)
	assert.Equal(t, s.Load("view").Limit, 1)
	s.ObserveLimit(s.clock.Now(), 90, true)
	assert.Equal(t, s.Load("view").Limit, 5)
	s.ObserveLimit(s.clock.Now(), 1e300, true)
	assert.Equal(t, s.Load("view").Limit, 20)
}

// Guards against a burst of calls at a server with a limit after a restart of the daemon
// beside it: until the first response only the ingresses know the limit.
func TestStatedLimitIsAdoptedFromIngress(t *testing.T) {
	s := newStatedServer(t, 20)
	enter := func(rate float64) error {
		_, err := s.Enter(t.Context(), &thwire.Open{Route: "view", Deadline: int64(time.Millisecond), Rate: rate})
		return err
	}
	assert.NilError(t, enter(3))
	assert.Assert(t, therror.Is(enter(0), therror.Full), "an ingress that does not know the limit")
	assert.Assert(t, therror.Is(enter(8), therror.Full), "an ingress that knows a higher one")
	s.clock.Advance(time.Second)
	s.ObserveLimit(s.clock.Now(), 0, false)
	for range 10 {
		assert.NilError(t, enter(3), "the server has stopped to state it")
	}
}
