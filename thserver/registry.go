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

// Heartbeat is a heartbeat of a backend server instance, or its deregistration.
type Heartbeat struct {
	Instance     string // id of the instance
	Address      netip.AddrPort
	Service      string
	Version      string
	Slots        int
	Leaving      bool          // the instance takes no new calls and completes those in progress
	Deregistered bool          // the last message of the instance; only Instance and StartTime are set
	Sequence     uint64        // increases with each heartbeat of an instance
	ColdDuration time.Duration // remaining time in which the instance is cold
	StartTime    time.Time     // when the instance started; zero if unknown
}

// Entry is the state of the local backend server in a Registry. It is immutable.
type Entry struct {
	Heartbeat
	ColdUntil     time.Time // end of the cold start; zero if the instance is not cold
	LastHeartbeat time.Time // when the last heartbeat arrived
	Silent        bool      // no heartbeat for longer than a limit; Registry does not set it
}

// Server returns the record that is published to other daemons. A server that has left
// is leaving, and a cold one is starting.
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

// Conditions on which a process that started before the current one replaces it: the current
// one has sent nothing for takeoverSilence, and the other has sent takeoverHeartbeats since
// then. Heartbeats of an ended process arrive at most seconds late. A time of day that was
// ahead, or another writer, may have made the start of the current one too late.
const (
	takeoverSilence    = 5 * time.Second
	takeoverHeartbeats = 3
)

// maxLeftInstances is the number of stored instances that have left from which on
// recordLeft removes earlier ones. A daemon has one backend server at a time.
const maxLeftInstances = 64

// Registry tracks the local backend server by the heartbeats of its instances, which
// may arrive late, out of order, or from an instance that has ended. Set the exported
// fields and call Watch before use.
type Registry struct {
	Service string          // heartbeats of other services are rejected; empty accepts any
	Address netip.AddrPort  // heartbeats of other addresses are rejected; zero accepts any
	Clock   clockwork.Clock // nil means the real clock
	Log     hclog.Logger    // nil discards all lines

	notifyMutex sync.Mutex // serialises callbacks, so that they see changes in order
	mutex       sync.Mutex // guards the fields below
	current     *Entry
	challenger  challenger
	left        map[string]time.Time // start times of instances that have left, by instance
	watchers    []func(*Entry)
}

// challenger is a process that started before the current one and sends heartbeats although
// the current one is silent.
type challenger struct {
	instance   string
	start      time.Time
	sequence   uint64 // of the last heartbeat
	heartbeats int    // in the order of their sequence
}

// Watch adds a callback for each new entry, including those that only update it.
func (g *Registry) Watch(f func(*Entry)) { g.watchers = append(g.watchers, f) }

// Current returns the current entry, or nil before the first accepted heartbeat.
func (g *Registry) Current() *Entry {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.current
}

// HandleHeartbeat merges a heartbeat into the current entry. It returns after all
// callbacks have run, so that a deregistration is in effect once it is acknowledged.
// Late heartbeats of the current process are ignored. The error is of kind Bad for an
// invalid heartbeat or one that is not of the local backend server, and Conflict for one
// without effect, since a process that started later is the current one.
func (g *Registry) HandleHeartbeat(h Heartbeat) error {
	if err := g.validate(h); err != nil {
		return err
	}
	g.notifyMutex.Lock()
	defer g.notifyMutex.Unlock()
	return g.update(g.withStartTime(h))
}

// update merges a heartbeat into the current entry and calls the callbacks. The caller holds
// notifyMutex.
func (g *Registry) update(h Heartbeat) error {
	g.mutex.Lock()
	old := g.current
	next, err := g.merge(h)
	g.current = next
	g.mutex.Unlock()
	if next == old {
		return err
	}
	if old == nil || next == nil || old.Instance != next.Instance || old.Leaving != next.Leaving || old.Deregistered != next.Deregistered {
		g.log().Info("backend server changed", "instance", h.Instance, "version", h.Version, "sequence", h.Sequence,
			"leaving", h.Leaving, "gone", h.Deregistered, "cold", h.ColdDuration)
	}
	for _, f := range g.watchers {
		f(next)
	}
	return err
}

