package thproxy

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Limits of the retry budget of a route, in retries.
const (
	minRetriesPerSecond = 3   // allowed without any requests, unless the route's Retry is 0
	maxRetryBurst       = 100 // largest burst after a period without failures
)

// routeBudgets holds the retry budgets by route. The zero value is ready to use.
type routeBudgets struct{ byRoute sync.Map }

// routeBudget is the retry budget of a route. Retries of rejected attempts, which
// cost no server work, don't use up the budget of failed ones.
type routeBudget struct{ rejected, failed tokenBucket }

// countRequest counts a first attempt. percent is the Retry of the route.
func (b *routeBudget) countRequest(percent int) {
	b.rejected.deposit(percent)
	b.failed.deposit(percent)
}

// tokenBucket is filled by first attempts and over time.
type tokenBucket struct {
	mutex         sync.Mutex
	requestTokens float64 // from first attempts, up to maxRetryBurst
	timeTokens    float64 // from elapsed time, up to minRetriesPerSecond
	last          time.Time
}

func (b *routeBudgets) get(route string) *routeBudget {
	if v, ok := b.byRoute.Load(route); ok {
		return v.(*routeBudget)
	}
	v, _ := b.byRoute.LoadOrStore(route, &routeBudget{rejected: tokenBucket{timeTokens: minRetriesPerSecond}, failed: tokenBucket{timeTokens: minRetriesPerSecond}})
	return v.(*routeBudget)
}

// deposit adds percent/100 of a token for a first attempt.
func (b *tokenBucket) deposit(percent int) {
	b.mutex.Lock()
	b.requestTokens = min(b.requestTokens+float64(percent)/100, maxRetryBurst)
	b.mutex.Unlock()
}

// take removes a token. It returns false if there is none, or if percent is 0.
func (b *tokenBucket) take(percent int, clock clockwork.Clock) bool {
	if percent == 0 {
		return false
	}
	now := thclock.OrSystem(clock).Now()
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
