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
	f := deployLinked(t, &thfleet.Ishikari, 2*time.Millisecond)
	warm(t, f, "/slots/now")
	lagging := upstream(t, f, "bookdesk-1-1") // zone sapporo
	var others []*thfleet.Upstream
	for _, u := range f.Upstreams {
		if u != lagging {
			others = append(others, u)
		}
	}
	r := send(t, f, &thload.Generator{Targets: addresses(others), Path: "/slots/now", Rate: 200})
	platformFault(t, f, `{"table":{"delay":"200ms"}}`)
	// The daemon sleeps through the commit, cut off from platform and peers.
	lagging.PlatformLink.Disconnect()
	lagging.PeerLink.Disconnect()
	assert.NilError(t, lagging.Daemon.Signal(syscall.SIGSTOP))
	o := edit(t, f, "--admin", f.Upstreams[0].Admin(), "zone", "out", "otaru")
	assert.Equal(t, o.code, 0, o.text)
	out := time.Now()
	// These calls wait in the daemon's sockets and are the first that it
	// handles, with the version from before its sleep.
	var late calls
	g := &thload.Generator{
		Targets: []string{lagging.Ingress()}, Path: "/slots/now", Rate: 100, Duration: 2 * time.Second,
		Concurrency: 100, Timeout: 10 * time.Second, Record: late.add,
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
	r.requireHeld(t, f)
	late.requireHeld(t, f)
	var names []string
	for _, u := range f.Upstreams {
		if u.Zone == "otaru" {
			names = append(names, u.Name)
		}
	}
	work := thcheck.CheckStopped(records(t, f), thcheck.OnServers(names...), out.Add(3*time.Second))
	refused := 0
	for _, c := range late.all {
		if c.Outcome == thload.OutcomeNotRun || c.Status == http.StatusServiceUnavailable {
			refused++
		}
	}
	t.Logf("%d of %d calls good, through the lagging daemon %d of %d, %d refused; %d begun in the zone after 3 s",
		r.good(), len(r.all), late.good(), len(late.all), refused, len(work))
	assert.Assert(t, len(late.all) > 0)
	assert.Assert(t, len(work) == 0, "%v", work[:min(len(work), 3)])
}
