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
	initialEjection      = time.Second
	maxEjection          = 30 * time.Second
	ejectionResetAge     = 30 * time.Second // an ejection this long ago no longer doubles the next one
	maxConsecutiveErrors = 3                // consecutive server errors
	// maxErrorProbability is the likelihood, by the other servers' share of errors, below
	// which a series of errors is the server's own: where all fail alike, as when a
	// service behind them does, taking one out of use would help nobody.
	maxErrorProbability = 0.001
	errorRateSmoothing  = 8               // 1/errorRateSmoothing is the weight of a new result in the share of errors
	errorRateUnit       = 1 << 20         // a share of errors of one
	maxErrorRateAge     = 5 * time.Second // how long a server's share of errors counts
	// minHangLatency separates a server that hangs from a caller with a short deadline:
	// a call that was late sooner counts as one server error only.
	minHangLatency = 250 * time.Millisecond
	// maxLoadAge is how long an advertised load counts; servers that get no calls
	// would otherwise stay busy in this daemon's view forever.
	maxLoadAge              = time.Second
	defaultFullAvoidance    = 50 * time.Millisecond // without a retry time
	defaultLeavingAvoidance = time.Second           // without a retry time
	maxAvoidance            = 5 * time.Second       // bounds a retry time from the wire
	// baseScore is added to the load of each server: among servers with little
	// load the faster one then gets more calls.
	baseScore               = 0.25
	relativeTimeUnit        = 1000 // the pace of a server that is as fast as the others
	maxRelativeTime         = 10   // bounds the pace to both sides
	relativeTimeSmoothing   = 4    // 1/relativeTimeSmoothing is the weight of a new measurement
	routeTimeSmoothing      = 32   // 1/routeTimeSmoothing is the weight of one server's time in that of all
	startingLimitDivisor    = 10   // a starting server is assumed to handle slots/startingLimitDivisor calls
	defaultUnreadyAvoidance = time.Second
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
	incarnation   uint64
	inflight      atomic.Int64
	limit         atomic.Int64
	active        atomic.Int64
	queued        atomic.Int64
	cold          atomic.Bool
	loadTime      atomic.Int64 // time of the advertised load, ns since 1970
	avoidedUntil  atomic.Int64 // until, ns since 1970
	ejectedUntil  atomic.Int64 // until, ns since 1970
	ejections     atomic.Int64 // in a row
	relativeTime  atomic.Int64 // time of a call in thousandths of what the pool's servers take; zero if unknown
	errors        atomic.Int64 // consecutive
	errorRate     atomic.Int64 // of the latest results that were errors, in errorRateUnit
	errorRateTime atomic.Int64 // time of the latest of them, ns since 1970
	lastSuccess   atomic.Int64 // time of the latest answer that was no error, ns since 1970
}

// Server is a candidate of a pool. Begin and Done surround each call to it.
type Server struct {
	Member thwire.Member // immutable

	*state
	balancer       *Balancer
	pool           *pool
	distanceFactor float64
	rampStart      time.Time // when the ramp of the zone began; zero without one
}

// Result is what a daemon observed of one call.
type Result struct {
	Kind       therror.Kind // empty when the backend server answered
	Status     int
	Latency    time.Duration
	Load       thwire.Load
	HasLoad    bool          // the target answered and sent Load
	RetryAfter time.Duration // retry time of a refusal
	Route      string
}

// Begin counts a call as in flight.
func (s *Server) Begin() { s.inflight.Add(1) }

// Done ends a call and learns from its result.
func (s *Server) Done(r Result) {
	s.inflight.Add(-1)
	now := thclock.Or(s.balancer.Clock).Now()
	if r.HasLoad {
		s.limit.Store(int64(r.Load.Limit))
		s.active.Store(int64(r.Load.Active))
		s.queued.Store(int64(r.Load.Queued))
		s.cold.Store(r.Load.Cold)
		s.loadTime.Store(now.UnixNano())
		s.updateRelativeTime(r.Route, time.Duration(r.Load.Time))
	}
	switch r.Kind {
	case "":
		if r.Status >= http.StatusInternalServerError {
			s.recordError(now)
			return
		}
		s.errors.Store(0)
		s.lastSuccess.Store(now.UnixNano())
		s.updateErrorRate(now, 0)
	case therror.Full:
		s.avoidUntil(now.Add(avoidance(r.RetryAfter, defaultFullAvoidance)))
	case therror.Leaving:
		s.avoidUntil(now.Add(avoidance(r.RetryAfter, defaultLeavingAvoidance)))
	case therror.Unready:
		s.avoidUntil(now.Add(avoidance(r.RetryAfter, defaultUnreadyAvoidance)))
	case therror.Broken:
		s.eject(now)
	case therror.Down:
		// A target that answered is itself reachable: the platform is down.
		if !r.HasLoad {
			s.eject(now)
		}
	case therror.Late:
		// A server that has answered others meanwhile does not hang.
		if r.Latency >= minHangLatency && s.lastSuccess.Load() < now.Add(-r.Latency).UnixNano() {
			s.eject(now)
			return
		}
		s.recordError(now)
	case therror.Internal, therror.Frame:
		s.recordError(now)
	}
}

func avoidance(d, standard time.Duration) time.Duration {
	if d <= 0 {
		return standard
	}
	return min(d, maxAvoidance)
}

func (s *state) avoidUntil(t time.Time) {
	n := t.UnixNano()
	for {
		old := s.avoidedUntil.Load()
		if old >= n || s.avoidedUntil.CompareAndSwap(old, n) {
			return
		}
	}
}

