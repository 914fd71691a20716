package thdaemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thsettings"
)

// Pattern: platforms that kill a stopping process after 6 or 10 seconds, and
// requests that take up to five. Guards against requests that are cut although the
// platform would wait for them (roster-view of the large site, begun 0.7 s after
// the signal, cut after 5.5 s of 10), and against a stop that outlasts its limit.
func TestGraceFollowsThePlatformsLimit(t *testing.T) {
	for _, c := range []struct{ limit, notice, want time.Duration }{
		{0, 2200 * time.Millisecond, 3300 * time.Millisecond}, // not known
		{6 * time.Second, 2200 * time.Millisecond, 3300 * time.Millisecond},
		{10 * time.Second, 2200 * time.Millisecond, 7300 * time.Millisecond},
		{2 * time.Second, 2200 * time.Millisecond, 0},
	} {
		got := gracePeriod(thsettings.StopSettings{Notice: c.notice, Grace: 3300 * time.Millisecond, Limit: c.limit})
		assert.Equal(t, got, c.want, "limit %s", c.limit)
		assert.Assert(t, c.limit == 0 || got == 0 || c.notice+got < c.limit)
	}
}
