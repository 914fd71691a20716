package thdaemon

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmemory"
	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/thserver"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// failingTable is a table service whose writes can fail.
type failingTable struct {
	thmemory.Table
	down bool
}

func (f *failingTable) Write(ctx context.Context, ops ...thplatform.Op) error {
	if f.down {
		return therror.New(therror.Down, "the store is unavailable")
	}
	return f.Table.Write(ctx, ops...)
}

// Guards against a server that is in use again after a restart of its daemon, although its
// end was acknowledged: the store was down at the first message of the end, and the end was
// not recorded with the next one.
func TestDepartureIsRecordedOnceTheStoreIsBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &failingTable{down: true}
	address := netip.MustParseAddrPort("127.0.0.1:8084")
	start := func() (*thserver.Registry, func(thserver.Heartbeat) error) {
		d := &Daemon{platform: &platform{Store: &thstore.Store{Table: table, Clock: clock}}}
		d.Log = hclog.NewNullLogger()
		registry := &thserver.Registry{Address: address, Clock: clock}
		return registry, (&departureRecorder{Daemon: d, registry: registry}).handleHeartbeat
	}
	heartbeat := thserver.Heartbeat{Instance: "i-1", Address: address, Service: "page", Version: "v1", Slots: 6, Sequence: 1, StartTime: clock.Now()}
	leaving := heartbeat
	leaving.Leaving = true

	registry, handle := start()
	assert.NilError(t, handle(heartbeat))
	leaving.Sequence = 2
	assert.NilError(t, handle(leaving))
	table.down = false
	leaving.Sequence = 3
	assert.NilError(t, handle(leaving))
	assert.Assert(t, registry.Current().Leaving)

	registry, handle = start()
	assert.NilError(t, handle(heartbeat))
	entry := registry.Current()
	assert.Assert(t, entry == nil || entry.Leaving || entry.Deregistered, "in use again: %+v", entry)
}

// Guards against a server that is in use again after a restart of its daemon, although its
// end was acknowledged: it had left, started again under the same id, and left again.
func TestDepartureOfEachProcessIsRecorded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &failingTable{}
	address := netip.MustParseAddrPort("127.0.0.1:8084")
	start := func() (*thserver.Registry, *departureRecorder) {
		d := &Daemon{platform: &platform{Store: &thstore.Store{Table: table, Clock: clock}}}
		d.Log = hclog.NewNullLogger()
		registry := &thserver.Registry{Address: address, Clock: clock}
		return registry, &departureRecorder{Daemon: d, registry: registry}
	}
	heartbeat := thserver.Heartbeat{Instance: "i-1", Address: address, Service: "page", Version: "v1", Slots: 6, StartTime: clock.Now()}
	_, recorder := start()
	for range 2 {
		clock.Advance(time.Second)
		heartbeat.StartTime, heartbeat.Sequence, heartbeat.Leaving = clock.Now(), 1, false
		assert.NilError(t, recorder.handleHeartbeat(heartbeat))
		heartbeat.Sequence, heartbeat.Leaving = 2, true
		assert.NilError(t, recorder.handleHeartbeat(heartbeat))
	}
	registry, recorder := start()
	heartbeat.Sequence, heartbeat.Leaving = 1, false // sent before it left
	assert.NilError(t, recorder.handleHeartbeat(heartbeat))
	entry := registry.Current()
	assert.Assert(t, entry == nil || entry.Leaving || entry.Deregistered, "in use again: %+v", entry)
}

// Guards against the departure of a server that deregisters before its daemon has got a
// heartbeat since its start: a further restart would forget it.
func TestDepartureOfUnknownServerIsRecorded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &failingTable{}
	address := netip.MustParseAddrPort("127.0.0.1:8084")
	start := func() (*thserver.Registry, *departureRecorder) {
		d := &Daemon{platform: &platform{Store: &thstore.Store{Table: table, Clock: clock}}, Clock: clock}
		d.Log = hclog.NewNullLogger()
		registry := &thserver.Registry{Address: address, Clock: clock}
		return registry, &departureRecorder{Daemon: d, registry: registry}
	}
	heartbeat := thserver.Heartbeat{Instance: "i-1", Address: address, Service: "page", Version: "v1", Slots: 6, Sequence: 1, StartTime: clock.Now()}
	clock.Advance(time.Minute)
	_, recorder := start()
	assert.NilError(t, recorder.handleHeartbeat(thserver.Heartbeat{Instance: "i-1", Deregistered: true}))
	registry, recorder := start()
	assert.NilError(t, recorder.handleHeartbeat(heartbeat))
	assert.Assert(t, registry.Current() == nil, "in use again: %+v", registry.Current())
}

// Guards against a server that is in use again after a restart of its daemon, although its
// end was acknowledged, because the first message after the restart is a late one of another
// instance.
func TestDepartureIsReadForEachInstance(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &failingTable{}
	address := netip.MustParseAddrPort("127.0.0.1:8084")
	start := func() (*thserver.Registry, *departureRecorder) {
		d := &Daemon{platform: &platform{Store: &thstore.Store{Table: table, Clock: clock}}, Clock: clock}
		d.Log = hclog.NewNullLogger()
		registry := &thserver.Registry{Address: address, Clock: clock}
		return registry, &departureRecorder{Daemon: d, registry: registry}
	}
	earlier := thserver.Heartbeat{Instance: "i-1", Address: address, Service: "page", Version: "v1", Slots: 6, Sequence: 1, StartTime: clock.Now()}
	heartbeat := earlier
	heartbeat.Instance, heartbeat.StartTime = "i-2", clock.Now().Add(time.Second)
	leaving := heartbeat
	leaving.Sequence, leaving.Leaving = 2, true
	_, recorder := start()
	assert.NilError(t, recorder.handleHeartbeat(leaving))
	registry, recorder := start()
	assert.NilError(t, recorder.handleHeartbeat(earlier))
	assert.NilError(t, recorder.handleHeartbeat(heartbeat))
	entry := registry.Current()
	assert.Assert(t, entry.Instance != "i-2" || entry.Leaving, "in use again: %+v", entry)
}

// Guards against a healthy server that is out of use for good after a restart of its daemon: a
// drain without a start time, of another writer, was stored and read as one of any process.
func TestDrainWithoutStartTimeDoesNotBindLaterProcesses(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &failingTable{}
	address := netip.MustParseAddrPort("127.0.0.1:8084")
	start := func() (*thserver.Registry, *departureRecorder) {
		d := &Daemon{platform: &platform{Store: &thstore.Store{Table: table, Clock: clock}}, Clock: clock}
		d.Log = hclog.NewNullLogger()
		registry := &thserver.Registry{Address: address, Clock: clock}
		return registry, &departureRecorder{Daemon: d, registry: registry}
	}
	heartbeat := thserver.Heartbeat{Instance: "i-1", Address: address, Service: "page", Version: "v1", Slots: 6, Sequence: 1, StartTime: clock.Now()}
	odd := heartbeat
	odd.StartTime, odd.Leaving = time.Time{}, true
	clock.Advance(time.Minute)
	registry, recorder := start()
	assert.NilError(t, recorder.handleHeartbeat(odd))
	assert.NilError(t, recorder.handleHeartbeat(heartbeat))
	assert.Assert(t, !registry.Current().Leaving)
	registry, recorder = start()
	assert.NilError(t, recorder.handleHeartbeat(heartbeat))
	assert.Assert(t, registry.Current() != nil && !registry.Current().Leaving, "out of use: %+v", registry.Current())
}
