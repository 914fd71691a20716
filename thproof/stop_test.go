package thproof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// serviceOf lists the upstreams of a service.
func serviceOf(f *thfleet.Fleet, name string) []*thfleet.Upstream {
	var all []*thfleet.Upstream
	for _, u := range f.Upstreams {
		if u.Service == name {
			all = append(all, u)
		}
	}
	return all
}

func addresses(all []*thfleet.Upstream) []string {
	var list []string
	for _, u := range all {
		list = append(list, u.Ingress())
	}
	return list
}

// Guards against planned stops that cut or refuse calls: every daemon of a
// service is restarted in turn while callers of other daemons stream from it
// and callers of the daemon itself hold connections to it.
func TestRollingRestartCutsNoCall(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	warm(t, f, "/slots/now")
	warm(t, f, "/bookings/now")
	stable := addresses(append(serviceOf(f, "bookdesk"), serviceOf(f, "rosterbook")...))
	streams := send(t, f, &thload.Generator{Targets: stable, Path: "/slots/stream?parts=10&gap=20", Parts: 10, Rate: 100})
	short := send(t, f, &thload.Generator{Targets: stable, Path: "/slots/now", Rate: 200})
	books := send(t, f, &thload.Generator{Targets: stable, Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 50})
	time.Sleep(time.Second)
	for _, u := range serviceOf(f, "slotboard") {
		assert.NilError(t, u.Daemon.Stop(20*time.Second))
		assert.NilError(t, u.StartDaemon())
		assert.NilError(t, f.WaitReady(t.Context()))
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range []*traffic{streams, short, books} {
		r.stop(t)
		r.requireAllGood(t)
		r.requireHeld(t, f)
	}
}

// Guards against a leaving backend server that still gets work after 3 s, and
// against calls that its leaving cuts.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := send(t, f, &thload.Generator{Path: "/slots/stream?parts=5&gap=10", Parts: 5, Rate: 200})
	time.Sleep(time.Second)
	left := upstream(t, f, "slotboard-1-2")
	assert.NilError(t, left.Drain(t.Context()))
	drained := time.Now()
	time.Sleep(5 * time.Second)
	r.stop(t)
	r.requireAllGood(t)
	r.requireHeld(t, f)
	late := thcheck.CheckStopped(records(t, f), thcheck.OnServers(left.Name), drained.Add(3*time.Second))
	assert.Assert(t, len(late) == 0, "%d calls after 3 s: %v", len(late), late[:min(len(late), 3)])
}

// Guards against a refusal marked "not run" of a call that did run, while a
// backend server drains, while its daemon stops, and while the server stops: the
// mesh repeats a refused booking on another server, so that it runs twice. The
// other tests of draining send calls that may run twice, or calls that end
// before anything changes.
func TestDrainRefusalsAreTrue(t *testing.T) {
	t.Parallel() // counts outcomes, not times
	f := fleet(t)
	f.WriteJournals = true
	_, err := f.Command(t.Context(), "apply", tablesOf(&thfleet.Ishikari))
	assert.NilError(t, err)
	for _, s := range thfleet.Ishikari.Services {
		// Bookings take long enough that some are in progress at each change.
		for _, u := range thfleet.Ishikari.NewUpstreams(s, "1", 150*time.Millisecond) {
			u.ExtraAge = time.Hour
			assert.NilError(t, f.Add(u))
		}
	}
	assert.NilError(t, f.WaitReady(t.Context()))
	drained := upstream(t, f, "bookdesk-1-2")
	stable := addresses(append(serviceOf(f, "slotboard"), serviceOf(f, "rosterbook")...))
	r := send(t, f, &thload.Generator{Targets: stable, Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 60})
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
	r.requireHeld(t, f)
	r.requireAllGood(t)
	// Without calls in progress the test proves nothing.
	during := 0
	for _, k := range records(t, f) {
		for _, c := range changes {
			if k.Server == drained.Name && k.Start.Before(c) && k.End.After(c) {
				during++
			}
		}
	}
	t.Logf("%d bookings, %d in progress on the server at a change", len(r.all), during)
	assert.Assert(t, during >= 3, "%d", during)
}

