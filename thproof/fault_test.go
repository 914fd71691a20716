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

// fault makes a part of the fleet fail; the returned function mends it.
type fault struct {
	name  string
	begin func(t *testing.T, f *thfleet.Fleet, u *thfleet.Upstream) func()
}

func signalled(p *thfleet.Process, t *testing.T) func() {
	assert.NilError(t, p.Signal(syscall.SIGSTOP))
	return func() { assert.Check(t, p.Signal(syscall.SIGCONT)) }
}

func linked(t *testing.T, l *thfleet.Link, err error) func() {
	assert.NilError(t, err)
	return func() { l.ClearFaults(t.Context()) }
}

// faults lists what fails on the path of a call, each on its own.
var faults = []fault{
	{"daemon killed", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		u.Daemon.Kill()
		return func() { assert.Check(t, u.StartDaemon()) }
	}},
	{"server killed", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		u.Server.Kill()
		return func() { assert.Check(t, u.StartServer()) }
	}},
	{"daemon frozen", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() { return signalled(u.Daemon, t) }},
	{"server frozen", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() { return signalled(u.Server, t) }},
	{"peer link cut", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		u.PeerLink.Disconnect()
		return func() { assert.Check(t, u.PeerLink.Restore()) }
	}},
	{"server link cut", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		u.ServerLink.Disconnect()
		return func() { assert.Check(t, u.ServerLink.Restore()) }
	}},
	{"peer link hangs", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linked(t, u.PeerLink, u.PeerLink.Hang())
	}},
	{"server link hangs", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linked(t, u.ServerLink, u.ServerLink.Hang())
	}},
	{"peer link slow", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linked(t, u.PeerLink, u.PeerLink.AddLatency(150, 50))
	}},
	{"server link slow", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linked(t, u.ServerLink, u.ServerLink.AddLatency(150, 50))
	}},
	{"peer link truncated", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linked(t, u.PeerLink, u.PeerLink.Truncate(2500))
	}},
	{"server link truncated", func(t *testing.T, _ *thfleet.Fleet, u *thfleet.Upstream) func() {
		return linked(t, u.ServerLink, u.ServerLink.Truncate(300))
	}},
	{"claims lost", func(t *testing.T, f *thfleet.Fleet, _ *thfleet.Upstream) func() {
		platformFault(t, f, `{"table":{"lost":true}}`)
		return func() { platformFault(t, f, `{"table":{}}`) }
	}},
}

// underFaults sends streams, bookings and bookings with keys, which are
// repeated through other daemons, while each group of faults is in effect for a
// while. Groups are drawn in the order of the seed.
func underFaults(t *testing.T, groups [][]fault) {
	t.Helper()
	f := deployLinked(t, &thfleet.Ishikari, 2*time.Millisecond)
	warm(t, f, "/slots/now")
	warm(t, f, "/bookings/now")
	r := rand.New(rand.NewPCG(*seed, 0))
	r.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	// The ingresses of the roster stay up, so that every answer is the mesh's.
	stable := addresses(serviceOf(f, "rosterbook"))
	streams := send(t, f, &thload.Generator{Targets: stable, Path: "/slots/stream?parts=5&gap=5", Parts: 5, Rate: 150, Concurrency: 400})
	books := send(t, f, &thload.Generator{Targets: stable, Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 50, Concurrency: 200})
	keyed := send(t, f, &thload.Generator{
		Targets: stable, Path: "/bookings/new", Method: "POST", NonIdempotent: true, IdempotencyKeys: true, MaxRetries: 3, Rate: 20, Concurrency: 100,
	})
	for _, group := range groups {
		// A daemon that the faults before have killed would be a third fault.
		assert.NilError(t, f.WaitReady(t.Context()))
		var names []string
		var mend []func()
		used := map[string]bool{}
		for _, x := range group {
			service := []string{"slotboard", "bookdesk"}[r.IntN(2)]
			u := upstream(t, f, fmt.Sprintf("%s-1-%d", service, 1+r.IntN(3)))
			for used[u.Name] {
				u = upstream(t, f, fmt.Sprintf("%s-1-%d", service, 1+r.IntN(3)))
			}
			used[u.Name] = true
			names = append(names, x.name+" at "+u.Name)
			mend = append(mend, x.begin(t, f, u))
		}
		t.Logf("%s %s", time.Now().UTC().Format("15:04:05.000"), strings.Join(names, ", "))
		time.Sleep(time.Second + time.Duration(r.IntN(1500))*time.Millisecond)
		for _, m := range mend {
			m()
		}
		time.Sleep(500 * time.Millisecond)
	}
	for name, c := range map[string]*traffic{"streams": streams, "bookings": books, "keyed bookings": keyed} {
		c.stop(t)
		c.requireHeld(t, f)
		t.Logf("%s: %d of %d good, others %v", name, c.good(), len(c.all), c.kinds())
		assert.Assert(t, len(c.all) > 0)
	}
	streams.requireSafeAnswered(t, groups)
}

// requireSafeAnswered fails the test when a call of a safe route has no answer
// although none had begun. Excepted are calls that a frozen or silent server
// held until their deadline, no more than its slots.
func (c *calls) requireSafeAnswered(t *testing.T, groups [][]fault) {
	t.Helper()
	held := 0
	for _, g := range groups {
		for _, x := range g {
			if strings.Contains(x.name, "frozen") || strings.Contains(x.name, "hangs") {
				held += thfleet.Ishikari.Slots
			}
		}
	}
	late := 0
	for i := range c.all {
		k := &c.all[i]
		switch {
		case k.Succeeded(), k.Cut && k.Status == http.StatusOK:
		case k.Status == http.StatusGatewayTimeout:
			late++
		default:
			t.Errorf("not answered: status=%d outcome=%q error=%q", k.Status, k.Outcome, k.Error)
		}
	}
	assert.Assert(t, late <= held, "%d calls late, at most %d were held", late, held)
}

// Guards against requests that run twice, refusals that are not true and
// answers that are mixed or cut unseen, under each fault alone.
func TestSingleFaults(t *testing.T) {
	var groups [][]fault
	for _, x := range faults {
		groups = append(groups, []fault{x})
	}
	underFaults(t, groups)
}

// Guards against the same under two faults at a time on different upstreams.
func TestPairsOfFaults(t *testing.T) {
	r := rand.New(rand.NewPCG(*seed, 1))
	var groups [][]fault
	for range 13 {
		p := r.Perm(len(faults))
		groups = append(groups, []fault{faults[p[0]], faults[p[1]]})
	}
	underFaults(t, groups)
}
