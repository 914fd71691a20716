// Package thonce makes requests with an idempotency key run at most once.
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
	// DefaultRate is the number of claims a second of one daemon. It keeps the
	// fleet within its share of the table service.
	DefaultRate = 20
	maxKey      = 128             // length of a key, in bytes
	storeWait   = time.Second     // for one write to the store
	settleTries = 3               // a lost settlement leaves the outcome of the key unknown
	settlePause = 2 * time.Second // between tries
	maxSettling = 256             // settlements in progress; more are dropped
)

// Guard claims idempotency keys. The fields are set before the first call.
type Guard struct {
	Store Claims
	Clock clockwork.Clock
	Rate  float64 // claims a second; zero means DefaultRate

	once     sync.Once
	limit    *rate.Limiter
	settling chan struct{}
	group    sync.WaitGroup
}

// Ticket is a claim that this daemon holds. Exactly one of Settle and Release
// takes effect; with neither, the outcome of the key stays unknown.
type Ticket struct {
	guard *Guard
	claim thstore.Claim
	used  sync.Once
}

// CheckKey checks the syntax of a key: 1 to 128 visible ASCII characters.
func CheckKey(key string) error {
	if len(key) == 0 || len(key) > maxKey {
		return therror.New(therror.Bad, "idempotency key has %d characters, not 1 to %d", len(key), maxKey)
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
	g.limit = rate.NewLimiter(rate.Limit(r), max(1, int(r)))
	g.settling = make(chan struct{}, maxSettling)
}

// Begin claims a key immediately before the dispatch. Errors are of kind Bad,
// Limited, Repeat (see Recorded) or Down; after any of them the call must not
// be dispatched.
func (g *Guard) Begin(ctx context.Context, route, key string) (*Ticket, error) {
	if err := CheckKey(key); err != nil {
		return nil, err
	}
	g.once.Do(g.init)
	now := thclock.OrSystem(g.Clock).Now()
	place := g.limit.ReserveN(now, 1)
	if place.DelayFrom(now) > 0 {
		place.CancelAt(now)
		return nil, therror.New(therror.Limited, "more than %.0f claims a second", float64(g.limit.Limit())).WithRetryAfter(time.Second)
	}
	t := &Ticket{guard: g, claim: thstore.Claim{Route: route, Key: key, Token: rand.Text()}}
	wait, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	err := g.Store.Claim(wait, t.claim)
	switch k := therror.KindOf(err); k {
	case "":
		return t, nil
	case therror.Down:
		// Nothing was written, so the claim does not count: with the platform
		// down, callers are told so instead of hearing of a limit.
		place.CancelAt(now)
		return nil, err
	case therror.Repeat, therror.Limited:
		return nil, err
	}
	// The claim may exist, but nothing was dispatched. Releasing it lets the
	// caller use the key again.
	t.Release()
	return nil, therror.Wrap(therror.Down, err, "claim not confirmed").WithRetryAfter(time.Second)
}

// Recorded returns the status that is recorded for a repeated key, if the
// earlier call was answered.
func Recorded(err error) (int, bool) {
	var c *thstore.ClaimedError
	if errors.As(err, &c) && c.Claim.Done {
		return c.Claim.Status, true
	}
	return 0, false
}

// Settle records the status of the answer without making the caller wait.
func (t *Ticket) Settle(status int) {
	t.used.Do(func() {
		c := t.claim
		c.Status, c.Done = status, true
		select {
		case t.guard.settling <- struct{}{}:
		default:
			return
		}
		t.guard.group.Go(func() {
			defer func() { <-t.guard.settling }()
			t.guard.settle(c)
		})
	})
}

func (g *Guard) settle(c thstore.Claim) {
	clock := thclock.OrSystem(g.Clock)
	for try := range settleTries {
		if try > 0 {
			clock.Sleep(settlePause)
		}
		ctx, cancel := context.WithTimeout(context.Background(), storeWait)
		err := g.Store.Settle(ctx, c)
		cancel()
		if err == nil {
			return
		}
	}
}

// Release frees the key of a call that certainly did not run. It waits for
// the store, so that a retry elsewhere finds the key free.
func (t *Ticket) Release() {
	t.used.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeWait)
		defer cancel()
		// A claim that cannot be released only makes a later use of the key
		// report an unknown outcome.
		_ = t.guard.Store.Release(ctx, t.claim)
	})
}

// Wait returns when all settlements in progress have ended.
func (g *Guard) Wait() { g.group.Wait() }