// Departure returns the start time of the latest process of an instance that is known to
// have left; false if none is.
func (g *Registry) Departure(instance string) (start time.Time, departed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	start, departed = g.left[instance]
	return start, departed
}

// MarkLeaving records that the current instance states that it is leaving. It does
// nothing for an earlier instance or process.
func (g *Registry) MarkLeaving(instance string, start time.Time) {
	g.notifyMutex.Lock()
	defer g.notifyMutex.Unlock()
	g.mutex.Lock()
	c := g.current
	if c == nil || c.Instance != instance || !c.StartTime.Equal(start) || c.Leaving {
		g.mutex.Unlock()
		return
	}
	next := *c
	next.Leaving = true
	g.recordLeft(next.Heartbeat)
	g.current = &next
	g.mutex.Unlock()
	g.log().Info("backend server changed", "instance", instance, "version", next.Version, "sequence", next.Sequence,
		"leaving", true, "stated_by", "response")
	for _, f := range g.watchers {
		f(&next)
	}
}

// MarkLeft records that the process of an instance with a start time left before this daemon
// started, so that its late heartbeats are ignored.
func (g *Registry) MarkLeft(instance string, start time.Time) {
	g.notifyMutex.Lock()
	defer g.notifyMutex.Unlock()
	if err := g.update(Heartbeat{Instance: instance, Deregistered: true, StartTime: start}); err != nil {
		g.log().Debug("instance that has left is not the current one", "instance", instance, "error", err)
	}
}

func (g *Registry) log() hclog.Logger {
	if g.Log == nil {
		return hclog.NewNullLogger()
	}
	return g.Log
}

// validate returns an error of kind Bad for an invalid or foreign heartbeat.
func (g *Registry) validate(h Heartbeat) error {
	switch {
	case h.Instance == "" || len(h.Instance) > thwire.MaxInstanceBytes:
		return therror.New(therror.Bad, "an instance needs an id of 1 to %d bytes", thwire.MaxInstanceBytes)
	case h.Deregistered:
		return nil
	case g.Service != "" && h.Service != g.Service:
		return therror.New(therror.Bad, "service %q is not that of this daemon's backend server", h.Service)
	case !h.Address.IsValid() || g.Address.IsValid() && h.Address != g.Address:
		return therror.New(therror.Bad, "address %s is not that of this daemon's backend server", h.Address)
	case h.Service == "" || len(h.Service) > thwire.MaxNameBytes || len(h.Version) > thwire.MaxNameBytes:
		return therror.New(therror.Bad, "service or version is empty or longer than %d bytes", thwire.MaxNameBytes)
	case h.Version == "" || h.Slots < 1 || h.Slots > maxSlots:
		return therror.New(therror.Bad, "version is missing or number of slots %d is out of range", h.Slots)
	}
	return nil
}

// merge returns the entry after a heartbeat, or the current one if the heartbeat has no
// effect on it. The error is of kind Conflict for a heartbeat that is outdated by a later
// process. The caller holds the mutex.
func (g *Registry) merge(h Heartbeat) (*Entry, error) {
	now := thclock.OrSystem(g.Clock).Now()
	c := g.current
	same := c != nil && c.Instance == h.Instance
	if g.hasLeft(h) {
		h.Leaving = true
		if !same {
			return c, nil
		}
	}
	if h.Deregistered || h.Leaving {
		g.recordLeft(h)
	}
	switch {
	case c != nil && same:
		return g.mergeSame(h, now)
	case c != nil:
		return g.mergeOther(h, now)
	case h.Deregistered:
		return nil, nil //nolint:nilnil // no server and no error
	}
	return g.replace(h, now), nil
}

