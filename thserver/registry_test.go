package thserver

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

var (
	serverAddress = netip.MustParseAddrPort("10.0.0.9:8080")
	firstStart    = time.UnixMilli(1_700_000_000_000)
)

func heartbeat(instance string, sequence uint64, start time.Time) Heartbeat {
	return Heartbeat{Instance: instance, Address: serverAddress, Service: "page", Version: "v1", Slots: 6, Sequence: sequence, StartTime: start}
}

func newRegistry() (*Registry, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return &Registry{Service: "page", Address: serverAddress, Clock: clock}, clock
}

func state(g *Registry, c clockwork.Clock) string { return g.Current().Server(c.Now()).State }

// Guards against late or repeated heartbeats that override the state of a later one.
func TestLateHeartbeats(t *testing.T) {
	g, c := newRegistry()
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 1, firstStart)))
	leaving := heartbeat("i-1", 3, firstStart)
	leaving.Leaving = true
	assert.NilError(t, g.HandleHeartbeat(leaving))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 2, firstStart)))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 4, firstStart))) // sender that has lost its leaving state
	assert.Equal(t, state(g, c), thwire.ServerLeaving)
}

// Guards against a late heartbeat of a crashed instance that replaces its successor.
func TestHeartbeatOfFormerInstance(t *testing.T) {
	g, c := newRegistry()
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 9, firstStart)))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-2", 1, firstStart.Add(time.Second))))
	assert.Equal(t, therror.KindOf(g.HandleHeartbeat(heartbeat("i-1", 10, firstStart))), therror.Conflict)
	assert.NilError(t, g.HandleHeartbeat(Heartbeat{Instance: "i-1", Deregistered: true}))
	assert.Equal(t, g.Current().Instance, "i-2")
	assert.Equal(t, state(g, c), thwire.ServerReady)
}

// Guards against an instance that stays leaving after a restart under the same id.
func TestSameInstanceBornAgain(t *testing.T) {
	g, c := newRegistry()
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 9, firstStart)))
	assert.NilError(t, g.HandleHeartbeat(Heartbeat{Instance: "i-1", Deregistered: true, StartTime: firstStart}))
	assert.Equal(t, state(g, c), thwire.ServerLeaving)
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 1, firstStart.Add(time.Second))))
	assert.Equal(t, state(g, c), thwire.ServerReady)
	// A late deregistration of the previous process has no effect, and is not acknowledged.
	late := Heartbeat{Instance: "i-1", Deregistered: true, StartTime: firstStart}
	assert.Equal(t, therror.KindOf(g.HandleHeartbeat(late)), therror.Conflict)
	assert.Equal(t, state(g, c), thwire.ServerReady)
}

// Guards against a late heartbeat that makes an instance usable again whose
// deregistration was acknowledged before this daemon started.
func TestBoundBeforeStart(t *testing.T) {
	g, _ := newRegistry()
	g.MarkLeft("i-1", firstStart)
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 4, firstStart)))
	assert.Assert(t, g.Current() == nil)
}

// Guards against invalid heartbeats and those of another service or address.
func TestForeignHeartbeats(t *testing.T) {
	g, _ := newRegistry()
	for _, change := range []func(*Heartbeat){
		func(h *Heartbeat) { h.Service = "other" },
		func(h *Heartbeat) { h.Address = netip.MustParseAddrPort("10.0.0.8:8080") },
		func(h *Heartbeat) { h.Slots = 0 },
		func(h *Heartbeat) { h.Slots = maxSlots + 1 },
		func(h *Heartbeat) { h.Version = "" },
		func(h *Heartbeat) { h.Instance = "" },
		func(h *Heartbeat) { h.Instance = strings.Repeat("i", thwire.MaxInstanceBytes+1) },
		func(h *Heartbeat) { h.Version = strings.Repeat("v", thwire.MaxNameBytes+1) },
	} {
		h := heartbeat("i-1", 1, firstStart)
		change(&h)
		assert.Equal(t, therror.KindOf(g.HandleHeartbeat(h)), therror.Bad)
		assert.Assert(t, g.Current() == nil)
	}
}

// Guards against a cold server that is published as ready, and one that stays starting.
func TestColdUntil(t *testing.T) {
	g, c := newRegistry()
	h := heartbeat("i-1", 1, firstStart)
	h.ColdDuration = 2 * time.Second
	assert.NilError(t, g.HandleHeartbeat(h))
	assert.Equal(t, state(g, c), thwire.ServerStarting)
	c.Advance(2 * time.Second)
	assert.Equal(t, state(g, c), thwire.ServerReady)
}

// Guards against a statement in a response that marks another instance or process than
// the one that made it, and against a later heartbeat that reverts it.
func TestMarkLeavingBindsItsInstance(t *testing.T) {
	address, start := netip.MustParseAddrPort("127.0.0.1:8084"), time.Unix(100, 0)
	g := &Registry{Address: address}
	heartbeat := Heartbeat{Instance: "i-1", Address: address, Service: "page", Version: "v1", Slots: 6, Sequence: 1, StartTime: start}
	g.MarkLeaving("i-1", start) // without a server
	assert.NilError(t, g.HandleHeartbeat(heartbeat))
	g.MarkLeaving("i-2", start)
	g.MarkLeaving("i-1", start.Add(-time.Second))
	assert.Assert(t, !g.Current().Leaving)
	g.MarkLeaving("i-1", start)
	assert.Assert(t, g.Current().Leaving)
	heartbeat.Sequence = 2
	assert.NilError(t, g.HandleHeartbeat(heartbeat))
	assert.Assert(t, g.Current().Leaving, "reverted by a heartbeat")
	heartbeat.Sequence, heartbeat.StartTime = 1, start.Add(time.Minute)
	assert.NilError(t, g.HandleHeartbeat(heartbeat))
	assert.Assert(t, !g.Current().Leaving, "a new process of the instance is not leaving")
}

