package thsync

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// A starting daemon does not read the head itself. It asks a poller of its zone,
// which replies with the result of a read that starts after the request and so is
// as current as a read by the daemon. When 680 daemons start at once, only the
// pollers read the platform.
const (
	// membersStableTime is how long the number of members must be stable before a
	// starting daemon acts as a poller: at first each daemon sees only itself and
	// ranks first in its zone.
	membersStableTime = 500 * time.Millisecond
	// aloneReadDelay is how long after Replica.StartupSpread a daemon that has
	// discovered no other member reads the head itself, and aloneReadSpread the range
	// of the random addition.
	aloneReadDelay  = 500 * time.Millisecond
	aloneReadSpread = time.Second
	// ownReadDelay is how long after Replica.StartupSpread a daemon that is still not
	// ready reads the head itself, since the pollers evidently do not reply.
	ownReadDelay     = time.Second
	minOwnReadSpread = time.Second // minimum of the random addition, whose range is Replica.StartupSpread
	// failedReadSpread is the interval over which daemons distribute their own reads
	// at random after a poller has reported a failed read.
	failedReadSpread = time.Second
	maxWaiting       = 1024 // daemons that may wait for one read; requests above it are dropped
)

// headSharing is the state of requests to pollers for a read of the head, both sent
// by this daemon and received by it.
type headSharing struct {
	pollers     []string        // pollers of this daemon's zone, without this daemon
	maxMembers  int             // largest number of members so far
	grownAt     time.Time       // when maxMembers last increased
	waiting     []string        // daemons that wait for the next read by this daemon
	asked       map[string]bool // pollers that this daemon has asked
	aloneReadAt time.Time       // from then on this daemon reads itself if it is the only member
	ownReadAt   time.Time       // from then on this daemon reads itself in any case
}

func (s *headSharing) observeMembers(members int, now time.Time) {
	if members > s.maxMembers {
		s.maxMembers, s.grownAt = members, now
	}
}

// takeWaiting returns the waiting daemons and clears the list.
func (s *headSharing) takeWaiting() []string {
	all := s.waiting
	s.waiting = nil
	return all
}

// scheduleOwnReads sets the times from which a starting daemon reads the head itself.
func (r *Replica) scheduleOwnReads(now time.Time) {
	s := &r.poller.sharing
	s.asked = map[string]bool{}
	s.aloneReadAt = now.Add(r.StartupSpread + aloneReadDelay + time.Duration(r.random.Int64N(int64(aloneReadSpread))))
	s.ownReadAt = now.Add(r.StartupSpread + ownReadDelay + time.Duration(r.random.Int64N(int64(max(r.StartupSpread, minOwnReadSpread)))))
}

// mayReadHead reports whether this daemon reads the head itself; poller is the
// result of isPoller.
func (r *Replica) mayReadHead(now time.Time, poller bool) bool {
	s := &r.poller.sharing
	switch {
	case r.ready.Load():
		return poller
	case !now.Before(s.ownReadAt):
		return true
	case s.maxMembers <= 1:
		return !now.Before(s.aloneReadAt)
	}
	return poller && now.Sub(s.grownAt) >= membersStableTime
}

// askPoller asks a random poller of the zone for a read of the head, unless this
// daemon has read the head or is a poller itself.
func (r *Replica) askPoller() {
	s := &r.poller.sharing
	if r.gate.headRead || r.isPoller() || len(s.pollers) == 0 {
		return
	}
	name := s.pollers[r.random.IntN(len(s.pollers))]
	s.asked[name] = true
	r.send(name, thwire.TypeConfigHeadRequest, &thwire.ConfigHeadRequest{})
}

func (r *Replica) handleAsk(from string, payload []byte) {
	var m thwire.ConfigHeadRequest
	r.decode(from, payload, &m, func() { r.onAsk(from) })
}

func (r *Replica) onAsk(from string) {
	s := &r.poller.sharing
	for _, a := range s.waiting {
		if a == from {
			return
		}
	}
	if r.isPoller() && len(s.waiting) < maxWaiting {
		s.waiting = append(s.waiting, from)
	}
}

// sendHead sends the result of a read of the head to the daemons that asked for it
// before the read started.
func (r *Replica) sendHead(waiting []string, head thstore.Head, err error) {
	for _, name := range waiting {
		r.send(name, thwire.TypeConfigHead, &thwire.ConfigHead{Version: head.Version, Failed: err != nil})
	}
}

func (r *Replica) handleRead(from string, payload []byte) {
	var m thwire.ConfigHead
	r.decode(from, payload, &m, func() { r.onRead(from, m) })
}

// onRead processes the head that a poller has read. After a failed read of the
// poller this daemon reads the platform itself, because only a failure of its own
// read may let the gate pass without the platform.
func (r *Replica) onRead(from string, m thwire.ConfigHead) {
	s := &r.poller.sharing
	if r.gate.passed || !s.asked[from] {
		return
	}
	delete(s.asked, from)
	if m.Failed {
		if at := r.Clock.Now().Add(time.Duration(r.random.Int64N(int64(failedReadSpread)))); at.Before(s.ownReadAt) {
			s.ownReadAt = at
		}
		return
	}
	r.gate.setHead(m.Version)
	if m.Version > r.versions.latest.Tables.Version {
		r.fetch(from)
	}
}
