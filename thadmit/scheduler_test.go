package thadmit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	viewTime = 200 * time.Millisecond
	callTime = 40 * time.Millisecond
)

// view is an ordinary request.
func view() *thwire.Open {
	return &thwire.Open{Route: "view", Priority: 2, Deadline: int64(time.Second), Goal: int64(500 * time.Millisecond)}
}

// inner is a call that a running request makes.
func inner() *thwire.Open {
	return &thwire.Open{Route: "inner", Priority: 1, Deadline: int64(500 * time.Millisecond), Goal: int64(150 * time.Millisecond)}
}

// enter asks for a place and reports the outcome on a channel, so that a test
// can go on while the call waits.
func enter(t *testing.T, s *Scheduler, o *thwire.Open) <-chan error {
	c := make(chan error, 1)
	before := s.Load("").Queued + s.Load("").Active
	go func() {
		_, err := s.Enter(t.Context(), o)
		c <- err
	}()
	for range 100_000 { // until it has been decided on
		if len(c) > 0 || s.Load("").Queued+s.Load("").Active > before {
			return c
		}
		time.Sleep(100 * time.Microsecond)
	}
	t.Fatal("call neither queued nor decided")
	return nil
}

// learn tells the scheduler how long calls of a route take.
func learn(s *Scheduler, route string, d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.serviceTimes == nil {
		s.serviceTimes = map[string]time.Duration{}
	}
	s.serviceTimes[route] = d
	s.averageTime = d
}

func newScheduler(slots int) (*Scheduler, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	s := &Scheduler{Clock: clock}
	s.SetServer(slots, false, time.Time{}, 0)
	learn(s, "view", viewTime)
	learn(s, "inner", callTime)
	return s, clock
}

// Guards against work before anything is known of the backend server, and
// after its end.
func TestSchedulerRefusesWithoutServer(t *testing.T) {
	s := &Scheduler{}
	_, err := s.Enter(t.Context(), view())
	assert.Equal(t, therror.KindOf(err), therror.Unready)
	s.SetServer(2, false, time.Time{}, 0)
	_, err = s.Enter(t.Context(), view())
	assert.NilError(t, err)
	s.SetServer(2, true, time.Time{}, 0)
	_, err = s.Enter(t.Context(), view())
	assert.Equal(t, therror.KindOf(err), therror.Leaving)
}

// Pattern: requests hold all slots and their inner calls wait behind others.
// Guards against inner calls that are served after new requests of the same urgency.
func TestSchedulerServesInnerCallsFirst(t *testing.T) {
	s, _ := newScheduler(1)
	held, err := s.Enter(t.Context(), view())
	assert.NilError(t, err)
	booking := view()
	booking.Route, booking.Priority = "book", 1
	learn(s, "book", viewTime)
	later := enter(t, s, booking)
	first := enter(t, s, inner())
	held.Done(viewTime, true)
	assert.NilError(t, <-first)
	assert.Equal(t, len(later), 0)
}

// Pattern: a burst far above the slots. Guards against a queue in which all
// wait until after their objective, and against refusals that name no time.
func TestSchedulerBoundsWaitByObjective(t *testing.T) {
	s, _ := newScheduler(2)
	admitted, refused := 0, 0
	for range 30 {
		select {
		case err := <-enter(t, s, view()):
			if err != nil {
				refused++
				assert.Equal(t, therror.KindOf(err), therror.Full)
				assert.Assert(t, therror.RetryAfter(err) >= minQueueRetryAfter)
				continue
			}
			admitted++
		default:
		}
	}
	// Two run; those that wait are served within 500 ms less the 200 ms of their own.
	queued := s.Load("").Queued
	assert.Equal(t, admitted, 2)
	assert.Assert(t, queued >= 1 && queued <= 3, "%d queued", queued)
	assert.Equal(t, admitted+refused+queued, 30)
	// A caller that comes back has no objective left and may wait longer.
	back := view()
	back.Goal = 0
	c := enter(t, s, back)
	assert.Equal(t, len(c), 0)
	assert.Equal(t, s.Load("").Queued, queued+1)
}

// Pattern: urgent calls arrive behind a full queue. Guards against queued calls
// that have no chance any more and are held until their deadline.
func TestSchedulerRefusesHopelessAtOnce(t *testing.T) {
	s, _ := newScheduler(1)
	_, err := s.Enter(t.Context(), view())
	assert.NilError(t, err)
	waiting := enter(t, s, view())
	for range 20 {
		urgent := view()
		urgent.Priority, urgent.Goal, urgent.Deadline = 1, 0, int64(3*time.Second)
		go func() { _, _ = s.Enter(t.Context(), urgent) }()
	}
	select {
	case err := <-waiting:
		assert.Equal(t, therror.KindOf(err), therror.Full)
	case <-time.After(5 * time.Second):
		t.Fatal("a call without a chance was held")
	}
}

