package thadmit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Constants of a Scheduler.
const (
	timeGain  = 0.1                    // weight of a new service time in the average
	timeFirst = 100 * time.Millisecond // service time of a route without an answer yet
	timeLeast = time.Millisecond
	// residueTimes is the time until the first of the calls in progress ends, in
	// service times divided by the slots, half a service time at most. With times
	// that don't vary it would be one.
	residueTimes = 1.5
	rateWindow   = time.Second // in which a cold server's calls are counted
	// paceBurst is the time whose calls a cold server may get at once. More of them
	// would reach it together with later ones when connections open slowly, and
	// exceed its rate there.
	paceBurst = 125 * time.Millisecond
	// waitMargin is the part of the time left that waiting and serving may fill
	// without a latency objective: service times vary, and the answer has to
	// travel back.
	waitMargin = 0.8
	// goalMargin is the same of the latency objective. Calls that wait longer are
	// all served too late, and no more of them are.
	goalMargin = 0.9
	// goalLeast is the time that a call may wait and be served in any case, where it
	// has twice as much left: to refuse an inner call wastes the work of its caller.
	goalLeast = 250 * time.Millisecond
	// lateMargin is the part of the time left of a caller who comes back. Such calls
	// are served after the others, and wait only where their place is near.
	lateMargin  = 0.3
	refuseLeast = 50 * time.Millisecond // shortest time after which a refused call may come back
	refuseMost  = 2 * time.Second
)

// Scheduler admits calls to a backend server that tells its slots and how many
// calls a second it bears while it is cold. Calls beyond that wait by priority,
// in order of arrival among equals, and late calls behind the others. A call is
// refused at once when it would be served after its latency objective. The zero
// value refuses everything as Unready until SetServer.
type Scheduler struct {
	Clock clockwork.Clock

	mutex   sync.Mutex
	slots   int
	active  int
	closed  therror.Kind // by SetClosed
	missing bool         // no server
	known   bool         // SetServer has been called
	leaving bool
	cold    time.Time                // until when the server is cold
	rate    float64                  // calls a second while it is cold
	recent  []time.Time              // dispatches to the cold server in the last second
	paced   time.Time                // when the next call is due at an even pace of the cold server
	queue   []*ticket                // by priority, then arrival
	times   map[string]time.Duration // average service time by route
	average time.Duration            // of all calls
	timer   clockwork.Timer          // wakes the queue when a cold server bears the next call
}

// ticket is a call that waits.
type ticket struct {
	route    string
	priority int
	late     bool      // its latency objective has passed
	begun    bool      // made by a run that would waste other calls
	due      time.Time // of the latency objective; the deadline where there is none
	deadline time.Time
	limit    time.Duration // longest time for waiting and serving
	done     chan struct{} // closed when decided
	err      error         // nil: admitted
}

// Admission is the place of one call at the backend server.
type Admission struct {
	scheduler *Scheduler
	route     string
	once      sync.Once
}

// Enter waits for a place. Errors are of kind Full with the time after which
// to come back, Leaving, Unready, Late or Cancelled; no place is held then.
func (s *Scheduler) Enter(ctx context.Context, o *thwire.Open) (*Admission, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(err)
	}
	t, err := s.join(ctx, o)
	if err != nil {
		return nil, err
	}
	if t != nil {
		select {
		case <-t.done:
		case <-ctx.Done():
			s.abandon(t, contextError(ctx.Err()))
		}
		if t.err != nil {
			return nil, t.err
		}
	}
	return &Admission{scheduler: s, route: o.Route}, nil
}

// join admits at once (nil, nil), queues, or refuses.
func (s *Scheduler) join(ctx context.Context, o *thwire.Open) (*ticket, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.refusal(); err != nil {
		return nil, err
	}
	now := thclock.OrSystem(s.Clock).Now()
	if len(s.queue) == 0 && s.hasPlace(now) {
		s.admit(now)
		return nil, nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Duration(o.Deadline))
	}
	t := newTicket(o, deadline, now)
	at, _ := slices.BinarySearchFunc(s.queue, t, (*ticket).compare)
	if wait := s.wait(at, now); wait+s.time(t.route) > t.limit {
		return nil, s.full(wait)
	}
	s.queue = slices.Insert(s.queue, at, t)
	s.prune(at+1, now)
	s.grant(now)
	return t, nil
}

