package thproxy

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Sizes of a retry budget, in retries.
const (
	retriesPerSecond = 3   // always allowed, unless the route's Retry is 0
	maxRetryBurst    = 100 // after a time without failures
)

// budgets holds the retry budgets by route. The zero value works.
type budgets struct{ byRoute sync.Map }

// budget holds the retries of a route. Refused calls, which cost no server work,
// leave those of broken ones alone.
type budget struct{ refused, broken bucket }

// first counts a first attempt of a route whose Retry is the given percentage.
func (b *budget) first(percent int) {
	b.refused.first(percent)
	b.broken.first(percent)
}

// bucket is a token bucket filled by first attempts and by time.
type bucket struct {
	mutex  sync.Mutex
	earned float64 // by first attempts
	timed  float64 // by time
	last   time.Time
}

func (b *budgets) of(route string) *budget {
	if v, ok := b.byRoute.Load(route); ok {
		return v.(*budget)
	}
	v, _ := b.byRoute.LoadOrStore(route, &budget{refused: bucket{timed: retriesPerSecond}, broken: bucket{timed: retriesPerSecond}})
	return v.(*budget)
}

// first fills the bucket by a part of a token.
func (b *bucket) first(percent int) {
	b.mutex.Lock()
	b.earned = min(b.earned+float64(percent)/100, maxRetryBurst)
	b.mutex.Unlock()
}

// retry takes a token; false means that the budget is spent.
func (b *bucket) retry(percent int, clock clockwork.Clock) bool {
	if percent == 0 {
		return false
	}
	now := thclock.Or(clock).Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.last.IsZero() {
		b.timed = min(b.timed+now.Sub(b.last).Seconds()*retriesPerSecond, retriesPerSecond)
	}
	b.last = now
	switch {
	case b.earned >= 1:
		b.earned--
	case b.timed >= 1:
		b.timed--
	default:
		return false
	}
	return true
}
