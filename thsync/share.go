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
	// membersStableTime is how long the number of known members stays the same before a
	// starting daemon takes itself for a poller: at first each knows only itself.
	membersStableTime = 500 * time.Millisecond
	// aloneReadDelay is the time after Holder.Spread at which a daemon that knows no
	// other reads.
	aloneReadDelay   = 500 * time.Millisecond
	aloneReadSpread = time.Second
	// ownReadDelay is the time after Holder.Spread at which a daemon that is still not
	// ready reads itself: then those that poll do not answer.
	ownReadDelay   = time.Second
	minOwnReadSpread = time.Second // at least, otherwise Holder.Spread
	// failedReadSpread spreads the own reads after a poller has failed to read.
	failedReadSpread = time.Second
	maxWaiting    = 1024
)

// headSharing is the state of reads of the head for other daemons, and by others.
type headSharing struct {
	pollers []string        // daemons that poll for the own zone, without this one
	maxMembers int             // most members known so far
	grownAt time.Time       // when that became so
	waiting  []string        // daemons that wait for the next read here
	asked   map[string]bool // daemons that this one has asked
	aloneReadAt   time.Time       // own reads without other members
	ownReadAt     time.Time       // own reads in any case
}

func (s *headSharing) observeMembers(members int, now time.Time) {
	if members > s.maxMembers {
		s.maxMembers, s.grownAt = members, now
	}
}

func (s *headSharing) takeWaiting() []string {
	all := s.waiting
	s.waiting = nil
	return all
}

// scheduleOwnReads sets the times of own reads of a daemon that starts.
func (r *Replica) scheduleOwnReads(now time.Time) {
	s := &r.poller.sharing
	s.asked = map[string]bool{}
	s.aloneReadAt = now.Add(r.StartupSpread + aloneReadDelay + time.Duration(r.random.Int64N(int64(aloneReadSpread))))
	s.ownReadAt = now.Add(r.StartupSpread + ownReadDelay + time.Duration(r.random.Int64N(int64(max(r.StartupSpread, minOwnReadSpread)))))
}

// mayReadHead reports whether this daemon reads the head itself.
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

// askPoller asks a poller for a read of the head, another one each time.
func (r *Replica) askPoller() {
	s := &r.poller.sharing
	if r.gate.headRead || r.isPoller() || len(s.pollers) == 0 {
		return
	}
	name := s.pollers[r.random.IntN(len(s.pollers))]
	s.asked[name] = true
	r.send(name, thwire.TypeAsk, &thwire.Ask{})
}

func (r *Replica) handleAsk(from string, payload []byte) {
	var m thwire.Ask
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

// sendHead answers the daemons that have asked before a read of the head.
func (r *Replica) sendHead(askers []string, head thstore.Head, err error) {
	for _, name := range askers {
		r.send(name, thwire.TypeRead, &thwire.HeadRead{Version: head.Version, Failed: err != nil})
	}
}

func (r *Replica) handleRead(from string, payload []byte) {
	var m thwire.HeadRead
	r.decode(from, payload, &m, func() { r.onRead(from, m) })
}

// onRead takes the head that a poller has read. After a failed read this daemon
// tries itself: only its own failure opens the gate without the platform.
func (r *Replica) onRead(from string, m thwire.HeadRead) {
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
