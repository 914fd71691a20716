package thproof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// upstreamsOf lists the upstreams of a service.
func upstreamsOf(f *thfleet.Fleet, name string) []*thfleet.Upstream {
	var upstreams []*thfleet.Upstream
	for _, u := range f.Upstreams {
		if u.Service == name {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

func ingressAddresses(upstreams []*thfleet.Upstream) []string {
	var addresses []string
	for _, u := range upstreams {
		addresses = append(addresses, u.Ingress())
	}
	return addresses
}

// Guards against planned stops that truncate or reject calls. Every daemon of a service
// is restarted, one after the other, while callers at the ingresses of other daemons
// stream from the service, send it short calls, and make bookings.
func TestRollingRestartCutsNoCall(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	warmUp(t, f, "/slots/now")
	warmUp(t, f, "/bookings/now")
	stable := ingressAddresses(append(upstreamsOf(f, "bookdesk"), upstreamsOf(f, "rosterbook")...))
	streams := startTraffic(t, f, &thload.Generator{Targets: stable, Path: "/slots/stream?parts=10&gap=20", Parts: 10, Rate: 100})
	short := startTraffic(t, f, &thload.Generator{Targets: stable, Path: "/slots/now", Rate: 200})
	bookings := startTraffic(t, f, &thload.Generator{Targets: stable, Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 50})
	time.Sleep(time.Second)
	for _, u := range upstreamsOf(f, "slotboard") {
		assert.NilError(t, u.Daemon.Stop(20*time.Second))
		assert.NilError(t, u.StartDaemon())
		assert.NilError(t, f.WaitReady(t.Context()))
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range []*traffic{streams, short, bookings} {
		r.stop(t)
		r.requireAllGood(t)
		r.requireMatchesRecords(t, f)
	}
}

// Guards against a draining backend server that still gets new requests after 3 s, and
// against calls that the drain truncates.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	warmUp(t, f, "/slots/now")
	r := startTraffic(t, f, &thload.Generator{Path: "/slots/stream?parts=5&gap=10", Parts: 5, Rate: 200})
	time.Sleep(time.Second)
	leaving := findUpstream(t, f, "slotboard-1-2")
	assert.NilError(t, leaving.Drain(t.Context()))
	drained := time.Now()
	time.Sleep(5 * time.Second)
	r.stop(t)
	r.requireAllGood(t)
	r.requireMatchesRecords(t, f)
	lateCalls := thcheck.CheckStopped(serverRecords(t, f), thcheck.OnServers(leaving.Name), drained.Add(3*time.Second))
	assert.Assert(t, len(lateCalls) == 0, "%d calls after 3 s: %v", len(lateCalls), lateCalls[:min(len(lateCalls), 3)])
}

// Guards against a rejection marked "not run" of a call that did run, while a backend
// server drains, while its daemon stops, and while the server stops. The mesh retries a
// rejected booking on another server, so it would run twice. The other tests of draining
// send idempotent calls, or calls that end before anything changes.
func TestDrainRefusalsAreTrue(t *testing.T) {
	t.Parallel() // checks outcomes, not times
	f := newFleet(t)
	f.WriteJournals = true
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
	assert.NilError(t, err)
	for _, s := range thfleet.Ishikari.Services {
		// Bookings take 150 ms, so that some are in progress at each change.
		for _, u := range thfleet.Ishikari.NewUpstreams(s, "1", 150*time.Millisecond) {
			u.ExtraAge = time.Hour
			assert.NilError(t, f.Add(u))
		}
	}
	assert.NilError(t, f.WaitReady(t.Context()))
	drained := findUpstream(t, f, "bookdesk-1-2")
	stable := ingressAddresses(append(upstreamsOf(f, "slotboard"), upstreamsOf(f, "rosterbook")...))
	r := startTraffic(t, f, &thload.Generator{Targets: stable, Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 60})
	var changes []time.Time
	for _, change := range []func() error{
		func() error { return drained.Drain(t.Context()) },
		func() error { return drained.Server.Stop(20 * time.Second) },
		drained.StartServer,
		func() error { return drained.Daemon.Stop(20 * time.Second) },
		drained.StartDaemon,
		func() error { return drained.Server.Stop(20 * time.Second) },
	} {
		time.Sleep(1500 * time.Millisecond)
		changes = append(changes, time.Now())
		assert.NilError(t, change())
	}
	r.stop(t)
	r.requireMatchesRecords(t, f)
	r.requireAllGood(t)
	// The test is void unless calls were in progress at the changes.
	inProgress := 0
	for _, k := range serverRecords(t, f) {
		for _, c := range changes {
			if k.Server == drained.Name && k.Start.Before(c) && k.End.After(c) {
				inProgress++
			}
		}
	}
	t.Logf("%d bookings, %d in progress on the server at a change", len(r.all), inProgress)
	assert.Assert(t, inProgress >= 3, "%d", inProgress)
}

// requireServerCount fails the test unless every daemon has the number of servers to
// choose from in the pool.
func requireServerCount(t *testing.T, f *thfleet.Fleet, pool string, servers int) {
	t.Helper()
	for _, u := range f.Upstreams {
		s, err := u.Status(t.Context())
		assert.NilError(t, err)
		found := false
		for _, p := range s.Pools {
			if p.Name == pool {
				found = true
				assert.Equal(t, p.Servers, servers, "%s, pool %s", u.Name, pool)
			}
		}
		assert.Assert(t, found, "%s has no pool %s", u.Name, pool)
	}
}

// Guards against an availability zone that still gets requests 3 s after it was taken
// out, and against calls that fail while it is out or when it returns. The ingresses'
// choice of servers is checked separately: the zone's targets reject requests too, so
// each of the two would hide a fault of the other.
func TestZoneOutGetsNoNewWork(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	// Servers that have just started take a tenth of their slots.
	warmUp(t, f, "/slots/now")
	r := startTraffic(t, f, &thload.Generator{Path: "/slots/stream?parts=5&gap=10", Parts: 5, Rate: 200})
	time.Sleep(time.Second)
	admin := f.Upstreams[0].Admin()
	_, err := f.Command(t.Context(), "--admin", admin, "zone", "out", "otaru", "--wait", "5s")
	assert.NilError(t, err)
	zoneOut := time.Now()
	time.Sleep(3 * time.Second)
	requireServerCount(t, f, "slotboard", 2)
	time.Sleep(2 * time.Second)
	returned := time.Now()
	_, err = f.Command(t.Context(), "--admin", admin, "zone", "in", "otaru", "--wait", "5s")
	assert.NilError(t, err)
	time.Sleep(3 * time.Second)
	requireServerCount(t, f, "slotboard", 3)
	r.stop(t)
	r.requireAllGood(t)
	r.requireMatchesRecords(t, f)
	var names []string
	for _, u := range f.Upstreams {
		if u.Zone == "otaru" {
			names = append(names, u.Name)
		}
	}
	records := serverRecords(t, f)
	beforeReturn := records[:0]
	for _, k := range records {
		if k.Start.Before(returned) {
			beforeReturn = append(beforeReturn, k)
		}
	}
	lateCalls := thcheck.CheckStopped(beforeReturn, thcheck.OnServers(names...), zoneOut.Add(3*time.Second))
	assert.Assert(t, len(lateCalls) == 0, "%d calls after 3 s: %v", len(lateCalls), lateCalls[:min(len(lateCalls), 3)])
}

// Guards against a planned stop that truncates a stream of 10 s, over HTTP/1.1 and
// HTTP/2. The daemon at either end of a call and a backend server are stopped.
func TestStopLeavesLongStreams(t *testing.T) {
	t.Parallel() // the streams determine the times
	f := newFleet(t)
	f.StopGrace = 20 * time.Second
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
	assert.NilError(t, err)
	assert.NilError(t, f.AddAll(&thfleet.Ishikari, 2*time.Millisecond))
	assert.NilError(t, f.WaitReady(t.Context()))
	warmUp(t, f, "/roster/now")
	const path = "/roster/stream?parts=100&gap=100"
	var loads []*traffic
	for _, http2 := range []bool{false, true} {
		loads = append(loads, startTraffic(t, f, &thload.Generator{Path: path, Parts: 100, Rate: 12, HTTP2: http2, Timeout: 30 * time.Second}))
	}
	time.Sleep(2 * time.Second)
	stopped := make(chan error)
	stop := func(p *thfleet.Process) {
		stopStart := time.Now()
		err := p.Stop(40 * time.Second)
		t.Logf("%s stopped after %s", p.Name, time.Since(stopStart).Round(time.Millisecond))
		stopped <- err
	}
	for _, r := range loads {
		r.cancel() // stops new streams; those in progress continue
	}
	// Each of these has streams in progress.
	target, ingress, server := findUpstream(t, f, "rosterbook-1-1"), findUpstream(t, f, "slotboard-1-1"), findUpstream(t, f, "rosterbook-1-2")
	assert.NilError(t, findUpstream(t, f, "rosterbook-1-3").Drain(t.Context()))
	go stop(target.Daemon)
	go stop(ingress.Daemon)
	go stop(server.Server)
	for _, r := range loads {
		r.stop(t)
	}
	for range 3 {
		assert.Check(t, <-stopped)
	}
	for _, r := range loads {
		t.Logf("%d streams", len(r.all))
		r.requireAllGood(t)
		assert.Assert(t, len(r.all) >= 20)
	}
}

// Guards against a backend server's restart, while its daemon keeps running, that fails
// calls during the drain or leaves the daemon without its server afterwards.
func TestDrainAndReturn(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.WriteJournals = true // keeps the records from before the server's stop
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
	assert.NilError(t, err)
	assert.NilError(t, f.AddAll(&thfleet.Ishikari, 2*time.Millisecond))
	assert.NilError(t, f.WaitReady(t.Context()))
	warmUp(t, f, "/slots/now")
	var loads []*traffic
	for _, http2 := range []bool{false, true} {
		loads = append(loads, startTraffic(t, f, &thload.Generator{Path: "/slots/stream?parts=10&gap=20", Parts: 10, Rate: 50, HTTP2: http2}))
	}
	time.Sleep(time.Second)
	u := findUpstream(t, f, "slotboard-1-2")
	assert.NilError(t, u.Server.Stop(20*time.Second))
	time.Sleep(2 * time.Second)
	assert.NilError(t, u.StartServer())
	returned := time.Now()
	time.Sleep(4 * time.Second)
	for _, r := range loads {
		r.stop(t)
		r.requireAllGood(t)
		r.requireMatchesRecords(t, f)
	}
	got := thcheck.CheckStopped(serverRecords(t, f), thcheck.OnServers(u.Name), returned)
	assert.Assert(t, len(got) > 0, "no call after the server returned")
}
