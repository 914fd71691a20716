package thplatform_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmemory"
	"github.com/turmerichaven/turmerichaven/thplatform"
)

var (
	headKey  = thplatform.Key{Partition: "config", Sort: "head"}
	claimKey = thplatform.Key{Partition: thplatform.ClaimPrefix + "r", Sort: "k"}
)

// newGuard returns a guarded fake whose clock jumps to the next timer whenever
// somebody waits for it.
func newGuard(t *testing.T) (*thplatform.GuardedTable, *thmemory.Table, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	table := &thmemory.Table{}
	return &thplatform.GuardedTable{Guard: thplatform.Guard{Clock: clock, Timeout: time.Hour}, Table: table}, table, clock
}

func advance(t *testing.T, clock *clockwork.FakeClock) {
	t.Helper()
	go func() {
		// An attempt holds one timer for its timeout; backoff comes after it.
		for clock.BlockUntilContext(t.Context(), 1) == nil {
			clock.Advance(time.Second)
		}
	}()
}

// Guards against a daemon that keeps loading a dead platform, or never comes back to it.
func TestBreakerOpensAndCloses(t *testing.T) {
	g, table, clock := newGuard(t)
	op := thplatform.Op{Item: thplatform.Item{Key: claimKey}}
	table.SetFaults(thmemory.Faults{Lost: true}) // a result that is not retried
	for range 5 {
		assert.Equal(t, g.Stats().Breaker, thplatform.BreakerClosed)
		assert.Assert(t, therror.Is(g.Write(t.Context(), op), therror.Unknown))
	}
	refused := func() {
		t.Helper()
		before := table.Counts()
		_, err := g.Get(t.Context(), claimKey)
		assert.Assert(t, therror.Is(err, therror.Down))
		assert.Assert(t, therror.RetryAfter(err) > 0)
		assert.Equal(t, table.Counts(), before)
		assert.Equal(t, g.Stats().Breaker, thplatform.BreakerOpen)
	}
	refused()
	clock.Advance(2 * time.Second)
	assert.Assert(t, therror.Is(g.Write(t.Context(), op), therror.Unknown)) // the probe fails
	refused()

	table.SetFaults(thmemory.Faults{})
	clock.Advance(2 * time.Second)
	assert.NilError(t, g.Write(t.Context(), op))
	assert.Equal(t, g.Stats().Breaker, thplatform.BreakerClosed)
	assert.Equal(t, g.Stats().Failures, uint64(6))
}

// Guards against a write that runs twice because its lost answer was taken for a refusal.
func TestOnlyProvenFailuresAreRetried(t *testing.T) {
	g, table, clock := newGuard(t)
	advance(t, clock)
	op := thplatform.Op{Item: thplatform.Item{Key: claimKey}}
	table.SetFaults(thmemory.Faults{Lost: true})
	assert.Assert(t, therror.Is(g.Write(t.Context(), op), therror.Unknown))
	assert.Equal(t, table.Counts().Writes, uint64(1))
	table.SetFaults(thmemory.Faults{Fail: true})
	assert.Assert(t, therror.Is(g.Write(t.Context(), op), therror.Down))
	assert.Equal(t, table.Counts().Writes, uint64(4))
}

// stuck is a table service that never answers a write, or fails it.
type stuck struct {
	thmemory.Table
	fail bool
}

func (s *stuck) Write(ctx context.Context, _ ...thplatform.Op) error {
	if s.fail {
		return therror.New(therror.Unknown, "no answer")
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against an attempt without a deadline, and against a timeout of a
// write that is reported as if nothing had been written.
func TestTimeoutOfWriteIsUnknown(t *testing.T) {
	g := &thplatform.GuardedTable{Guard: thplatform.Guard{Timeout: time.Millisecond}, Table: &stuck{}}
	err := g.Write(t.Context(), thplatform.Op{Item: thplatform.Item{Key: headKey}})
	assert.Assert(t, therror.Is(err, therror.Unknown), "%v", err)
}

// Guards against a breaker that stays open for ever because the caller of its
// probe gave up, and against callers who give up being taken for an outage.
func TestBreakerIgnoresCallersThatGiveUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &stuck{}
	g := &thplatform.GuardedTable{Guard: thplatform.Guard{Clock: clock}, Table: table}
	op := thplatform.Op{Item: thplatform.Item{Key: claimKey}}
	giveUp := func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		assert.Assert(t, therror.Is(g.Write(ctx, op), therror.Unknown))
	}
	for range 6 {
		giveUp()
	}
	assert.Equal(t, g.Stats().Breaker, thplatform.BreakerClosed)
	table.fail = true
	for range 5 {
		assert.Assert(t, therror.Is(g.Write(t.Context(), op), therror.Unknown))
	}
	assert.Equal(t, g.Stats().Breaker, thplatform.BreakerOpen)
	table.fail = false
	clock.Advance(2 * time.Second)
	giveUp() // the probe
	_, err := g.Get(t.Context(), claimKey)
	assert.NilError(t, err)
	assert.Equal(t, g.Stats().Breaker, thplatform.BreakerClosed)
}

// Guards against retries that multiply the load on a throttling platform.
func TestRetryBudget(t *testing.T) {
	g, table, clock := newGuard(t)
	advance(t, clock)
	table.SetFaults(thmemory.Faults{Rate: 1e-9})
	const calls = 200
	for range calls {
		_, err := g.Get(t.Context(), claimKey)
		assert.Assert(t, err == nil || therror.Is(err, therror.Limited), "%v", err)
	}
	// 20% of the calls and the initial allowance.
	assert.Assert(t, table.Counts().Reads <= calls*120/100+10, "%d reads", table.Counts().Reads)
}

// Guards against a daemon that exceeds its share of the platform, and against
// claims that are held up by it.
func TestRateCeiling(t *testing.T) {
	g, table, _ := newGuard(t)
	op := thplatform.Op{Item: thplatform.Item{Key: headKey}}
	for range 8 {
		assert.NilError(t, g.Write(t.Context(), op))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	err := g.Write(ctx, op)
	assert.Assert(t, therror.Is(err, therror.Limited), "%v", err)
	assert.Assert(t, therror.RetryAfter(err) > 0)
	assert.Equal(t, table.Counts().Writes, uint64(8))
	assert.NilError(t, g.Write(t.Context(), thplatform.Op{Item: thplatform.Item{Key: claimKey}}))
}

// Pattern: an operator asks for the status of a daemon that makes its first call to
// the platform. Guards against a guard that is read while it sets itself up.
func TestStatsBesideTheFirstCall(t *testing.T) {
	for range 100 {
		g := &thplatform.GuardedTable{Table: &thmemory.Table{}}
		ended := make(chan error, 1)
		go func() {
			_, err := g.Get(t.Context(), headKey)
			ended <- err
		}()
		assert.Equal(t, g.Stats().Breaker, thplatform.BreakerClosed)
		assert.NilError(t, <-ended)
	}
}
