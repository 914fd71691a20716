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
	serviceTimeSmoothing = 0.1                    // weight of a new service time in the average
	initialServiceTime   = 100 * time.Millisecond // service time of a route without an answer yet
	minServiceTime       = time.Millisecond
	// residualTimeFactor is the time until the first of the calls in progress ends, in
	// service times divided by the slots, half a service time at most. With times
	// that don't vary it would be one.
	residualTimeFactor = 1.5
	rateWindow         = time.Second // in which a cold server's calls are counted
	// pacingBurst is the time whose calls a cold server may get at once. More of them
	// would reach it together with later ones when connections open slowly, and
	// exceed its rate there.
	pacingBurst = 125 * time.Millisecond
	// deadlineFraction is the part of the time left that waiting and serving may fill
	// without a latency objective: service times vary, and the answer has to
	// travel back.
	deadlineFraction = 0.8
	// objectiveFraction is the same of the latency objective. Calls that wait longer are
	// all served too late, and no more of them are.
	objectiveFraction = 0.9
	// minObjectiveBudget is the time that a call may wait and be served in any case, where it
	// has twice as much left: to refuse an inner call wastes the work of its caller.
	minObjectiveBudget = 250 * time.Millisecond
	// lateFraction is the part of the time left of a caller who comes back. Such calls
	// are served after the others, and wait only where their place is near.
	lateFraction       = 0.3
	minQueueRetryAfter = 50 * time.Millisecond // shortest time after which a refused call may come back
	maxQueueRetryAfter = 2 * time.Second
)

// Scheduler admits calls to a backend server that tells its slots and how many
// calls a second it bears while it is cold. Calls beyond that wait by priority,
// in order of arrival among equals, and late calls behind the others. A call is
// refused at once when it would be served after its latency objective. The zero
// value refuses everything as Unready until SetServer.
type Scheduler struct {
	Clock clockwork.Clock

	mutex            sync.Mutex
	slots            int
	active           int
	closedReason     therror.Kind // by SetClosed
	noServer         bool         // no server
	serverSet        bool         // SetServer has been called
	leaving          bool
	coldUntil        time.Time                // until when the server is cold
	coldRate         float64                  // calls a second while it is cold
	recentDispatches []time.Time              // dispatches to the cold server in the last second
	nextPaced        time.Time                // when the next call is due at an even pace of the cold server
	queue            []*queuedCall            // by priority, then arrival
	serviceTimes     map[string]time.Duration // average service time by route
	averageTime      time.Duration            // of all calls
	wakeTimer        clockwork.Timer          // wakes the queue when a cold server bears the next call
}

// queuedCall is a call that waits.
type queuedCall struct {
	route      string
	priority   int
	late       bool      // its latency objective has passed
	runStarted bool      // made by a run that would waste other calls
	due        time.Time // of the latency objective; the deadline where there is none
	deadline   time.Time
	budget     time.Duration // longest time for waiting and serving
	done       chan struct{} // closed when decided
	err        error         // nil: admitted
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
	t, err := s.tryEnter(ctx, o)
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

// tryEnter admits at once (nil, nil), queues, or refuses.
func (s *Scheduler) tryEnter(ctx context.Context, o *thwire.Open) (*queuedCall, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.rejection(); err != nil {
		return nil, err
	}
	now := thclock.Or(s.Clock).Now()
	if len(s.queue) == 0 && s.hasFreeSlot(now) {
		s.admit(now)
		return nil, nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Duration(o.Deadline))
	}
	t := newQueuedCall(o, deadline, now)
	at, _ := slices.BinarySearchFunc(s.queue, t, (*queuedCall).compare)
	if wait := s.estimateWait(at, now); wait+s.serviceTime(t.route) > t.budget {
		return nil, s.fullError(wait)
	}
	s.queue = slices.Insert(s.queue, at, t)
	s.rejectUnservable(at+1, now)
	s.admitQueued(now)
	return t, nil
}

