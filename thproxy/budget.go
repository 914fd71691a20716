package thproxy

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Sizes of a retry budget, in retries.
const (
	minRetriesPerSecond = 3   // always allowed, unless the route's Retry is 0
	maxRetryBurst       = 100 // after a time without failures
)

// routeBudgets holds the retry budgets by route. The zero value works.
type routeBudgets struct{ byRoute sync.Map }

// routeBudget holds the retries of a route. Refused calls, which cost no server work,
// leave those of broken ones alone.
type routeBudget struct{ rejected, failed tokenBucket }

// countRequest counts a first attempt of a route whose Retry is the given percentage.
func (b *routeBudget) countRequest(percent int) {
	b.rejected.deposit(percent)
	b.failed.deposit(percent)
}

// tokenBucket is a token bucket filled by first attempts and by time.
type tokenBucket struct {
	mutex         sync.Mutex
	requestTokens float64 // by first attempts
	timeTokens    float64 // by time
	last          time.Time
}

func (b *routeBudgets) get(route string) *routeBudget {
	if v, ok := b.byRoute.Load(route); ok {
		return v.(*routeBudget)
	}
	v, _ := b.byRoute.LoadOrStore(route, &routeBudget{rejected: tokenBucket{timeTokens: minRetriesPerSecond}, failed: tokenBucket{timeTokens: minRetriesPerSecond}})
	return v.(*routeBudget)
}

// deposit fills the bucket by a part of a token.
func (b *tokenBucket) deposit(percent int) {
	b.mutex.Lock()
	b.requestTokens = min(b.requestTokens+float64(percent)/100, maxRetryBurst)
	b.mutex.Unlock()
}

// take takes a token; false means that the budget is spent.
func (b *tokenBucket) take(percent int, clock clockwork.Clock) bool {
	if percent == 0 {
		return false
	}
	now := thclock.Or(clock).Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.last.IsZero() {
		b.timeTokens = min(b.timeTokens+now.Sub(b.last).Seconds()*minRetriesPerSecond, minRetriesPerSecond)
	}
	b.last = now
	switch {
	case b.requestTokens >= 1:
		b.requestTokens--
	case b.timeTokens >= 1:
		b.timeTokens--
	default:
		return false
	}
	return true
}