// requireCandidates fails the test unless every daemon has this number of
// servers of a pool to choose from.
func requireCandidates(t *testing.T, f *thfleet.Fleet, pool string, servers int) {
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

// Guards against an availability zone that gets work 3 s after it was taken
// out, and against calls that fail meanwhile or when it comes back. The
// ingresses' choice is checked by itself: the targets of the zone refuse work
// too, so that one of the two keeps work away while the other is at fault.
func TestZoneOutGetsNoNewWork(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := send(t, f, &thload.Generator{Path: "/slots/stream?parts=5&gap=10", Parts: 5, Rate: 200})
	time.Sleep(time.Second)
	admin := f.Upstreams[0].Admin()
	_, err := f.Command(t.Context(), "--admin", admin, "zone", "out", "otaru", "--wait", "5s")
	assert.NilError(t, err)
	out := time.Now()
	time.Sleep(3 * time.Second)
	requireCandidates(t, f, "slotboard", 2)
	time.Sleep(2 * time.Second)
	back := time.Now()
	_, err = f.Command(t.Context(), "--admin", admin, "zone", "in", "otaru", "--wait", "5s")
	assert.NilError(t, err)
	time.Sleep(3 * time.Second)
	requireCandidates(t, f, "slotboard", 3)
	r.stop(t)
	r.requireAllGood(t)
	r.requireHeld(t, f)
	var names []string
	for _, u := range f.Upstreams {
		if u.Zone == "otaru" {
			names = append(names, u.Name)
		}
	}
	during := records(t, f)
	kept := during[:0]
	for _, k := range during {
		if k.Start.Before(back) {
			kept = append(kept, k)
		}
	}
	late := thcheck.CheckStopped(kept, thcheck.OnServers(names...), out.Add(3*time.Second))
	assert.Assert(t, len(late) == 0, "%d calls after 3 s: %v", len(late), late[:min(len(late), 3)])
}

// Guards against a planned stop, of a daemon at either end of a call or of a
// backend server, that cuts a stream of 10 s, over HTTP/1.1 and HTTP/2.
func TestStopLeavesLongStreams(t *testing.T) {
	t.Parallel() // times are those of the streams
	f := fleet(t)
	f.StopGrace = 20 * time.Second
	_, err := f.Command(t.Context(), "apply", tablesOf(&thfleet.Ishikari))
	assert.NilError(t, err)
	assert.NilError(t, f.AddAll(&thfleet.Ishikari, 2*time.Millisecond))
	assert.NilError(t, f.WaitReady(t.Context()))
	warm(t, f, "/roster/now")
	const path = "/roster/stream?parts=100&gap=100"
	var all []*traffic
	for _, http2 := range []bool{false, true} {
		all = append(all, send(t, f, &thload.Generator{Path: path, Parts: 100, Rate: 12, HTTP2: http2, Timeout: 30 * time.Second}))
	}
	time.Sleep(2 * time.Second)
	stopped := make(chan error)
	stop := func(p *thfleet.Process) {
		begun := time.Now()
		err := p.Stop(40 * time.Second)
		t.Logf("%s stopped after %s", p.Name, time.Since(begun).Round(time.Millisecond))
		stopped <- err
	}
	for _, r := range all {
		r.cancel() // sends nothing more; the streams in progress go on
	}
	// Each has streams in progress: as target, as ingress, and as backend server.
	target, ingress, server := upstream(t, f, "rosterbook-1-1"), upstream(t, f, "slotboard-1-1"), upstream(t, f, "rosterbook-1-2")
	assert.NilError(t, upstream(t, f, "rosterbook-1-3").Drain(t.Context()))
	go stop(target.Daemon)
	go stop(ingress.Daemon)
	go stop(server.Server)
	for _, r := range all {
		r.stop(t)
	}
	for range 3 {
		assert.Check(t, <-stopped)
	}
	for _, r := range all {
		t.Logf("%d streams", len(r.all))
		r.requireAllGood(t)
		assert.Assert(t, len(r.all) >= 20)
	}
}

// Guards against a drain of a backend server, beside a daemon that runs on, that
// fails a call or leaves the daemon without its server when it returns.
func TestDrainAndReturn(t *testing.T) {
	t.Parallel()
	f := fleet(t)
	f.WriteJournals = true // the records before the server's stop count too
	_, err := f.Command(t.Context(), "apply", tablesOf(&thfleet.Ishikari))
	assert.NilError(t, err)
	assert.NilError(t, f.AddAll(&thfleet.Ishikari, 2*time.Millisecond))
	assert.NilError(t, f.WaitReady(t.Context()))
	warm(t, f, "/slots/now")
	var all []*traffic
	for _, http2 := range []bool{false, true} {
		all = append(all, send(t, f, &thload.Generator{Path: "/slots/stream?parts=10&gap=20", Parts: 10, Rate: 50, HTTP2: http2}))
	}
	time.Sleep(time.Second)
	u := upstream(t, f, "slotboard-1-2")
	assert.NilError(t, u.Server.Stop(20*time.Second))
	time.Sleep(2 * time.Second)
	assert.NilError(t, u.StartServer())
	returned := time.Now()
	time.Sleep(4 * time.Second)
	for _, r := range all {
		r.stop(t)
		r.requireAllGood(t)
		r.requireHeld(t, f)
	}
	got := thcheck.CheckStopped(records(t, f), thcheck.OnServers(u.Name), returned)
	assert.Assert(t, len(got) > 0, "no call after the return")
}