// Pattern: a cold backend server in the middle of traffic. Guards against more
// calls than it bears in any second, those before the news of its state included.
func TestSchedulerKeepsColdRate(t *testing.T) {
	const rate = 18
	clock := clockwork.NewFakeClock()
	s := &Scheduler{Clock: clock}
	start := clock.Now()
	s.SetServer(100, false, time.Time{}, rate)
	var times []time.Time
	run := func(n int) {
		for range n {
			o := view()
			o.Deadline, o.Goal = int64(time.Millisecond), 0 // refused unless there is a place now
			if a, err := s.Enter(t.Context(), o); err == nil {
				times = append(times, clock.Now())
				a.Done(time.Millisecond, true)
			}
		}
	}
	run(10)
	s.SetServer(100, false, start.Add(10*time.Second), rate)
	for range 300 {
		run(5)
		clock.Advance(10 * time.Millisecond)
	}
	for i, at := range times {
		n := 0
		for _, o := range times[i:] {
			if o.Sub(at) < time.Second {
				n++
			}
		}
		assert.Assert(t, n <= rate, "%d calls in one second", n)
	}
	assert.Assert(t, len(times) >= 3*rate, "only %d calls in 3 s", len(times))
}

// Pattern: all servers return cold, and their daemons open connections to them
// slowly, so that the calls of the first quarter of a second reach the server at
// its end. Guards against more calls in any second than the platform allows (1.5
// times the stated rate and 5), and against a rate far below it.
func TestSchedulerPacesColdServer(t *testing.T) {
	const stated, given, factor, slack, slow = 18.0, 1.25, 1.5, 5, 250 * time.Millisecond
	clock := clockwork.NewFakeClock()
	s := &Scheduler{Clock: clock}
	start := clock.Now()
	s.SetServer(18, false, start.Add(10*time.Second), given*stated)
	var arrivals []time.Time
	for range 300 {
		for range 5 {
			o := view()
			o.Deadline, o.Goal = int64(time.Millisecond), 0 // refused unless there is a place now
			a, err := s.Enter(t.Context(), o)
			if err != nil {
				break
			}
			arrivals = append(arrivals, latest(clock.Now(), start.Add(slow)))
			a.Done(time.Millisecond, true)
		}
		clock.Advance(10 * time.Millisecond)
	}
	for i, at := range arrivals {
		n := 0
		for _, o := range arrivals[i:] {
			if o.Sub(at) < time.Second {
				n++
			}
		}
		assert.Assert(t, float64(n) <= factor*stated+slack, "%d calls in one second", n)
	}
	assert.Assert(t, float64(len(arrivals)) >= 3*stated, "only %d calls in 3 s", len(arrivals))
}

// Guards against places that are lost or given twice when callers leave while
// they wait.
func TestSchedulerPlacesSurviveCancels(t *testing.T) {
	s := &Scheduler{}
	s.SetServer(3, false, time.Time{}, 0)
	done := make(chan struct{}, 200)
	for i := range 200 {
		go func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(8)+1)*time.Millisecond)
			defer cancel()
			o := view()
			o.Route = fmt.Sprint("r", i%3)
			if a, err := s.Enter(ctx, o); err == nil {
				assert.Check(t, s.Load("").Active <= 3)
				time.Sleep(time.Millisecond)
				a.Done(time.Millisecond, true)
				a.Done(time.Millisecond, true)
			}
		}()
	}
	for range 200 {
		<-done
	}
	l := s.Load("")
	assert.Equal(t, l.Active, 0)
	assert.Equal(t, l.Queued, 0)
}

// Pattern: a service with less room than its callers' requests need, two calls
// for each request, one after the other. Guards against second calls that are
// refused while first ones are admitted: the work of their requests is wasted.
func TestCallsOfBegunRunsComeFirst(t *testing.T) {
	s, clock := newScheduler(1)
	enter(t, s, inner())
	var first []<-chan error
	for range 2 {
		first = append(first, enter(t, s, inner()))
	}
	later := inner()
	later.Begun = true
	second := enter(t, s, later)
	assert.Equal(t, len(second), 0, "refused or admitted without a place")
	clock.Advance(callTime)
	(&Admission{scheduler: s, route: "inner"}).Done(callTime, true)
	assert.NilError(t, <-second)
	assert.Equal(t, len(first[0])+len(first[1]), 0)

	// It waits as long as its run has time, where a first call is refused at once.
	full, _ := newScheduler(1)
	enter(t, full, inner())
	for range 2 {
		enter(t, full, view())
	}
	learn(full, "view", viewTime)
	var refused int
	for range 8 {
		c := enter(t, full, inner())
		select {
		case err := <-c:
			assert.Assert(t, therror.Is(err, therror.Full))
			refused++
		default:
		}
	}
	assert.Assert(t, refused > 0)
	assert.Equal(t, len(enter(t, full, later)), 0)
}
