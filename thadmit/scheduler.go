package thadmit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	serviceTimeSmoothing = 0.1                    // weight of a new sample in the moving average
	initialServiceTime   = 100 * time.Millisecond // estimate for a route without a response yet
	minServiceTime       = time.Millisecond
	// residualTimeFactor, times the mean service time divided by the slots, is the
	// expected time until the first call in progress ends, which is at most half the
	// mean service time. It would be 1 if service times didn't vary.
	residualTimeFactor = 1.5
	rateWindow         = time.Second // window in which dispatches to a cold server are counted
	// pacingBurst is the time by which calls may be dispatched ahead of the even pace
	// of a cold server or of one that states a limit. With a larger burst, calls delayed
	// by slow connection setup would arrive together with later calls and exceed the
	// server's rate.
	pacingBurst = 125 * time.Millisecond
	// deadlineFraction is the maximum fraction of the remaining time for waiting and
	// serving without a latency objective: service times vary, and the response needs
	// time to travel back.
	deadlineFraction = 0.8
	// objectiveFraction is the maximum fraction of the latency objective for waiting
	// and serving. With longer queues throughput stays the same, and every call
	// misses its objective.
	objectiveFraction = 0.9
	// minObjectiveBudget is the minimum time for waiting and serving of a call that
	// has at least twice as much time left: rejecting a nested call wastes the work
	// of its caller.
	minObjectiveBudget = 250 * time.Millisecond
	// lateFraction is the maximum fraction of the remaining time for calls of retrying
	// clients. They are queued behind the other calls of their priority, and only if
	// the wait is short. Other calls that are queued already may take that time too,
	// when more urgent ones come before them.
	lateFraction       = 0.3
	minQueueRetryAfter = 50 * time.Millisecond // bounds of the retry time of a rejected call
	maxQueueRetryAfter = 2 * time.Second
)

// Scheduler is the admission control for a backend server that declares its number
// of slots and the admitted rate while it is cold. Calls that can't be admitted
// immediately are queued by priority, then by due time, with the calls of retrying
// clients last within a priority. A call that would miss its latency objective is
// rejected immediately. The zero value rejects all calls as Unready until SetServer
// is called.
type Scheduler struct {
	Clock clockwork.Clock // nil means the system clock

	mutex            sync.Mutex
	slots            int
	active           int          // admitted calls in progress
	closedReason     therror.Kind // set by SetClosed; empty while open
	noServer         bool         // SetServer was last called with zero slots
	serverSet        bool         // SetServer has been called
	leaving          bool         // the server is draining
	coldUntil        time.Time
	coldRate         float64                  // admitted calls per second while the server is cold
	stated           statedLimit              // limit that the server states in its responses
	recentDispatches []time.Time              // latest dispatches, oldest first, at most windowLimit
	nextPaced        time.Time                // time of the next dispatch at an even pace
	queue            []*queuedCall            // see queuedCall.compare for the order
	serviceTimes     map[string]time.Duration // moving average by route
	averageTime      time.Duration            // moving average of all calls; zero before the first
	slowdown         atomic.Int64             // last reported by the server, in percent; see SetSlowdown
	wakeTimer        clockwork.Timer          // admits queued calls when pacing allows; nil if not set
	shares           fairShares               // of the client accounts
}

// queuedCall is a call that waits for admission.
type queuedCall struct {
	route              string
	account            string        // client account, empty without one
	rank               int           // priority of the account, which goes before priority
	priority           int           // of the route; 0 is the most urgent
	late               bool          // made by a retrying client whose latency objective has passed
	parentHasResponses bool          // nested call whose parent call has got responses to other ones
	start              time.Duration // virtual start by the account's share; see fairShares
	cost               time.Duration // expected service time, charged to the account
	due                time.Time     // end of the latency objective; the deadline if there is none
	serveBy            time.Time     // the call is rejected when it can't be served by then
	budget             time.Duration // maximum time for waiting and serving
	done               chan struct{} // closed when the call is admitted or rejected
	err                error         // nil if admitted
}

