package thmember

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Reasons of a GoAway on a control connection.
const (
	reasonLeaving   = "leaving"
	reasonDuplicate = "duplicate"
	reasonFull      = "full"
	reasonIdle      = "idle"
	reasonSurplus   = "extra"
)

// Limits of the received messages of one connection that wait for their handlers.
// Messages beyond are dropped.
const (
	maxQueuedMessages = 512
	maxQueuedBytes    = 4 << 20
)

// noSlot is the slot of a connection that occupies no overlay slot.
const noSlot = -1

// link is one control connection. Its fields are guarded by the node's mutex.
type link struct {
	conn          *thwire.Conn
	name          string
	dialled       bool // opened by this daemon
	onDemand      bool // not part of the overlay
	slot          int  // index of the overlay slot, or noSlot
	connectedAt   time.Time
	lastUsed      time.Time // last use of an on-demand connection
	lastPing      uint64    // number of the last ping sent
	lastPong      uint64    // highest number of a pong received
	pongAt        time.Time // when the last pong arrived, or the connection was opened
	mismatches    int       // consecutive checksum comparisons that differed
	checksumDue   time.Time // when to send the checksums again; zero means not scheduled
	lastSummary   time.Time // when the last summary was sent
	closeExpected bool      // one side has announced the end of the connection, which is no failure
	inbox         chan inboundMessage
	queuedBytes   atomic.Int64 // payload bytes in inbox
}

type inboundMessage struct {
	kind    thwire.Type
	payload []byte
}

func (n *Node) newLink(c net.Conn, name string, dialled bool, kind string) *link {
	now := n.Clock.Now()
	return &link{
		conn: thwire.NewConn(c), name: name, dialled: dialled, onDemand: kind == thwire.KindDirect,
		slot: noSlot, connectedAt: now, lastUsed: now, pongAt: now, inbox: make(chan inboundMessage, maxQueuedMessages),
	}
}

// hello returns the Hello of this daemon for a connection of the kind.
func (n *Node) hello(kind string) thwire.Hello {
	return thwire.Hello{
		Protocol: thwire.Protocol, Kind: kind, Name: n.Member.Name,
		Zone: n.Member.Zone, Region: n.Member.Region, Version: n.heldVersion.Load(),
	}
}

// Serve takes over a control connection accepted by thwire.Listener whose Hello has
// been read. It closes the connection if the name is invalid or that of this daemon,
// or if the node has not been started.
func (n *Node) Serve(c net.Conn, h *thwire.Hello) {
	if h.Name == "" || len(h.Name) > maxNameBytes || h.Name == n.Member.Name || !n.started() {
		_ = c.Close()
		return
	}
	l := n.newLink(c, h.Name, false, h.Kind)
	own := n.hello(h.Kind)
	_ = l.conn.Send(thwire.TypeHello, &own)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addLink(l)
}

// addLink registers a connection after its handshake and starts its goroutines. It
// returns false if the connection is rejected or the node stops; a daemon rejected
// because this one is full gets a memberSample. The caller holds the mutex.
func (n *Node) addLink(l *link) bool {
	if reason := n.registerLink(l); reason != "" {
		if reason == reasonFull && !l.onDemand {
			_ = l.conn.Send(thwire.TypeUpdate, n.memberSample())
		}
		n.closeWithReason(l, reason)
		return false
	}
	n.openLinks[l] = struct{}{}
	if !n.spawnLocked(func() { n.readLoop(l) }) {
		l.conn.Close()
		delete(n.openLinks, l)
		return false
	}
	n.spawnLocked(func() { n.runHandlers(l) })
	if !l.onDemand {
		// Counts as a first mismatch, so that differing checksums at the start of a
		// connection lead to a summary without a recheck.
		l.mismatches = 1
		n.greet(l)
		_ = l.conn.Send(thwire.TypeStateDigest, n.state.checksumWithCount())
	}
	return true
}

// greet sends the Greeting to a neighbour that has connected. The caller holds the mutex.
func (n *Node) greet(l *link) {
	if n.Greeting == nil || l.dialled {
		return
	}
	if t, m := n.Greeting(l.name); m != nil {
		_ = l.conn.Send(t, m) // a neighbour that misses it learns by a response
	}
}

// memberSample returns the records of this daemon and of up to maxSampleMembers-1
// other live members. A full daemon sends it to one whose connection it rejects:
// otherwise daemons that start together with the same seeds would know no other
// member to dial. The caller holds the mutex.
func (n *Node) memberSample() *thwire.Update {
	w := &thwire.Update{Members: []thwire.Member{n.state.members[n.Member.Name].member}}
	for _, r := range n.state.members {
		if len(w.Members) >= maxSampleMembers {
			break
		}
		if isUp(r.member) && r.member.Name != n.Member.Name {
			w.Members = append(w.Members, r.member)
		}
	}
	return w
}

