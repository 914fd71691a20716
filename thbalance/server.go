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
	ejectionResetAge     = 30 * time.Second // ejections that ended longer ago don't double the next one
	minConsecutiveErrors = 3                // server errors in a row before an ejection
	// maxErrorProbability is the probability, at the error rate of the other servers,
	// below which a series of errors is attributed to the server itself. If all servers
	// fail equally, such as when a service behind them fails, ejecting one doesn't help.
	maxErrorProbability = 0.001
	errorRateSmoothing  = 8               // 1/errorRateSmoothing is the weight of a new result in the error rate
	errorRateUnit       = 1 << 20         // fixed-point representation of an error rate of 1
	maxErrorRateAge     = 5 * time.Second // validity of a server's error rate
	// minHangLatency is the minimum latency of a timeout that indicates a server that
	// hangs. A shorter timeout is due to a short deadline of the caller and counts as a
	// single server error.
	minHangLatency = 250 * time.Millisecond
	// maxLoadAge is the validity of an advertised load. Without it, servers that get
	// no calls would be treated as busy forever.
	maxLoadAge              = time.Second
	defaultFullAvoidance    = 50 * time.Millisecond // after a rejection as Full without a retry time
	defaultLeavingAvoidance = time.Second           // after a rejection as Leaving without a retry time
	maxAvoidance            = 5 * time.Second       // maximum for retry times received from peers
	// baseScore is added to the load of each server, so that among servers with little
	// load the faster one gets more calls.
	baseScore               = 0.25
	relativeTimeUnit        = 1000 // fixed-point representation of a relative service time of 1
	maxRelativeTime         = 10   // relative service times are clamped to 1/maxRelativeTime and maxRelativeTime
	relativeTimeSmoothing   = 4    // 1/relativeTimeSmoothing is the weight of a new sample
	routeTimeSmoothing      = 32   // 1/routeTimeSmoothing is the weight of a sample in a route's average
	startingLimitDivisor    = 10   // the assumed limit of a starting server is slots/startingLimitDivisor
	defaultUnreadyAvoidance = time.Second
)

// Classes of candidates, most preferred first.
const (
	classUsable = iota
	classAvoided
	classEjected
	classExcluded
)

// state holds the mutable state of a server, which is kept across Updates. Times are
// in ns since 1970.
type state struct {
	incarnation   uint64       // of the member
	instance      string       // of the backend server; empty if it has no id
	inflight      atomic.Int64 // calls of this daemon in progress
	limit         atomic.Int64 // limit, active, queued, cold and rate are the last advertised load
	active        atomic.Int64
	queued        atomic.Int64
	cold          atomic.Bool
	rate          atomic.Uint64 // bits of the calls per second that the server states as its limit; zero without one
	loadTime      atomic.Int64  // of the advertised load; this and the other times are by thclock.Stamp
	avoidedUntil  atomic.Int64
	ejectedUntil  atomic.Int64
	ejections     atomic.Int64 // consecutive ejections
	relativeTime  atomic.Int64 // service time relative to all servers' average, in 1/relativeTimeUnit; zero if unknown
	speed         atomic.Int64 // long average of relativeTime; zero if unknown; only with ByTime
	slowdown      atomic.Int64 // last advertised, in percent; zero if none
	errors        atomic.Int64 // consecutive server errors
	errorRate     atomic.Int64 // moving average, in 1/errorRateUnit
	errorRateTime atomic.Int64 // time of the last sample of errorRate
	lastSuccess   atomic.Int64 // time of the last response that was no server error
}

// forMember returns the state for a member record: s, or a new one for a new process of
// the daemon. The limit that an instance has stated remains with the instance. s may be
// nil.
func (s *state) forMember(m *thwire.Member) *state {
	n := s
	switch {
	case s == nil:
		n = &state{incarnation: m.Incarnation}
	case s.incarnation != m.Incarnation:
		n = &state{incarnation: m.Incarnation, instance: s.instance}
		if rate := s.rate.Load(); rate != 0 {
			n.rate.Store(rate)
			n.limit.Store(s.limit.Load())
		}
	}
	if m.Server == nil || m.Server.Instance == n.instance {
		return n
	}
	n.instance = m.Server.Instance
	if n.rate.Swap(0) != 0 {
		n.limit.Store(0) // derived from the limit of the earlier instance
	}
	return n
}

// Server is a candidate of a pool. Call Begin before and Done after each call to it.
type Server struct {
	Member thwire.Member // immutable

	*state
	balancer       *Balancer
	pool           *pool
	distanceFactor float64   // multiplies the score; 1 in the local zone
	rampStart      time.Time // start of the zone's ramp; zero without a ramp
	flow           *zoneFlow // state of the zone in the pool; nil while the fixed rule is in effect
}

