package thdaemon

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thmemory"
	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against more reads at the start of a fleet than its daemons need to
// discover each other, and against an isolated daemon that stops reading.
func TestNextDiscoveryInterval(t *testing.T) {
	for _, c := range []struct {
		interval   time.Duration
		neighbours int
		next       time.Duration
	}{
		{initialDiscoveryInterval, 0, 2 * initialDiscoveryInterval},
		{time.Minute, 0, maxIsolatedInterval},
		{initialDiscoveryInterval, 1, minNeighbourInterval},
		{minNeighbourInterval, 1, 2 * minNeighbourInterval},
		{maxDiscoveryInterval, 2, maxDiscoveryInterval},
		{initialDiscoveryInterval, 3, maxDiscoveryInterval},
		{minNeighbourInterval, 3, maxDiscoveryInterval},
		{maxDiscoveryInterval, 16, maxDiscoveryInterval},
	} {
		assert.Equal(t, nextDiscoveryInterval(c.interval, c.neighbours), c.next)
	}
}

// Guards against daemons that read announcements at the start of a fleet although
// others have dialled them, and against an isolated daemon that reads none.
func TestDialledDaemonReadsNothing(t *testing.T) {
	node := func(name string) *thmember.Node {
		n := &thmember.Node{}
		l := &thwire.Listener{Address: netip.MustParseAddrPort("127.0.0.1:0"), Control: func(c net.Conn, h thwire.Hello) { n.Serve(c, &h) }}
		assert.NilError(t, l.Start(t.Context()))
		t.Cleanup(l.Stop)
		n.Member = thwire.Member{Name: name, Peer: l.Addr()}
		assert.NilError(t, n.Start(context.Background()))
		t.Cleanup(n.Stop)
		return n
	}
	for _, dialled := range []bool{true, false} {
		n := node("a")
		if dialled {
			for _, name := range []string{"b", "c", "d"} {
				node(name).Join(n.Member.Peer)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if len(n.Neighbours()) < enoughNeighbours {
					return poll.Continue("not dialled yet")
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
		}
		clock := clockwork.NewFakeClock()
		table := &thmemory.Table{}
		a := &announcer{spread: 4 * time.Second, store: &thstore.Store{Table: table, Clock: clock}, node: n, clock: clock, log: hclog.NewNullLogger(), renew: make(chan struct{}, 1)}
		ctx, cancel := context.WithCancel(t.Context())
		a.start(ctx)
		for range 9 {
			assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
			clock.Advance(time.Second / 2)
		}
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		assert.Equal(t, table.Counts().Reads == 0, dialled, "%d reads", table.Counts().Reads)
		cancel()
		<-a.done
	}
}

// A daemon is killed and restarted while its announcement is still valid, as all
// daemons are after a power failure. Guards against needless store calls at the
// start, and against relying on an announcement that has another address or needs
// renewal.
func TestRestartKeepsItsAnnouncement(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    time.Duration
		peer   string
		writes int
	}{
		{"valid", 10 * time.Second, "127.0.0.1:7000", 0},
		{"moved", 10 * time.Second, "127.0.0.1:7001", 1},
		{"old", announceInterval + time.Second, "127.0.0.1:7000", 1},
		{"none", 0, "", 1},
	} {
		clock := clockwork.NewFakeClock()
		table := &thmemory.Table{}
		store := &thstore.Store{Table: table, Clock: clock}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			peer := netip.MustParseAddrPort("127.0.0.1:9")
			if name == "a" {
				if c.peer == "" {
					continue
				}
				peer = netip.MustParseAddrPort(c.peer)
			}
			assert.NilError(t, store.Announce(t.Context(), thstore.Announcement{Name: name, Peer: peer}, announceTTL))
		}
		clock.Advance(c.age)
		written, read := table.Counts().Writes, table.Counts().Reads
		n := &thmember.Node{Member: thwire.Member{Name: "a", Peer: netip.MustParseAddrPort("127.0.0.1:7000")}}
		assert.NilError(t, n.Start(context.Background()))
		a := &announcer{singleStart: true, store: store, node: n, clock: clock, log: hclog.NewNullLogger(), renew: make(chan struct{}, 1)}
		ctx, cancel := context.WithCancel(t.Context())
		a.start(ctx)
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		assert.Equal(t, int(table.Counts().Writes-written), c.writes, c.name)
		assert.Assert(t, table.Counts().Reads-read <= 2, "%s: %d reads", c.name, table.Counts().Reads-read)
		cancel()
		<-a.done
		n.Stop()
	}
}
