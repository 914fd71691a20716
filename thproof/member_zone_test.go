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

// Guards against work in a zone that was taken out while the table service is
// slow, also through a daemon that has not learned of it: the targets refuse
// its calls, and say truly that they were not run.
func TestZoneOutWithLaggingDaemon(t *testing.T) {
	f := deployWithLinks(t, &thfleet.Ishikari, 2*time.Millisecond)
	warmUp(t, f, "/slots/now")
	lagging := findUpstream(t, f, "bookdesk-1-1") // zone sapporo
	var others []*thfleet.Upstream
	for _, u := range f.Upstreams {
		if u != lagging {
			others = append(others, u)
		}
	}
	r := startTraffic(t, f, &thload.Generator{Targets: ingressAddresses(others), Path: "/slots/now", Rate: 200})
	setPlatformFault(t, f, `{"table":{"delay":"200ms"}}`)
	// The daemon sleeps through the commit, cut off from platform and peers.
	lagging.PlatformLink.Cut()
	lagging.PeerLink.Cut()
	assert.NilError(t, lagging.Daemon.Signal(syscall.SIGSTOP))
	o := runEdit(t, f, "--admin", f.Upstreams[0].Admin(), "zone", "out", "otaru")
	assert.Equal(t, o.exitCode, 0, o.output)
	out := time.Now()
	// These calls wait in the daemon's sockets and are the first that it
	// handles, with the version from before its sleep.
	var late callRecorder
	g := &thload.Generator{
		Targets: []string{lagging.Ingress()}, Path: "/slots/now", Rate: 100, Time: 2 * time.Second,
		Callers: 100, Timeout: 10 * time.Second, Record: late.add,
	}
	var group sync.WaitGroup
	group.Add(1)
	time.AfterFunc(2500*time.Millisecond, func() {
		defer group.Done()
		_ = g.Run(context.WithoutCancel(t.Context()))
	})
	time.Sleep(time.Until(out.Add(4 * time.Second)))
	assert.NilError(t, lagging.Daemon.Signal(syscall.SIGCONT))
	group.Wait()
	r.stop(t)
	r.requireMatchesRecords(t, f)
	late.requireMatchesRecords(t, f)
	var names []string
	for _, u := range f.Upstreams {
		if u.Zone == "otaru" {
			names = append(names, u.Name)
		}
	}
	work := thcheck.Stopped(serverRecords(t, f), thcheck.OnServers(names...), out.Add(3*time.Second))
	refused := 0
	for _, c := range late.all {
		if c.Outcome == thload.OutcomeNotRun || c.Status == http.StatusServiceUnavailable {
			refused++
		}
	}
	t.Logf("%d of %d calls good, through the lagging daemon %d of %d, %d refused; %d begun in the zone after 3 s",
		r.goodCount(), len(r.all), late.goodCount(), len(late.all), refused, len(work))
	assert.Assert(t, len(late.all) > 0)
	assert.Assert(t, len(work) == 0, "%v", work[:min(len(work), 3)])
}
