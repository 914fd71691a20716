package therror

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a kind that is used but has no answer in the table.
func TestEveryKindHasAnAnswer(t *testing.T) {
	for k, a := range responses {
		assert.Assert(t, a.Status >= 400 && a.ExitCode > 0, "kind %s", k)
		assert.Assert(t, !a.Retryable || a.NotRun, "kind %s invites a retry without proof that nothing ran", k)
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

// Guards against context errors that are reported as faults of the program.
func TestKindOfContextErrors(t *testing.T) {
	assert.Equal(t, KindOf(context.Canceled), Cancelled)
	assert.Equal(t, KindOf(context.DeadlineExceeded), Late)
	assert.Equal(t, KindOf(nil), Kind(""))
}