func newTicket(o *thwire.Open, deadline, now time.Time) *ticket {
	left := deadline.Sub(now)
	t := &ticket{
		route: o.Route, priority: o.Priority, late: o.Late, begun: o.Begun, due: deadline, deadline: deadline,
		limit: time.Duration(waitMargin * float64(left)), done: make(chan struct{}),
	}
	goal := time.Duration(o.Goal)
	switch {
	case t.begun:
	case t.late:
		t.limit = time.Duration(lateMargin * float64(left))
	case goal > 0 && goal < left:
		t.due = now.Add(goal)
		t.limit = max(time.Duration(goalMargin*float64(goal)), min(left/2, goalLeast))
	}
	return t
}

// compare orders by priority, then by due time, then by arrival, with calls of
// begun runs ahead of the others of their priority and late calls behind them: a
// new ticket goes behind its equals.
func (t *ticket) compare(n *ticket) int {
	if c := cmp.Compare(t.priority, n.priority); c != 0 {
		return c
	}
	if t.begun != n.begun {
		if t.begun {
			return -1
		}
		return 1
	}
	if t.late != n.late {
		if t.late {
			return 1
		}
		return -1
	}
	if t.due.After(n.due) {
		return 1
	}
	return -1
}

// prune refuses those of the queued calls, from a position on, that more urgent
// ones have pushed back so far that they can't be served before their deadline.
func (s *Scheduler) prune(from int, now time.Time) {
	for i := from; i < len(s.queue); i++ {
		t := s.queue[i]
		wait := s.wait(i, now)
		if now.Add(wait + s.time(t.route)).Before(t.deadline) {
			continue
		}
		t.err = s.full(wait)
		close(t.done)
		s.queue = slices.Delete(s.queue, i, i+1)
		i--
	}
}

// abandon takes a ticket out of the queue; one that was admitted meanwhile
// gives its place back.
func (s *Scheduler) abandon(t *ticket, cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-t.done:
		if t.err == nil {
			t.err = cause
			s.active--
			s.grant(thclock.OrSystem(s.Clock).Now())
		}
		return
	default:
	}
	if i := slices.Index(s.queue, t); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	t.err = cause
	close(t.done)
}

// time returns the average service time of a route.
func (s *Scheduler) time(route string) time.Duration {
	if d := s.times[route]; d > 0 {
		return d
	}
	return timeFirst
}

// wait returns how long a call at a position of the queue waits for its place.
func (s *Scheduler) wait(position int, now time.Time) time.Duration {
	if s.slots == 0 {
		return 0
	}
	var work time.Duration
	for _, t := range s.queue[:min(position, len(s.queue))] {
		work += s.time(t.route)
	}
	free := s.slots - s.active
	if position < free && !s.isCold(now) {
		return 0
	}
	slots := time.Duration(s.slots)
	d := work/slots + min(time.Duration(residueTimes*float64(s.mean()))/slots, s.mean()/2)
	if s.isCold(now) && s.rate > 0 {
		d = max(d, time.Duration(float64(position+1)/s.rate*float64(time.Second)))
	}
	return d
}

// mean returns the average service time of all calls.
func (s *Scheduler) mean() time.Duration {
	if s.average > 0 {
		return s.average
	}
	return timeFirst
}

func (s *Scheduler) full(wait time.Duration) error {
	return therror.New(therror.Full, "%d calls active, %d queued, wait %s", s.active, len(s.queue), wait).
		WithRetryAfter(min(max(wait, refuseLeast), refuseMost))
}

// refusal returns the error for all calls while the gate is closed.
func (s *Scheduler) refusal() error {
	switch {
	case s.closed != "":
		return therror.New(s.closed, "admission is closed").WithRetryAfter(retryLeave)
	case !s.known || s.missing:
		return therror.New(therror.Unready, "no backend server").WithRetryAfter(retryLeave)
	case s.leaving:
		return therror.New(therror.Leaving, "backend server drains").WithRetryAfter(retryLeave)
	}
	return nil
}

func (s *Scheduler) isCold(now time.Time) bool { return now.Before(s.cold) }

