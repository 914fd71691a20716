package thproof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// fault is a named fault of one upstream or of the platform. The function that inject
// returns repairs it.
type fault struct {
	name   string
	inject func(t *testing.T, f *thfleet.Fleet, u *thfleet.Upstream) func()
}

// freezeProcess stops the process with SIGSTOP and returns a function that resumes it.
func freezeProcess(p *thfleet.Process, t *testing.T) func() {
	assert.NilError(t, p.Signal(syscall.SIGSTOP))
	return func() { assert.Check(t, p.Signal(syscall.SIGCONT)) }
}

// linkRepair checks the error of setting a fault on the link and returns a function that
// clears the link's faults.
func linkRepair(t *testing.T, l *thfleet.Link, err error) func() {
	assert.NilError(t, err)
	return func() { l.ClearFaults(t.Context()) }
}

// faults lists the single faults on the path of a call.
var faults = []fault{
	{"daemon killed", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		u.Daemon.Kill()
		return func() { assert.Check(t, u.StartDaemon()) }
	}},
	{"server killed", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		u.Server.Kill()
		return func() { assert.Check(t, u.StartServer()) }
	}},
	{"daemon frozen", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() { return freezeProcess(u.Daemon, t) }},
	{"server frozen", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() { return freezeProcess(u.Server, t) }},
	{"peer link cut", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		u.PeerLink.Disconnect()
		return func() { assert.Check(t, u.PeerLink.Restore()) }
	}},
	{"server link cut", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		u.ServerLink.Disconnect()
		return func() { assert.Check(t, u.ServerLink.Restore()) }
	}},
	{"peer link hangs", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linkRepair(t, u.PeerLink, u.PeerLink.Hang())
	}},
	{"server link hangs", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linkRepair(t, u.ServerLink, u.ServerLink.Hang())
	}},
	{"peer link slow", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linkRepair(t, u.PeerLink, u.PeerLink.AddLatency(150, 50))
	}},
	{"server link slow", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linkRepair(t, u.ServerLink, u.ServerLink.AddLatency(150, 50))
	}},
	{"peer link truncated", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linkRepair(t, u.PeerLink, u.PeerLink.Truncate(2500))
	}},
	{"server link truncated", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linkRepair(t, u.ServerLink, u.ServerLink.Truncate(300))
	}},
	{"claims lost", func(t *testing.T, f *thfleet.Fleet, _ *thfleet.Upstream) func() {
		setPlatformFault(t, f, `{"table":{"lost":true}}`)
		return func() { setPlatformFault(t, f, `{"table":{}}`) }
	}},
}

// runUnderFaults sends streams, bookings, and bookings with keys that are repeated
// through other daemons, while each group of faults is in effect for 1 to 2.5 s. The
// seed determines the order of the groups and the upstreams they hit.
func runUnderFaults(t *testing.T, groups [][]fault) {
	t.Helper()
	f := deployWithLinks(t, &thfleet.Ishikari, 2*time.Millisecond)
	warmUp(t, f, "/slots/now")
	warmUp(t, f, "/bookings/now")
	r := rand.New(rand.NewPCG(*seed, 0))
	r.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	// No fault hits the upstreams of rosterbook, so every response at their ingresses
	// comes from the mesh.
	stable := ingressAddresses(upstreamsOf(f, "rosterbook"))
	streams := startTraffic(t, f, &thload.Generator{Targets: stable, Path: "/slots/stream?parts=5&gap=5", Parts: 5, Rate: 150, Concurrency: 400})
	bookings := startTraffic(t, f, &thload.Generator{Targets: stable, Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 50, Concurrency: 200})
	keyed := startTraffic(t, f, &thload.Generator{
		Targets: stable, Path: "/bookings/new", Method: "POST", NonIdempotent: true, IdempotencyKeys: true, MaxRetries: 3, Rate: 20, Concurrency: 100,
	})
	for _, group := range groups {
		// Otherwise a daemon that the previous group killed would be a third fault.
		assert.NilError(t, f.WaitReady(t.Context()))
		var names []string
		var repairs []func()
		used := map[string]bool{}
		for _, x := range group {
			service := []string{"slotboard", "bookdesk"}[r.IntN(2)]
			u := findUpstream(t, f, fmt.Sprintf("%s-1-%d", service, 1+r.IntN(3)))
			for used[u.Name] {
				u = findUpstream(t, f, fmt.Sprintf("%s-1-%d", service, 1+r.IntN(3)))
			}
			used[u.Name] = true
			names = append(names, x.name+" at "+u.Name)
			repairs = append(repairs, x.inject(t, f, u))
		}
		t.Logf("%s %s", time.Now().UTC().Format("15:04:05.000"), strings.Join(names, ", "))
		time.Sleep(time.Second + time.Duration(r.IntN(1500))*time.Millisecond)
		for _, m := range repairs {
			m()
		}
		time.Sleep(500 * time.Millisecond)
	}
	for name, load := range map[string]*traffic{"streams": streams, "bookings": bookings, "keyed bookings": keyed} {
		load.stop(t)
		load.requireMatchesRecords(t, f)
		t.Logf("%s: %d of %d good, failures %v", name, load.goodCount(), len(load.all), load.failureKinds())
		assert.Assert(t, len(load.all) > 0)
	}
	streams.requireIdempotentAnswered(t, groups)
}

// requireIdempotentAnswered fails the test when a call of an idempotent route failed
// before its response started. Calls that a frozen or hanging server held until their
// deadline are excepted, up to the server's slots.
func (c *callRecorder) requireIdempotentAnswered(t *testing.T, groups [][]fault) {
	t.Helper()
	maxTimedOut := 0
	for _, g := range groups {
		for _, x := range g {
			if strings.Contains(x.name, "frozen") || strings.Contains(x.name, "hangs") {
				maxTimedOut += thfleet.Ishikari.Slots
			}
		}
	}
	timedOut := 0
	for i := range c.all {
		k := &c.all[i]
		switch {
		case k.Succeeded(), k.Cut && k.Status == http.StatusOK:
		case k.Status == http.StatusGatewayTimeout:
			timedOut++
		default:
			t.Errorf("call failed: status=%d outcome=%q error=%q", k.Status, k.Outcome, k.Error)
		}
	}
	assert.Assert(t, timedOut <= maxTimedOut, "%d calls exceeded their deadline, at most %d allowed", timedOut, maxTimedOut)
}

// Guards against requests that run twice, rejections of requests that did run, and
// responses that are mixed up or truncated without notice, under each single fault.
func TestSingleFaults(t *testing.T) {
	var groups [][]fault
	for _, x := range faults {
		groups = append(groups, []fault{x})
	}
	runUnderFaults(t, groups)
}

// Guards against requests that run twice, rejections of requests that did run, and
// responses that are mixed up or truncated without notice, under two simultaneous
// faults on different upstreams.
func TestPairsOfFaults(t *testing.T) {
	r := rand.New(rand.NewPCG(*seed, 1))
	var groups [][]fault
	for range 13 {
		p := r.Perm(len(faults))
		groups = append(groups, []fault{faults[p[0]], faults[p[1]]})
	}
	runUnderFaults(t, groups)
}
