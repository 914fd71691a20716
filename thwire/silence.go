package thwire

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	pingInterval = 500 * time.Millisecond
	// silenceTimeout is how long a peer with streams in progress may send nothing before
	// those that can be retried elsewhere end: the peer has had pingInterval to reply to a
	// ping, and an idempotent call with the typical deadline of 2 s has time for a retry.
	silenceTimeout = 900 * time.Millisecond
	// stallTimeout is how long the peer may take to reply to a ping until new calls use another
	// connection. It may only be busy, so the calls in progress go on until silenceTimeout.
	stallTimeout = 300 * time.Millisecond
	// stallPingDelay is how long a peer with streams in progress may send nothing before the
	// next call is sent with a ping.
	stallPingDelay = 150 * time.Millisecond
	// maxLinkSilence bounds the time by which a busy network link of the peer extends the two
	// timeouts above: its replies wait behind responses on other connections.
	maxLinkSilence = 2 * time.Second
	// silentPeerPause is how long a peer is not dialled again after its silence.
	silentPeerPause = time.Second
)

// adoptLinkWait adopts how long the peer's link is busy, as its load states it.
func (s *Session) adoptLinkWait(l *Load) {
	s.linkWait.Store(int64(min(l.LinkTime(), maxLinkSilence)))
}

// peerLinkWait returns the time that a reply of the peer may wait for its link.
func (s *Session) peerLinkWait() time.Duration { return time.Duration(s.linkWait.Load()) }

// keepalive pings a silent peer while streams are in progress, and calls handleSilence
// while the peer has been silent for silenceTimeout, or longer if its link is busy.
func (s *Session) keepalive() {
	defer s.loops.Done()
	t := s.clock.NewTicker(pingInterval)
	defer t.Stop()
	active := false // streams were in progress at the previous tick
	for number := uint64(1); ; number++ {
		select {
		case <-t.Chan():
		case <-s.done:
			return
		}
		if s.Active() == 0 {
			active = false
			continue
		}
		now := s.clock.Now()
		if !active { // the silence of an idle session doesn't count
			s.lastRead.Store(max(s.lastRead.Load(), thclock.Stamp(now)))
			active = true
		}
		silence := thclock.Since(s.lastRead.Load(), now)
		if silence > silenceTimeout+s.peerLinkWait() {
			s.handleSilence(therror.New(therror.Broken, "peer silent for %s", silence))
			continue
		}
		if silence > pingInterval/2 {
			s.send(TypePing, Ping{Number: number})
		}
	}
}

// answersPing reports whether the peer replies in time to the pings that are sent with new
// calls. A connection may fall silent for good while the peer accepts new ones. It uses no
// timer, as a daemon has a session to most others.
func (s *Session) answersPing() bool {
	if s.Active() == 0 {
		return true
	}
	now := s.clock.Now()
	elapsed := now.Sub(s.started)
	if pinged := time.Duration(s.pinged.Load()); pinged > 0 {
		return elapsed-pinged < stallTimeout+s.peerLinkWait()
	}
	if thclock.Since(s.lastRead.Load(), now) >= stallPingDelay && s.pinged.CompareAndSwap(0, int64(max(elapsed, 1))) {
		s.sendLater(TypePing, Ping{})
	}
	return true
}

// handleSilence ends the streams that don't outlive the silence of the peer, and the
// session if there are no others. Frames of ended streams may still reach the peer, so
// their calls are not known to be not run.
func (s *Session) handleSilence(err error) {
	s.silent.Store(true)
	if s.failIf(err, func() bool { return !s.anyOutlivesSilence() }) {
		return
	}
	s.mutex.Lock()
	var ended []sessionStream
	for id, st := range s.streams {
		if !st.outlivesSilence() {
			ended = append(ended, st)
			delete(s.streams, id)
		}
	}
	s.mutex.Unlock()
	for _, st := range ended {
		st.endForSilence(err)
	}
}

// anyOutlivesSilence reports whether a stream outlives the silence of the peer; the mutex
// is held.
func (s *Session) anyOutlivesSilence() bool {
	for _, st := range s.streams {
		if st.outlivesSilence() {
			return true
		}
	}
	return false
}
