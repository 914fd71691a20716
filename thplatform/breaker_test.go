package thplatform

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an idle daemon that reports a platform outage long after it
// ended, because an open breaker closes only through a request.
func TestOpenBreakerGetsStale(t *testing.T) {
	var b breaker
	now := time.Unix(1_800_000_000, 0)
	for range breakerThreshold {
		b.record(now, resultFailed)
	}
	assert.Equal(t, b.stateAt(now), BreakerOpen)
	assert.Equal(t, b.stateAt(now.Add(breakerStaleAfter)), BreakerOpen)
	assert.Equal(t, b.stateAt(now.Add(2*breakerStaleAfter)), BreakerClosed)
	admitted, _ := b.allow(now.Add(2 * breakerStaleAfter))
	assert.Assert(t, admitted)
	b.record(now.Add(2*breakerStaleAfter), resultFailed)
	assert.Equal(t, b.stateAt(now.Add(2*breakerStaleAfter)), BreakerOpen)
}