// Admission represents one admitted call, which occupies a slot until Done.
type Admission struct {
	scheduler *Scheduler
	route     string
	once      sync.Once
}

// Enter waits for admission. The error is of kind Full with a retry time, Leaving,
// Unready or the reason given to SetClosed, or Late or Cancelled when ctx ends
// first; no slot is occupied then.
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

// tryEnter admits the call and returns nil, nil, or queues it, or rejects it with
// an error.
func (s *Scheduler) tryEnter(ctx context.Context, o *thwire.Open) (*queuedCall, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.rejection(); err != nil {
		return nil, err
	}
	now := thclock.OrSystem(s.Clock).Now()
	s.adoptLimit(o.Rate, now)
	if len(s.queue) == 0 && s.hasFreeSlot(now) {
		start := s.shares.start(o.Account)
		s.shares.charge(o.Account, start, s.serviceTime(o.Route))
		s.shares.dispatched(start)
		s.admit(now)
		return nil, nil
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(time.Duration(o.Deadline))
	}
	t := newQueuedCall(o, deadline, now)
	t.start, t.cost = s.shares.start(o.Account), s.serviceTime(o.Route)
	position, _ := slices.BinarySearchFunc(s.queue, t, (*queuedCall).compare)
	if wait := s.estimateWait(position, now); wait+s.serviceTime(t.route) > t.budget {
		return nil, s.fullError(wait)
	}
	s.queue = slices.Insert(s.queue, position, t)
	s.shares.charge(t.account, t.start, t.cost)
	s.rejectUnservable(position+1, now)
	s.admitQueued(now)
	return t, nil
}

// newQueuedCall computes the due time and the budget of a call. A nested call whose
// parent has responses gets its budget from the deadline alone: a rejection would
// waste the work done for those responses.
func newQueuedCall(o *thwire.Open, deadline, now time.Time) *queuedCall {
	left := deadline.Sub(now)
	t := &queuedCall{
		route: o.Route, account: o.Account, rank: o.Rank, priority: o.Priority, late: o.Late, parentHasResponses: o.Begun, due: deadline,
		budget: time.Duration(deadlineFraction * float64(left)), done: make(chan struct{}),
	}
	goal := time.Duration(o.Goal)
	switch {
	case t.parentHasResponses:
	case t.late:
		t.budget = time.Duration(lateFraction * float64(left))
	case goal > 0 && goal < left:
		t.due = now.Add(goal)
		t.budget = max(time.Duration(objectiveFraction*float64(goal)), min(left/2, minObjectiveBudget))
	}
	t.serveBy = now.Add(max(t.budget, time.Duration(lateFraction*float64(left))))
	return t
}

// compare orders calls by the priority of their account, then by that of their route. Within
// these, nested calls whose parent has responses come first and late calls last; otherwise
// calls are ordered by the shares of their accounts, then by due time. A new call is inserted
// behind its equals.
func (t *queuedCall) compare(n *queuedCall) int {
	if c := cmp.Or(cmp.Compare(t.rank, n.rank), cmp.Compare(t.priority, n.priority)); c != 0 {
		return c
	}
	if t.parentHasResponses != n.parentHasResponses {
		if t.parentHasResponses {
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
	if c := cmp.Compare(t.start, n.start); c != 0 {
		return c
	}
	if t.due.After(n.due) {
		return 1
	}
	return -1
}

// rejectUnservable rejects the queued calls, starting at position from, that can no
// longer be served in the time that they may take because more urgent calls were
// inserted before them.
func (s *Scheduler) rejectUnservable(from int, now time.Time) {
	for i := from; i < len(s.queue); i++ {
		t := s.queue[i]
		wait := s.estimateWait(i, now)
		if now.Add(wait + s.serviceTime(t.route)).Before(t.serveBy) {
			continue
		}
		t.err = s.fullError(wait)
		close(t.done)
		s.shares.refund(t.account, t.cost)
		s.queue = slices.Delete(s.queue, i, i+1)
		i--
	}
}

// abandon ends the wait of a queued call with cause. If the call was admitted
// concurrently, its slot is released.
func (s *Scheduler) abandon(t *queuedCall, cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-t.done:
		if t.err == nil {
			t.err = cause
			s.active--
			s.admitQueued(thclock.OrSystem(s.Clock).Now())
		}
		return
	default:
	}
	if i := slices.Index(s.queue, t); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.shares.refund(t.account, t.cost)
	}
	t.err = cause
	close(t.done)
}