// Guards against a server that is in use although it has deregistered: its last message, which
// names no start time, reached a daemon that had just started and knew no server, and a late
// heartbeat followed.
func TestDeregistrationBindsBeforeTheFirstHeartbeat(t *testing.T) {
	clock := clockwork.NewFakeClockAt(firstStart.Add(time.Minute))
	g := &Registry{Address: serverAddress, Clock: clock}
	assert.NilError(t, g.HandleHeartbeat(Heartbeat{Instance: "i-1", Deregistered: true}))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 27, firstStart)))
	assert.Assert(t, g.Current() == nil, "in use again: %+v", g.Current())
	clock.Advance(time.Second)
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 1, clock.Now())))
	assert.Assert(t, g.Current() != nil && !g.Current().Leaving, "a later process of the instance is another one")
}

// Guards against a drain that is acknowledged and has no effect: it arrives after a later
// heartbeat of the same process.
func TestLateDrainIsInEffect(t *testing.T) {
	g := &Registry{}
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 6, firstStart)))
	leaving := heartbeat("i-1", 5, firstStart)
	leaving.Leaving = true
	assert.NilError(t, g.HandleHeartbeat(leaving))
	assert.Assert(t, g.Current().Leaving)
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 7, firstStart)))
	assert.Assert(t, g.Current().Leaving)
}

// Guards against a drain that is acknowledged although the instance goes on getting calls: a
// heartbeat of another writer with a later start has displaced the process that drains.
func TestDrainWithoutEffectIsNotAcknowledged(t *testing.T) {
	g, _ := newRegistry()
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 7, firstStart)))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 1, firstStart.Add(time.Hour))))
	leaving := heartbeat("i-1", 8, firstStart)
	leaving.Leaving = true
	assert.Equal(t, therror.KindOf(g.HandleHeartbeat(leaving)), therror.Conflict)
	gone := Heartbeat{Instance: "i-1", Deregistered: true, StartTime: firstStart}
	assert.Equal(t, therror.KindOf(g.HandleHeartbeat(gone)), therror.Conflict)
	assert.Assert(t, !g.Current().Leaving)
}

// Guards against a backend server that is ignored for good since another process has named a
// later start, as one that started while the time of day was ahead, or another writer.
func TestLiveProcessReplacesSilentOne(t *testing.T) {
	for _, id := range []string{"i-1", "i-2"} {
		g, c := newRegistry()
		assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 40, firstStart.Add(time.Hour))))
		sequence := uint64(3)
		for range 5 { // the other process may have stopped for a moment only
			c.Advance(time.Second - time.Millisecond)
			sequence++
			assert.Equal(t, therror.KindOf(g.HandleHeartbeat(heartbeat(id, sequence, firstStart))), therror.Conflict)
		}
		c.Advance(time.Second)
		assert.Equal(t, therror.KindOf(g.HandleHeartbeat(heartbeat(id, sequence+1, firstStart))), therror.Conflict)
		assert.Equal(t, therror.KindOf(g.HandleHeartbeat(heartbeat(id, sequence+1, firstStart))), therror.Conflict, "repeated")
		assert.Equal(t, therror.KindOf(g.HandleHeartbeat(heartbeat(id, sequence+2, firstStart))), therror.Conflict)
		assert.NilError(t, g.HandleHeartbeat(heartbeat(id, sequence+3, firstStart)))
		assert.Assert(t, g.Current().StartTime.Equal(firstStart))
		leaving := heartbeat(id, sequence+4, firstStart)
		leaving.Leaving = true
		assert.NilError(t, g.HandleHeartbeat(leaving))
		assert.Assert(t, g.Current().Leaving)
	}
}

// Guards against the heartbeats of an ended process, which arrive late, displacing its
// successor after a pause of that one, and against one that has left being in use again.
func TestEndedProcessDoesNotReturn(t *testing.T) {
	g, c := newRegistry()
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 1, firstStart)))
	assert.NilError(t, g.HandleHeartbeat(Heartbeat{Instance: "i-1", Deregistered: true}))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-2", 1, firstStart.Add(time.Second))))
	for n := range uint64(20) {
		c.Advance(time.Second)
		_ = g.HandleHeartbeat(heartbeat("i-1", 2+n, firstStart))
		assert.Equal(t, g.Current().Instance, "i-2")
	}
	for n := range uint64(20) { // the current one goes on
		c.Advance(time.Second)
		assert.NilError(t, g.HandleHeartbeat(heartbeat("i-2", 2+n, firstStart.Add(time.Second))))
		assert.Equal(t, therror.KindOf(g.HandleHeartbeat(heartbeat("i-0", 2+n, firstStart))), therror.Conflict)
	}
}
