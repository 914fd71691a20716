package thdaemon

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmemory"
	"github.com/turmerichaven/turmerichaven/thserver"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// process is a process of a backend server: an instance may start again under its id.
type process struct {
	instance string
	born     time.Time
}

// departureModel is a daemon, its store, and what it has acknowledged.
type departureModel struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	table    thmemory.Table
	registry *thserver.Registry
	recorder *departureRecorder
	left     []process // departures that the daemon has acknowledged
	trace    []string
}

// modelEvent is a message that arrives at the daemon, or a restart of the daemon. Messages
// may be delayed and repeated, so any order is possible.
type modelEvent struct {
	name string
	run  func(m *departureModel)
}

var modelAddress = netip.MustParseAddrPort("127.0.0.1:8084")

func (m *departureModel) start() {
	d := &Daemon{platform: &platform{Store: &thstore.Store{Table: &m.table, Clock: m.clock}}, Clock: m.clock, Log: hclog.NewNullLogger()}
	m.registry = &thserver.Registry{Address: modelAddress, Clock: m.clock}
	m.recorder = &departureRecorder{Daemon: d, registry: m.registry}
}

// deliver hands a message of a process to the daemon.
func (m *departureModel) deliver(p process, sequence uint64, leaving, deregistered bool) {
	h := thserver.Heartbeat{
		Instance: p.instance, Address: modelAddress, Service: "page", Version: "v1", Slots: 6,
		Sequence: sequence, StartTime: p.born, Leaving: leaving, Deregistered: deregistered,
	}
	err := m.recorder.handleHeartbeat(h)
	if therror.KindOf(err) == therror.Conflict {
		// Without an acknowledgement, and only while a later process is the current one.
		current := m.registry.Current()
		assert.Assert(m.t, current != nil && current.StartTime.After(p.born), "%v after: %s", err, strings.Join(m.trace, ", "))
		return
	}
	assert.NilError(m.t, err)
	if leaving || deregistered {
		m.left = append(m.left, p)
	}
}

// check fails the test when the daemon uses a process whose departure it has acknowledged.
func (m *departureModel) check() {
	e := m.registry.Current()
	if e == nil || e.Leaving || e.Deregistered {
		return
	}
	bound := slices.ContainsFunc(m.left, func(p process) bool { return p.instance == e.Instance && !e.StartTime.After(p.born) })
	assert.Assert(m.t, !bound, "%s of %s in use after: %s", e.Instance, e.StartTime, strings.Join(m.trace, ", "))
}

// eventsOf returns the messages of a process.
func eventsOf(name string, p process) []modelEvent {
	return []modelEvent{
		{name + " ready", func(m *departureModel) { m.deliver(p, 1, false, false) }},
		{name + " draining", func(m *departureModel) { m.deliver(p, 2, true, false) }},
		{name + " deregistered", func(m *departureModel) { m.deliver(p, 0, false, true) }},
	}
}

// Guards against a backend server that is in use after its daemon has acknowledged that it
// leaves, in any order of the messages of two processes with one id and of a successor, and
// with restarts of the daemon in between.
func TestAcknowledgedDepartureBindsInAnyOrder(t *testing.T) {
	const length = 5
	start := time.Unix(1000, 0)
	events := []modelEvent{{"restart", func(m *departureModel) { m.start() }}}
	events = append(events, eventsOf("first process", process{"i-1", start})...)
	events = append(events, eventsOf("second process", process{"i-1", start.Add(time.Second)})...)
	events = append(events, eventsOf("successor", process{"i-2", start.Add(2 * time.Second)})...)
	sequences := 1
	for range length {
		sequences *= len(events)
	}
	for n := range sequences {
		m := &departureModel{t: t, clock: clockwork.NewFakeClockAt(start.Add(time.Minute))}
		m.table.Clock = m.clock
		m.start()
		for range length {
			e := events[n%len(events)]
			n /= len(events)
			m.trace = append(m.trace, e.name)
			e.run(m)
			m.check()
		}
	}
}
