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
	sessionsPerPeer = 2
	dialTimeout     = time.Second
	// openWait is how long a call waits for a dial: a peer that is there answers
	// within the time of a round trip, and another server can take the call. The
	// dial goes on for later calls.
	openWait     = 250 * time.Millisecond
	idleLimit    = 30 * time.Second
	backoffFirst = 100 * time.Millisecond
	backoffLast  = 5 * time.Second
	// time after a GoAway during which the peer is not redialled
	awayTime = 5 * time.Second
)

// Dialer keeps sessions to peers, opened on demand. The zero value works.
type Dialer struct {
	Hello func() Hello // first frame of each session
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Clock clockwork.Clock
	// Sessions is how many sessions a peer may get; zero means 2. One takes half
	// the memory and is enough where calls are small.
	Sessions int

	mutex  sync.Mutex
	peers  map[netip.AddrPort]*peer
	closed bool
	dials  sync.WaitGroup
}

type peer struct {
	sessions []*Session
	dialing  chan struct{} // closed when the dial in progress ends
	failure  error         // of the last dial
	wait     time.Duration // backoff before jitter
	notUntil time.Time
	away     time.Time // until when the peer counts as leaving
}

// Open opens a stream to a peer. An error proves that nothing was sent.
func (d *Dialer) Open(ctx context.Context, address netip.AddrPort, o Open) (*Stream, error) {
	for {
		s, wait, err := d.pick(address)
		if err != nil {
			return nil, err
		}
		if s != nil {
			return s.open(ctx, &o)
		}
		limit := thclock.OrSystem(d.Clock).NewTimer(openWait)
		select {
		case <-wait:
			limit.Stop()
		case <-limit.Chan():
			return nil, therror.New(therror.Down, "no connection to %s within %s", address, openWait)
		case <-ctx.Done():
			limit.Stop()
			if k := therror.KindOf(context.Cause(ctx)); k == therror.Cancelled {
				return nil, contextError(ctx)
			}
			return nil, therror.New(therror.Down, "deadline passed while dialling %s", address)
		}
	}
}

// SeenGoAway reports whether the peer has lately asked for no further calls.
func (d *Dialer) SeenGoAway(address netip.AddrPort) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.peers[address]
	if p == nil {
		return false
	}
	now := thclock.OrSystem(d.Clock).Now()
	p.sweep(now)
	return now.Before(p.away)
}

// Returned tells that the daemon at an address has started again: what its
// former process said, and failed dials to it, no longer count.
func (d *Dialer) Returned(address netip.AddrPort) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.peers[address]
	if p == nil {
		return
	}
	p.sweep(thclock.OrSystem(d.Clock).Now())
	p.away, p.notUntil, p.wait = time.Time{}, time.Time{}, 0
}

// Close breaks all sessions and waits for them.
func (d *Dialer) Close() {
	d.mutex.Lock()
	d.closed = true
	var all []*Session
	for _, p := range d.peers {
		all = append(all, p.sessions...)
	}
	d.mutex.Unlock()
	d.dials.Wait()
	for _, s := range all {
		s.Close()
	}
}

// sweep drops broken sessions and notes those that take no new streams.
func (p *peer) sweep(now time.Time) {
	kept := p.sessions[:0]
	for _, s := range p.sessions {
		switch {
		case s.goneAway.Load():
			p.away = now.Add(awayTime)
			go s.closeWhenIdle()
		case s.spent():
			go s.closeWhenIdle()
		case s.alive():
			kept = append(kept, s)
		}
	}
	clear(p.sessions[len(kept):])
	p.sessions = kept
}

// maxPeers is the number of known addresses above which unused ones are forgotten.
const maxPeers = 4096

// forget drops peers without sessions, so that replaced daemons take no memory.
func (d *Dialer) forget(now time.Time) {
	if len(d.peers) < maxPeers {
		return
	}
	for a, p := range d.peers {
		if len(p.sessions) == 0 && p.dialing == nil && now.After(p.notUntil) && now.After(p.away) {
			delete(d.peers, a)
		}
	}
}

// pick returns the session with the fewest streams, or a channel that is
// closed when the dial in progress has ended.
func (d *Dialer) pick(address netip.AddrPort) (*Session, <-chan struct{}, error) {
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
		d.forget(now)
		p = &peer{}
		d.peers[address] = p
	}
	p.sweep(now)
	if now.Before(p.away) {
		return nil, nil, therror.New(therror.Leaving, "peer %s is leaving", address)
	}
	most := d.Sessions
	if most == 0 {
		most = sessionsPerPeer
	}
	if len(p.sessions) < most && p.dialing == nil && !now.Before(p.notUntil) {
		p.dialing = make(chan struct{})
		d.dials.Go(func() { d.dial(address, p) })
	}
	var best *Session
	active := 0
	for _, s := range p.sessions {
		if n := s.Active(); best == nil || n < active {
			best, active = s, n
		}
	}
	switch {
	case best != nil:
		return best, nil, nil
	case p.dialing != nil:
		return nil, p.dialing, nil
	}
	return nil, nil, therror.Wrap(therror.Down, p.failure, "peer %s, next dial in %s", address, p.notUntil.Sub(now)).WithRetryAfter(p.notUntil.Sub(now))
}

func (d *Dialer) dial(address netip.AddrPort, p *peer) {
	s, err := d.connect(address)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	close(p.dialing)
	p.dialing = nil
	p.failure = err
	if err != nil {
		p.wait = min(max(2*p.wait, backoffFirst), backoffLast)
		p.notUntil = thclock.OrSystem(d.Clock).Now().Add(time.Duration(rand.Int64N(int64(p.wait))) + time.Millisecond)
		return
	}
	if d.closed {
		s.fail(therror.New(therror.Down, "dialer closed"))
		return
	}
	p.wait = 0
	p.sessions = append(p.sessions, s)
	go s.closeAfter(idleLimit)
}

func (d *Dialer) connect(address netip.AddrPort) (*Session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
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
	return startSession(c, nil, d.Clock), nil
}

// closeAfter closes the session when it has had no streams for the given time.
func (s *Session) closeAfter(idle time.Duration) {
	t := s.clock.NewTicker(idle / 4)
	defer t.Stop()
	for {
		select {
		case <-t.Chan():
		case <-s.done:
			return
		}
		if s.retire(idle) {
			return
		}
	}
}

// closeWhenIdle closes a session that takes no new streams after its last one.
func (s *Session) closeWhenIdle() { s.closeAfter(time.Second) }

// retire closes the session if it has been idle for the given time.
func (s *Session) retire(idle time.Duration) bool {
	return s.failIf(therror.New(therror.Down, "session idle"), func() bool {
		return len(s.streams) == 0 && s.clock.Since(s.idleFrom) >= idle
	})
}
