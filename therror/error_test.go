package therror

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against incomplete or contradictory entries of the responses table.
func TestEveryKindHasAResponse(t *testing.T) {
	for k, r := range responses {
		assert.Assert(t, r.Status >= 400 && r.ExitCode > 0, "kind %s", k)
		assert.Assert(t, !r.Retryable || r.NotRun, "kind %s is retryable without proof that nothing ran", k)
	}
	assert.Equal(t, ResponseTo("no-such-kind"), responses[Internal])
}

// Guards against a wrapped error that loses its kind or its retry time.
func TestKindSurvivesWrapping(t *testing.T) {
	err := fmt.Errorf("outer: %w", Wrap(Down, errors.New("dial"), "peer %s", "a").WithRetryAfter(time.Second))
	assert.Equal(t, KindOf(err), Down)
	assert.Assert(t, IsNotRun(err))
	assert.Equal(t, RetryAfter(err), time.Second)
	assert.ErrorContains(t, err, "down: peer a: dial")
}

// Guards against context errors that are reported as internal errors.
func TestKindOfContextErrors(t *testing.T) {
	assert.Equal(t, KindOf(context.Canceled), Cancelled)
	assert.Equal(t, KindOf(context.DeadlineExceeded), Late)
	assert.Equal(t, KindOf(nil), Kind(""))
}

// Guards against an error without any message, where the failure has no cause of its own.
func TestWrapWithoutCauseKeepsTheMessage(t *testing.T) {
	assert.Equal(t, Wrap(Broken, nil, "gave up after %d bytes", 7).Error(), "broken: gave up after 7 bytes")
}
