package thbalance

import (
	"math"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	ejectFirst  = time.Second
	ejectMax    = 30 * time.Second
	ejectForget = 30 * time.Second // an ejection this long ago no longer doubles the next one
	ejectErrors = 3                // consecutive server errors
	// chanceMax is the likelihood, by the other servers' share of errors, below
	// which a series of errors is the server's own: where all fail alike, as when a
	// service behind them does, taking one out of use would help nobody.
	chanceMax = 0.001
	shareGain = 8               // 1/shareGain is the weight of a new result in the share of errors
	shareUnit = 1 << 20         // a share of errors of one
	shareAge  = 5 * time.Second // how long a server's share of errors counts
	// lateMin separates a server that hangs from a caller with a short deadline:
	// a call that was late sooner counts as one server error only.
	lateMin = 250 * time.Millisecond
	// loadAge is how long an advertised load counts; servers that get no calls
	// would otherwise stay busy in this daemon's view forever.
	loadAge    = time.Second
	avoidFull  = 50 * time.Millisecond // without a retry time
	avoidLeave = time.Second           // without a retry time
	avoidMax   = 5 * time.Second       // bounds a retry time from the wire
	// idleScore is added to the load of each server: among servers with little
	// load the faster one then gets more calls.
	idleScore   = 0.25
	paceUnit    = 1000 // the pace of a server that is as fast as the others
	paceMost    = 10   // bounds the pace to both sides
	paceGain    = 4    // 1/paceGain is the weight of a new measurement
	usualGain   = 32   // 1/usualGain is the weight of one server's time in that of all
	startShare  = 10   // a starting server is assumed to handle slots/startShare calls
	unreadyTime = time.Second
)

// The classes of candidates, best first.
const (
	classUsable = iota
	classAvoided
	classEjected
	classExcluded
)

// state holds the counters of a server. It outlives views.
type state struct {
	incarnation uint64
	inflight    atomic.Int64
	limit       atomic.Int64
	active      atomic.Int64
	queued      atomic.Int64
	cold        atomic.Bool
	loaded      atomic.Int64 // time of the advertised load, ns since 1970
	avoided     atomic.Int64 // until, ns since 1970
	ejected     atomic.Int64 // until, ns since 1970
	ejections   atomic.Int64 // in a row
	pace        atomic.Int64 // time of a call in thousandths of what the pool's servers take; zero if unknown
	errors      atomic.Int64 // consecutive
	share       atomic.Int64 // of the latest results that were errors, in shareUnit
	judged      atomic.Int64 // time of the latest of them, ns since 1970
	good        atomic.Int64 // time of the latest answer that was no error, ns since 1970
}

// Server is a candidate of a pool. Begin and Done surround each call to it.
type Server struct {
	Member thwire.Member // immutable

	*state
	balancer *Balancer
	pool     *pool
	factor   float64
	start    time.Time // when the ramp of the zone began; zero without one
}

// Result is what a daemon observed of one call.
type Result struct {
	Kind    therror.Kind // empty when the backend server answered
	Status  int
	Latency time.Duration
	Load    thwire.Load
	HasLoad bool          // the target answered and sent Load
	Retry   time.Duration // retry time of a refusal
	Route   string
}

// Begin counts a call as in flight.
func (s *Server) Begin() { s.inflight.Add(1) }

// Done ends a call and learns from its result.
func (s *Server) Done(r Result) {
	s.inflight.Add(-1)
	now := thclock.OrSystem(s.balancer.Clock).Now()
	if r.HasLoad {
		s.limit.Store(int64(r.Load.Limit))
		s.active.Store(int64(r.Load.Active))
		s.queued.Store(int64(r.Load.Queued))
		s.cold.Store(r.Load.Cold)
		s.loaded.Store(now.UnixNano())
		s.measure(r.Route, time.Duration(r.Load.Time))
	}
	switch r.Kind {
	case "":
		if r.Status >= http.StatusInternalServerError {
			s.failed(now)
			return
		}
		s.errors.Store(0)
		s.good.Store(now.UnixNano())
		s.judge(now, 0)
	case therror.Full:
		s.avoidUntil(now.Add(retryTime(r.Retry, avoidFull)))
	case therror.Leaving:
		s.avoidUntil(now.Add(retryTime(r.Retry, avoidLeave)))
	case therror.Unready:
		s.avoidUntil(now.Add(retryTime(r.Retry, unreadyTime)))
	case therror.Broken:
		s.eject(now)
	case therror.Down:
		// A target that answered is itself reachable: the platform is down.
		if !r.HasLoad {
			s.eject(now)
		}
	case therror.Late:
		// A server that has answered others meanwhile does not hang.
		if r.Latency >= lateMin && s.good.Load() < now.Add(-r.Latency).UnixNano() {
			s.eject(now)
			return
		}
		s.failed(now)
	case therror.Internal, therror.Frame:
		s.failed(now)
	}
}

func retryTime(d, standard time.Duration) time.Duration {
	if d <= 0 {
		return standard
	}
	return min(d, avoidMax)
}

func (s *state) avoidUntil(t time.Time) {
	n := t.UnixNano()
	for {
		old := s.avoided.Load()
		if old >= n || s.avoided.CompareAndSwap(old, n) {
			return
		}
	}
}

func (s *Server) failed(now time.Time) {
	s.judge(now, shareUnit)
	if n := s.errors.Add(1); n >= ejectErrors && math.Pow(s.pool.errorShare(s, now), float64(n)) <= chanceMax {
		s.eject(now)
	}
}