// mergeSame is merge for the instance of the current entry.
func (g *Registry) mergeSame(h Heartbeat, now time.Time) (*Entry, error) {
	c := g.current
	switch {
	case h.StartTime.Before(c.StartTime) && (h.Deregistered || h.Leaving || !g.takesOver(h, now)):
		return c, errOutdated(h, c)
	case h.Deregistered:
		n := *c
		n.Leaving, n.Deregistered, n.LastHeartbeat = true, true, now
		return &n, nil
	case h.StartTime.Equal(c.StartTime) && h.Sequence <= c.Sequence:
		return c.afterLate(h, now), nil
	case h.StartTime.Equal(c.StartTime):
		h.Leaving = h.Leaving || c.Leaving
	}
	return g.replace(h, now), nil
}

// mergeOther is merge for another instance than that of the current entry.
func (g *Registry) mergeOther(h Heartbeat, now time.Time) (*Entry, error) {
	c := g.current
	outdated := h.StartTime.Before(c.StartTime)
	switch {
	case h.Deregistered || h.Leaving && outdated:
		return c, nil // in effect: requests to the current instance name it
	case outdated && !g.takesOver(h, now):
		return c, errOutdated(h, c)
	}
	return g.replace(h, now), nil
}

// replace returns the entry of a process that becomes or stays the current one.
func (g *Registry) replace(h Heartbeat, now time.Time) *Entry {
	g.challenger = challenger{}
	n := &Entry{Heartbeat: h, LastHeartbeat: now}
	if h.ColdDuration > 0 {
		n.ColdUntil = now.Add(h.ColdDuration)
	}
	return n
}

// errOutdated returns the error for a message of a process that started before the current one.
func errOutdated(h Heartbeat, current *Entry) error {
	return therror.New(therror.Conflict, "instance %q started at %s, sequence %d: instance %q has started later, at %s, and was heard at %s",
		h.Instance, formatTime(h.StartTime), h.Sequence, current.Instance, formatTime(current.StartTime), formatTime(current.LastHeartbeat))
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }

// takesOver counts a heartbeat of a process that started before the current one, and reports
// whether the process replaces it. The caller holds the mutex.
func (g *Registry) takesOver(h Heartbeat, now time.Time) bool {
	o := &g.challenger
	switch {
	case now.Sub(g.current.LastHeartbeat) < takeoverSilence:
		*o = challenger{}
		return false
	case o.instance != h.Instance || !o.start.Equal(h.StartTime):
		*o = challenger{instance: h.Instance, start: h.StartTime}
	case h.Sequence <= o.sequence:
		return false
	}
	o.sequence = h.Sequence
	o.heartbeats++
	return o.heartbeats >= takeoverHeartbeats
}

// afterLate returns the entry after a late or repeated heartbeat of its process. A process
// that has begun to leave goes on with that.
func (e *Entry) afterLate(h Heartbeat, now time.Time) *Entry {
	if e.Leaving || !h.Leaving {
		return e
	}
	n := *e
	n.Leaving, n.LastHeartbeat = true, now
	return &n
}

// hasLeft reports whether the process that sends a heartbeat is known to have left.
func (g *Registry) hasLeft(h Heartbeat) bool {
	start, found := g.left[h.Instance]
	return found && !h.StartTime.After(start) && !h.Deregistered
}

// withStartTime returns a deregistration that names no start time with that of the current
// process of its instance, or with that of its arrival, so that it binds all processes of
// another instance that started before. Other heartbeats are returned as they are.
func (g *Registry) withStartTime(h Heartbeat) Heartbeat {
	if !h.Deregistered || !h.StartTime.IsZero() {
		return h
	}
	if c := g.Current(); c != nil && c.Instance == h.Instance {
		h.StartTime = c.StartTime
	} else {
		h.StartTime = thclock.OrSystem(g.Clock).Now()
	}
	return h
}

// recordLeft records that an instance has left, by its latest start time.
func (g *Registry) recordLeft(h Heartbeat) {
	if g.left == nil {
		g.left = map[string]time.Time{}
	}
	if len(g.left) >= maxLeftInstances {
		for id, start := range g.left {
			if start.Before(h.StartTime) {
				delete(g.left, id)
			}
		}
	}
	if old, found := g.left[h.Instance]; !found || h.StartTime.After(old) {
		g.left[h.Instance] = h.StartTime
	}
}
