package thproof

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// summaryOf returns the counts of a backend server.
func summaryOf(t *testing.T, u *thfleet.Upstream) thbackend.Summary {
	t.Helper()
	a, err := http.Get("http://" + u.ServerAddress() + "/summary")
	assert.NilError(t, err)
	defer a.Body.Close()
	var s thbackend.Summary
	assert.NilError(t, json.NewDecoder(a.Body).Decode(&s))
	return s
}

// warmth is the number of calls after which a cold stand-in is warm.
const warmth = 300

// Guards against a server that gets more calls than it can handle while it is
// cold, at its start or suddenly, under a load that needs all three servers. It
// fails when a cold server begins with all of its slots: about 300 strained calls
// at the start and as many when the server is suddenly cold.
func TestColdServersUnderLoad(t *testing.T) {
	f := fleet(t)
	f.WriteJournals = true
	_, err := f.Command(t.Context(), "apply", tablesOf(&thfleet.Ishikari))
	assert.NilError(t, err)
	for _, s := range thfleet.Ishikari.Services {
		for _, u := range thfleet.Ishikari.NewUpstreams(s, "1", 20*time.Millisecond) {
			u.WarmupRequests = warmth
			assert.NilError(t, f.Add(u))
		}
	}
	assert.NilError(t, f.WaitReady(t.Context()))
	warm(t, f, "/slots/now")
	warm(t, f, "/slots/now")
	slots := thfleet.Ishikari.Slots
	// 70% of what the three servers bear warm, more than two of them bear.
	r := send(t, f, &thload.Generator{Path: "/slots/now", Rate: 0.7 * 3 * float64(slots) / 0.02, Concurrency: 800})
	time.Sleep(time.Second)
	started, sudden := upstream(t, f, "slotboard-1-3"), upstream(t, f, "slotboard-1-2")
	assert.NilError(t, started.Server.Stop(10*time.Second))
	assert.NilError(t, started.StartServer())
	time.Sleep(8 * time.Second)
	first := summaryOf(t, started)
	before := summaryOf(t, sudden)
	a, err := http.Post("http://"+sudden.ServerAddress()+"/cold", "", nil)
	assert.NilError(t, err)
	a.Body.Close()
	time.Sleep(8 * time.Second)
	second := summaryOf(t, sudden)
	r.stop(t)
	t.Logf("cold start: %+v", first)
	t.Logf("sudden cold: %d strained of %d, %+v", second.Strained-before.Strained, second.Requests-before.Requests, second)
	t.Logf("%d of %d answered, others %v", r.good(), len(r.all), r.kinds())
	r.requireHeld(t, f)
	// A strained call is one above what the cold server can handle. The limit rises
	// by one call a round, so a new one brings a few strained calls each time. A
	// suddenly cold server had all of its slots in use, once more before that shows.
	assert.Assert(t, first.Strained <= warmth/5, "%d strained", first.Strained)
	assert.Assert(t, second.Strained-before.Strained <= warmth/5+3*slots, "%d strained", second.Strained-before.Strained)
	assert.Assert(t, first.Overloads == 0 && second.Overloads == 0)
	assert.Assert(t, !first.Cold && !second.Cold, "not warm again after 8 s")
}

// Guards against a warm server that gets a tenth of its load because its daemon
// has restarted.
func TestRestartedDaemonBesideWarmServer(t *testing.T) {
	t.Parallel()
	f := fleet(t)
	_, err := f.Command(t.Context(), "apply", tablesOf(&thfleet.Ishikari))
	assert.NilError(t, err)
	for _, u := range thfleet.Ishikari.NewUpstreams(thfleet.Ishikari.Services[0], "1", 2*time.Millisecond) {
		u.ExtraAge = time.Hour
		assert.NilError(t, f.Add(u))
	}
	assert.NilError(t, f.WaitReady(t.Context()))
	u := f.Upstreams[0]
	u.Daemon.Kill()
	assert.NilError(t, u.StartDaemon())
	assert.NilError(t, f.WaitReady(t.Context()))
	s, err := u.Status(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, s.Self.Limit >= thfleet.Ishikari.Slots/2, "limit %d", s.Self.Limit)
}
