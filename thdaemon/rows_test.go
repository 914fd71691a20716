package thdaemon

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmit"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thserver"
	"github.com/turmerichaven/turmerichaven/thsync"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fixed holds one snapshot.
type fixed struct {
	configReplica
	snapshot thsync.Snapshot
}

func (f *fixed) Current() *thsync.Snapshot { return &f.snapshot }

// Pattern: all servers return cold after a loss of power, and their services
// bear more than they state by a factor that the platform's bounds name. Guards
// against calls refused below the stated rate, and against more than the bound.
func TestColdServerGetsWhatTheBoundsAllow(t *testing.T) {
	const stated, factor = 6.1, 1.5
	const step, span = 10 * time.Millisecond, 3 * time.Second
	clock := clockwork.NewFakeClock()
	d := &Daemon{node: &thmember.Node{}}
	d.Clock, d.Settings.Server.Cold = clock, factor
	d.replica = &fixed{snapshot: thsync.Snapshot{Tables: thconfig.Tables{Services: []thconfig.Service{{Name: "page", Rate: stated}}}}}
	b := &localServer{Daemon: d, scheduler: &thadmit.Scheduler{Clock: clock}}
	b.update(&thserver.Entry{Beat: thserver.Beat{Service: "page", Instance: "i-1", Slots: 20}, ColdUntil: clock.Now().Add(time.Minute)})
	calls := 0
	for range int(span / step) {
		// Refused unless there is a place now.
		if a, err := b.scheduler.Enter(t.Context(), &thwire.Open{Route: "view", Deadline: int64(time.Millisecond)}); err == nil {
			calls++
			a.Done(time.Millisecond, true)
		}
		clock.Advance(step)
	}
	rate := float64(calls) / span.Seconds()
	assert.Assert(t, rate >= stated && rate <= factor*stated, "%.1f calls a second", rate)
}
