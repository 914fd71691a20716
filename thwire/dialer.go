package thwire

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

// Limits of a Dialer.
const (
	defaultSessionsPerPeer = 2
	dialTimeout            = time.Second
	// dialWaitTimeout is how long a call waits for a dial: a reachable peer accepts within
	// a round trip, and otherwise another backend server can handle the call. The dial
	// continues in the background for later calls.
	dialWaitTimeout = 250 * time.Millisecond
	idleTimeout     = 30 * time.Second
	initialBackoff  = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
	// goAwayPeriod is how long a peer is not dialled again after its GoAway.
	goAwayPeriod = 5 * time.Second
)

// Dialer pools sessions to peers and opens them on demand. The zero value is ready for
// use.
type Dialer struct {
	Hello func() Hello // returns the first frame of a session
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Clock clockwork.Clock
	// Sessions is the maximum number of sessions to a peer; zero means 2. A single
	// session needs half the memory and suffices for small calls.
	Sessions int
	Buffers  *BufferLimit // of the sessions; nil limits each by itself
	Link     *Link        // of the sessions; may be nil

	mutex       sync.Mutex
	peers       map[netip.AddrPort]*peer
	closed      bool
	dials       sync.WaitGroup
	dialContext context.Context    // of the dials; nil before the first one
	cancelDials context.CancelFunc // nil before the first dial
}

// peer is the dial state of an address. The mutex of the Dialer guards it.
type peer struct {
	sessions     []*Session
	dialing      chan struct{} // closed when the dial in progress ends
	dialError    error         // of the last dial; nil if it succeeded
	backoff      time.Duration // before jitter; zero after a success
	nextDial     time.Time
	nextReplace  time.Time // until then no session is replaced
	leavingUntil time.Time // the peer counts as leaving until then, after a GoAway
}

// Open opens a stream to a peer. An error means that nothing of the call was sent.
func (d *Dialer) Open(ctx context.Context, address netip.AddrPort, o Open) (*Stream, error) {
	for {
		s, dialed, err := d.pickSession(address)
		if err != nil {
			return nil, err
		}
		if s != nil {
			return s.open(ctx, &o)
		}
		timeout := thclock.OrSystem(d.Clock).NewTimer(dialWaitTimeout)
		select {
		case <-dialed:
			timeout.Stop()
		case <-timeout.Chan():
			return nil, therror.New(therror.Down, "no connection to %s within %s", address, dialWaitTimeout)
		case <-ctx.Done():
			timeout.Stop()
			if k := therror.KindOf(context.Cause(ctx)); k == therror.Cancelled {
				return nil, contextError(ctx)
			}
			return nil, therror.New(therror.Down, "deadline passed while dialling %s", address)
		}
	}
}

// SeenGoAway reports whether the peer sent a GoAway within the last goAwayPeriod.
func (d *Dialer) SeenGoAway(address netip.AddrPort) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.peers[address]
	if p == nil {
		return false
	}
	now := thclock.OrSystem(d.Clock).Now()
	p.pruneSessions(now)
	return now.Before(p.leavingUntil)
}

// PeerRestarted resets the state of a peer whose daemon has restarted: a GoAway of the
// previous process and the backoff of failed dials no longer apply.
func (d *Dialer) PeerRestarted(address netip.AddrPort) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.peers[address]
	if p == nil {
		return
	}
	p.pruneSessions(thclock.OrSystem(d.Clock).Now())
	p.leavingUntil, p.nextDial, p.backoff = time.Time{}, time.Time{}, 0
}

// Close cancels the dials in progress, closes all sessions and waits for their goroutines.
func (d *Dialer) Close() {
	d.mutex.Lock()
	d.closed = true
	var sessions []*Session
	for _, p := range d.peers {
		sessions = append(sessions, p.sessions...)
	}
	cancelDials := d.cancelDials
	d.mutex.Unlock()
	if cancelDials != nil {
		cancelDials()
	}
	d.dials.Wait()
	for _, s := range sessions {
		s.Close()
	}
}

// pruneSessions removes broken sessions and those that accept no new streams. The
// latter close when they are idle. The mutex of the Dialer is held.
func (p *peer) pruneSessions(now time.Time) {
	kept := p.sessions[:0]
	for _, s := range p.sessions {
		switch {
		case s.peerGoingAway.Load():
			p.leavingUntil = now.Add(goAwayPeriod)
			go s.closeWhenIdle()
		case s.streamIDsExhausted():
			go s.closeWhenIdle()
		case s.silent.Load():
			p.nextDial, p.dialError = now.Add(silentPeerPause), therror.New(therror.Broken, "peer silent")
			go s.closeWhenIdle()
		case !s.answersPing() && !now.Before(p.nextReplace):
			p.nextReplace = now.Add(silentPeerPause)
			go s.closeWhenIdle()
		case s.alive():
			kept = append(kept, s)
		}
	}
	clear(p.sessions[len(kept):])
	p.sessions = kept
}

