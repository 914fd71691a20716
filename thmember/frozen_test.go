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

// frozenPeer is a peer whose connections stay open but which stops to answer.
type frozenPeer struct {
	frozen atomic.Bool
	pongs  atomic.Int32
}

// serve answers Hello and pings until the peer is frozen.
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
// connections and keeps them open, but nothing answers.
func TestFrozenMember(t *testing.T) {
	f := newFleet(t, 3)
	f.until("all know all", time.Minute, f.converged)
	p := &frozenPeer{}
	hello := thwire.Hello{Protocol: thwire.Protocol, Kind: thwire.KindControl, Name: "peer"}
	accept := func(c net.Conn, _ thwire.Hello) {
		if p.frozen.Load() {
			return // open and silent
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
	f.until("the peer is known", 20*time.Second, func() bool { return f.see("peer", thwire.MemberAlive, 0, 1, 2) && p.pongs.Load() > 5 })
	p.frozen.Store(true)
	f.until("the peer is suspect", 5*time.Second, func() bool { return f.see("peer", thwire.MemberSuspect, 0, 1, 2) })
	f.until("the peer is dead", 5*time.Second, func() bool { return f.see("peer", thwire.MemberDead, 0, 1, 2) })
}