// registerLink adds a connection to the overlay or to the on-demand connections. It
// returns the reason if the connection is rejected, or "". The caller holds the mutex.
func (n *Node) registerLink(l *link) string {
	if l.onDemand {
		if len(n.onDemand) >= maxOnDemandLinks {
			return reasonFull
		}
		if _, found := n.onDemand[l.name]; !found || l.dialled {
			n.onDemand[l.name] = l
		}
		return ""
	}
	old, found := n.links[l.name]
	if !found {
		if !l.dialled && n.acceptedCount() >= maxAccepted {
			return reasonFull
		}
		n.links[l.name] = l
		return ""
	}
	// Of two connections between the same daemons, both sides keep the one dialled by
	// the daemon with the smaller name. A second one dialled by the same side replaces
	// a broken first one.
	keep := old.dialled == l.dialled || l.dialled == (n.Member.Name < l.name)
	if !keep {
		if old.slot == noSlot {
			old.slot = l.slot
		}
		return reasonDuplicate
	}
	if l.slot == noSlot {
		l.slot = old.slot
	}
	n.links[l.name] = l
	n.closeWithReason(old, reasonDuplicate)
	return ""
}

// acceptedCount returns the number of overlay connections dialled by the peer.
func (n *Node) acceptedCount() int {
	count := 0
	for _, l := range n.links {
		if !l.dialled {
			count++
		}
	}
	return count
}

// closeWithReason sends the peer a GoAway and closes the connection. Its end does not
// count as a failure of the peer. The caller holds the mutex.
func (n *Node) closeWithReason(l *link, reason string) {
	l.closeExpected = true
	_ = l.conn.Send(thwire.TypeGoAway, &thwire.GoAway{Reason: reason})
	l.conn.CloseAfterFlush()
}

// readLoop reads frames until the connection ends, then removes the link. Pings are
// answered directly; other messages are queued, so that they cannot delay a pong.
func (n *Node) readLoop(l *link) {
	defer close(l.inbox)
	for {
		t, payload, err := l.conn.Read()
		if err != nil {
			if therror.Is(err, therror.Frame) {
				n.Log.Warn("malformed frame; closing the connection", "peer", l.name, "error", err)
			}
			break
		}
		if err := n.handleFrame(l, t, payload); err != nil {
			n.Log.Warn("malformed message; closing the connection", "peer", l.name, "type", int(t), "error", err)
			break
		}
	}
	l.conn.Close()
	<-l.conn.Done()
	n.removeLink(l)
}

// handleFrame handles a ping, pong or GoAway and queues any other message. A message
// beyond the limits of the queue is dropped. The error is that of a malformed payload.
func (n *Node) handleFrame(l *link, t thwire.Type, payload []byte) error {
	switch t {
	case thwire.TypePing:
		var p thwire.Ping
		if err := thwire.Decode(payload, &p); err != nil {
			return err
		}
		_ = l.conn.Send(thwire.TypePong, &thwire.Pong{Number: p.Number})
	case thwire.TypePong:
		var p thwire.Pong
		if err := thwire.Decode(payload, &p); err != nil {
			return err
		}
		n.mu.Lock()
		l.lastPong, l.pongAt = max(l.lastPong, min(p.Number, l.lastPing)), n.Clock.Now()
		n.mu.Unlock()
	case thwire.TypeGoAway:
		// Handled here rather than queued, so that it takes effect before the end of
		// the connection is read.
		var g thwire.GoAway
		if err := thwire.Decode(payload, &g); err != nil {
			return err
		}
		n.mu.Lock()
		l.closeExpected = g.Reason != reasonLeaving
		n.mu.Unlock()
	default:
		if l.onDemand {
			n.mu.Lock()
			l.lastUsed = n.Clock.Now()
			n.mu.Unlock()
		}
		size := int64(len(payload))
		if l.queuedBytes.Add(size) > maxQueuedBytes {
			l.queuedBytes.Add(-size)
			n.dropped.Add(1)
			return nil
		}
		select {
		case l.inbox <- inboundMessage{t, bytes.Clone(payload)}:
		default:
			l.queuedBytes.Add(-size)
			n.dropped.Add(1)
		}
	}
	return nil
}

// runHandlers handles the queued messages of one connection in order. A malformed
// message closes the connection.
func (n *Node) runHandlers(l *link) {
	for m := range l.inbox {
		l.queuedBytes.Add(-int64(len(m.payload)))
		if n.ctx.Err() != nil {
			continue // discard messages until readLoop has ended
		}
		if err := n.handleMessage(l, m); err != nil {
			n.Log.Warn("malformed message; closing the connection", "peer", l.name, "type", int(m.kind), "error", err)
			l.conn.Close()
		}
	}
}