// serviceTime returns the average service time of a route, or initialServiceTime if
// it is unknown.
func (s *Scheduler) serviceTime(route string) time.Duration {
	if d := s.serviceTimes[route]; d > 0 {
		return d
	}
	return initialServiceTime
}

// estimateWait returns the expected wait of a call at the given queue position.
func (s *Scheduler) estimateWait(position int, now time.Time) time.Duration {
	if s.slots == 0 {
		return 0
	}
	var work time.Duration
	for _, t := range s.queue[:min(position, len(s.queue))] {
		work += s.serviceTime(t.route)
	}
	free := s.slots - s.active
	rate, paced := s.paceRate(now)
	if position < free && !paced {
		return 0
	}
	slots := time.Duration(s.slots)
	wait := work/slots + min(time.Duration(residualTimeFactor*float64(s.meanServiceTime()))/slots, s.meanServiceTime()/2)
	if rate > 0 {
		wait = max(wait, time.Duration(float64(position+1)/rate*float64(time.Second)))
	}
	return wait
}

// meanServiceTime returns the average service time of all calls, or
// initialServiceTime if it is unknown.
func (s *Scheduler) meanServiceTime() time.Duration {
	if s.averageTime > 0 {
		return s.averageTime
	}
	return initialServiceTime
}

func (s *Scheduler) fullError(wait time.Duration) error {
	return therror.New(therror.Full, "%d calls active, %d queued, wait %s", s.active, len(s.queue), wait).
		WithRetryAfter(min(max(wait, minQueueRetryAfter), maxQueueRetryAfter))
}

// rejection returns the error for all calls while the scheduler is closed or the
// server is unavailable, and nil otherwise.
func (s *Scheduler) rejection() error {
	switch {
	case s.closedReason != "":
		return therror.New(s.closedReason, "admission is closed").WithRetryAfter(closedRetryAfter)
	case !s.serverSet || s.noServer:
		return therror.New(therror.Unready, "no backend server").WithRetryAfter(closedRetryAfter)
	case s.leaving:
		return therror.New(therror.Leaving, "backend server drains").WithRetryAfter(closedRetryAfter)
	}
	return nil
}

func (s *Scheduler) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// hasFreeSlot reports whether a call may be dispatched now, with respect to the
// slots and to the pacing of a cold server.
func (s *Scheduler) hasFreeSlot(now time.Time) bool {
	return s.active < s.slots && s.pacingDelay(now) <= 0
}

// pacingDelay returns the time until the next call may be dispatched to a cold server
// or to one that states a limit; it is zero for other servers.
func (s *Scheduler) pacingDelay(now time.Time) time.Duration {
	if rate, _ := s.paceRate(now); rate == 0 {
		return 0
	}
	delay := latest(s.nextPaced, now).Sub(now) - pacingBurst
	if !s.isCold(now) || s.coldRate <= 0 {
		return max(delay, 0)
	}
	s.recentDispatches = slices.DeleteFunc(s.recentDispatches, func(t time.Time) bool { return now.Sub(t) >= rateWindow })
	if len(s.recentDispatches) >= s.windowLimit() {
		delay = max(delay, rateWindow-now.Sub(s.recentDispatches[0]))
	}
	return max(delay, 0)
}

// windowLimit returns the maximum number of dispatches to a cold server within
// rateWindow.
func (s *Scheduler) windowLimit() int { return max(1, int(s.coldRate)) }

