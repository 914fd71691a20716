// Package thonce ensures that a request with an idempotency key runs at most once.
package thonce

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// Limits of a Guard.
const (
	// DefaultRate is the default limit on claims of one daemon, per second. It
	// keeps the fleet within its share of the table service.
	DefaultRate          = 20
	maxKeyBytes          = 128             // maximum length of a key
	storeTimeout         = time.Second     // timeout of one write to the store
	maxSettleAttempts    = 3               // if all fail, the outcome of the key stays unknown
	settleRetryDelay     = 2 * time.Second // between attempts
	maxConcurrentSettles = 256             // settlements above this are dropped
)

// Guard claims idempotency keys. Set the exported fields before the first call.
type Guard struct {
	Store ClaimStore
	Clock clockwork.Clock
	Rate  float64 // limit on claims per second; zero means DefaultRate

	once        sync.Once
	limiter     *rate.Limiter
	settleSlots chan struct{}
	wg          sync.WaitGroup
}

// Ticket is a claim that this daemon holds. Only the first call of Settle or Release
// takes effect; without one the outcome of the key stays unknown.
type Ticket struct {
	guard *Guard
	claim thstore.Claim
	used  sync.Once
}

// CheckKey checks that a key has 1 to 128 visible ASCII characters. The error is of
// kind Bad.
func CheckKey(key string) error {
	if len(key) == 0 || len(key) > maxKeyBytes {
		return therror.New(therror.Bad, "idempotency key has %d bytes, not 1 to %d", len(key), maxKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return therror.New(therror.Bad, "idempotency key has a character that is not visible ASCII at position %d", i)
		}
	}
	return nil
}

func (g *Guard) init() {
	r := g.Rate
	if r <= 0 {
		r = DefaultRate
	}
	g.limiter = rate.NewLimiter(rate.Limit(r), max(1, int(r)))
	g.settleSlots = make(chan struct{}, maxConcurrentSettles)
}

// Claim claims a key of a route. It is called immediately before the dispatch.
// Errors are of kind Bad, Limited, Repeat (see RecordedStatus) or Down; after an
// error the call must not be dispatched.
func (g *Guard) Claim(ctx context.Context, route, key string) (*Ticket, error) {
	if err := CheckKey(key); err != nil {
		return nil, err
	}
	g.once.Do(g.init)
	now := thclock.OrSystem(g.Clock).Now()
	reservation := g.limiter.ReserveN(now, 1)
	if reservation.DelayFrom(now) > 0 {
		reservation.CancelAt(now)
		return nil, therror.New(therror.Limited, "more than %.0f claims a second", float64(g.limiter.Limit())).WithRetryAfter(time.Second)
	}
	t := &Ticket{guard: g, claim: thstore.Claim{Route: route, Key: key, Token: rand.Text()}}
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := g.Store.Claim(storeCtx, t.claim)
	switch k := therror.KindOf(err); k {
	case "":
		return t, nil
	case therror.Down:
		// Nothing was written, so the claim does not count towards the limit.
		// During an outage of the platform callers then get the kind Down, not
		// Limited.
		reservation.CancelAt(now)
		return nil, err
	case therror.Repeat, therror.Limited:
		return nil, err
	}
	// The claim may have been written, but the call was not dispatched. Releasing
	// the claim lets the caller retry with the same key.
	t.Release()
	return nil, therror.Wrap(therror.Down, err, "claim not confirmed").WithRetryAfter(time.Second)
}

// RecordedStatus returns the HTTP status in an error of kind Repeat, and false if
// no response to the earlier call has been recorded.
func RecordedStatus(err error) (int, bool) {
	var c *thstore.ClaimedError
	if errors.As(err, &c) && c.Claim.Done {
		return c.Claim.Status, true
	}
	return 0, false
}

// Settle records the status of the response in the background. It drops the record
// when too many settlements are in progress.
func (t *Ticket) Settle(status int) {
	t.used.Do(func() {
		c := t.claim
		c.Status, c.Done = status, true
		select {
		case t.guard.settleSlots <- struct{}{}:
		default:
			return
		}
		t.guard.wg.Go(func() {
			defer func() { <-t.guard.settleSlots }()
			t.guard.settle(c)
		})
	})
}

func (g *Guard) settle(c thstore.Claim) {
	clock := thclock.OrSystem(g.Clock)
	for attempt := range maxSettleAttempts {
		if attempt > 0 {
			clock.Sleep(settleRetryDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := g.Store.Settle(ctx, c)
		cancel()
		if err == nil {
			return
		}
	}
}

// Release frees the key of a call that has certainly not run. It waits for the
// store, so that a retry through another daemon finds the key free.
func (t *Ticket) Release() {
	t.used.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		// If this fails, a later use of the key only reports an unknown outcome.
		_ = t.guard.Store.Release(ctx, t.claim)
	})
}

// Wait blocks until all settlements in progress have ended.
func (g *Guard) Wait() { g.wg.Wait() }
