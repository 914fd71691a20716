package thplatform

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	attemptTimeout = time.Second
	maxAttempts    = 3
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxRateWait    = time.Second // longer waits for the rate limiter fail with kind Limited

	readRate   = 8 // requests per second and daemon
	readBurst  = 16
	writeRate  = 2
	writeBurst = 8

	// Each request adds a fifth of a retry to the budget, so retries add at most
	// 20% load. The initial budget is for short-lived commands, which send too few
	// requests to earn retries.
	retryBudgetPerRequest = 0.2
	initialRetryBudget    = 3
	maxRetryBudget        = 10
)

// Stats holds the counters of a Guard and the state of its circuit breaker.
type Stats struct {
	Reads, Writes uint64 // attempts sent, including retries
	Failures      uint64 // attempts without a response or with an internal server error
	Limited       uint64 // attempts rejected by the service or by the local rate limit
	Breaker       string // BreakerClosed, BreakerOpen or BreakerProbing
}

// Guard limits the load that this process puts on a platform service and the time
// that it waits for the service: a timeout for each attempt, retries with full
// jitter under a retry budget, a circuit breaker and a rate limit. The zero value
// is ready to use; set the exported fields before the first request.
type Guard struct {
	Clock   clockwork.Clock // nil means the system clock
	Log     hclog.Logger    // nil means no log
	Timeout time.Duration   // of one attempt; zero means 1 s
	// Observe, if not nil, is called with the result of each attempt. The kind is
	// empty for success.
	Observe func(write bool, kind therror.Kind, elapsed time.Duration)

	once          sync.Once
	reads, writes *rate.Limiter
	breaker       breaker
	mutex         sync.Mutex
	retryBudget   float64
	counters      struct{ reads, writes, failures, limited atomic.Uint64 }
}

// request is a platform request that Guard.do sends.
type request struct {
	write     bool
	unlimited bool // exempt from the rate limit
	send      func(ctx context.Context) error
}

func (g *Guard) initialise() {
	g.once.Do(func() {
		g.Clock = thclock.OrSystem(g.Clock)
		if g.Log == nil {
			g.Log = hclog.NewNullLogger()
		}
		if g.Timeout == 0 {
			g.Timeout = attemptTimeout
		}
		g.reads = rate.NewLimiter(readRate, readBurst)
		g.writes = rate.NewLimiter(writeRate, writeBurst)
		g.retryBudget = initialRetryBudget
	})
}

// Stats returns the current counters and breaker state. It may be called
// concurrently with requests.
func (g *Guard) Stats() Stats {
	g.initialise()
	return Stats{
		Reads: g.counters.reads.Load(), Writes: g.counters.writes.Load(),
		Failures: g.counters.failures.Load(), Limited: g.counters.limited.Load(),
		Breaker: g.breaker.stateAt(g.Clock.Now()),
	}
}

// do sends a request with retries. Only errors of kind Down and Limited are
// retried, since they prove that nothing was written.
func (g *Guard) do(ctx context.Context, req request) error {
	g.initialise()
	g.earnRetry()
	for n := 1; ; n++ {
		if ctx.Err() != nil {
			return therror.Wrap(therror.Down, ctx.Err(), "platform request not sent")
		}
		if ok, wait := g.breaker.allow(g.Clock.Now()); !ok {
			return therror.New(therror.Down, "platform unavailable, circuit breaker is open").WithRetryAfter(wait)
		}
		if err := g.waitForToken(ctx, req); err != nil {
			g.breaker.record(g.Clock.Now(), resultNone)
			return err
		}
		err := g.attempt(ctx, req)
		if err == nil || n >= maxAttempts || !isRetryable(err) || !g.spendRetry() {
			return err
		}
		backoff := min(maxBackoff, initialBackoff<<(n-1))
		if !g.sleep(ctx, rand.N(backoff)) {
			return err
		}
	}
}

func isRetryable(err error) bool {
	k := therror.KindOf(err)
	return k == therror.Down || k == therror.Limited
}

// attempt sends the request once and records the result in the counters and the
// breaker.
func (g *Guard) attempt(ctx context.Context, req request) error {
	if req.write {
		g.counters.writes.Add(1)
	} else {
		g.counters.reads.Add(1)
	}
	attemptCtx, cancel := clockwork.WithTimeout(ctx, g.Clock, g.Timeout)
	defer cancel()
	start := g.Clock.Now()
	err := withOutcomeKind(req.send(attemptCtx), req.write)
	if g.Observe != nil {
		g.Observe(req.write, therror.KindOf(err), g.Clock.Since(start))
	}
	r := resultResponded
	switch therror.KindOf(err) {
	case therror.Down, therror.Unknown:
		r = resultFailed
		if ctx.Err() != nil {
			r = resultNone
		} else {
			g.counters.failures.Add(1)
		}
	case therror.Limited:
		g.counters.limited.Add(1)
	}
	switch changed := g.breaker.record(g.Clock.Now(), r); {
	case changed && err != nil:
		g.Log.Warn("circuit breaker opened", "error", err)
	case changed:
		g.Log.Info("circuit breaker closed")
	}
	return err
}

// withOutcomeKind turns errors that leave the outcome open into kind Unknown for
// writes and kind Down for reads.
func withOutcomeKind(err error, write bool) error {
	switch therror.KindOf(err) {
	case therror.Late, therror.Cancelled, therror.Broken, therror.Internal, therror.Unknown:
		if write {
			return therror.Wrap(therror.Unknown, err, "write failed, outcome unknown")
		}
		return therror.Wrap(therror.Down, err, "read failed")
	}
	return err
}

// waitForToken waits up to maxRateWait for the rate limiter, and returns an error
// of kind Limited if that is not enough or ctx ends first.
func (g *Guard) waitForToken(ctx context.Context, req request) error {
	if req.unlimited {
		return nil
	}
	limiter := g.reads
	if req.write {
		limiter = g.writes
	}
	now := g.Clock.Now()
	r := limiter.ReserveN(now, 1)
	d := r.DelayFrom(now)
	if d == 0 {
		return nil
	}
	if d <= maxRateWait && g.sleep(ctx, d) {
		return nil
	}
	r.CancelAt(now)
	g.counters.limited.Add(1)
	return therror.New(therror.Limited, "rate limit of this process for platform requests reached").WithRetryAfter(d)
}

// sleep waits for d and reports false if ctx ended first.
func (g *Guard) sleep(ctx context.Context, d time.Duration) bool {
	t := g.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// earnRetry adds the share of one request to the retry budget.
func (g *Guard) earnRetry() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.retryBudget = min(maxRetryBudget, g.retryBudget+retryBudgetPerRequest)
}

// spendRetry takes one retry from the budget and reports whether there was one.
func (g *Guard) spendRetry() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.retryBudget < 1 {
		return false
	}
	g.retryBudget--
	return true
}
