package thplatform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// States of the circuit breaker, as reported in Stats.Breaker.
const (
	BreakerClosed  = "closed"
	BreakerOpen    = "open"
	BreakerProbing = "probing" // a single probe request is in flight
)

const (
	breakerThreshold  = 5                    // consecutive failures that open the breaker
	breakerInterval   = time.Second          // mean time between probes
	breakerStaleAfter = 10 * breakerInterval // overdue probe after which an open breaker reports closed
)

// breaker is a circuit breaker for one platform service. The zero value is closed.
type breaker struct {
	mutex     sync.Mutex
	failures  int
	state     string
	nextProbe time.Time // earliest time of the next probe while open
}

// allow reports whether a request may be sent. If not, it also returns the time
// to wait before the next attempt. On an open breaker whose probe is due, it
// admits one request as the probe.
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

// record updates the breaker with the result of an admitted request and reports
// whether it opened or closed. If the caller cancelled a probe, the next request
// becomes the probe.
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
			// Jitter spreads the probes of the fleet's daemons.
			b.nextProbe = now.Add(breakerInterval/2 + rand.N(breakerInterval))
		}
	case resultNone:
		if b.state == BreakerProbing {
			b.state, b.nextProbe = BreakerOpen, now
		}
	}
	return before != b.state && (before == BreakerClosed || before == "") != (b.state == BreakerClosed)
}

// stateAt returns the state to report at now. An open breaker whose probe has been
// overdue for more than breakerStaleAfter is reported as closed: without requests
// there is no probe, and an idle daemon would report an outage indefinitely.
func (b *breaker) stateAt(now time.Time) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.state == "" || b.state == BreakerOpen && now.Sub(b.nextProbe) > breakerStaleAfter {
		return BreakerClosed
	}
	return b.state
}

// result classifies what a request shows about the health of the service.
type result int

const (
	resultNone      result = iota // nothing: the caller cancelled
	resultResponded               // the service responded, possibly with a rejection or throttling
	resultFailed                  // no response, or an internal server error
)
