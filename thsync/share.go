package thsync

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// A daemon that starts does not read the platform itself: it asks a daemon that
// polls for its zone for a read of the head that begins after the question. That
// tells as much as an own read, and the start of 680 daemons at once costs the
// platform the reads of the pollers only.
const (
	// settleWait is how long the number of known members stays the same before a
	// starting daemon takes itself for a poller: at first each knows only itself.
	settleWait = 500 * time.Millisecond
	// aloneWait is the time after Holder.Spread at which a daemon that knows no
	// other reads.
	aloneWait   = 500 * time.Millisecond
	aloneSpread = time.Second
	// ownWait is the time after Holder.Spread at which a daemon that is still not
	// ready reads itself: then those that poll do not answer.
	ownWait   = time.Second
	ownSpread = time.Second // at least, otherwise Holder.Spread
	// failedSpread spreads the own reads after a poller has failed to read.
	failedSpread = time.Second
	maxAskers    = 1024
)

// share is the state of reads of the head for other daemons, and by others.
type share struct {
	readers []string        // daemons that poll for the own zone, without this one
	members int             // most members known so far
	grownAt time.Time       // when that became so
	askers  []string        // daemons that wait for the next read here
	asked   map[string]bool // daemons that this one has asked
	alone   time.Time       // own reads without other members
	own     time.Time       // own reads in any case
}

func (s *share) grow(members int, now time.Time) {
	if members > s.members {
		s.members, s.grownAt = members, now
	}
}

func (s *share) take() []string {
	all := s.askers
	s.askers = nil
	return all
}

// startShare sets the times of own reads of a daemon that starts.
func (h *Replica) startShare(now time.Time) {
	s := &h.poller.share
	s.asked = map[string]bool{}
	s.alone = now.Add(h.StartupSpread + aloneWait + time.Duration(h.random.Int64N(int64(aloneSpread))))
	s.own = now.Add(h.StartupSpread + ownWait + time.Duration(h.random.Int64N(int64(max(h.StartupSpread, ownSpread)))))
}

// mayRead reports whether this daemon reads the head itself.
func (h *Replica) mayRead(now time.Time, duty bool) bool {
	s := &h.poller.share
	switch {
	case h.ready.Load():
		return duty
	case !now.Before(s.own):
		return true
	case s.members <= 1:
		return !now.Before(s.alone)
	}
	return duty && now.Sub(s.grownAt) >= settleWait
}

// askReader asks a poller for a read of the head, another one each time.
func (h *Replica) askReader() {
	s := &h.poller.share
	if h.gate.read || h.onDuty() || len(s.readers) == 0 {
		return
	}
	name := s.readers[h.random.IntN(len(s.readers))]
	s.asked[name] = true
	h.send(name, thwire.TypeAsk, &thwire.Ask{})
}

func (h *Replica) handleAsk(from string, payload []byte) {
	var m thwire.Ask
	h.decode(from, payload, &m, func() { h.onAsk(from) })
}

func (h *Replica) onAsk(from string) {
	s := &h.poller.share
	for _, a := range s.askers {
		if a == from {
			return
		}
	}
	if h.onDuty() && len(s.askers) < maxAskers {
		s.askers = append(s.askers, from)
	}
}

// tell answers the daemons that have asked before a read of the head.
func (h *Replica) tell(askers []string, head thstore.Head, err error) {
	for _, name := range askers {
		h.send(name, thwire.TypeRead, &thwire.HeadRead{Version: head.Version, Failed: err != nil})
	}
}

func (h *Replica) handleRead(from string, payload []byte) {
	var m thwire.HeadRead
	h.decode(from, payload, &m, func() { h.onRead(from, m) })
}

// onRead takes the head that a poller has read. After a failed read this daemon
// tries itself: only its own failure opens the gate without the platform.
func (h *Replica) onRead(from string, m thwire.HeadRead) {
	s := &h.poller.share
	if h.gate.passed || !s.asked[from] {
		return
	}
	delete(s.asked, from)
	if m.Failed {
		if at := h.Clock.Now().Add(time.Duration(h.random.Int64N(int64(failedSpread)))); at.Before(s.own) {
			s.own = at
		}
		return
	}
	h.gate.head(m.Version)
	if m.Version > h.versions.latest.Tables.Version {
		h.fetch(from)
	}
}
