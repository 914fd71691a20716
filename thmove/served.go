package thmove

import (
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// servedCalls collects statistics of the calls of one pool that the local backend server
// runs. Each call counts at the time of its begin, whether it has ended or not: by its
// end, the slow calls of a burst would be the only ones in the window after it. The zero
// value is empty.
type servedCalls struct {
	mu     sync.Mutex
	totals callTotals
	routes map[string]*routeCalls
}

// maxServedRoutes is the number of routes with statistics of their own. The calls of
// further routes count together.
const maxServedRoutes = 16

// routeCalls are the calls of one route.
type routeCalls struct {
	ended   slidingCounter
	running map[*ServedCall]struct{} // without a response yet, guarded by servedCalls.mu
}

// route returns the calls of a route; s.mu is held.
func (s *servedCalls) route(name string) *routeCalls {
	if s.routes == nil {
		s.routes = map[string]*routeCalls{}
	}
	if s.routes[name] == nil && len(s.routes) >= maxServedRoutes {
		name = ""
	}
	if s.routes[name] == nil {
		s.routes[name] = &routeCalls{running: map[*ServedCall]struct{}{}}
	}
	return s.routes[name]
}

// ServedCall is a call of a moving route that the local backend server runs. A nil
// ServedCall is valid and counts nothing.
type ServedCall struct {
	mover  *Mover
	served *servedCalls
	route  *routeCalls
	begin  time.Time
	timed  bool // the latency counts
}

// BeginServed counts a call that is being sent to the local backend server. cold tells
// whether the server is cold. It returns nil for a call that isn't part of a running move,
// and false for one that must not be sent, since the load test of the new version has had
// all its calls. The caller must call End unless the call must not be sent.
func (m *Mover) BeginServed(route, pool string, cold bool) (c *ServedCall, allowed bool) {
	v := m.view.Load()
	if v == nil {
		return nil, true
	}
	t := v.byRoute[route]
	if t == nil {
		t = v.byPool[pool]
	}
	if t == nil {
		return nil, true
	}
	served := t.servedCalls(pool)
	if served == nil {
		return nil, true
	}
	now := thclock.OrSystem(m.Clock).Now()
	c = &ServedCall{mover: m, served: served, begin: now, timed: countsLatency(t, now, cold)}
	served.mu.Lock()
	defer served.mu.Unlock()
	if pool == t.move.To && !t.currentStep().allows(served.totals.sent) {
		return nil, false
	}
	c.route = served.route(route)
	c.route.running[c] = struct{}{}
	served.totals.sent++
	served.totals.active++
	return c, true
}

// Responded tells that the response header has arrived. The time that the body takes
// doesn't count.
func (c *ServedCall) Responded() {
	if c == nil {
		return
	}
	c.served.mu.Lock()
	defer c.served.mu.Unlock()
	delete(c.route.running, c)
}

// End counts the outcome of the call. An empty kind means that the backend server
// responded with status; latency is the time until the response header. A call that its
// caller cut off before the header counts by its age.
func (c *ServedCall) End(kind therror.Kind, status int, latency time.Duration) {
	if c == nil {
		return
	}
	relevant, failed := classify(kind, status)
	c.served.mu.Lock()
	delete(c.route.running, c)
	c.served.totals.active--
	if relevant {
		c.served.totals.answered++
	}
	c.served.mu.Unlock()
	if kind == therror.Cancelled && status == 0 && c.timed {
		c.route.ended.observeCut(c.begin, thclock.OrSystem(c.mover.Clock).Since(c.begin))
	}
	if relevant {
		c.route.ended.observe(c.begin, failed, c.timed, latency)
	}
}

// callTotals are the calls of one pool since the start of a move.
type callTotals struct {
	sent     uint64 // calls begun
	active   uint64 // of these, calls that have not ended
	answered uint64 // of these, calls that ended with a response or a failure
}

func (s *servedCalls) currentTotals() callTotals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// count returns the counts by route of the calls that began in the window that ends at
// now, without empty ones. Calls without a response yet count as unfinished.
func (s *servedCalls) count(now time.Time, window time.Duration) []thwire.ServerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts []thwire.ServerCounts
	for name, route := range s.routes {
		n := route.ended.count(now, window)
		var ages [latencyBuckets]uint64
		copy(ages[:], n.Unfinished)
		for c := range route.running {
			if c.timed && inWindow(slotNumber(c.begin), now, window) {
				ages[latencyBucket(now.Sub(c.begin))]++
			}
		}
		n.Unfinished = trimEmptyBuckets(ages[:])
		if n.Answers > 0 || len(n.Unfinished) > 0 {
			n.Route = name
			counts = append(counts, n)
		}
	}
	return counts
}
