package thproxy

import (
	"slices"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Constants of patience.
const (
	keptDeadlines = 64 // of a route
	// usualShare of the kept deadlines lie below the usual one. Callers who come
	// back, of whom there can be two for each new one, all have shorter ones.
	usualShare = 0.75
	usualEvery = 8 // calls between updates of the usual deadline
	// latePart is the part of the usual deadline below which a caller may be one
	// who comes back: callers differ in their first deadlines by 15%.
	latePart = 0.8
)

// patience knows the usual deadline of the callers of each route. The zero value
// works.
type patience struct{ byRoute sync.Map } // name to *deadlines

// deadlines keeps the latest deadlines of a route's callers.
type deadlines struct {
	mutex sync.Mutex
	kept  [keptDeadlines]time.Duration
	count int
	usual time.Duration
}

// isLate notes the deadline of a call and reports whether its caller seems to
// come back after an earlier attempt, so late that the latency objective of the
// route has passed.
func (p *patience) isLate(route *thconfig.Route, deadline time.Duration) bool {
	if route.Target <= 0 {
		return false
	}
	v, found := p.byRoute.Load(route.Name)
	if !found {
		v, _ = p.byRoute.LoadOrStore(route.Name, &deadlines{})
	}
	usual := v.(*deadlines).note(deadline)
	return deadline < time.Duration(latePart*float64(usual)) && usual-deadline >= route.Target
}

// note keeps a deadline and returns the usual one.
func (d *deadlines) note(deadline time.Duration) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.kept[d.count%keptDeadlines] = deadline
	if d.count%usualEvery == 0 {
		sorted := d.kept
		known := sorted[:min(d.count+1, keptDeadlines)]
		slices.Sort(known)
		d.usual = known[int(usualShare*float64(len(known)))]
	}
	d.count++
	return d.usual
}