// maxPeers is the number of stored addresses from which unused ones are evicted.
const maxPeers = 4096

// evictUnused removes peers without sessions, so that replaced daemons don't use memory
// forever. The mutex is held.
func (d *Dialer) evictUnused(now time.Time) {
	if len(d.peers) < maxPeers {
		return
	}
	for a, p := range d.peers {
		if len(p.sessions) == 0 && p.dialing == nil && now.After(p.nextDial) && now.After(p.leavingUntil) {
			delete(d.peers, a)
		}
	}
}

// pickSession returns the session with the fewest streams, or a channel that is closed
// when the dial in progress has ended. It starts a dial if the peer has fewer than
// the maximum of sessions.
func (d *Dialer) pickSession(address netip.AddrPort) (*Session, <-chan struct{}, error) {
	now := thclock.OrSystem(d.Clock).Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return nil, nil, therror.New(therror.Leaving, "this daemon is stopping")
	}
	if d.peers == nil {
		d.peers = make(map[netip.AddrPort]*peer)
	}
	p := d.peers[address]
	if p == nil {
		d.evictUnused(now)
		p = &peer{}
		d.peers[address] = p
	}
	p.pruneSessions(now)
	if now.Before(p.leavingUntil) {
		return nil, nil, therror.New(therror.Leaving, "peer %s is leaving", address)
	}
	maxSessions := d.Sessions
	if maxSessions == 0 {
		maxSessions = defaultSessionsPerPeer
	}
	if len(p.sessions) < maxSessions && p.dialing == nil && !now.Before(p.nextDial) {
		p.dialing = make(chan struct{})
		if d.dialContext == nil {
			d.dialContext, d.cancelDials = context.WithCancel(context.Background())
		}
		ctx := d.dialContext
		d.dials.Go(func() { d.dial(ctx, address, p) })
	}
	var leastLoaded *Session
	streams := 0
	for _, s := range p.sessions {
		if n := s.Active(); leastLoaded == nil || n < streams {
			leastLoaded, streams = s, n
		}
	}
	switch {
	case leastLoaded != nil:
		return leastLoaded, nil, nil
	case p.dialing != nil:
		return nil, p.dialing, nil
	}
	return nil, nil, therror.Wrap(therror.Down, p.dialError, "peer %s, next dial in %s", address, p.nextDial.Sub(now)).WithRetryAfter(p.nextDial.Sub(now))
}

func (d *Dialer) dial(ctx context.Context, address netip.AddrPort, p *peer) {
	s, err := d.connect(ctx, address)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	close(p.dialing)
	p.dialing = nil
	p.dialError = err
	if err != nil {
		p.backoff = min(max(2*p.backoff, initialBackoff), maxBackoff)
		p.nextDial = thclock.OrSystem(d.Clock).Now().Add(time.Duration(rand.Int64N(int64(p.backoff))) + time.Millisecond)
		return
	}
	if d.closed {
		s.fail(therror.New(therror.Down, "dialer closed"))
		return
	}
	p.backoff = 0
	p.sessions = append(p.sessions, s)
	go s.closeAfter(idleTimeout)
}

func (d *Dialer) connect(ctx context.Context, address netip.AddrPort) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c, err := dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, therror.Wrap(therror.Down, err, "dial")
	}
	h := Hello{Protocol: Protocol, Kind: KindCall}
	if d.Hello != nil {
		h = d.Hello()
		h.Protocol, h.Kind = Protocol, KindCall
	}
	b, err := AppendFrame(nil, TypeHello, &h)
	if err == nil {
		_, err = c.Write(b)
	}
	if err != nil {
		_ = c.Close()
		return nil, therror.Wrap(therror.Down, err, "hello")
	}
	return startSessionOnLink(c, nil, d.Clock, d.Buffers, d.Link), nil
}

// closeAfter waits until the session has had no streams for the given time and closes
// it. It returns early if the session ends.
func (s *Session) closeAfter(idle time.Duration) {
	t := s.clock.NewTicker(idle / 4)
	defer t.Stop()
	for {
		select {
		case <-t.Chan():
		case <-s.done:
			return
		}
		if s.closeIfIdle(idle) {
			return
		}
	}
}

// closeWhenIdle closes a session that accepts no new streams, a second after its last
// stream.
func (s *Session) closeWhenIdle() { s.closeAfter(time.Second) }

// closeIfIdle closes the session if it has been idle for the given time. It reports
// whether the session has ended.
func (s *Session) closeIfIdle(idle time.Duration) bool {
	return s.failIf(therror.New(therror.Down, "session idle"), func() bool {
		return len(s.streams) == 0 && s.clock.Since(s.idleSince) >= idle
	})
}