// hasPlace reports whether the backend server can take a call now.
func (s *Scheduler) hasPlace(now time.Time) bool {
	return s.active < s.slots && s.pause(now) <= 0
}

// pause returns the time until a cold server bears the next call.
func (s *Scheduler) pause(now time.Time) time.Duration {
	if !s.isCold(now) || s.rate <= 0 {
		return 0
	}
	s.recent = slices.DeleteFunc(s.recent, func(t time.Time) bool { return now.Sub(t) >= rateWindow })
	d := latest(s.paced, now).Sub(now) - paceBurst
	if len(s.recent) >= s.burst() {
		d = max(d, rateWindow-now.Sub(s.recent[0]))
	}
	return max(d, 0)
}

// burst returns the number of calls that a cold server may get within rateWindow.
func (s *Scheduler) burst() int { return max(1, int(s.rate)) }

// admit counts a dispatch. Dispatches are counted also while the server is not
// known to be cold, since it may turn out to have been.
func (s *Scheduler) admit(now time.Time) {
	s.active++
	if s.isCold(now) && s.rate > 0 {
		s.paced = latest(s.paced, now).Add(time.Duration(float64(rateWindow) / s.rate))
	}
	if s.rate > 0 {
		keep := s.burst()
		if len(s.recent) >= keep {
			s.recent = slices.Delete(s.recent, 0, len(s.recent)-keep+1)
		}
		s.recent = append(s.recent, now)
	}
}

// grant admits queued calls while there are places.
func (s *Scheduler) grant(now time.Time) {
	for len(s.queue) > 0 && s.refusal() == nil && s.hasPlace(now) {
		t := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.admit(now)
		close(t.done)
	}
	if pause := s.pause(now); len(s.queue) > 0 && s.active < s.slots && pause > 0 && s.timer == nil {
		s.timer = thclock.OrSystem(s.Clock).AfterFunc(max(pause, time.Millisecond), s.wake)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Scheduler) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.timer = nil
	s.grant(thclock.OrSystem(s.Clock).Now())
}

// Done ends the call. A latency of zero means that it was not dispatched, or
// says nothing about the backend server.
func (a *Admission) Done(latency time.Duration, ok bool) {
	a.once.Do(func() { a.scheduler.leave(a.route, latency, ok) })
}

func (s *Scheduler) leave(route string, latency time.Duration, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
	if latency > 0 && ok {
		latency = max(latency, timeLeast)
		if s.times == nil {
			s.times = map[string]time.Duration{}
		}
		s.times[route] = blend(s.times[route], latency)
		s.average = blend(s.average, latency)
	}
	s.grant(thclock.OrSystem(s.Clock).Now())
}

// blend adds a sample to an average; zero is none yet.
func blend(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(timeGain*float64(sample-average))
}

// SetServer tells which backend server is behind the gate. Rate is how many
// calls a second it bears until cold; slots of zero mean that there is none.
func (s *Scheduler) SetServer(slots int, leaving bool, cold time.Time, rate float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.known, s.missing, s.slots, s.leaving, s.cold, s.rate = true, slots == 0, slots, leaving, cold, rate
	s.flush()
	s.grant(thclock.OrSystem(s.Clock).Now())
}

// Restarted forgets what was measured of the former backend server.
func (s *Scheduler) Restarted() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recent, s.paced = nil, time.Time{}
}

// SetClosed refuses all calls with reason, queued ones included; an empty reason opens the gate.
func (s *Scheduler) SetClosed(reason therror.Kind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = reason
	s.flush()
	s.grant(thclock.OrSystem(s.Clock).Now())
}

// flush refuses the queued calls of a closed gate.
func (s *Scheduler) flush() {
	err := s.refusal()
	if err == nil {
		return
	}
	for _, t := range s.queue {
		t.err = err
		close(t.done)
	}
	s.queue = nil
}

// Load returns what is advertised to callers of a route.
func (s *Scheduler) Load(route string) thwire.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := thclock.OrSystem(s.Clock).Now()
	return thwire.Load{
		Limit: s.slots, Active: s.active, Queued: len(s.queue), Cold: s.isCold(now),
		Wait: int64(s.wait(len(s.queue), now)), Time: int64(s.times[route]),
	}
}
