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
	firstBackoff   = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxRateWait    = time.Second // longest wait for a token before kind Limited

	readRate   = 8 // per second and daemon
	readBurst  = 16
	writeRate  = 2
	writeBurst = 8

	// Each request earns a fifth of a retry, so retries add at most 20% load.
	// A short-lived command needs some before it has earned any.
	budgetShare = 0.2
	budgetStart = 3
	budgetMax   = 10
)

// Stats counts what a guard let through to the service.
type Stats struct {
	Reads, Writes uint64 // attempts, retries included
	Failures      uint64 // attempts that got no answer or an internal fault
	Limited       uint64 // attempts refused by the service or by the rate ceiling
	Breaker       string
}

// Guard protects a platform service from this daemon, and the daemon from the
// service: a timeout for each attempt, retries with full jitter under a retry
// budget, a circuit breaker and a rate ceiling. Use the zero value.
type Guard struct {
	Clock   clockwork.Clock
	Log     hclog.Logger
	Timeout time.Duration // of one attempt; zero means 1 s
	// Observe takes the result of each attempt, with an empty kind for success;
	// nil takes none.
	Observe func(write bool, kind therror.Kind, elapsed time.Duration)

	once          sync.Once
	reads, writes *rate.Limiter
	breaker       breaker
	mutex         sync.Mutex
	budget        float64
	counts        struct{ reads, writes, failures, limited atomic.Uint64 }
}

// call describes a request to the guard.
type call struct {
	write bool
	free  bool // not counted against the rate ceiling
	run   func(ctx context.Context) error
}

func (g *Guard) start() {
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
		g.budget = budgetStart
	})
}

// Stats returns the counters and the state of the breaker.
func (g *Guard) Stats() Stats {
	g.start()
	return Stats{
		Reads: g.counts.reads.Load(), Writes: g.counts.writes.Load(),
		Failures: g.counts.failures.Load(), Limited: g.counts.limited.Load(),
		Breaker: g.breaker.current(g.Clock.Now()),
	}
}

// do runs a call with retries. Only kinds Down and Limited are retried: they
// prove that nothing was written.
func (g *Guard) do(ctx context.Context, c call) error {
	g.start()
	g.earn()
	for n := 1; ; n++ {
		if ctx.Err() != nil {
			return therror.Wrap(therror.Down, ctx.Err(), "nothing was sent to the platform")
		}
		if ok, wait := g.breaker.admit(g.Clock.Now()); !ok {
			return therror.New(therror.Down, "platform unavailable, circuit breaker is open").WithRetryAfter(wait)
		}
		if err := g.wait(ctx, c); err != nil {
			g.breaker.record(g.Clock.Now(), resultNone)
			return err
		}
		err := g.attempt(ctx, c)
		if err == nil || n >= maxAttempts || !repeatable(err) || !g.spend() {
			return err
		}
		backoff := min(maxBackoff, firstBackoff<<(n-1))
		if !g.sleep(ctx, rand.N(backoff)) {
			return err
		}
	}
}

func repeatable(err error) bool {
	k := therror.KindOf(err)
	return k == therror.Down || k == therror.Limited
}

// attempt sends a call once and tells the breaker about the result.
func (g *Guard) attempt(ctx context.Context, c call) error {
	if c.write {
		g.counts.writes.Add(1)
	} else {
		g.counts.reads.Add(1)
	}
	inner, cancel := clockwork.WithTimeout(ctx, g.Clock, g.Timeout)
	defer cancel()
	begin := g.Clock.Now()
	err := withKind(c.run(inner), c.write)
	if g.Observe != nil {
		g.Observe(c.write, therror.KindOf(err), g.Clock.Since(begin))
	}
	r := resultAlive
	switch therror.KindOf(err) {
	case therror.Down, therror.Unknown:
		r = resultFailed
		if ctx.Err() != nil {
			r = resultNone
		} else {
			g.counts.failures.Add(1)
		}
	case therror.Limited:
		g.counts.limited.Add(1)
	}
	switch changed := g.breaker.record(g.Clock.Now(), r); {
	case changed && err != nil:
		g.Log.Warn("circuit breaker opened", "error", err)
	case changed:
		g.Log.Info("circuit breaker closed")
	}
	return err
}

// withKind turns errors without proof of the outcome into Unknown for writes
// and Down for reads.
func withKind(err error, write bool) error {
	switch therror.KindOf(err) {
	case therror.Late, therror.Cancelled, therror.Broken, therror.Internal, therror.Unknown:
		if write {
			return therror.Wrap(therror.Unknown, err, "write without a result")
		}
		return therror.Wrap(therror.Down, err, "read failed")
	}
	return err
}

// wait takes a token from the rate ceiling.
func (g *Guard) wait(ctx context.Context, c call) error {
	if c.free {
		return nil
	}
	limiter := g.reads
	if c.write {
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
	g.counts.limited.Add(1)
	return therror.New(therror.Limited, "rate ceiling of this process for the platform reached").WithRetryAfter(d)
}

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

func (g *Guard) earn() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budget = min(budgetMax, g.budget+budgetShare)
}

func (g *Guard) spend() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.budget < 1 {
		return false
	}
	g.budget--
	return true
}
