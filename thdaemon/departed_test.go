package thdaemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against an instance that has left being in use again after a restart of its
// daemon, and against its successor at the same daemon not being used.
func TestDepartedInstanceStaysDeparted(t *testing.T) {
	var d departedInstances
	now := time.Unix(1000, 0)
	state := func(instance string, born int64, state string, at time.Time) (string, int) {
		members := []thwire.Member{{Name: "other"}, {Name: "a", Server: &thwire.Server{Instance: instance, Born: born, State: state}}}
		corrected, unaware := d.apply(members, at)
		assert.Equal(t, members[1].Server.State, state, "the members of the view are shared")
		return corrected[1].Server.State, len(unaware)
	}
	check := func(instance string, born int64, from string, at time.Time, want string, wantUnaware int) {
		t.Helper()
		got, unaware := state(instance, born, from, at)
		assert.Equal(t, got, want)
		assert.Equal(t, unaware, wantUnaware)
	}
	check("i-1", 5, thwire.ServerReady, now, thwire.ServerReady, 0)
	check("i-1", 5, thwire.ServerLeaving, now, thwire.ServerLeaving, 0)
	check("i-1", 5, thwire.ServerReady, now, thwire.ServerLeaving, 1)
	check("i-1", 5, thwire.ServerStarting, now, thwire.ServerLeaving, 1)
	check("i-1", 6, thwire.ServerReady, now, thwire.ServerReady, 0)
	check("i-2", 5, thwire.ServerReady, now, thwire.ServerReady, 0)
	check("i-1", 5, thwire.ServerReady, now.Add(thstore.DepartureTTL), thwire.ServerReady, 0)
	check("", 0, thwire.ServerLeaving, now, thwire.ServerLeaving, 0)
	check("", 0, thwire.ServerReady, now, thwire.ServerReady, 0) // instances without ids aren't told apart
}

// Guards against an ingress that goes on choosing an instance which has stated in a response
// that it is leaving, when the daemon beside it has been killed before it could announce that.
func TestStatedDepartureBindsTheIngress(t *testing.T) {
	var d departedInstances
	now := time.Unix(1000, 0)
	key := thwire.Departure{Instance: "i-1", Born: 5}
	assert.Assert(t, d.record(key, now))
	assert.Assert(t, !d.record(key, now.Add(time.Second)), "recorded twice")
	ready := []thwire.Member{{Name: "a", Server: &thwire.Server{Instance: "i-1", Born: 5, State: thwire.ServerReady}}}
	corrected, unaware := d.apply(ready, now.Add(time.Second))
	assert.Equal(t, corrected[0].Server.State, thwire.ServerLeaving)
	assert.Equal(t, len(unaware), 1)
	assert.Assert(t, d.record(key, now.Add(thstore.DepartureTTL)))
}
