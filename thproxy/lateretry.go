package thproxy

import (
	"slices"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Parameters of the detection of late retries.
const (
	maxDeadlineSamples = 64 // per route
	// typicalQuantile is the quantile of the sampled deadlines that is taken as the
	// typical deadline of a first call. It is high because retrying clients have
	// shorter deadlines and there can be two retries for each first call.
	typicalQuantile    = 0.75
	typicalUpdateCalls = 8 // calls between updates of the typical deadline
	// lateFraction is the fraction of the typical deadline below which a call may be
	// a retry: the deadlines of first calls differ by 15%.
	lateFraction = 0.8
)

// lateRetryDetector detects calls of retrying clients by their deadlines, which are
// shorter than typical for the route. The zero value is ready to use.
type lateRetryDetector struct{ byRoute sync.Map } // route name to *deadlineSamples

// deadlineSamples holds the latest call deadlines of a route.
type deadlineSamples struct {
	mutex   sync.Mutex
	samples [maxDeadlineSamples]time.Duration
	count   int
	typical time.Duration
}

// isLateRetry samples the deadline of a call. It reports whether the call seems to
// be a retry by its client that comes after the latency objective of the route has
// passed. It is always false for a route without an objective.
func (d *lateRetryDetector) isLateRetry(route *thconfig.Route, deadline time.Duration) bool {
	if route.Target <= 0 {
		return false
	}
	v, found := d.byRoute.Load(route.Name)
	if !found {
		v, _ = d.byRoute.LoadOrStore(route.Name, &deadlineSamples{})
	}
	typical := v.(*deadlineSamples).add(deadline)
	return deadline < time.Duration(lateFraction*float64(typical)) && typical-deadline >= route.Target
}

// add samples a deadline and returns the typical one.
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
