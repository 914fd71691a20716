package thmove

import (
	"context"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// startRecorder is a StartCommitter that records its calls.
type startRecorder struct {
	mutex sync.Mutex
	calls int
	fail  error
}

func (s *startRecorder) CommitStart(_ context.Context, _ thconfig.Move) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
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
