// Package thadmit implements admission control for the calls that a daemon
// forwards to its local backend server.
package thadmit

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	defaultMaxWait    = 50 * time.Millisecond
	minGateRetryAfter = 10 * time.Millisecond
	maxGateRetryAfter = time.Second
	closedRetryAfter  = time.Second // retry time of rejections while admission is closed
)

// Gate admits concurrent calls up to an adaptive limit between 1 and Slots, and
// queues up to Slots further calls in FIFO order. Until SetServer is called,
// Slots (at least one) is the number of slots, and the server is treated as cold.
type Gate struct {
	Slots   int
	Clock   clockwork.Clock // nil means the system clock
	MaxWait time.Duration   // maximum time in the queue; zero means 50 ms

	mutex         sync.Mutex
	limiter       limiter
	server        thwire.Server
	closedReason  therror.Kind // set by SetClosed; empty while open
	serverReason  therror.Kind // set by SetServer: Unready without a server, Leaving while it drains
	active        int          // admitted calls in progress
	queue         list.List    // of *waiter, oldest first
	peakActive    int          // maximum of active since the last SetReportedLoad
	externalCalls int          // calls in progress that the server reports beyond those this gate admitted
	reportedAt    time.Time    // of the last SetReportedLoad
}

// waiter is a queued call.
type waiter struct {
	done chan struct{} // closed when the call is admitted or rejected
	err  error         // nil if admitted
}

// Pass represents one admitted call. Call Done or Release when the call ends;
// only the first of these calls has an effect.
type Pass struct {
	gate *Gate
	once sync.Once
}

// Enter waits for admission, at most MaxWait. The error is of kind Full, Unready,
// Leaving or the reason given to SetClosed, or Late or Cancelled when ctx ends
// first; the call is not admitted then.
func (g *Gate) Enter(ctx context.Context) (*Pass, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(err)
	}
	w, err := g.tryEnter()
	if err != nil {
		return nil, err
	}
	if w == nil {
		return &Pass{gate: g}, nil
	}
	wait := g.MaxWait
	if wait == 0 {
		wait = defaultMaxWait
	}
	timer := thclock.OrSystem(g.Clock).NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.Value.(*waiter).done:
		err = w.Value.(*waiter).err
	case <-timer.Chan():
		err = g.abandon(w, nil)
	case <-ctx.Done():
		err = g.abandon(w, contextError(ctx.Err()))
	}
	if err != nil {
		return nil, err
	}
	return &Pass{gate: g}, nil
}

func contextError(err error) error {
	return therror.Wrap(therror.KindOf(err), err, "waiting for admission")
}

// tryEnter admits the call and returns nil, nil, or queues it and returns its
// queue element, or rejects it with an error.
func (g *Gate) tryEnter() (*list.Element, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.initLimiter()
	if g.rejectionReason() != "" {
		return nil, g.closedError()
	}
	limit := g.effectiveLimit()
	if g.active < limit && g.queue.Len() == 0 {
		g.admit()
		return nil, nil
	}
	if g.queue.Len() >= g.limiter.slots {
		return nil, g.fullError(limit)
	}
	return g.queue.PushBack(&waiter{done: make(chan struct{})}), nil
}

// abandon ends the wait of a queued call. A nil cause means that the maximum wait
// has passed, otherwise cause is the error of the caller's context. If the call
// was decided concurrently, the decision stands, except that an admitted call
// whose caller has gone is released.
func (g *Gate) abandon(e *list.Element, cause error) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	w := e.Value.(*waiter)
	select {
	case <-w.done:
		if w.err == nil && cause != nil {
			g.active--
			g.admitQueued()
			return cause
		}
		return w.err
	default:
	}
	g.queue.Remove(e)
	if cause == nil {
		cause = g.fullError(g.effectiveLimit())
	}
	return cause
}

// initLimiter sets up the limiter on first use; g.mutex is held.
func (g *Gate) initLimiter() {
	if g.limiter.slots == 0 {
		g.limiter.reset(max(1, g.Slots))
	}
}

func (g *Gate) admit() {
	g.active++
	g.peakActive = max(g.peakActive, g.active)
}

// admitQueued admits queued calls while the limit allows it; g.mutex is held.
func (g *Gate) admitQueued() {
	for g.active < g.effectiveLimit() && g.queue.Len() > 0 {
		w := g.queue.Remove(g.queue.Front()).(*waiter)
		g.admit()
		close(w.done)
	}
}

