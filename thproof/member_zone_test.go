package thproof

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// Guards against requests that still start in a zone 3 s after it was taken out while
// the table service is slow, including calls through a daemon that doesn't have the
// new version yet. The targets must reject that daemon's calls, and the calls answered
// "not run" must not have run.
func TestZoneOutWithLaggingDaemon(t *testing.T) {
	f := deployWithLinks(t, &thfleet.Ishikari, 2*time.Millisecond)
	warmUp(t, f, "/slots/now")
	lagging := findUpstream(t, f, "bookdesk-1-1") // zone sapporo
	var upToDate []*thfleet.Upstream
	for _, u := range f.Upstreams {
		if u != lagging {
			upToDate = append(upToDate, u)
		}
	}
	r := startTraffic(t, f, &thload.Generator{Targets: ingressAddresses(upToDate), Path: "/slots/now", Rate: 200})
	setPlatformFault(t, f, `{"table":{"delay":"200ms"}}`)
	// The daemon is stopped during the commit, and disconnected from the platform and
	// its peers.
	lagging.PlatformLink.Disconnect()
	lagging.PeerLink.Disconnect()
	assert.NilError(t, lagging.Daemon.Signal(syscall.SIGSTOP))
	o := runEdit(t, f, "--admin", f.Upstreams[0].Admin(), "zone", "out", "otaru")
	assert.Equal(t, o.exitCode, 0, o.output)
	zoneOut := time.Now()
	// These calls wait in the daemon's sockets. It handles them first after it resumes,
	// with the version from before it was stopped.
	var lateCalls callRecorder
	g := &thload.Generator{
		Targets: []string{lagging.Ingress()}, Path: "/slots/now", Rate: 100, Duration: 2 * time.Second,
		Concurrency: 100, Timeout: 10 * time.Second, Record: lateCalls.add,
	}
	var group sync.WaitGroup
	group.Add(1)
	time.AfterFunc(2500*time.Millisecond, func() {
		defer group.Done()
		_ = g.Run(context.WithoutCancel(t.Context()))
	})
	time.Sleep(time.Until(zoneOut.Add(4 * time.Second)))
	assert.NilError(t, lagging.Daemon.Signal(syscall.SIGCONT))
	group.Wait()
	r.stop(t)
	r.requireMatchesRecords(t, f)
	lateCalls.requireMatchesRecords(t, f)
	var names []string
	for _, u := range f.Upstreams {
		if u.Zone == "otaru" {
			names = append(names, u.Name)
		}
	}
	started := thcheck.CheckStopped(serverRecords(t, f), thcheck.OnServers(names...), zoneOut.Add(3*time.Second))
	rejected := 0
	for _, c := range lateCalls.all {
		if c.Outcome == thload.OutcomeNotRun || c.Status == http.StatusServiceUnavailable {
			rejected++
		}
	}
	t.Logf("%d of %d calls good, through the lagging daemon %d of %d, %d rejected; %d started in the zone after 3 s",
		r.goodCount(), len(r.all), lateCalls.goodCount(), len(lateCalls.all), rejected, len(started))
	assert.Assert(t, len(lateCalls.all) > 0)
	assert.Assert(t, len(started) == 0, "%v", started[:min(len(started), 3)])
}