// admit records a dispatch. Dispatches to a server that isn't known to be cold are
// recorded too, since its cold state may be reported only later.
func (s *Scheduler) admit(now time.Time) {
	s.active++
	if rate, _ := s.paceRate(now); rate > 0 {
		s.nextPaced = latest(s.nextPaced, now).Add(time.Duration(float64(time.Second) / rate))
	}
	if s.coldRate > 0 {
		limit := s.windowLimit()
		if len(s.recentDispatches) >= limit {
			s.recentDispatches = slices.Delete(s.recentDispatches, 0, len(s.recentDispatches)-limit+1)
		}
		s.recentDispatches = append(s.recentDispatches, now)
	}
}

// admitQueued admits queued calls while slots are free, and sets the timer if only
// pacing delays the next call; s.mutex is held.
func (s *Scheduler) admitQueued(now time.Time) {
	for len(s.queue) > 0 && s.rejection() == nil && s.hasFreeSlot(now) {
		t := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.shares.dispatched(t.start)
		s.admit(now)
		close(t.done)
	}
	if delay := s.pacingDelay(now); len(s.queue) > 0 && s.active < s.slots && delay > 0 && s.wakeTimer == nil {
		s.wakeTimer = thclock.OrSystem(s.Clock).AfterFunc(max(delay, time.Millisecond), s.wake)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// wake is called by wakeTimer.
func (s *Scheduler) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.wakeTimer = nil
	s.admitQueued(thclock.OrSystem(s.Clock).Now())
}

// Done ends the call; only the first call of Done has an effect. A latency of zero
// means that there is no valid latency sample, such as when the call was not
// dispatched. ok is false for failed calls, whose latency is ignored.
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
	s.admitQueued(thclock.OrSystem(s.Clock).Now())
}

// movingAverage adds a sample to an exponential moving average. An average of zero
// means that there is no sample yet.
func movingAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(serviceTimeSmoothing*float64(sample-average))
}

// SetServer sets the properties of the backend server. Zero slots mean that there is
// no server. Until coldUntil, at most coldRate calls per second are dispatched; a
// rate of zero means no limit.
func (s *Scheduler) SetServer(slots int, leaving bool, coldUntil time.Time, coldRate float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serverSet, s.noServer, s.slots, s.leaving, s.coldUntil, s.coldRate = true, slots == 0, slots, leaving, coldUntil, coldRate
	s.rejectQueued()
	s.admitQueued(thclock.OrSystem(s.Clock).Now())
}

// ResetPacing clears the recorded dispatches and the stated limit. Call it when another
// instance of the backend server has started.
func (s *Scheduler) ResetPacing() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recentDispatches, s.nextPaced, s.stated = nil, time.Time{}, statedLimit{}
}

// SetClosed rejects all calls, queued calls included, with an error of kind
// reason; an empty reason reopens admission.
func (s *Scheduler) SetClosed(reason therror.Kind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closedReason = reason
	s.rejectQueued()
	s.admitQueued(thclock.OrSystem(s.Clock).Now())
}

// rejectQueued rejects all queued calls if rejection returns an error.
func (s *Scheduler) rejectQueued() {
	err := s.rejection()
	if err == nil {
		return
	}
	for _, t := range s.queue {
		t.err = err
		close(t.done)
		s.shares.refund(t.account, t.cost)
	}
	s.queue = nil
}

// Load returns the load that is advertised to ingress daemons for a route.
func (s *Scheduler) Load(route string) thwire.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := thclock.OrSystem(s.Clock).Now()
	return thwire.Load{
		Limit: s.concurrency(), Rate: s.stated.rate, Active: s.active, Queued: len(s.queue), Cold: s.isCold(now),
		Wait: int64(s.estimateWait(len(s.queue), now)), Time: int64(s.serviceTimes[route]), Slow: s.statedSlowdown(),
	}
}