func (s *Server) recordError(now time.Time) {
	s.updateErrorRate(now, errorRateUnit)
	if n := s.errors.Add(1); n >= maxConsecutiveErrors && math.Pow(s.pool.othersErrorRate(s, now), float64(n)) <= maxErrorProbability {
		s.eject(now)
	}
}

// updateErrorRate counts a result in the server's share of errors. An update that is lost
// in a race does no harm.
func (s *Server) updateErrorRate(now time.Time, result int64) {
	old := s.errorRate.Load()
	s.errorRate.Store(old + (result-old)/errorRateSmoothing)
	s.errorRateTime.Store(now.UnixNano())
}

// othersErrorRate returns the share of errors, 0 to 1, at the servers of the pool
// other than one.
func (p *pool) othersErrorRate(except *Server, now time.Time) float64 {
	sum, n := int64(0), int64(0)
	for _, s := range p.servers {
		if s.state != except.state && now.UnixNano()-s.errorRateTime.Load() < int64(maxErrorRateAge) {
			sum += s.errorRate.Load()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n) / errorRateUnit
}

// eject takes the server out of use, as far as the pool's floor allows. The
// mutex is taken only when a server has just failed, never by Choose.
func (s *Server) eject(now time.Time) {
	p := s.pool
	p.ejectMutex.Lock()
	defer p.ejectMutex.Unlock()
	at := now.UnixNano()
	if s.ejectedUntil.Load() > at {
		return // a call that began before the ejection
	}
	left := 0
	for _, o := range p.servers {
		if o.state != s.state && o.ejectedUntil.Load() <= at {
			left++
		}
	}
	if left*100 < p.floor*len(p.servers) {
		return
	}
	if at-s.ejectedUntil.Load() > int64(ejectionResetAge) {
		s.ejections.Store(0)
	}
	n := s.ejections.Add(1)
	d := maxEjection
	if n < 6 {
		d = min(initialEjection<<(n-1), maxEjection)
	}
	s.ejectedUntil.Store(at + int64(d))
	if log := s.balancer.Log; log != nil {
		log.Info("backend server taken out of use", "pool", p.name, "server", s.Member.Name, "for", d, "in a row", n)
	}
	// One more error after the return ejects again; a success clears this.
	s.errors.Store(maxConsecutiveErrors - 1)
}

func (s *Server) class(exclude []string, now time.Time) int {
	if len(exclude) > 0 && slices.Contains(exclude, s.Member.Name) {
		return classExcluded
	}
	at := now.UnixNano()
	switch {
	case s.ejectedUntil.Load() > at:
		return classEjected
	case s.avoidedUntil.Load() > at:
		return classAvoided
	case s.isCold() && s.inUse(at) >= s.capacity():
		return classAvoided
	}
	return classUsable
}

// isCold reports whether the server is starting or cold; such a server gets no
// call above its limit while another one is usable.
func (s *Server) isCold() bool {
	return s.Member.Server.State == thwire.ServerStarting || s.cold.Load()
}

// capacity returns the advertised limit, or an assumption before the first answer.
func (s *Server) capacity() int64 {
	if n := s.limit.Load(); n > 0 {
		return n
	}
	n := int64(s.Member.Server.Slots)
	if s.Member.Server.State == thwire.ServerStarting {
		n /= startingLimitDivisor
	}
	return max(1, n)
}

func (s *Server) advertisedLoad(at int64) int64 {
	if at-s.loadTime.Load() > int64(maxLoadAge) {
		return 0
	}
	return s.active.Load() + s.queued.Load()
}

// inUse is the larger of the own and the advertised calls, since the advertised
// ones include the own ones.
func (s *Server) inUse(at int64) int64 { return max(s.inflight.Load(), s.advertisedLoad(at)) }

func (s *Server) hasRoom(now time.Time) bool {
	spill := s.balancer.SpillThreshold
	if spill == 0 {
		spill = defaultSpillThreshold
	}
	return float64(s.inUse(now.UnixNano())) < spill*float64(s.capacity())
}

// score is the load by which two candidates compare. The call itself is
// counted, so that an idle server with few slots doesn't equal one with many.
func (s *Server) score(now time.Time) float64 {
	load := float64(s.inflight.Load()+s.advertisedLoad(now.UnixNano())+1) / float64(s.capacity())
	if p := s.relativeTime.Load(); p > 0 {
		return s.distanceFactor * (baseScore + load) * float64(p) / relativeTimeUnit
	}
	return s.distanceFactor * (baseScore + load)
}

// updateRelativeTime compares the time that the server takes for calls of a route with
// that of all servers that this daemon calls on the route.
func (s *Server) updateRelativeTime(route string, d time.Duration) {
	if d <= 0 {
		return
	}
	mean := s.balancer.updateRouteTime(route, d)
	pace := min(max(int64(d)*relativeTimeUnit/mean, relativeTimeUnit/maxRelativeTime), relativeTimeUnit*maxRelativeTime)
	if old := s.relativeTime.Load(); old > 0 {
		pace = old + (pace-old)/relativeTimeSmoothing
	}
	s.relativeTime.Store(pace)
}

func (s *Server) weight(now time.Time) float64 {
	w := 1.0
	if !s.rampStart.IsZero() {
		w = min(1, max(minRampWeight, float64(now.Sub(s.rampStart))/float64(rampDuration)))
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
		Ejected: max(0, time.Duration(s.ejectedUntil.Load()-now.UnixNano())),
		Avoided: max(0, time.Duration(s.avoidedUntil.Load()-now.UnixNano())),
	}
}
