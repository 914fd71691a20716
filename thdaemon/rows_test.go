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

// fixedReplica is a configReplica that always returns the same snapshot.
type fixedReplica struct {
	configReplica
	snapshot thsync.Snapshot
}

func (f *fixedReplica) Current() *thsync.Snapshot { return &f.snapshot }

// All backend servers restart cold after a power failure, and their services can
// handle a multiple of their stated rate, up to the factor in the settings. Guards
// against an admitted rate below the stated rate or above the factor.
func TestColdServerRateIsWithinBounds(t *testing.T) {
	const stated, factor = 6.1, 1.5
	const step, span = 10 * time.Millisecond, 3 * time.Second
	clock := clockwork.NewFakeClock()
	d := &Daemon{node: &thmember.Node{}}
	d.Clock, d.Settings.Server.Cold = clock, factor
	d.replica = &fixedReplica{snapshot: thsync.Snapshot{Tables: thconfig.Tables{Services: []thconfig.Service{{Name: "page", Rate: stated}}}}}
	b := &localServer{Daemon: d, scheduler: &thadmit.Scheduler{Clock: clock}}
	b.update(&thserver.Entry{Heartbeat: thserver.Heartbeat{Service: "page", Instance: "i-1", Slots: 20}, ColdUntil: clock.Now().Add(time.Minute)})
	calls := 0
	for range int(span / step) {
		// Rejected unless a slot is free immediately.
		if a, err := b.scheduler.Enter(t.Context(), &thwire.Open{Route: "view", Deadline: int64(time.Millisecond)}); err == nil {
			calls++
			a.Done(time.Millisecond, true)
		}
		clock.Advance(step)
	}
	rate := float64(calls) / span.Seconds()
	assert.Assert(t, rate >= stated && rate <= factor*stated, "%.1f calls a second", rate)
}
