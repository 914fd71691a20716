package thbalance

import (
	"math"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

const (
	// speedSmoothing is the inverse weight of a sample in the long average of a server's relative
	// service time. With a quarter, the error of the average exceeds the differences between equal
	// servers, and the choice then follows noise in place of their load.
	speedSmoothing = 16
	// equalBand is the difference of speed below which servers count as equal, so that the error of
	// the average doesn't weigh against their load.
	equalBand = 0.15
	// slowRatio is the ratio of the short to the long average from which the server counts as slow
	// at the moment; it is above the error of the short average.
	slowRatio = 1.5
	// maxSlowdownAge is the validity of a slowdown that a server states; slowdowns last for fractions
	// of a second.
	maxSlowdownAge = 300 * time.Millisecond
	// waitLoad is the load, as a fraction of the limit, from which calls are expected to wait. Above
	// it the expected time grows with the load; below it by idleSlope of that only, since a call that
	// finds a free slot takes as long at a loaded server. The slope is not zero: the known load dates
	// from the last response.
	waitLoad  = 0.9
	idleSlope = 0.3
	// fasterRatio is the ratio of service times from which on a further server replaces the better
	// one of a pair, and maxFasterLoad the highest load that it may have. Comparing the load of more
	// than two servers makes daemons with old information choose the same one.
	fasterRatio   = 0.85
	maxFasterLoad = 0.7
)

// updateSpeed adds a relative service time to the long average.
func (s *state) updateSpeed(relative int64) {
	if old := s.speed.Load(); old > 0 {
		relative = old + (relative-old)/speedSmoothing
	}
	s.speed.Store(relative)
}

// serviceRatio returns the service time of the server relative to the others, 1 if unknown.
func (s *Server) serviceRatio(at int64) float64 {
	long := float64(s.speed.Load())
	if long == 0 {
		return 1
	}
	if n := float64(s.slowdown.Load()); n > 100*slowRatio && at-s.loadTime.Load() <= int64(maxSlowdownAge) {
		return long / relativeTimeUnit * n / 100
	}
	if short := float64(s.relativeTime.Load()); short > slowRatio*long && at-s.loadTime.Load() <= int64(maxLoadAge) {
		return short / relativeTimeUnit
	}
	if ratio := long / relativeTimeUnit; math.Abs(ratio-1) > equalBand {
		return ratio
	}
	return 1
}

// timeScore returns a score in proportion to the expected time to an answer.
func (s *Server) timeScore(now time.Time) float64 {
	at := thclock.Stamp(now)
	load := float64(s.inflight.Load()+s.advertisedLoad(at)+1) / float64(s.capacity())
	if load < waitLoad {
		load = waitLoad - idleSlope*(waitLoad-load)
	}
	return s.distanceFactor * (baseScore + load) * s.serviceRatio(at)
}

// drawFaster draws a further candidate and returns it if it is clearly faster than the given one,
// not loaded, and has the better score.
func (b *Balancer) drawFaster(best *Server, servers []*Server, exclude []string, now time.Time, last bool) *Server {
	s, at := b.draw(servers, exclude, now, last), thclock.Stamp(now)
	if s == nil || s.serviceRatio(at) > fasterRatio*best.serviceRatio(at) ||
		float64(s.inUse(at)) >= maxFasterLoad*float64(s.capacity()) || s.score(now) >= best.score(now) {
		return best
	}
	return s
}
