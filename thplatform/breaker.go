package thplatform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The states of a circuit breaker.
const (
	BreakerClosed  = "closed"
	BreakerOpen    = "open"
	BreakerProbing = "probing" // one request is under way to test the service
)

const (
	breakerThreshold  = 5           // consecutive failures that open the breaker
	breakerInterval   = time.Second // mean time between probes
	breakerStaleAfter = 10 * breakerInterval
)

// breaker is a circuit breaker. The zero value is closed.
type breaker struct {
	mutex     sync.Mutex
	failures  int
	state     string
	nextProbe time.Time // when the next probe is allowed
}

// allow reports whether a request may be sent, and else after which time.
func (b *breaker) allow(now time.Time) (bool, time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch {
	case b.state == "" || b.state == BreakerClosed:
		return true, 0
	case b.state == BreakerOpen && !now.Before(b.nextProbe):
		b.state = BreakerProbing
		return true, 0
	case b.state == BreakerProbing:
		return false, breakerInterval
	}
	return false, b.nextProbe.Sub(now)
}

// record takes the result of an admitted request and reports whether the
// breaker changed its state. A request that says nothing about the service,
// because the caller gave up, lets the next request probe.
func (b *breaker) record(now time.Time, r result) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.state
	switch r {
	case resultResponded:
		b.failures, b.state = 0, BreakerClosed
	case resultFailed:
		b.failures++
		if b.failures >= breakerThreshold || b.state == BreakerProbing {
			b.state = BreakerOpen
			// Jitter keeps the daemons of a fleet from probing at once.
			b.nextProbe = now.Add(breakerInterval/2 + rand.N(breakerInterval))
		}
	case resultNone:
		if b.state == BreakerProbing {
			b.state, b.nextProbe = BreakerOpen, now
		}
	}
	return before != b.state && (before == BreakerClosed || before == "") != (b.state == BreakerClosed)
}

// stateAt returns the state at now. An open breaker that has not been asked for
// breakerStaleAfter after its probe was due says nothing about the service any more:
// a daemon without requests would report an outage for ever.
func (b *breaker) stateAt(now time.Time) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.state == "" || b.state == BreakerOpen && now.Sub(b.nextProbe) > breakerStaleAfter {
		return BreakerClosed
	}
	return b.state
}

// result is what a request told about the health of the service.
type result int

const (
	resultNone      result = iota // nothing: the caller gave up
	resultResponded               // the service answered, if only to refuse or throttle
	resultFailed                  // no answer, or an internal fault
)
