// Package thadmit limits the calls that a daemon hands to its backend server.
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
	queueTime  = 50 * time.Millisecond
	retryMin   = 10 * time.Millisecond
	retryMax   = time.Second
	retryLeave = time.Second // retry time while closed
)

// Gate admits calls up to an adaptive limit between 1 and Slots, and queues as
// many again in order of arrival. A Gate without a server assumes Slots, at
// least one, and begins cold.
type Gate struct {
	Slots int
	Clock clockwork.Clock
	Wait  time.Duration // longest time in the queue, 50 ms when zero

	mutex   sync.Mutex
	limiter limiter
	server  thwire.Server
	closed  therror.Kind // by SetClosed
	missing therror.Kind // by SetServer: no server, or one that leaves
	active  int
	queue   list.List // of *waiter, oldest first
	peak    int       // highest active since the last hint
	foreign int       // calls at the server that this gate did not admit, by its own report
	hinted  time.Time
}

type waiter struct {
	done chan struct{} // closed when decided
	err  error         // nil: admitted
}

// Pass is the admission of one call. Done must be called once; further calls do nothing.
type Pass struct {
	gate *Gate
	once sync.Once
}

// Enter waits for admission. The error is of kind Full, of the reason given to
// SetClosed, or Late or Cancelled by the context; in each case no pass is held.
func (g *Gate) Enter(ctx context.Context) (*Pass, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(err)
	}
	w, err := g.join()
	if err != nil {
		return nil, err
	}
	if w == nil {
		return &Pass{gate: g}, nil
	}
	wait := g.Wait
	if wait == 0 {
		wait = queueTime
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

// join admits at once (nil, nil), queues, or refuses.
func (g *Gate) join() (*list.Element, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prepare()
	if g.reason() != "" {
		return nil, g.closedError()
	}
	limit := g.limit()
	if g.active < limit && g.queue.Len() == 0 {
		g.admit()
		return nil, nil
	}
	if g.queue.Len() >= g.limiter.slots {
		return nil, g.full(limit)
	}
	return g.queue.PushBack(&waiter{done: make(chan struct{})}), nil
}

// abandon takes a waiter out of the queue. One that was admitted meanwhile keeps
// its pass on a timeout and gives it back when its caller has gone.
func (g *Gate) abandon(e *list.Element, cause error) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	w := e.Value.(*waiter)
	select {
	case <-w.done:
		if w.err == nil && cause != nil {
			g.active--
			g.grant()
			return cause
		}
		return w.err
	default:
	}
	g.queue.Remove(e)
	if cause == nil {
		cause = g.full(g.limit())
	}
	return cause
}

func (g *Gate) prepare() {
	if g.limiter.slots == 0 {
		g.limiter.reset(max(1, g.Slots))
	}
}

func (g *Gate) admit() {
	g.active++
	g.peak = max(g.peak, g.active)
}

func (g *Gate) grant() {
	for g.active < g.limit() && g.queue.Len() > 0 {
		w := g.queue.Remove(g.queue.Front()).(*waiter)
		g.admit()
		close(w.done)
	}
}

// full returns the refusal; its retry time is the time in which the queue drains.
func (g *Gate) full(limit int) error {
	d := g.limiter.latency() * time.Duration(g.queue.Len()+1) / time.Duration(limit)
	return therror.New(therror.Full, "%d calls active, %d queued", g.active, g.queue.Len()).WithRetryAfter(min(max(d, retryMin), retryMax))
}

func (g *Gate) closedError() error {
	return therror.New(g.reason(), "admission is closed").WithRetryAfter(retryLeave)
}

// Done ends the call. Latency is the time to the answer's head; ok is false for
// server errors, broken connections and timeouts. A latency of zero means that
// the call was not dispatched, as with Release.
func (p *Pass) Done(latency time.Duration, ok bool) {
	p.once.Do(func() { p.gate.leave(latency, ok) })
}

// Release ends a call that says nothing about the server, such as one whose
// caller has gone.
func (p *Pass) Release() {
	p.once.Do(func() { p.gate.leave(0, false) })
}

func (g *Gate) leave(latency time.Duration, ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.active--
	if latency > 0 {
		g.limiter.observe(thclock.OrSystem(g.Clock).Now(), latency, ok)
	}
	g.grant()
}

// Load returns what is advertised to callers.
func (g *Gate) Load() thwire.Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prepare()
	return thwire.Load{Limit: g.limit(), Active: g.active, Queued: g.queue.Len(), Cold: g.limiter.cold}
}

// SetServer tells which backend server is behind the gate; nil means none, and
// calls are then refused as Unready. A new service, version or number of slots,
// or a return to starting, begins cold. A server that is ready when it is first
// seen was warm before this daemon started, and begins with half of its slots.
func (g *Gate) SetServer(s *thwire.Server) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if s == nil {
		g.server, g.missing = thwire.Server{}, therror.Unready
		g.flush()
		return
	}
	old := g.server
	g.server = *s
	known := old.Service != ""
	restarted := s.State == thwire.ServerStarting && old.State != thwire.ServerStarting
	if restarted || s.Service != old.Service || s.Version != old.Version || s.Slots != old.Slots {
		g.limiter.reset(max(1, s.Slots))
		if !known && s.State == thwire.ServerReady {
			g.limiter.resume()
		}
	}
	g.missing = ""
	if s.State == thwire.ServerLeaving {
		g.missing = therror.Leaving
	}
	g.flush()
	g.grant()
}

// SetClosed refuses all calls with reason, queued ones included; an empty reason opens the gate.
func (g *Gate) SetClosed(reason therror.Kind) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prepare()
	g.closed = reason
	g.flush()
}

// reason returns why calls are refused; empty while they are admitted.
func (g *Gate) reason() therror.Kind {
	if g.closed != "" {
		return g.closed
	}
	return g.missing
}

// flush refuses the queued calls of a closed gate.
func (g *Gate) flush() {
	if g.reason() == "" {
		return
	}
	for g.queue.Len() > 0 {
		w := g.queue.Remove(g.queue.Front()).(*waiter)
		w.err = g.closedError()
		close(w.done)
	}
}

// Hint takes the number of calls that the backend server reports as in
// progress. More than this gate has admitted lowers the limit for a while, but
// never below half: the report may be stale or wrong.
func (g *Gate) Hint(load int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prepare()
	g.foreign = max(0, load-max(g.peak, g.active))
	g.peak = g.active
	g.hinted = thclock.OrSystem(g.Clock).Now()
	g.grant()
}

// limit returns the limit in force.
func (g *Gate) limit() int {
	n := g.limiter.limit
	if g.foreign > 0 && thclock.OrSystem(g.Clock).Since(g.hinted) < hintAge {
		n = max(1, (n+1)/2, min(n, g.limiter.slots-g.foreign))
	}
	return n
}
