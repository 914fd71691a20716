package thsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// nonPoller returns the index of a replica that does not poll.
func (m *mesh) nonPoller(t *testing.T) int {
	for i, r := range m.replicas {
		if !r.Status().Polling {
			return i
		}
	}
	t.Fatal("all daemons poll")
	return 0
}

// Guards against platform reads at the start of a fleet that grow with the number of
// daemons.
func TestReadsOfStart(t *testing.T) {
	reads := func(size int) int {
		m := newMesh(t, size)
		for i := range m.view.Members {
			m.view.Members[i].Zone = fmt.Sprintf("z%d", i%3)
		}
		m.platform.commitPool(0)
		m.run(1500*time.Millisecond, nil)
		n := m.platform.reads
		m.run(2500*time.Millisecond, nil)
		m.assertAll(t, 1)
		for _, r := range m.replicas {
			assert.Assert(t, r.Ready())
		}
		return n
	}
	small, large := reads(9), reads(36)
	t.Logf("%d reads of 9 daemons that all poll, %d of 36 with as many pollers", small, large)
	assert.Assert(t, large < 2*small, "%d, %d", small, large)
}

// Guards against a daemon that does not poll but reads the platform when it starts,
// and against one that misses a version that only the platform and a poller have.
func TestRestartAsksPoller(t *testing.T) {
	m := newSettledMesh(t, 12)
	i := m.nonPoller(t)
	m.start(i)
	first := m.replicas[i].poller.nextRead
	m.platform.commitPool(1)
	m.minReady[i] = 2
	m.run(3*time.Second, func(p packet) bool { return p.to == i && p.kind != thwire.TypeConfigHead })
	assert.Equal(t, m.replicas[i].poller.nextRead, first, "the daemon has read the platform itself")
	assert.Assert(t, !m.replicas[i].Ready(), "ready below the head that a poller has read")
	assert.Equal(t, m.replicas[i].gate.minVersion, uint64(2))
	m.run(time.Second, nil)
	assert.Assert(t, m.replicas[i].Ready())
	m.assertAll(t, 2)
}

// Guards against a daemon that never becomes ready because the pollers do not reply.
func TestRestartWithoutPollers(t *testing.T) {
	m := newSettledMesh(t, 12)
	i := m.nonPoller(t)
	m.start(i)
	m.run(2*m.replicas[i].StartupSpread+ownReadDelay+2*time.Second, func(p packet) bool { return p.kind == thwire.TypeConfigHead })
	assert.Assert(t, m.replicas[i].Ready())
}

// Guards against a gate that passes because a poller reports a failed read: a daemon
// that reaches the platform itself must not become ready below its head.
func TestFailedReadOfPollerIsNotProof(t *testing.T) {
	m := newSettledMesh(t, 12)
	i := m.nonPoller(t)
	m.start(i)
	r := m.replicas[i]
	r.poller.sharing.asked["x"] = true
	r.onRead("x", thwire.ConfigHead{Failed: true})
	assert.Assert(t, !r.gate.platformDown && !r.gate.headRead)
	assert.Assert(t, r.poller.sharing.ownReadAt.Sub(m.clock.Now()) <= failedReadSpread)
	r.onRead("y", thwire.ConfigHead{Version: 9})
	assert.Assert(t, !r.gate.headRead, "accepted a reply without a request")
}

// statusChecker is a log output that checks the status of the replica on each line.
type statusChecker struct {
	replica             *Replica
	readyWithoutVersion bool
}

func (c *statusChecker) Write(b []byte) (int, error) {
	c.readyWithoutVersion = c.readyWithoutVersion || c.replica.Ready() && c.replica.Status().Version == 0
	return len(b), nil
}

// Guards against a daemon that is ready while its status has no version, at the
// moment when the gate passes.
func TestReadyWithVersion(t *testing.T) {
	m := newMesh(t, 3)
	m.platform.commitPool(0)
	c := &statusChecker{replica: m.replicas[0]}
	m.replicas[0].Log = hclog.New(&hclog.LoggerOptions{Output: c})
	m.run(4*time.Second, nil)
	assert.Assert(t, m.replicas[0].Ready())
	assert.Assert(t, !c.readyWithoutVersion)
}
