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

// Service times of the routes "view" and "inner".
const (
	viewTime   = 200 * time.Millisecond
	nestedTime = 40 * time.Millisecond
)

// view returns a request of a client.
func view() *thwire.Open {
	return &thwire.Open{Route: "view", Priority: 2, Deadline: int64(time.Second), Goal: int64(500 * time.Millisecond)}
}

// nestedCall returns a call that a running request makes.
func nestedCall() *thwire.Open {
	return &thwire.Open{Route: "inner", Priority: 1, Deadline: int64(500 * time.Millisecond), Goal: int64(150 * time.Millisecond)}
}

// enter makes a call that is admitted, queued or rejected when enter returns. The channel
// receives the result.
func enter(t *testing.T, s *Scheduler, o *thwire.Open) <-chan error {
	c := make(chan error, 1)
	q, err := s.tryEnter(t.Context(), o)
	if q == nil {
		c <- err
		return c
	}
	go func() {
		<-q.done
		c <- q.err
	}()
	return c
}

// setServiceTime sets the measured service time of a route and of all calls.
func setServiceTime(s *Scheduler, route string, d time.Duration) {
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
	setServiceTime(s, "view", viewTime)
	setServiceTime(s, "inner", nestedTime)
	return s, clock
}

// Guards against admission before the backend server is known and while it drains.
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

// Requests occupy all slots, and their nested calls are queued behind others. Guards
// against nested calls that are served after new requests of equal priority.
func TestSchedulerServesInnerCallsFirst(t *testing.T) {
	s, _ := newScheduler(1)
	held, err := s.Enter(t.Context(), view())
	assert.NilError(t, err)
	booking := view()
	booking.Route, booking.Priority = "book", 1
	setServiceTime(s, "book", viewTime)
	request := enter(t, s, booking)
	nested := enter(t, s, nestedCall())
	held.Done(viewTime, true)
	assert.NilError(t, <-nested)
	assert.Equal(t, len(request), 0)
}

// A burst of many more calls than slots. Guards against a queue in which
// every call misses its latency objective, and against rejections without a retry
// time.
func TestSchedulerBoundsWaitByObjective(t *testing.T) {
	s, _ := newScheduler(2)
	admitted, rejected := 0, 0
	for range 30 {
		select {
		case err := <-enter(t, s, view()):
			if err != nil {
				rejected++
				assert.Equal(t, therror.KindOf(err), therror.Full)
				assert.Assert(t, therror.RetryAfter(err) >= minQueueRetryAfter)
				continue
			}
			admitted++
		default:
		}
	}
	// Two calls run. A queued call may wait for 500 ms less its service time of 200 ms.
	queued := s.Load("").Queued
	assert.Equal(t, admitted, 2)
	assert.Assert(t, queued >= 1 && queued <= 3, "%d queued", queued)
	assert.Equal(t, admitted+rejected+queued, 30)
	// A call of a retrying client has no latency objective left and may wait longer.
	retry := view()
	retry.Goal = 0
	c := enter(t, s, retry)
	assert.Equal(t, len(c), 0)
	assert.Equal(t, s.Load("").Queued, queued+1)
}

// Urgent calls arrive while the queue is full. Guards against queued calls
// that can't be served in time any more but wait until their deadline.
func TestSchedulerRejectsUnservableImmediately(t *testing.T) {
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
		t.Fatal("call that can't be served in time is still queued")
	}
}

// Guards against queued calls of retrying clients that are held until near their deadline,
// seconds later, while new calls keep coming before them.
func TestSchedulerRejectsOvertakenCallsEarly(t *testing.T) {
	const deadline = 8 * time.Second
	s, clock := newScheduler(1)
	running, err := s.Enter(t.Context(), view())
	assert.NilError(t, err)
	late := &thwire.Open{Route: "view", Priority: 2, Deadline: int64(deadline), Late: true}
	c := enter(t, s, late)
	assert.Equal(t, len(c), 0, "a place is near")
	start := clock.Now()
	for len(c) == 0 && clock.Since(start) < deadline {
		enter(t, s, view())
		clock.Advance(viewTime)
		running.Done(viewTime, true)
		running = &Admission{scheduler: s, route: "view"} // of the call that has come before
		time.Sleep(time.Millisecond)                      // the rejected call ends in its goroutine
	}
	assert.Equal(t, therror.KindOf(<-c), therror.Full)
	assert.Assert(t, clock.Since(start) <= time.Duration(lateFraction*float64(deadline)), "held for %s", clock.Since(start))
}

// A backend server becomes cold under traffic. Guards against more calls in
// any second than its admitted rate, including the calls that were dispatched before
// the cold state was reported.
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
			o.Deadline, o.Goal = int64(time.Millisecond), 0 // rejected unless it can be admitted immediately
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

// All servers restart cold, and their daemons open connections slowly, so
// that the calls of the first 250 ms reach the server together. Guards against more
// calls in any second than the platform allows (1.5 times the stated rate plus 5),
// and against a rate far below it.
func TestSchedulerPacesColdServer(t *testing.T) {
	const statedRate, admittedFactor, maxFactor, slack, connectTime = 18.0, 1.25, 1.5, 5, 250 * time.Millisecond
	clock := clockwork.NewFakeClock()
	s := &Scheduler{Clock: clock}
	start := clock.Now()
	s.SetServer(18, false, start.Add(10*time.Second), admittedFactor*statedRate)
	var arrivals []time.Time
	for range 300 {
		for range 5 {
			o := view()
			o.Deadline, o.Goal = int64(time.Millisecond), 0 // rejected unless it can be admitted immediately
			a, err := s.Enter(t.Context(), o)
			if err != nil {
				break
			}
			arrivals = append(arrivals, latest(clock.Now(), start.Add(connectTime)))
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
		assert.Assert(t, float64(n) <= maxFactor*statedRate+slack, "%d calls in one second", n)
	}
	assert.Assert(t, float64(len(arrivals)) >= 3*statedRate, "only %d calls in 3 s", len(arrivals))
}

// Guards against slots that are lost or assigned twice when callers cancel while
// they are queued.
func TestSchedulerSlotsSurviveCancels(t *testing.T) {
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

// A service lacks the capacity for its callers' requests, each of which
// makes two consecutive calls. Guards against rejected second calls while first calls
// are admitted: the work of their requests would be wasted.
func TestLaterNestedCallsComeFirst(t *testing.T) {
	s, clock := newScheduler(1)
	enter(t, s, nestedCall())
	var firstCalls []<-chan error
	for range 2 {
		firstCalls = append(firstCalls, enter(t, s, nestedCall()))
	}
	second := nestedCall()
	second.Begun = true
	secondCall := enter(t, s, second)
	assert.Equal(t, len(secondCall), 0, "rejected, or admitted without a free slot")
	clock.Advance(nestedTime)
	(&Admission{scheduler: s, route: "inner"}).Done(nestedTime, true)
	assert.NilError(t, <-secondCall)
	assert.Equal(t, len(firstCalls[0])+len(firstCalls[1]), 0)

	// A second call may wait for most of its deadline, while first calls are rejected
	// immediately.
	full, _ := newScheduler(1)
	enter(t, full, nestedCall())
	for range 2 {
		enter(t, full, view())
	}
	setServiceTime(full, "view", viewTime)
	var rejected int
	for range 8 {
		c := enter(t, full, nestedCall())
		select {
		case err := <-c:
			assert.Assert(t, therror.Is(err, therror.Full))
			rejected++
		default:
		}
	}
	assert.Assert(t, rejected > 0)
	assert.Equal(t, len(enter(t, full, second)), 0)
}
