package thserver

import (
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Beat is a heartbeat of a backend server instance, or what it says when it leaves.
type Beat struct {
	Instance string // id of the instance
	Address  netip.AddrPort
	Service  string
	Version  string
	Slots    int
	Leaving  bool          // takes no new work; serves what it has
	Gone     bool          // the last message of the instance, without the fields above
	Sequence uint64        // rises with each heartbeat of one instance
	Cold     time.Duration // how long the instance stays cold
	Born     time.Time     // when the instance started, zero where it does not say
}

// Entry is what a Registry knows of the backend server.
type Entry struct {
	Beat
	ColdUntil time.Time
	Last      time.Time // when the last heartbeat arrived
	Silent    bool      // no heartbeat for longer than the registry's limit
}

// Server returns the entry as other daemons see it.
func (e *Entry) Server(now time.Time) *thwire.Server {
	s := &thwire.Server{
		Service: e.Service, Version: e.Version, Slots: e.Slots, Instance: e.Instance, State: thwire.ServerReady,
	}
	if !e.Born.IsZero() {
		s.Born = e.Born.UnixMilli()
	}
	switch {
	case e.Leaving || e.Gone:
		s.State = thwire.ServerLeaving
	case now.Before(e.ColdUntil):
		s.State = thwire.ServerStarting
	}
	return s
}

// maxLeft bounds the instances whose end a Registry remembers. One daemon has
// one backend server at a time.
const maxLeft = 64

// Registry keeps the one backend server beside a daemon by the heartbeats of
// its instances, which may arrive late, out of order, or from an instance that
// has ended. Set the exported fields before use.
type Registry struct {
	Service string // heartbeats of other services are refused
	Address netip.AddrPort
	Clock   clockwork.Clock
	Log     hclog.Logger

	notify  sync.Mutex // serialises callbacks
	mutex   sync.Mutex
	current *Entry
	left    map[string]time.Time // instances that have left, and when they were born
	watch   []func(*Entry)
}

// Watch adds a callback for each change of the entry; nil means no server.
func (g *Registry) Watch(f func(*Entry)) { g.watch = append(g.watch, f) }

// Current returns the entry, or nil.
func (g *Registry) Current() *Entry {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.current
}

// Take takes a heartbeat. It returns once all callbacks have run, so that an
// acknowledged end is in force. The error is of kind Bad for a heartbeat that
// names no server to use.
func (g *Registry) Take(b Beat) error {
	if err := g.check(b); err != nil {
		g.log().Warn("heartbeat refused", "instance", b.Instance, "service", b.Service, "address", b.Address, "error", err)
		return err
	}
	g.notify.Lock()
	defer g.notify.Unlock()
	g.mutex.Lock()
	old := g.current
	next := g.merge(b)
	g.current = next
	g.mutex.Unlock()
	if next == old {
		return nil
	}
	if old == nil || next == nil || old.Instance != next.Instance || old.Leaving != next.Leaving || old.Gone != next.Gone {
		g.log().Info("backend server changed", "instance", b.Instance, "version", b.Version, "sequence", b.Sequence,
			"leaving", b.Leaving, "gone", b.Gone, "cold", b.Cold)
	}
	for _, f := range g.watch {
		f(next)
	}
	return nil
}

// Bind marks an instance as leaving that left before this daemon started.
func (g *Registry) Bind(instance string, born time.Time) {
	if err := g.Take(Beat{Instance: instance, Gone: true, Born: born}); err != nil {
		g.log().Warn("end of an instance not taken", "instance", instance, "error", err)
	}
}

func (g *Registry) log() hclog.Logger {
	if g.Log == nil {
		return hclog.NewNullLogger()
	}
	return g.Log
}

func (g *Registry) check(b Beat) error {
	switch {
	case b.Instance == "":
		return therror.New(therror.Bad, "no instance")
	case b.Gone:
		return nil
	case g.Service != "" && b.Service != g.Service:
		return therror.New(therror.Bad, "service %q is not the one beside this daemon", b.Service)
	case !b.Address.IsValid() || g.Address.IsValid() && b.Address != g.Address:
		return therror.New(therror.Bad, "address %s is not the one beside this daemon", b.Address)
	case b.Version == "" || b.Slots < 1 || b.Slots > slotsMax:
		return therror.New(therror.Bad, "no version, or %d slots", b.Slots)
	}
	return nil
}

// merge returns the entry after a heartbeat; the old one where the heartbeat
// says nothing new. The mutex is held.
func (g *Registry) merge(b Beat) *Entry {
	now := thclock.OrSystem(g.Clock).Now()
	c := g.current
	same := c != nil && c.Instance == b.Instance
	if born, ended := g.left[b.Instance]; ended && !b.Born.After(born) && !b.Gone {
		b.Leaving = true
		if !same {
			return c
		}
	}
	if b.Gone || b.Leaving {
		g.remember(b)
	}
	switch {
	case b.Gone && (!same || !b.Born.IsZero() && b.Born.Before(c.Born)):
		return c // of an instance that is no longer the current one
	case b.Gone:
		n := *c
		n.Leaving, n.Gone, n.Last = true, true, now
		return &n
	case c == nil:
	case same && b.Born.Equal(c.Born):
		if b.Sequence <= c.Sequence {
			return c // a late heartbeat
		}
		b.Leaving = b.Leaving || c.Leaving
	case b.Born.Before(c.Born):
		return c // an instance that was there before the current one
	}
	n := &Entry{Beat: b, Last: now}
	if b.Cold > 0 {
		n.ColdUntil = now.Add(b.Cold)
	}
	return n
}

// remember notes that an instance has left.
func (g *Registry) remember(b Beat) {
	if g.left == nil {
		g.left = map[string]time.Time{}
	}
	if len(g.left) >= maxLeft {
		for id, born := range g.left {
			if born.Before(b.Born) {
				delete(g.left, id)
			}
		}
	}
	if old, found := g.left[b.Instance]; !found || b.Born.After(old) {
		g.left[b.Instance] = b.Born
	}
}