// fullError returns the rejection of a call. Its retry time estimates how long
// the queue takes to drain.
func (g *Gate) fullError(limit int) error {
	d := g.limiter.expectedLatency() * time.Duration(g.queue.Len()+1) / time.Duration(limit)
	return therror.New(therror.Full, "%d calls active, %d queued", g.active, g.queue.Len()).WithRetryAfter(min(max(d, minGateRetryAfter), maxGateRetryAfter))
}

func (g *Gate) closedError() error {
	return therror.New(g.rejectionReason(), "admission is closed").WithRetryAfter(closedRetryAfter)
}

// Done ends the call. Latency is the time to the response head; ok is false for
// server errors, broken connections and timeouts. A latency of zero means that
// the call was not dispatched and has the same effect as Release.
func (p *Pass) Done(latency time.Duration, ok bool) {
	p.once.Do(func() { p.gate.finish(latency, ok) })
}

// Release ends the call without a latency sample, such as when the caller has
// disconnected.
func (p *Pass) Release() {
	p.once.Do(func() { p.gate.finish(0, false) })
}

func (g *Gate) finish(latency time.Duration, ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.active--
	if latency > 0 {
		g.limiter.observe(thclock.OrSystem(g.Clock).Now(), latency, ok)
	}
	g.admitQueued()
}

// Load returns the load that is advertised to ingress daemons.
func (g *Gate) Load() thwire.Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.initLimiter()
	return thwire.Load{Limit: g.effectiveLimit(), Active: g.active, Queued: g.queue.Len(), Cold: g.limiter.cold}
}

// SetServer sets the backend server that the gate protects. Without a server (nil)
// calls are rejected as Unready. The limiter restarts cold when the service,
// version or number of slots changes, and when the server returns to the starting
// state. A server that is ready when this daemon first sees it was warm before the
// daemon started, so its limit starts at half of its slots.
func (g *Gate) SetServer(s *thwire.Server) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if s == nil {
		g.server, g.serverReason = thwire.Server{}, therror.Unready
		g.rejectQueued()
		return
	}
	old := g.server
	g.server = *s
	hadServer := old.Service != ""
	restarted := s.State == thwire.ServerStarting && old.State != thwire.ServerStarting
	if restarted || s.Service != old.Service || s.Version != old.Version || s.Slots != old.Slots {
		g.limiter.reset(max(1, s.Slots))
		if !hadServer && s.State == thwire.ServerReady {
			g.limiter.startWarm()
		}
	}
	g.serverReason = ""
	if s.State == thwire.ServerLeaving {
		g.serverReason = therror.Leaving
	}
	g.rejectQueued()
	g.admitQueued()
}

// SetClosed rejects all calls, queued calls included, with an error of kind
// reason; an empty reason reopens the gate.
func (g *Gate) SetClosed(reason therror.Kind) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.initLimiter()
	g.closedReason = reason
	g.rejectQueued()
}

// rejectionReason returns the error kind with which all calls are rejected; it is
// empty while calls are admitted.
func (g *Gate) rejectionReason() therror.Kind {
	if g.closedReason != "" {
		return g.closedReason
	}
	return g.serverReason
}

// rejectQueued rejects all queued calls if the gate is closed or the server is
// unavailable.
func (g *Gate) rejectQueued() {
	if g.rejectionReason() == "" {
		return
	}
	for g.queue.Len() > 0 {
		w := g.queue.Remove(g.queue.Front()).(*waiter)
		w.err = g.closedError()
		close(w.done)
	}
}

// SetReportedLoad sets the number of calls that the backend server reports as in
// progress. If it is higher than the number this gate has admitted, the limit is
// lowered for reportedLoadTTL, but never below half: the report may be stale or
// wrong.
func (g *Gate) SetReportedLoad(calls int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.initLimiter()
	g.externalCalls = max(0, calls-max(g.peakActive, g.active))
	g.peakActive = g.active
	g.reportedAt = thclock.OrSystem(g.Clock).Now()
	g.admitQueued()
}

// effectiveLimit returns the current limit, lowered by the calls of other clients
// while the server's load report is recent.
func (g *Gate) effectiveLimit() int {
	limit := g.limiter.limit
	if g.externalCalls > 0 && thclock.OrSystem(g.Clock).Since(g.reportedAt) < reportedLoadTTL {
		limit = max(1, (limit+1)/2, min(limit, g.limiter.slots-g.externalCalls))
	}
	return limit
}
