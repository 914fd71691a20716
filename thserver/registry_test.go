package thserver

import (
	"net/netip"
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

func heartbeat(instance string, sequence uint64, born time.Time) Heartbeat {
	return Heartbeat{Instance: instance, Address: serverAddress, Service: "page", Version: "v1", Slots: 6, Sequence: sequence, StartTime: born}
}

func newRegistry() (*Registry, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return &Registry{Service: "page", Address: serverAddress, Clock: clock}, clock
}

func state(g *Registry, c clockwork.Clock) string { return g.Current().Server(c.Now()).State }

// Guards against heartbeats that arrive late or again and take back what a
// later one said.
func TestLateHeartbeats(t *testing.T) {
	g, c := newRegistry()
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 1, firstStart)))
	leaving := heartbeat("i-1", 3, firstStart)
	leaving.Leaving = true
	assert.NilError(t, g.HandleHeartbeat(leaving))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 2, firstStart)))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 4, firstStart))) // of a sender that forgot
	assert.Equal(t, state(g, c), thwire.ServerLeaving)
}

// Guards against a heartbeat of an instance that has crashed and takes the
// place of the one that came after it.
func TestHeartbeatOfFormerInstance(t *testing.T) {
	g, c := newRegistry()
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 9, firstStart)))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-2", 1, firstStart.Add(time.Second))))
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 10, firstStart)))
	assert.NilError(t, g.HandleHeartbeat(Heartbeat{Instance: "i-1", Deregistered: true}))
	assert.Equal(t, g.Current().Instance, "i-2")
	assert.Equal(t, state(g, c), thwire.ServerReady)
}

// Guards against an instance that starts again under its id and stays gone.
func TestSameInstanceBornAgain(t *testing.T) {
	g, c := newRegistry()
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 9, firstStart)))
	assert.NilError(t, g.HandleHeartbeat(Heartbeat{Instance: "i-1", Deregistered: true, StartTime: firstStart}))
	assert.Equal(t, state(g, c), thwire.ServerLeaving)
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 1, firstStart.Add(time.Second))))
	assert.Equal(t, state(g, c), thwire.ServerReady)
	// The end of its former life does not end it.
	assert.NilError(t, g.HandleHeartbeat(Heartbeat{Instance: "i-1", Deregistered: true, StartTime: firstStart}))
	assert.Equal(t, state(g, c), thwire.ServerReady)
}

// Guards against an end that was acknowledged before this daemon started, and a
// heartbeat that was under way at that time.
func TestBoundBeforeStart(t *testing.T) {
	g, _ := newRegistry()
	g.MarkLeft("i-1", firstStart)
	assert.NilError(t, g.HandleHeartbeat(heartbeat("i-1", 4, firstStart)))
	assert.Assert(t, g.Current() == nil)
}

// Guards against forged heartbeats.
func TestForeignHeartbeats(t *testing.T) {
	g, _ := newRegistry()
	for _, change := range []func(*Heartbeat){
		func(b *Heartbeat) { b.Service = "other" },
		func(b *Heartbeat) { b.Address = netip.MustParseAddrPort("10.0.0.8:8080") },
		func(b *Heartbeat) { b.Slots = 0 },
		func(b *Heartbeat) { b.Slots = maxSlots + 1 },
		func(b *Heartbeat) { b.Version = "" },
		func(b *Heartbeat) { b.Instance = "" },
	} {
		b := heartbeat("i-1", 1, firstStart)
		change(&b)
		assert.Equal(t, therror.KindOf(g.HandleHeartbeat(b)), therror.Bad)
		assert.Assert(t, g.Current() == nil)
	}
}

// Guards against a cold server that is announced as ready, and one that stays cold.
func TestColdUntil(t *testing.T) {
	g, c := newRegistry()
	b := heartbeat("i-1", 1, firstStart)
	b.ColdDuration = 2 * time.Second
	assert.NilError(t, g.HandleHeartbeat(b))
	assert.Equal(t, state(g, c), thwire.ServerStarting)
	c.Advance(2 * time.Second)
	assert.Equal(t, state(g, c), thwire.ServerReady)
}