func newQueuedCall(o *thwire.Open, deadline, now time.Time) *queuedCall {
	left := deadline.Sub(now)
	t := &queuedCall{
		route: o.Route, priority: o.Priority, late: o.Late, runStarted: o.Begun, due: deadline, deadline: deadline,
		budget: time.Duration(deadlineFraction * float64(left)), done: make(chan struct{}),
	}
	goal := time.Duration(o.Goal)
	switch {
	case t.runStarted:
	case t.late:
		t.budget = time.Duration(lateFraction * float64(left))
	case goal > 0 && goal < left:
		t.due = now.Add(goal)
		t.budget = max(time.Duration(objectiveFraction*float64(goal)), min(left/2, minObjectiveBudget))
	}
	return t
}

// compare orders by priority, then by due time, then by arrival, with calls of
// begun runs ahead of the others of their priority and late calls behind them: a
// new ticket goes behind its equals.
func (t *queuedCall) compare(n *queuedCall) int {
	if c := cmp.Compare(t.priority, n.priority); c != 0 {
		return c
	}
	if t.runStarted != n.runStarted {
		if t.runStarted {
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

// rejectUnservable refuses those of the queued calls, from a position on, that more urgent
// ones have pushed back so far that they can't be served before their deadline.
func (s *Scheduler) rejectUnservable(from int, now time.Time) {
	for i := from; i < len(s.queue); i++ {
		t := s.queue[i]
		wait := s.estimateWait(i, now)
		if now.Add(wait + s.serviceTime(t.route)).Before(t.deadline) {
			continue
		}
		t.err = s.fullError(wait)
		close(t.done)
		s.queue = slices.Delete(s.queue, i, i+1)
		i--
	}
}

// abandon takes a ticket out of the queue; one that was admitted meanwhile
// gives its place back.
func (s *Scheduler) abandon(t *queuedCall, cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-t.done:
		if t.err == nil {
			t.err = cause
			s.active--
			s.admitQueued(thclock.Or(s.Clock).Now())
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

// serviceTime returns the average service time of a route.
func (s *Scheduler) serviceTime(route string) time.Duration {
	if d := s.serviceTimes[route]; d > 0 {
		return d
	}
	return initialServiceTime
}

// estimateWait returns how long a call at a position of the queue waits for its place.
func (s *Scheduler) estimateWait(position int, now time.Time) time.Duration {
	if s.slots == 0 {
		return 0
	}
	var work time.Duration
	for _, t := range s.queue[:min(position, len(s.queue))] {
		work += s.serviceTime(t.route)
	}
	free := s.slots - s.active
	if position < free && !s.isCold(now) {
		return 0
	}
	slots := time.Duration(s.slots)
	d := work/slots + min(time.Duration(residualTimeFactor*float64(s.meanServiceTime()))/slots, s.meanServiceTime()/2)
	if s.isCold(now) && s.coldRate > 0 {
		d = max(d, time.Duration(float64(position+1)/s.coldRate*float64(time.Second)))
	}
	return d
}

// meanServiceTime returns the average service time of all calls.
func (s *Scheduler) meanServiceTime() time.Duration {
	if s.averageTime > 0 {
		return s.averageTime
	}
	return initialServiceTime
}

func (s *Scheduler) fullError(wait time.Duration) error {
	return therror.New(therror.Full, "%d calls active, %d queued, wait %s", s.active, len(s.queue), wait).
		After(min(max(wait, minQueueRetryAfter), maxQueueRetryAfter))
}

// rejection returns the error for all calls while the gate is closed.
func (s *Scheduler) rejection() error {
	switch {
	case s.closedReason != "":
		return therror.New(s.closedReason, "admission is closed").After(closedRetryAfter)
	case !s.serverSet || s.noServer:
		return therror.New(therror.Unready, "no backend server").After(closedRetryAfter)
	case s.leaving:
		return therror.New(therror.Leaving, "backend server drains").After(closedRetryAfter)
	}
	return nil
}

func (s *Scheduler) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// hasFreeSlot reports whether the backend server can take a call now.
func (s *Scheduler) hasFreeSlot(now time.Time) bool {
	return s.active < s.slots && s.pacingDelay(now) <= 0
}

// pacingDelay returns the time until a cold server bears the next call.
func (s *Scheduler) pacingDelay(now time.Time) time.Duration {
	if !s.isCold(now) || s.coldRate <= 0 {
		return 0
	}
	s.recentDispatches = slices.DeleteFunc(s.recentDispatches, func(t time.Time) bool { return now.Sub(t) >= rateWindow })
	d := latest(s.nextPaced, now).Sub(now) - pacingBurst
	if len(s.recentDispatches) >= s.windowLimit() {
		d = max(d, rateWindow-now.Sub(s.recentDispatches[0]))
	}
	return max(d, 0)
}

// windowLimit returns the number of calls that a cold server may get within rateWindow.
func (s *Scheduler) windowLimit() int { return max(1, int(s.coldRate)) }

// admit counts a dispatch. Dispatches are counted also while the server is not
// known to be cold, since it may turn out to have been.
func (s *Scheduler) admit(now time.Time) {
	s.active++
	if s.isCold(now) && s.coldRate > 0 {
		s.nextPaced = latest(s.nextPaced, now).Add(time.Duration(float64(rateWindow) / s.coldRate))
	}
	if s.coldRate > 0 {
		keep := s.windowLimit()
		if len(s.recentDispatches) >= keep {
			s.recentDispatches = slices.Delete(s.recentDispatches, 0, len(s.recentDispatches)-keep+1)
		}
		s.recentDispatches = append(s.recentDispatches, now)
	}
}

// admitQueued admits queued calls while there are places.
func (s *Scheduler) admitQueued(now time.Time) {
	for len(s.queue) > 0 && s.rejection() == nil && s.hasFreeSlot(now) {
		t := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.admit(now)
		close(t.done)
	}
	if pause := s.pacingDelay(now); len(s.queue) > 0 && s.active < s.slots && pause > 0 && s.wakeTimer == nil {
		s.wakeTimer = thclock.Or(s.Clock).AfterFunc(max(pause, time.Millisecond), s.wake)
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
	s.wakeTimer = nil
	s.admitQueued(thclock.Or(s.Clock).Now())
}

// Done ends the call. A latency of zero means that it was not dispatched, or
// says nothing about the backend server.
func (a *Admission) Done(latency time.Duration, ok bool) {
	a.once.Do(func() { a.scheduler.finish(a.route, latency, ok) })
}

func (s *Scheduler) finish(route string, latency time.Duration, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active--
	if latency > 0 && ok {
		latency = max(latency, minServiceTime)
		if s.serviceTimes == nil {
			s.serviceTimes = map[string]time.Duration{}
		}
		s.serviceTimes[route] = movingAverage(s.serviceTimes[route], latency)
		s.averageTime = movingAverage(s.averageTime, latency)
	}
	s.admitQueued(thclock.Or(s.Clock).Now())
}

// movingAverage adds a sample to an average; zero is none yet.
func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(serviceTimeSmoothing*float64(sample-average))
}

// SetServer tells which backend server is behind the gate. Rate is how many
// calls a second it bears until cold; slots of zero mean that there is none.
func (s *Scheduler) SetServer(slots int, leaving bool, coldUntil time.Time, coldRate float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serverSet, s.noServer, s.slots, s.leaving, s.coldUntil, s.coldRate = true, slots == 0, slots, leaving, coldUntil, coldRate
	s.rejectQueued()
	s.admitQueued(thclock.Or(s.Clock).Now())
}

// ResetPacing forgets what was measured of the former backend server.
func (s *Scheduler) ResetPacing() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recentDispatches, s.nextPaced = nil, time.Time{}
}

// SetClosed refuses all calls with reason, queued ones included; an empty reason opens the gate.
func (s *Scheduler) SetClosed(reason therror.Kind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closedReason = reason
	s.rejectQueued()
	s.admitQueued(thclock.Or(s.Clock).Now())
}

// rejectQueued refuses the queued calls of a closed gate.
func (s *Scheduler) rejectQueued() {
	err := s.rejection()
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
	now := thclock.Or(s.Clock).Now()
	return thwire.Load{
		Limit: s.slots, Active: s.active, Queued: len(s.queue), Cold: s.isCold(now),
		Wait: int64(s.estimateWait(len(s.queue), now)), Time: int64(s.serviceTimes[route]),
	}
}
