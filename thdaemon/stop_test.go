package thdaemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thsettings"
)

// Platforms kill a stopping process after 6 or 10 seconds, and requests take up to
// five. Guards against cancelling requests that the platform would wait for (one
// started 0.7 s after the signal was cancelled 5.5 s into a limit of 10 s), and
// against a stop that exceeds the platform's limit.
func TestGracePeriodFollowsPlatformLimit(t *testing.T) {
	for _, c := range []struct{ limit, notice, want time.Duration }{
		{0, 2200 * time.Millisecond, 3300 * time.Millisecond}, // no limit set
		{6 * time.Second, 2200 * time.Millisecond, 3300 * time.Millisecond},
		{10 * time.Second, 2200 * time.Millisecond, 7300 * time.Millisecond},
		{2 * time.Second, 2200 * time.Millisecond, 0},
	} {
		got := gracePeriod(thsettings.StopSettings{Notice: c.notice, Grace: 3300 * time.Millisecond, Limit: c.limit})
		assert.Equal(t, got, c.want, "limit %s", c.limit)
		assert.Assert(t, c.limit == 0 || got == 0 || c.notice+got < c.limit)
	}
}
