package thsync

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// inGeneration returns a version of a store that has come back from a copy.
func inGeneration(t *testing.T, generation, number uint64) uint64 {
	v, err := thconfig.StoreVersion(generation, number)
	assert.NilError(t, err)
	return v
}

// Guards against daemons that return to the older orders of a copy before operators have
// written theirs again, and against daemons that ignore what they write then.
func TestFollowerWaitsForOrdersAfterRestore(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	a, s := followers[0], sources[0]
	before := newOrders(20, 7, 5)
	before.OutZones = []string{"north"}
	s.orders <- before
	waitVersion(t, a, 20)
	resets := s.resets.Load()
	s.orders <- newOrders(inGeneration(t, 1, 9), 6, 3) // lacks the zone and the last configuration
	again := newOrders(inGeneration(t, 1, 11), 7, 5)
	again.OutZones = []string{"north"}
	s.orders <- again // received only after the first ones have been handled
	assert.Assert(t, s.resets.Load() > resets, "the next read must return all orders")
	waitVersion(t, a, again.Version)
	assert.Equal(t, len(a.Current().Tables.Zones), 1)
	assert.Equal(t, len(a.Current().Tables.Routes), 5)
	waitVersion(t, followers[1], again.Version) // learned from a, as after an absence
}

// Guards against a configuration older than the one in effect, where the copy of the store
// lacks it for longer: read by this daemon, or by one that has just started.
func TestFollowerKeepsConfigurationAfterRestore(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a")
	f := followers[0]
	sources[0].orders <- newOrders(20, 7, 5)
	waitVersion(t, f, 20)
	for i := range uint64(2) {
		o := newOrders(inGeneration(t, 1, 9+i), 6, 3)
		o.OutZones = []string{"south"}
		sources[0].orders <- o
	}
	waitVersion(t, f, inGeneration(t, 1, 10))
	tables := f.Current().Tables
	assert.Equal(t, len(tables.Routes), 5)
	assert.Equal(t, tables.Revision, uint64(7))
	assert.Assert(t, len(tables.Zones) == 1 && tables.Zones[0].Out, "the other orders apply")
	older := newOrders(inGeneration(t, 1, 12), 6, 3)
	f.mutex.Lock()
	f.swap(older.Tables(), "started")
	f.mutex.Unlock()
	assert.Equal(t, len(f.Current().Tables.Routes), 5)
}

// Guards against a daemon that starts after the return of the store and waits for orders
// although it knows no others.
func TestFollowerStartsWithRestoredStore(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a")
	sources[0].orders <- newOrders(inGeneration(t, 2, 3), 4, 2)
	waitVersion(t, followers[0], inGeneration(t, 2, 3))
}

// Guards against a rollout that runs again in the whole fleet: a daemon that starts reads a
// store that has come back from a copy without the end, and the others take its tables.
func TestStartedFollowerKeepsEndAfterRestore(t *testing.T) {
	followers, sources := newFollowers(t, nil, "a", "b")
	withRollout := func(version, order uint64, state string) *thconfig.DesiredState {
		o := newOrders(version, 7, 5)
		o.Rollouts = []thconfig.Rollout{{Service: "page", Target: "v2", OrderVersion: order, State: state}}
		return o
	}
	sources[0].orders <- withRollout(20, 12, thconfig.MoveDone)
	waitVersion(t, followers[0], 20)
	move := followers[0].Current().Tables.Moves[0].Name
	at := func(number uint64) *thconfig.DesiredState {
		return withRollout(inGeneration(t, 1, number), inGeneration(t, 1, 8), thconfig.MoveRunning)
	}
	sources[1].orders <- at(9)
	sources[1].orders <- at(10)
	for i := range followers {
		waitVersion(t, followers[i], inGeneration(t, 1, 10))
		m := followers[i].Current().Tables.Moves[0]
		assert.Equal(t, m.Name, move)
		assert.Equal(t, m.State, thconfig.MoveDone)
	}
}