// Result is the outcome of one call as observed by the ingress.
type Result struct {
	Kind       therror.Kind // empty if the backend server sent a response
	Status     int          // HTTP status of the response
	Latency    time.Duration
	Load       thwire.Load   // load advertised by the target
	HasLoad    bool          // the target replied and sent Load
	RetryAfter time.Duration // retry time of a rejection; zero if it had none
	Route      string
}

// Begin counts a call as in progress.
func (s *Server) Begin() { s.inflight.Add(1) }

// Done ends a call and updates the server's state from its result. Broken
// connections, hangs and repeated server errors eject the server; rejections make
// Choose avoid it for the retry time.
func (s *Server) Done(r Result) {
	s.inflight.Add(-1)
	now := thclock.OrSystem(s.balancer.Clock).Now()
	if r.HasLoad {
		s.limit.Store(int64(r.Load.Limit))
		s.active.Store(int64(r.Load.Active))
		s.queued.Store(int64(r.Load.Queued))
		s.cold.Store(r.Load.Cold)
		s.rate.Store(math.Float64bits(r.Load.Rate))
		s.slowdown.Store(int64(r.Load.Slow))
		s.loadTime.Store(thclock.Stamp(now))
		s.updateRelativeTime(r.Route, time.Duration(r.Load.Time))
	}
	if s.flow != nil {
		s.flow.observe(&r, s.balancer.view.Load().objective(r.Route))
	}
	switch r.Kind {
	case "":
		if r.Status >= http.StatusInternalServerError {
			s.recordError(now)
			return
		}
		s.errors.Store(0)
		s.lastSuccess.Store(thclock.Stamp(now))
		s.updateErrorRate(now, 0)
	case therror.Full:
		s.avoidUntil(now.Add(avoidance(r.RetryAfter, defaultFullAvoidance)))
	case therror.Leaving:
		s.avoidUntil(now.Add(avoidance(r.RetryAfter, defaultLeavingAvoidance)))
	case therror.Unready:
		s.avoidUntil(now.Add(avoidance(r.RetryAfter, defaultUnreadyAvoidance)))
	case therror.Broken, therror.Crashed:
		s.eject(now)
	case therror.Down:
		// If the target replied, it is reachable, and Down refers to the platform.
		if !r.HasLoad {
			s.eject(now)
		}
	case therror.Late:
		// A server that has responded to another call since this one started doesn't hang.
		if r.Latency >= minHangLatency && s.lastSuccess.Load() < thclock.Stamp(now.Add(-r.Latency)) {
			s.eject(now)
			return
		}
		s.recordError(now)
	case therror.Internal, therror.Frame:
		s.recordError(now)
	}
}

// avoidance returns the time for which a server is avoided after a rejection.
func avoidance(retryAfter, fallback time.Duration) time.Duration {
	if retryAfter <= 0 {
		return fallback
	}
	return min(retryAfter, maxAvoidance)
}

// avoidUntil extends the avoidance of the server to t; it never shortens it.
func (s *state) avoidUntil(t time.Time) {
	n := thclock.Stamp(t)
	for {
		old := s.avoidedUntil.Load()
		if old >= n || s.avoidedUntil.CompareAndSwap(old, n) {
			return
		}
	}
}

// recordError counts a server error and ejects the server after a series of errors
// that the error rate of the other servers doesn't explain.
func (s *Server) recordError(now time.Time) {
	s.updateErrorRate(now, errorRateUnit)
	if n := s.errors.Add(1); n >= minConsecutiveErrors && math.Pow(s.pool.othersErrorRate(s, now), float64(n)) <= maxErrorProbability {
		s.eject(now)
	}
}

// updateErrorRate adds a result, 0 or errorRateUnit, to the server's error rate.
// Losing an update to a concurrent one is harmless.
func (s *Server) updateErrorRate(now time.Time, result int64) {
	old := s.errorRate.Load()
	s.errorRate.Store(old + (result-old)/errorRateSmoothing)
	s.errorRateTime.Store(thclock.Stamp(now))
}

