package thproxy

import (
	"sync"
	"sync/atomic"
)

// returnedPart is the part of the usual deadline of a route below which a caller
// counts as one that comes back: it has spent the rest on an earlier attempt.
const returnedPart = 0.9

// patience keeps the longest deadline that callers of each route have sent. The
// zero value works.
type patience struct{ byRoute sync.Map }

// returned notes the deadline of a call in ms, and reports whether its caller
// seems to come back after an earlier attempt. Its latency objective has
// passed or will, and it must not be refused again for the sake of it.
func (p *patience) returned(route string, deadline int64) bool {
	v, ok := p.byRoute.Load(route)
	if !ok {
		v, _ = p.byRoute.LoadOrStore(route, &atomic.Int64{})
	}
	longest := v.(*atomic.Int64)
	for {
		known := longest.Load()
		if deadline <= known {
			return float64(deadline) < returnedPart*float64(known)
		}
		if longest.CompareAndSwap(known, deadline) {
			return false
		}
	}
}
