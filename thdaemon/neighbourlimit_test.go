package thdaemon

import (
	"math"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmit"
	"github.com/turmerichaven/turmerichaven/thbalance"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thserver"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against a limit that neighbours know being forgotten with the first heartbeat,
// applied to another instance, or kept against the first response of the backend server.
func TestNeighbourLimitHoldsUntilTheFirstResponse(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := &Daemon{node: &thmember.Node{}, replica: &fixedReplica{}, Clock: clock, Log: hclog.NewNullLogger()}
	l := &localServer{Daemon: d, scheduler: &thadmit.Scheduler{Clock: clock}}
	tell := func(instance string, rate float64) {
		payload, err := (&thwire.ServerLimit{Instance: instance, Rate: rate}).MarshalMsg(nil)
		assert.NilError(t, err)
		l.handleNeighbourLimit("neighbour", payload)
	}
	heartbeat := func(instance string) {
		l.update(&thserver.Entry{Heartbeat: thserver.Heartbeat{Service: "page", Instance: instance, Slots: 20}})
	}
	rate := func() float64 { return l.scheduler.Load("view").Rate }
	for _, odd := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		tell("i-1", odd)
	}
	l.handleNeighbourLimit("neighbour", []byte{0xc1})
	tell("", 3)
	tell("i-1", 7)
	tell("i-1", 5)
	tell("i-1", 6)
	heartbeat("i-1")
	assert.Equal(t, rate(), 5.0)
	tell("i-2", 1)
	assert.Equal(t, rate(), 5.0)
	tell("i-1", 4)
	assert.Equal(t, rate(), 4.0)
	l.scheduler.ObserveLimit(clock.Now(), 0, false)
	assert.Equal(t, rate(), 0.0)
	tell("i-1", 2)
	assert.Equal(t, rate(), 0.0)
	heartbeat("i-3")
	assert.Equal(t, rate(), 0.0)
}

// Guards against a daemon that does not learn of the limit that another one knows, or learns
// of a limit of servers without one.
func TestGreetingNamesTheStatedLimit(t *testing.T) {
	d := &Daemon{balancer: &thbalance.Balancer{}}
	tables := &thconfig.Tables{Pools: []thconfig.Pool{{Name: "page", Service: "page", Version: ""}}}
	members := []thwire.Member{
		{Name: "a", Incarnation: 1, Server: &thwire.Server{Service: "page", Instance: "i-1", Slots: 4, State: thwire.ServerReady}},
		{Name: "b", Incarnation: 1},
	}
	d.balancer.Update(tables, members)
	_, m := d.greeting("a")
	assert.Assert(t, m == nil)
	s, err := d.balancer.Choose("page", nil)
	assert.NilError(t, err)
	s.Begin()
	s.Done(thbalance.Result{Status: 200, HasLoad: true, Load: thwire.Load{Limit: 1, Rate: 2.5}})
	members[0].Incarnation, members[0].Server = 2, nil // restarted
	d.balancer.Update(tables, members)
	kind, m := d.greeting("a")
	assert.Equal(t, kind, thwire.TypeServerLimit)
	assert.DeepEqual(t, m, &thwire.ServerLimit{Instance: "i-1", Rate: 2.5})
	for _, other := range []string{"b", "unknown"} {
		_, m = d.greeting(other)
		assert.Assert(t, m == nil)
	}
}