// othersErrorRate returns the mean error rate, 0 to 1, of the other servers of the
// pool that have recent results; it is 0 if there is none.
func (p *pool) othersErrorRate(except *Server, now time.Time) float64 {
	sum, n := int64(0), int64(0)
	for _, s := range p.servers {
		if s.state != except.state && thclock.Stamp(now)-s.errorRateTime.Load() < int64(maxErrorRateAge) {
			sum += s.errorRate.Load()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n) / errorRateUnit
}

// eject ejects the server for a time that doubles with each consecutive ejection,
// unless the remaining servers would be fewer than the pool's floor. It locks a
// mutex, which is acceptable because it is called only after a failure.
func (s *Server) eject(now time.Time) {
	p := s.pool
	p.ejectMutex.Lock()
	defer p.ejectMutex.Unlock()
	at := thclock.Stamp(now)
	if s.ejectedUntil.Load() > at {
		return // the call started before the ejection
	}
	remaining := 0
	for _, o := range p.servers {
		if o.state != s.state && o.ejectedUntil.Load() <= at {
			remaining++
		}
	}
	if remaining*100 < p.floor*len(p.servers) {
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
		log.Info("backend server ejected", "pool", p.name, "server", s.Member.Name, "for", d, "in a row", n)
	}
	// One more error after the ejection has ended ejects the server again; a success
	// resets the counter.
	s.errors.Store(minConsecutiveErrors - 1)
}

// class returns the class of the candidate. A starting, cold or limited server at its
// limit is avoided, so that it gets no calls above the limit while another server is
// usable.
func (s *Server) class(exclude []string, now time.Time) int {
	if len(exclude) > 0 && slices.Contains(exclude, s.Member.Name) {
		return classExcluded
	}
	at := thclock.Stamp(now)
	switch {
	case s.ejectedUntil.Load() > at:
		return classEjected
	case s.avoidedUntil.Load() > at:
		return classAvoided
	case (s.isCold() || s.StatedRate() > 0) && s.inUse(at) >= s.capacity():
		return classAvoided
	}
	return classUsable
}

// isCold reports whether the server is starting or has advertised that it is cold.
func (s *Server) isCold() bool {
	return s.Member.Server.State == thwire.ServerStarting || s.cold.Load()
}

// StatedRate returns the limit in calls per second that the backend server last stated;
// zero without one.
func (s *Server) StatedRate() float64 { return s.statedRate() }

func (s *state) statedRate() float64 { return math.Float64frombits(s.rate.Load()) }

// capacity returns the advertised limit, or an estimate before the first response.
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

// advertisedLoad returns the calls that the server last advertised as active or
// queued, or 0 if that was too long ago.
func (s *Server) advertisedLoad(at int64) int64 {
	if at-s.loadTime.Load() > int64(maxLoadAge) {
		return 0
	}
	return s.active.Load() + s.queued.Load()
}

// inUse returns the estimated number of calls at the server: the maximum of this
// daemon's calls and the advertised calls, since the latter include the former.
func (s *Server) inUse(at int64) int64 { return max(s.inflight.Load(), s.advertisedLoad(at)) }

// hasRoom reports whether the server's load is below the spill threshold.
func (s *Server) hasRoom(now time.Time) bool {
	threshold := s.balancer.SpillThreshold
	if threshold == 0 {
		threshold = defaultSpillThreshold
	}
	return float64(s.inUse(thclock.Stamp(now))) < threshold*float64(s.capacity())
}

// score returns the weighted load by which candidates are compared; lower is better.
// The new call is included, so that an idle server with few slots isn't equal to an
// idle server with many.
func (s *Server) score(now time.Time) float64 {
	if s.balancer.ByTime {
		return s.timeScore(now)
	}
	load := float64(s.inflight.Load()+s.advertisedLoad(thclock.Stamp(now))+1) / float64(s.capacity())
	if r := s.relativeTime.Load(); r > 0 {
		return s.distanceFactor * (baseScore + load) * float64(r) / relativeTimeUnit
	}
	return s.distanceFactor * (baseScore + load)
}

// updateRelativeTime updates the server's relative service time with d, its service
// time for calls of a route. The reference is the average of all servers that this
// daemon calls on the route.
func (s *Server) updateRelativeTime(route string, d time.Duration) {
	if d <= 0 {
		return
	}
	mean := s.balancer.updateRouteTime(route, d)
	relative := min(max(int64(d)*relativeTimeUnit/mean, relativeTimeUnit/maxRelativeTime), relativeTimeUnit*maxRelativeTime)
	if s.balancer.ByTime {
		s.updateSpeed(relative)
	}
	if old := s.relativeTime.Load(); old > 0 {
		relative = old + (relative-old)/relativeTimeSmoothing
	}
	s.relativeTime.Store(relative)
}

// weight returns the probability, 0 to 1, with which a drawn candidate is accepted.
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
			Queued: int(s.queued.Load()), Cold: s.cold.Load(), Rate: s.StatedRate(),
		},
		Ejected: max(0, time.Duration(s.ejectedUntil.Load()-thclock.Stamp(now))),
		Avoided: max(0, time.Duration(s.avoidedUntil.Load()-thclock.Stamp(now))),
	}
}
