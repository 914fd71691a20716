package thdaemon

import (
	"context"
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
	versions
	snapshot thsync.Snapshot
}

func (f *fixed) Current() *thsync.Snapshot { return &f.snapshot }

// Pattern: all servers return cold after a loss of power, and their services
// bear more than they state by a factor that the platform's bounds name. Guards
// against calls refused below that rate, and against more than that.
func TestColdServerGetsWhatTheBoundsAllow(t *testing.T) {
	const stated, factor, borne = 6.1, 1.5, 9
	clock := clockwork.NewFakeClock()
	d := &Daemon{node: &thmember.Node{}}
	d.Clock, d.Settings.Server.Cold = clock, factor
	d.holder = &fixed{snapshot: thsync.Snapshot{Tables: thconfig.Tables{Services: []thconfig.Service{{Name: "page", Rate: stated}}}}}
	b := &beside{Daemon: d, scheduler: &thadmit.Scheduler{Clock: clock}}
	b.changed(&thserver.Entry{Beat: thserver.Beat{Service: "page", Instance: "i-1", Slots: 20}, ColdUntil: clock.Now().Add(10 * time.Second)})
	for i := range borne + 1 {
		ctx, cancel := context.WithCancel(t.Context())
		if i == borne {
			cancel() // ends the wait in the queue
		}
		_, err := b.scheduler.Enter(ctx, &thwire.Open{Route: "view", Deadline: int64(time.Minute)})
		assert.Equal(t, err == nil, i < borne, "call %d: %v", i, err)
		cancel()
	}
}
