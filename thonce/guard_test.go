package thonce

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// fakeClaims is a ClaimStore in memory. Claim returns fail after the write.
type fakeClaims struct {
	mutex sync.Mutex
	held  map[string]thstore.Claim
	fail  error
}

func (f *fakeClaims) Claim(_ context.Context, c thstore.Claim) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if old, ok := f.held[c.Key]; ok {
		return therror.Wrap(therror.Repeat, &thstore.ClaimedError{Claim: old}, "claim")
	}
	if f.held == nil {
		f.held = make(map[string]thstore.Claim)
	}
	f.held[c.Key] = c
	return f.fail
}

func (f *fakeClaims) Settle(_ context.Context, c thstore.Claim) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.held[c.Key] = c
	return nil
}

func (f *fakeClaims) Release(_ context.Context, c thstore.Claim) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.held[c.Key].Token == c.Token {
		delete(f.held, c.Key)
	}
	return nil
}

// Guards against a key whose call is dispatched twice, and against a key that stays
// claimed although its call did not run.
func TestRepeatedKey(t *testing.T) {
	g := &Guard{Store: &fakeClaims{}}
	first, err := g.Claim(t.Context(), "r", "k")
	assert.NilError(t, err)
	_, err = g.Claim(t.Context(), "r", "k")
	assert.Assert(t, therror.Is(err, therror.Repeat) && !therror.IsNotRun(err))
	_, ok := RecordedStatus(err)
	assert.Assert(t, !ok)
	first.Release()
	second, err := g.Claim(t.Context(), "r", "k")
	assert.NilError(t, err)
	second.Settle(201)
	second.Release() // has no effect after Settle
	g.Wait()
	_, err = g.Claim(t.Context(), "r", "k")
	status, ok := RecordedStatus(err)
	assert.Assert(t, ok && status == 201)
}

// Guards against a dispatch without a confirmed claim, and against a key that stays
// claimed after it.
func TestUnconfirmedClaim(t *testing.T) {
	for _, k := range []therror.Kind{therror.Unknown, therror.Down, therror.Limited, therror.Late} {
		f := &fakeClaims{fail: therror.New(k, "lost")}
		g := &Guard{Store: f}
		_, err := g.Claim(t.Context(), "r", "k")
		assert.Assert(t, therror.IsNotRun(err), "%s gives %v", k, err)
		if k == therror.Unknown || k == therror.Late {
			assert.Equal(t, len(f.held), 0)
		}
	}
}

// Guards against a daemon that exceeds its share of the table service.
func TestRateLimit(t *testing.T) {
	g := &Guard{Store: &fakeClaims{}, Clock: clockwork.NewFakeClock()}
	for i := range DefaultRate {
		_, err := g.Claim(t.Context(), "r", strings.Repeat("k", i+1))
		assert.NilError(t, err)
	}
	_, err := g.Claim(t.Context(), "r", "one-more")
	assert.Assert(t, therror.Is(err, therror.Limited) && therror.RetryAfter(err) > 0)
}

// Guards against reporting an outage of the platform to callers as a rate limit.
func TestOutageTakesNoRate(t *testing.T) {
	store := &fakeClaims{fail: therror.New(therror.Down, "breaker is open")}
	g := &Guard{Store: store, Clock: clockwork.NewFakeClock(), Rate: 2}
	for i := range 10 {
		_, err := g.Claim(t.Context(), "r", strings.Repeat("k", i+1))
		assert.Assert(t, therror.Is(err, therror.Down), "%v", err)
	}
	store.fail = nil
	_, err := g.Claim(t.Context(), "r", "other")
	assert.NilError(t, err)
}

// Guards against keys that cannot be written to the store or a log line.
func TestKeySyntax(t *testing.T) {
	for key, ok := range map[string]bool{
		"": false, "a": true, "~!": true, "a b": false, "a\n": false, "\u00e9": false, "\x7f": false,
		strings.Repeat("k", 128): true, strings.Repeat("k", 129): false,
	} {
		assert.Equal(t, CheckKey(key) == nil, ok, "%q", key)
	}
}
