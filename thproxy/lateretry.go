package thproxy

import (
	"slices"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Constants of patience.
const (
	maxDeadlineSamples = 64 // of a route
	// typicalQuantile of the kept deadlines lie below the usual one. Callers who come
	// back, of whom there can be two for each new one, all have shorter ones.
	typicalQuantile    = 0.75
	typicalUpdateCalls = 8 // calls between updates of the usual deadline
	// lateFraction is the part of the usual deadline below which a caller may be one
	// who comes back: callers differ in their first deadlines by 15%.
	lateFraction = 0.8
)

// lateRetryDetector knows the usual deadline of the callers of each route. The zero value
// works.
type lateRetryDetector struct{ byRoute sync.Map } // name to *deadlines

// deadlineSamples keeps the latest deadlines of a route's callers.
type deadlineSamples struct {
	mutex   sync.Mutex
	samples [maxDeadlineSamples]time.Duration
	count   int
	typical time.Duration
}

// isLateRetry notes the deadline of a call and reports whether its caller seems to
// come back after an earlier attempt, so late that the latency objective of the
// route has passed.
func (p *lateRetryDetector) isLateRetry(route *thconfig.Route, deadline time.Duration) bool {
	if route.Target <= 0 {
		return false
	}
	v, found := p.byRoute.Load(route.Name)
	if !found {
		v, _ = p.byRoute.LoadOrStore(route.Name, &deadlineSamples{})
	}
	usual := v.(*deadlineSamples).add(deadline)
	return deadline < time.Duration(lateFraction*float64(usual)) && usual-deadline >= route.Target
}

// add keeps a deadline and returns the usual one.
func (d *deadlineSamples) add(deadline time.Duration) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.samples[d.count%maxDeadlineSamples] = deadline
	if d.count%typicalUpdateCalls == 0 {
		sorted := d.samples
		known := sorted[:min(d.count+1, maxDeadlineSamples)]
		slices.Sort(known)
		d.typical = known[int(typicalQuantile*float64(len(known)))]
	}
	d.count++
	return d.typical
}
