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

// Heartbeat is a heartbeat of a backend server instance, or what it says when it leaves.
type Heartbeat struct {
	Instance     string // id of the instance
	Address      netip.AddrPort
	Service      string
	Version      string
	Slots        int
	Leaving      bool          // takes no new work; serves what it has
	Deregistered bool          // the last message of the instance, without the fields above
	Sequence     uint64        // rises with each heartbeat of one instance
	ColdDuration time.Duration // how long the instance stays cold
	StartTime    time.Time     // when the instance started, zero where it does not say
}

// Entry is what a Registry knows of the backend server.
type Entry struct {
	Heartbeat
	ColdUntil time.Time
	Last      time.Time // when the last heartbeat arrived
	Silent    bool      // no heartbeat for longer than the registry's limit
}

// Server returns the entry as other daemons see it.
func (e *Entry) Server(now time.Time) *thwire.Server {
	s := &thwire.Server{
		Service: e.Service, Version: e.Version, Slots: e.Slots, Instance: e.Instance, State: thwire.ServerReady,
	}
	if !e.StartTime.IsZero() {
		s.Born = e.StartTime.UnixMilli()
	}
	switch {
	case e.Leaving || e.Deregistered:
		s.State = thwire.ServerLeaving
	case now.Before(e.ColdUntil):
		s.State = thwire.ServerStarting
	}
	return s
}

// maxLeftInstances bounds the instances whose end a Registry remembers. One daemon has
// one backend server at a time.
const maxLeftInstances = 64

// Registry keeps the one backend server beside a daemon by the heartbeats of
// its instances, which may arrive late, out of order, or from an instance that
// has ended. Set the exported fields before use.
type Registry struct {
	Service string // heartbeats of other services are refused
	Address netip.AddrPort
	Clock   clockwork.Clock
	Log     hclog.Logger

	notifyMutex sync.Mutex // serialises callbacks
	mutex       sync.Mutex
	current     *Entry
	left        map[string]time.Time // instances that have left, and when they were born
	watchers    []func(*Entry)
}

// Watch adds a callback for each change of the entry; nil means no server.
func (g *Registry) Watch(f func(*Entry)) { g.watchers = append(g.watchers, f) }

// Current returns the entry, or nil.
func (g *Registry) Current() *Entry {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.current
}

// HandleHeartbeat takes a heartbeat. It returns once all callbacks have run, so that an
// acknowledged end is in force. The error is of kind Bad for a heartbeat that
// names no server to use.
func (g *Registry) HandleHeartbeat(b Heartbeat) error {
	if err := g.validate(b); err != nil {
		g.log().Warn("heartbeat refused", "instance", b.Instance, "service", b.Service, "address", b.Address, "error", err)
		return err
	}
	g.notifyMutex.Lock()
	defer g.notifyMutex.Unlock()
	g.mutex.Lock()
	old := g.current
	next := g.merge(b)
	g.current = next
	g.mutex.Unlock()
	if next == old {
		return nil
	}
	if old == nil || next == nil || old.Instance != next.Instance || old.Leaving != next.Leaving || old.Deregistered != next.Deregistered {
		g.log().Info("backend server changed", "instance", b.Instance, "version", b.Version, "sequence", b.Sequence,
			"leaving", b.Leaving, "gone", b.Deregistered, "cold", b.ColdDuration)
	}
	for _, f := range g.watchers {
		f(next)
	}
	return nil
}

// MarkLeft marks an instance as leaving that left before this daemon started.
func (g *Registry) MarkLeft(instance string, born time.Time) {
	if err := g.HandleHeartbeat(Heartbeat{Instance: instance, Deregistered: true, StartTime: born}); err != nil {
		g.log().Warn("end of an instance not taken", "instance", instance, "error", err)
	}
}

func (g *Registry) log() hclog.Logger {
	if g.Log == nil {
		return hclog.NewNullLogger()
	}
	return g.Log
}

func (g *Registry) validate(b Heartbeat) error {
	switch {
	case b.Instance == "":
		return therror.New(therror.Bad, "no instance")
	case b.Deregistered:
		return nil
	case g.Service != "" && b.Service != g.Service:
		return therror.New(therror.Bad, "service %q is not the one beside this daemon", b.Service)
	case !b.Address.IsValid() || g.Address.IsValid() && b.Address != g.Address:
		return therror.New(therror.Bad, "address %s is not the one beside this daemon", b.Address)
	case b.Version == "" || b.Slots < 1 || b.Slots > maxSlots:
		return therror.New(therror.Bad, "no version, or %d slots", b.Slots)
	}
	return nil
}

// merge returns the entry after a heartbeat; the old one where the heartbeat
// says nothing new. The mutex is held.
func (g *Registry) merge(b Heartbeat) *Entry {
	now := thclock.Or(g.Clock).Now()
	c := g.current
	same := c != nil && c.Instance == b.Instance
	if born, ended := g.left[b.Instance]; ended && !b.StartTime.After(born) && !b.Deregistered {
		b.Leaving = true
		if !same {
			return c
		}
	}
	if b.Deregistered || b.Leaving {
		g.recordLeft(b)
	}
	switch {
	case b.Deregistered && (!same || !b.StartTime.IsZero() && b.StartTime.Before(c.StartTime)):
		return c // of an instance that is no longer the current one
	case b.Deregistered:
		n := *c
		n.Leaving, n.Deregistered, n.Last = true, true, now
		return &n
	case c == nil:
	case same && b.StartTime.Equal(c.StartTime):
		if b.Sequence <= c.Sequence {
			return c // a late heartbeat
		}
		b.Leaving = b.Leaving || c.Leaving
	case b.StartTime.Before(c.StartTime):
		return c // an instance that was there before the current one
	}
	n := &Entry{Heartbeat: b, Last: now}
	if b.ColdDuration > 0 {
		n.ColdUntil = now.Add(b.ColdDuration)
	}
	return n
}

// recordLeft notes that an instance has left.
func (g *Registry) recordLeft(b Heartbeat) {
	if g.left == nil {
		g.left = map[string]time.Time{}
	}
	if len(g.left) >= maxLeftInstances {
		for id, born := range g.left {
			if born.Before(b.StartTime) {
				delete(g.left, id)
			}
		}
	}
	if old, found := g.left[b.Instance]; !found || b.StartTime.After(old) {
		g.left[b.Instance] = b.StartTime
	}
}
