package thmove

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// startRecorder is a StartCommitter that records its calls.
type startRecorder struct {
	mutex     sync.Mutex
	calls     int
	inService bool
	fail      error
}

func (s *startRecorder) CommitStart(_ context.Context, _ thconfig.Move, inService bool) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	s.inService = inService
	return s.fail
}

// newOrderedFleet returns a fleet with servers of the versions in which the move is ordered
// after the daemons have found each other. Its pool old has all versions but the new one.
func newOrderedFleet(versions ...string) (*fleet, *startRecorder) {
	f, starts := newFleet(1), &startRecorder{}
	for i := range f.members {
		f.members[i].Server = &thwire.Server{Service: "slotboard", Version: versions[i%len(versions)]}
	}
	f.tables.Pools[1].Version, f.tables.Pools[1].Except = "", []string{"2"}
	for name, m := range f.movers {
		f.movers[name] = &Mover{Membership: m.Membership, EndCommitter: m.EndCommitter, StartCommitter: starts, Clock: f.clock, Log: hclog.NewNullLogger()}
	}
	moves := f.tables.Moves
	f.tables.Moves = nil
	f.update()
	f.tables.Moves = moves
	f.update()
	return f, starts
}

// Guards against an order of the version that all backend servers have: its old pool is empty,
// and all requests would be rejected.
func TestVersionInServiceKeepsItsTraffic(t *testing.T) {
	f, starts := newOrderedFleet("2")
	for _, m := range f.movers {
		_, to, share, running := m.Share("slots")
		assert.Assert(t, running && to == "new" && share == 1, "%s %v", to, share)
	}
	f.run(20, healthy, 2*time.Second)
	assert.Assert(t, starts.inService)
	f.run(20, healthy, moveTime)
	assert.Equal(t, f.state(), thconfig.MoveDone)
}

// Guards against a new version that gets all traffic because a daemon has found only its
// servers so far, or has lost the others.
func TestNewVersionAloneGetsItsShare(t *testing.T) {
	f, starts := newOrderedFleet("1", "2")
	f.run(20, healthy, time.Second)
	assert.Assert(t, !starts.inService)
	for i := range f.members {
		f.members[i].Server.Version = "2"
	}
	f.update()
	started := &Mover{Membership: f.movers["otaru-0"].Membership, Clock: f.clock, Log: hclog.NewNullLogger()}
	started.Update(&f.tables, f.members)
	for _, m := range []*Mover{f.movers["otaru-0"], started} {
		_, _, share, _ := m.Share("slots")
		assert.Assert(t, share < 0.2, "share %v", share)
	}
}

// Guards against the start of a move that is committed in a loop, or given up while the
// platform is away.
func TestStartOfMoveIsCommittedOnce(t *testing.T) {
	f, starts := newOrderedFleet("1", "2")
	starts.fail = therror.New(therror.Down, "platform is down")
	f.run(20, healthy, 3*startCommitInterval)
	assert.Assert(t, starts.calls >= 2 && starts.calls <= 4, "%d calls", starts.calls)
	for _, end := range []error{nil, therror.New(therror.Conflict, "replaced")} {
		f, starts = newOrderedFleet("1", "2")
		starts.fail = end
		f.run(20, healthy, 3*startCommitInterval)
		assert.Equal(t, starts.calls, 1)
	}
}
