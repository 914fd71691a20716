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

// The reasons of a GoAway on a control connection.
const (
	reasonLeaving   = "leaving"
	reasonDuplicate = "duplicate"
	reasonFull      = "full"
	reasonIdle      = "idle"
	reasonSurplus   = "extra"
)

// Bounds of the messages of one connection that wait for their handlers.
const (
	maxQueuedMessages = 512
	maxQueuedBytes    = 4 << 20
)

// noSlot marks a connection that fills no slot of the overlay.
const noSlot = -1

// link is one control connection. Its fields are guarded by the node's mutex.
type link struct {
	conn          *thwire.Conn
	name          string
	dialled       bool
	onDemand      bool // on demand: no neighbour
	slot          int
	connectedAt   time.Time
	lastUsed      time.Time // of a direct connection
	lastPing      uint64    // number of the last ping
	lastPong      uint64    // number of the last pong
	mismatches    int       // comparisons of sums in a row that differed
	checksumDue   time.Time // when to send the sums again; zero: not due
	lastSummary   time.Time
	closeExpected bool // the peer has announced that it closes the connection
	inbox         chan inboundMessage
	queuedBytes   atomic.Int64 // bytes in work
}

type inboundMessage struct {
	kind    thwire.Type
	payload []byte
}

func (n *Node) newLink(c net.Conn, name string, dialled bool, kind string) *link {
	now := n.Clock.Now()
	return &link{
		conn: thwire.NewConn(c), name: name, dialled: dialled, onDemand: kind == thwire.KindDirect,
		slot: noSlot, connectedAt: now, lastUsed: now, inbox: make(chan inboundMessage, maxQueuedMessages),
	}
}

func (n *Node) hello(kind string) thwire.Hello {
	return thwire.Hello{
		Protocol: thwire.Protocol, Kind: kind, Name: n.Member.Name,
		Zone: n.Member.Zone, Region: n.Member.Region, Version: n.heldVersion.Load(),
	}
}

// Serve takes over a control connection accepted by thwire.Listener.
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

// addLink registers a connection after its handshake and starts to read it. The
// caller holds the mutex.
func (n *Node) addLink(l *link) bool {
	if reason := n.registerLink(l); reason != "" {
		if reason == reasonFull && !l.onDemand {
			_ = l.conn.Send(thwire.TypeNews, n.memberSample())
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
		// Differing sums at the start of a connection lead to summaries at once.
		l.mismatches = 1
		_ = l.conn.Send(thwire.TypeSum, n.state.checksumWithCount())
	}
	return true
}

// memberSample returns this daemon and some other live members. A daemon that is full
// sends it to the one it refuses: without it, daemons that start together and
// know only the same seeds would find nobody else to dial.
func (n *Node) memberSample() *thwire.News {
	w := &thwire.News{Members: []thwire.Member{n.state.members[n.Member.Name].member}}
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

// registerLink enters a connection in the overlay or among the direct ones. It
// returns the reason when the connection is not wanted.
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
	// Both sides of a duplicate keep the connection dialled by the smaller
	// name. A second one from the same side replaces a broken first one.
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

func (n *Node) acceptedCount() int {
	count := 0
	for _, l := range n.links {
		if !l.dialled {
			count++
		}
	}
	return count
}

// closeWithReason closes a connection that has not failed, and says so to the peer.
func (n *Node) closeWithReason(l *link, reason string) {
	l.closeExpected = true
	_ = l.conn.Send(thwire.TypeGoAway, &thwire.GoAway{Reason: reason})
	l.conn.End()
}

// readLoop reads frames until the connection ends. Pings are answered here; all
// other work is queued, so that it cannot delay them.
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
		l.lastPong = max(l.lastPong, min(p.Number, l.lastPing))
		n.mu.Unlock()
	case thwire.TypeGoAway:
		// Handled before the end of the connection is read.
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

// runHandlers runs the handlers of one connection in the order of its messages.
func (n *Node) runHandlers(l *link) {
	for m := range l.inbox {
		l.queuedBytes.Add(-int64(len(m.payload)))
		if n.ctx.Err() != nil {
			continue // drain until the reader has ended
		}
		if err := n.handleMessage(l, m); err != nil {
			n.Log.Warn("malformed message; closing the connection", "peer", l.name, "type", int(m.kind), "error", err)
			l.conn.Close()
		}
	}
}

func (n *Node) handleMessage(l *link, m inboundMessage) error {
	switch m.kind {
	case thwire.TypeNews:
		var w thwire.News
		if err := thwire.Decode(m.payload, &w); err != nil {
			return err
		}
		n.mergeNews(&w, l.name)
	case thwire.TypeSum:
		var s thwire.Sum
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
	case thwire.TypeWant:
		var w thwire.Want
		if err := thwire.Decode(m.payload, &w); err != nil {
			return err
		}
		n.handleWant(l, &w)
	case thwire.TypeProbe:
		var p thwire.Probe
		if err := thwire.Decode(m.payload, &p); err != nil {
			return err
		}
		n.handleProbe(l, p)
	case thwire.TypeProbed:
		var p thwire.Probed
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

// removeLink removes a connection. One that ended without notice makes its
// neighbour suspicious.
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
		n.nextDue["dial"] = n.Clock.Now().Add(backoff(n.random, 1)) // spreads the dials after a common failure
	}
	if !l.closeExpected {
		n.startProbe(l.name)
	}
}

// SendAll sends a message to all neighbours but one.
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
		_ = l.conn.Send(t, m) // the receiver repairs a loss by anti-entropy
	}
}

// maxOutboxMessages bounds the messages that wait for an on-demand connection.
const maxOutboxMessages = 64

type outbox struct{ messages []outboundMessage }

type outboundMessage struct {
	kind    thwire.Type
	message thwire.Message
}

// Send sends a message to a member: to a neighbour, or over a connection
// dialled on demand and closed after 30 s without use. A nil error means that
// the message is queued. The message must not change afterwards.
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
			return therror.New(therror.Full, "%d messages wait for a connection to %q", maxOutboxMessages, name)
		}
		o.messages = append(o.messages, outboundMessage{t, m})
		return nil
	}
	r, found := n.state.members[name]
	if !found || name == n.Member.Name {
		return therror.New(therror.Absent, "no member %q", name)
	}
	o := &outbox{messages: []outboundMessage{{t, m}}}
	if !n.spawnLocked(func() { n.dialOnDemand(r.member, o) }) {
		return therror.New(therror.Down, "the node has stopped")
	}
	n.outboxes[name] = o
	return nil
}

func (n *Node) dialOnDemand(m thwire.Member, o *outbox) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	c, h, err := n.connect(ctx, m.Peer, thwire.KindDirect)
	if err == nil && h.Name != m.Name {
		_ = c.Close()
		err = therror.New(therror.Down, "peer %s is %q, not %q", m.Peer, h.Name, m.Name)
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

// connect dials a peer and completes the handshake.
func (n *Node) connect(ctx context.Context, peer netip.AddrPort, kind string) (net.Conn, thwire.Hello, error) {
	c, err := n.Dial(ctx, peer, n.hello(kind))
	if err != nil {
		return nil, thwire.Hello{}, err
	}
	h, err := thwire.ReadHello(ctx, c)
	if err == nil && h.Name == n.Member.Name {
		err = therror.New(therror.Bad, "peer %s is this daemon", peer)
	}
	if err != nil {
		_ = c.Close()
		return nil, h, err
	}
	return c, h, nil
}