// judge counts a result in the server's share of errors. An update that is lost
// in a race does no harm.
func (s *Server) judge(now time.Time, result int64) {
	old := s.share.Load()
	s.share.Store(old + (result-old)/shareGain)
	s.judged.Store(now.UnixNano())
}

// errorShare returns the share of errors, 0 to 1, at the servers of the pool
// other than one.
func (p *pool) errorShare(except *Server, now time.Time) float64 {
	sum, n := int64(0), int64(0)
	for _, s := range p.servers {
		if s.state != except.state && now.UnixNano()-s.judged.Load() < int64(shareAge) {
			sum += s.share.Load()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n) / shareUnit
}

// eject takes the server out of use, as far as the pool's floor allows. The
// mutex is taken only when a server has just failed, never by Choose.
func (s *Server) eject(now time.Time) {
	p := s.pool
	p.eject.Lock()
	defer p.eject.Unlock()
	at := now.UnixNano()
	if s.ejected.Load() > at {
		return // a call that began before the ejection
	}
	left := 0
	for _, o := range p.servers {
		if o.state != s.state && o.ejected.Load() <= at {
			left++
		}
	}
	if left*100 < p.floor*len(p.servers) {
		return
	}
	if at-s.ejected.Load() > int64(ejectForget) {
		s.ejections.Store(0)
	}
	n := s.ejections.Add(1)
	d := ejectMax
	if n < 6 {
		d = min(ejectFirst<<(n-1), ejectMax)
	}
	s.ejected.Store(at + int64(d))
	if log := s.balancer.Log; log != nil {
		log.Info("backend server taken out of use", "pool", p.name, "server", s.Member.Name, "for", d, "in a row", n)
	}
	// One more error after the return ejects again; a success clears this.
	s.errors.Store(ejectErrors - 1)
}

func (s *Server) class(exclude []string, now time.Time) int {
	if len(exclude) > 0 && slices.Contains(exclude, s.Member.Name) {
		return classExcluded
	}
	at := now.UnixNano()
	switch {
	case s.ejected.Load() > at:
		return classEjected
	case s.avoided.Load() > at:
		return classAvoided
	case s.small() && s.busy(at) >= s.capacity():
		return classAvoided
	}
	return classUsable
}

// small reports whether the server is starting or cold; such a server gets no
// call above its limit while another one is usable.
func (s *Server) small() bool {
	return s.Member.Server.State == thwire.ServerStarting || s.cold.Load()
}

// capacity returns the advertised limit, or an assumption before the first answer.
func (s *Server) capacity() int64 {
	if n := s.limit.Load(); n > 0 {
		return n
	}
	n := int64(s.Member.Server.Slots)
	if s.Member.Server.State == thwire.ServerStarting {
		n /= startShare
	}
	return max(1, n)
}

func (s *Server) advertised(at int64) int64 {
	if at-s.loaded.Load() > int64(loadAge) {
		return 0
	}
	return s.active.Load() + s.queued.Load()
}

// busy is the larger of the own and the advertised calls, since the advertised
// ones include the own ones.
func (s *Server) busy(at int64) int64 { return max(s.inflight.Load(), s.advertised(at)) }

func (s *Server) hasRoom(now time.Time) bool {
	spill := s.balancer.Spill
	if spill == 0 {
		spill = spillShare
	}
	return float64(s.busy(now.UnixNano())) < spill*float64(s.capacity())
}

// score is the load by which two candidates compare. The call itself is
// counted, so that an idle server with few slots doesn't equal one with many.
func (s *Server) score(now time.Time) float64 {
	load := float64(s.inflight.Load()+s.advertised(now.UnixNano())+1) / float64(s.capacity())
	if p := s.pace.Load(); p > 0 {
		return s.factor * (idleScore + load) * float64(p) / paceUnit
	}
	return s.factor * (idleScore + load)
}

// measure compares the time that the server takes for calls of a route with
// that of all servers that this daemon calls on the route.
func (s *Server) measure(route string, d time.Duration) {
	if d <= 0 {
		return
	}
	mean := s.balancer.usual(route, d)
	pace := min(max(int64(d)*paceUnit/mean, paceUnit/paceMost), paceUnit*paceMost)
	if old := s.pace.Load(); old > 0 {
		pace = old + (pace-old)/paceGain
	}
	s.pace.Store(pace)
}

func (s *Server) weight(now time.Time) float64 {
	w := 1.0
	if !s.start.IsZero() {
		w = min(1, max(rampMin, float64(now.Sub(s.start))/float64(rampTime)))
	}
	if s.Member.Server.State == thwire.ServerStarting {
		w *= startingWeight
	}
	return w
}

func (s *Server) status(pool string, now time.Time) ServerStatus {
	return ServerStatus{
		Pool: pool, Name: s.Member.Name, Zone: s.Member.Zone, State: s.Member.Server.State,
		InFlight: int(s.inflight.Load()), Weight: s.weight(now),
		Load: thwire.Load{
			Limit: int(s.limit.Load()), Active: int(s.active.Load()),
			Queued: int(s.queued.Load()), Cold: s.cold.Load(),
		},
		Ejected: max(0, time.Duration(s.ejected.Load()-now.UnixNano())),
		Avoided: max(0, time.Duration(s.avoided.Load()-now.UnixNano())),
	}
}
