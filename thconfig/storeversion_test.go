package thconfig

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Guards against a version of an earlier generation that counts as newer, and against
// numbers that overflow into the generation.
func TestStoreVersionOrder(t *testing.T) {
	first, err := StoreVersion(0, maxStoreNumber)
	assert.NilError(t, err)
	later, err := StoreVersion(1, 1)
	assert.NilError(t, err)
	assert.Assert(t, later > first)
	assert.Equal(t, Generation(first), uint64(0))
	assert.Equal(t, Generation(later), uint64(1))
	_, err = StoreVersion(0, maxStoreNumber+1)
	assert.Assert(t, therror.Is(err, therror.Bad))
	_, err = StoreVersion(maxGeneration+1, 0)
	assert.Assert(t, therror.Is(err, therror.Bad))
}

// Guards against a rollout that starts again after the store has come back from a copy, and
// against a new order that is taken for the earlier one.
func TestRolloutsContinueAfterRestore(t *testing.T) {
	version := func(generation, number uint64) uint64 {
		v, err := StoreVersion(generation, number)
		assert.NilError(t, err)
		return v
	}
	tables := func(d *DesiredState, in *Tables) Tables {
		d.Config = Config{Revision: 1, Services: []Service{{Name: "page"}}}
		if in != nil {
			d.ContinueRollouts(in)
		}
		return d.Tables()
	}
	state := func(at, order uint64, target, state string) *DesiredState {
		return &DesiredState{Version: at, Rollouts: []Rollout{{Service: "page", Target: target, OrderVersion: order, State: state}}}
	}
	for _, end := range []string{MoveRunning, MoveDone, MoveReverted} {
		first := tables(state(version(1, 20), version(1, 20), "v2", end), nil)
		assert.Equal(t, first.Moves[0].Name, "page@v2#1.20")
		// The copy lacks the end, and the order was written again.
		restored := tables(state(version(2, 14), version(2, 12), "v2", MoveRunning), &first)
		assert.Equal(t, restored.Moves[0].Name, "page@v2#1.20")
		assert.Equal(t, restored.Moves[0].State, end)
		assert.Equal(t, restored.Moves[0].Order, version(2, 12))
		// A later read of the same generation.
		later := tables(state(version(2, 15), version(2, 12), "v2", MoveRunning), &restored)
		assert.Equal(t, later.Moves[0].Name, "page@v2#1.20")
		assert.Equal(t, later.Moves[0].State, end)
		rollout, ok := RolloutFromMove(later.Moves[0], MoveDone)
		assert.Assert(t, ok)
		assert.DeepEqual(t, rollout, Rollout{Service: "page", Target: "v2", OrderVersion: version(2, 12), State: MoveDone, Move: "page@v2#1.20"})
		// A new order to the same target, and one to another target, with a version that was used before.
		again := tables(state(version(2, 20), version(2, 20), "v2", MoveRunning), &later)
		assert.Equal(t, again.Moves[0].Name, "page@v2#2.20")
		assert.Equal(t, again.Moves[0].State, MoveRunning)
		other := tables(state(version(3, 20), version(3, 20), "v3", MoveRunning), &later)
		assert.Equal(t, other.Moves[0].Name, "page@v3#3.20")
		assert.Equal(t, other.Moves[0].State, MoveRunning)
	}
}
