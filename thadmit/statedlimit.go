package thadmit

import (
	"math"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// minStatedRate is the least rate, in calls per second, at which a server that states a
// limit gets calls: only a response can end or raise the limit.
const minStatedRate = 0.5

// statedLimit is the limit that a backend server states in its responses. It applies
// until a response states another one or none.
type statedLimit struct {
	observed bool // a response of the instance has been observed
	active   bool
	rate     float64   // calls per second; zero unless active
	learned  time.Time // when the last response that states rate or less has arrived
}

// ObserveLimit records the limit, in calls per second, that a response of the backend
// server states; limited is false for a response without one. Responses may arrive in
// another order than they were made: a lower limit takes effect at once, a higher one
// or the end of the limit only with the response to a call that was dispatched, at sent,
// after the lower limit had become known.
func (s *Scheduler) ObserveLimit(sent time.Time, limit float64, limited bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stated.observed = true
	if !s.stated.active && !limited {
		return
	}
	now := thclock.OrSystem(s.Clock).Now()
	rate := max(limit, minStatedRate)
	lower := limited && (!s.stated.active || rate <= s.stated.rate)
	if !lower && sent.Before(s.stated.learned) {
		return
	}
	if !limited {
		rate = 0
	}
	if raised := s.stated.active && rate > s.stated.rate; raised {
		// The next dispatch is due at the pace of the higher limit.
		s.nextPaced = earliest(s.nextPaced, now.Add(pacingBurst+time.Duration(float64(time.Second)/rate)))
	}
	s.stated = statedLimit{observed: true, active: limited, rate: rate, learned: now}
	s.admitQueued(now)
}

// AdoptLimit adopts the limit that another daemon knows, in calls per second, until the
// first response is observed: this daemon may have started after the backend server stated
// it. A limit of zero changes nothing.
func (s *Scheduler) AdoptLimit(limit float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.adoptLimit(limit, thclock.OrSystem(s.Clock).Now())
}

// adoptLimit is AdoptLimit for a caller that holds the mutex.
func (s *Scheduler) adoptLimit(limit float64, now time.Time) {
	if s.stated.observed || limit <= 0 || s.stated.active && s.stated.rate <= limit {
		return
	}
	s.stated = statedLimit{active: true, rate: max(limit, minStatedRate), learned: now}
}

// paceRate returns the rate, in calls per second, at which calls are dispatched to a
// cold server or to one that states a limit, whichever is lower. paced is false for
// other servers. The rate of a cold server is zero if it has none.
func (s *Scheduler) paceRate(now time.Time) (rate float64, paced bool) {
	cold := s.isCold(now)
	if cold {
		rate = max(s.coldRate, 0)
	}
	if s.stated.active && (rate == 0 || s.stated.rate < rate) {
		rate = s.stated.rate
	}
	return rate, cold || s.stated.active
}

// concurrency returns the number of concurrent calls that is advertised: the slots or,
// by Little's law, those that a stated limit keeps busy. It makes ingresses send to the
// server what it accepts.
func (s *Scheduler) concurrency() int {
	if !s.stated.active {
		return s.slots
	}
	busy := math.Ceil(s.stated.rate * s.meanServiceTime().Seconds())
	return max(1, min(s.slots, int(min(busy, float64(s.slots)))))
}