// handleMessage decodes and handles one queued message. Types that the node does not
// know go to the handlers registered with Handle; those without a handler are ignored.
func (n *Node) handleMessage(l *link, m inboundMessage) error {
	switch m.kind {
	case thwire.TypeUpdate:
		var w thwire.Update
		if err := thwire.Decode(m.payload, &w); err != nil {
			return err
		}
		n.mergeUpdate(&w, l.name)
	case thwire.TypeStateDigest:
		var s thwire.StateDigest
		if err := thwire.Decode(m.payload, &s); err != nil {
			return err
		}
		n.compareChecksum(l, s)
	case thwire.TypeSummary:
		var y thwire.Summary
		if err := thwire.Decode(m.payload, &y); err != nil {
			return err
		}
		n.handleSummary(l, &y)
	case thwire.TypeRecordRequest:
		var w thwire.RecordRequest
		if err := thwire.Decode(m.payload, &w); err != nil {
			return err
		}
		n.handleRecordRequest(l, &w)
	case thwire.TypeProbe:
		var p thwire.Probe
		if err := thwire.Decode(m.payload, &p); err != nil {
			return err
		}
		n.handleProbe(l, p)
	case thwire.TypeProbeResult:
		var p thwire.ProbeResult
		if err := thwire.Decode(m.payload, &p); err != nil {
			return err
		}
		n.handleProbeResult(p.Number, p.Alive)
	default:
		if h := n.handlers[m.kind]; h != nil {
			h(l.name, m.payload)
		}
	}
	return nil
}

// removeLink removes a closed connection. If it was an overlay connection and ended
// without notice, the neighbour is probed.
func (n *Node) removeLink(l *link) {
	in, out := l.conn.Bytes()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.openLinks, l)
	n.closedIn.Add(in)
	n.closedOut.Add(out)
	if n.onDemand[l.name] == l {
		delete(n.onDemand, l.name)
	}
	if n.links[l.name] != l {
		return
	}
	delete(n.links, l.name)
	if l.slot != noSlot {
		n.nextDue["dial"] = n.Clock.Now().Add(backoff(n.random, 1)) // spreads the dials of many daemons after a common failure
	}
	if !l.closeExpected {
		n.startProbe(l.name)
	}
}

// SendAll sends a message to all neighbours other than except. Failures to send are
// ignored.
func (n *Node) SendAll(t thwire.Type, m thwire.Message, except string) {
	n.mu.Lock()
	links := make([]*link, 0, len(n.links))
	for name, l := range n.links {
		if name != except {
			links = append(links, l)
		}
	}
	n.mu.Unlock()
	for _, l := range links {
		_ = l.conn.Send(t, m) // anti-entropy repairs a lost message
	}
}

// maxOutboxMessages limits the messages that wait for one on-demand connection to be
// dialled.
const maxOutboxMessages = 64

type outbox struct{ messages []outboundMessage }

type outboundMessage struct {
	kind    thwire.Type
	message thwire.Message
}

// Send sends a message to a member, over its overlay connection or one that is dialled
// on demand and closed after 30 s without use. A nil error means that the message is
// queued; it must not change afterwards. The error is of kind Absent for an unknown
// member, Full for too many messages that wait for the dial, Down for a stopped node,
// or that of the connection.
func (n *Node) Send(name string, t thwire.Type, m thwire.Message) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, found := n.links[name]; found {
		return l.conn.Send(t, m)
	}
	if l, found := n.onDemand[name]; found {
		l.lastUsed = n.Clock.Now()
		return l.conn.Send(t, m)
	}
	if o, found := n.outboxes[name]; found {
		if len(o.messages) >= maxOutboxMessages {
			return therror.New(therror.Full, "too many messages (%d) wait for a connection to %q", maxOutboxMessages, name)
		}
		o.messages = append(o.messages, outboundMessage{t, m})
		return nil
	}
	r, found := n.state.members[name]
	if !found || name == n.Member.Name {
		return therror.New(therror.Absent, "unknown member %q", name)
	}
	o := &outbox{messages: []outboundMessage{{t, m}}}
	if !n.spawnLocked(func() { n.dialOnDemand(r.member, o) }) {
		return therror.New(therror.Down, "membership node has stopped")
	}
	n.outboxes[name] = o
	return nil
}

// dialOnDemand dials a member and sends the messages of the outbox. They are lost if
// the dial fails.
func (n *Node) dialOnDemand(m thwire.Member, o *outbox) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	c, h, err := n.connect(ctx, m.Peer, thwire.KindDirect)
	if err == nil && h.Name != m.Name {
		_ = c.Close()
		err = therror.New(therror.Down, "peer %s identifies itself as %q, want %q", m.Peer, h.Name, m.Name)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.outboxes, m.Name)
	if err != nil {
		n.Log.Debug("on-demand connection failed", "peer", m.Name, "error", err)
		return
	}
	l := n.newLink(c, m.Name, true, thwire.KindDirect)
	if !n.addLink(l) {
		return
	}
	for _, e := range o.messages {
		_ = l.conn.Send(e.kind, e.message)
	}
}

// connect dials a peer and completes the handshake. It fails with kind Bad if the
// address turns out to be that of this daemon.
func (n *Node) connect(ctx context.Context, peer netip.AddrPort, kind string) (net.Conn, thwire.Hello, error) {
	c, err := n.Dial(ctx, peer, n.hello(kind))
	if err != nil {
		return nil, thwire.Hello{}, err
	}
	h, err := thwire.ReadHello(ctx, c)
	if err == nil && h.Name == n.Member.Name {
		err = therror.New(therror.Bad, "peer address %s belongs to this daemon", peer)
	}
	if err != nil {
		_ = c.Close()
		return nil, h, err
	}
	return c, h, nil
}
