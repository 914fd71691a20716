package thconfig

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// order returns the state with one rollout of the service page.
func order(number uint64, target, state string) *DesiredState {
	return &DesiredState{
		Version: number, Config: Config{Revision: 1, Services: []Service{{Name: "other"}, {Name: "page"}}},
		Rollouts: []Rollout{{Service: "page", Target: target, OrderVersion: number, State: state}},
	}
}

// after returns the tables of a state that follows others on the same daemon.
func after(t *Tables, d *DesiredState) *Tables {
	if t != nil {
		d.ContinueRollouts(t)
	}
	next := d.Tables()
	return &next
}

// matched returns which of the versions 1 to 4 belong to the pool of a service.
func matched(t *Tables, service string) string {
	p, _ := t.Pool(service)
	text := ""
	for i := range 4 {
		if v := fmt.Sprint("v", i+1); p.Matches(service, v) {
			text += v + " "
		}
	}
	return text
}

// Guards against a version that was rolled back, or whose order was replaced while it ran,
// and that counts as of the old version at the next order.
func TestRolledBackVersionStaysExcludedAtNextOrder(t *testing.T) {
	for _, end := range []string{MoveReverted, MoveRunning} {
		tables := after(nil, order(1, "v2", MoveRunning))
		tables = after(tables, order(1, "v2", end))
		assert.Equal(t, matched(tables, "page"), "v1 v3 v4 ", end)
		tables = after(tables, order(2, "v3", MoveRunning))
		assert.Equal(t, matched(tables, "page"), "v1 v4 ", end)
		assert.Equal(t, matched(tables, "other"), "v1 v2 v3 v4 ")
		done := after(tables, order(2, "v3", MoveDone))
		assert.Equal(t, matched(done, "page"), "v3 ")
		// Its servers may outlive a later rollout too.
		assert.Equal(t, matched(after(done, order(3, "v4", MoveRunning)), "page"), "v1 v3 ")
		// An operator may order the version again, and it may turn out to be good.
		again := after(after(tables, order(4, "v2", MoveRunning)), order(4, "v2", MoveDone))
		assert.Equal(t, matched(again, "page"), "v2 ")
		assert.Equal(t, matched(after(again, order(5, "v4", MoveRunning)), "page"), "v1 v2 ")
	}
}

// Guards against a version in service that is excluded: a daemon missed the end of its
// rollout, or it is the target of a later order that fails.
func TestVersionInServiceIsNotExcluded(t *testing.T) {
	tables := after(nil, order(1, "v2", MoveRunning))
	next := order(2, "v3", MoveRunning)
	next.Current = []ServiceVersion{{"page", "v2"}} // as the store has it
	assert.Equal(t, matched(after(tables, next), "page"), "v1 v2 v4 ")
	done := after(tables, order(1, "v2", MoveDone))
	for _, state := range []string{MoveRunning, MoveReverted} {
		assert.Equal(t, matched(after(done, order(3, "v2", state)), "page"), "v1 v2 v3 v4 ", state)
	}
	// A store that has come back from a copy lacks the end.
	version, err := StoreVersion(1, 2)
	assert.NilError(t, err)
	restored := order(version, "v3", MoveRunning)
	restored.Excluded = []ServiceVersion{{"page", "v2"}}
	assert.Equal(t, matched(after(done, restored), "page"), "v1 v2 v4 ")
}

// Guards against tables that grow with each rollout.
func TestExcludedVersionsAreLimited(t *testing.T) {
	var tables *Tables
	for i := range uint64(10 * maxExcluded) {
		tables = after(tables, order(i+1, fmt.Sprint("w", i), MoveReverted))
	}
	p, _ := tables.Pool("page")
	assert.Equal(t, len(p.Except), maxExcluded)
	assert.Assert(t, !p.Matches("page", fmt.Sprint("w", 10*maxExcluded-1)))
}
