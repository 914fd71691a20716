package thmember

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// frozenPeer is a peer that keeps its connections open but can stop responding.
type frozenPeer struct {
	frozen atomic.Bool
	pongs  atomic.Int32
}

// serve reads a connection and answers pings until the peer is frozen.
func (p *frozenPeer) serve(c *thwire.Conn) {
	for {
		kind, payload, err := c.Read()
		if err != nil {
			return
		}
		var ping thwire.Ping
		if kind == thwire.TypePing && !p.frozen.Load() && thwire.Decode(payload, &ping) == nil {
			p.pongs.Add(1)
			_ = c.Send(thwire.TypePong, &thwire.Pong{Number: ping.Number})
		}
	}
}

// Guards against a frozen process that stays in use: its kernel still accepts
// connections and keeps them open, but the process sends no replies.
func TestFrozenMember(t *testing.T) {
	f := newFleet(t, 3)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	p := &frozenPeer{}
	hello := thwire.Hello{Protocol: thwire.Protocol, Kind: thwire.KindControl, Name: "peer"}
	accept := func(c net.Conn, _ thwire.Hello) {
		if p.frozen.Load() {
			return // leaves the connection open without a reply
		}
		conn := thwire.NewConn(c)
		_ = conn.Send(thwire.TypeHello, &hello)
		go p.serve(conn)
	}
	l := &thwire.Listener{Address: netip.MustParseAddrPort("127.0.0.1:0"), Rate: 10000, Control: accept}
	assert.NilError(t, l.Start(context.Background()))
	defer l.Stop()
	c, err := thwire.Dial(context.Background(), f.nodes[0].Member.Peer, hello)
	assert.NilError(t, err)
	conn := thwire.NewConn(c)
	defer conn.Close()
	go p.serve(conn)
	m := thwire.Member{Name: "peer", Zone: "z0", Region: "r", Peer: l.Addr(), Incarnation: 1, Sequence: 1}
	assert.NilError(t, conn.Send(thwire.TypeUpdate, &thwire.Update{Members: []thwire.Member{m}}))
	f.waitFor("the peer is seen as alive", 20*time.Second, func() bool { return f.allSee("peer", thwire.MemberAlive, 0, 1, 2) && p.pongs.Load() > 5 })
	p.frozen.Store(true)
	f.waitFor("the peer is seen as suspect", 5*time.Second, func() bool { return f.allSee("peer", thwire.MemberSuspect, 0, 1, 2) })
	f.waitFor("the peer is seen as dead", 5*time.Second, func() bool { return f.allSee("peer", thwire.MemberDead, 0, 1, 2) })
}
