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

// fetchSummary reads the request counts of a backend server from its /summary path.
func fetchSummary(t *testing.T, u *thfleet.Upstream) thbackend.Summary {
	t.Helper()
	a, err := http.Get("http://" + u.ServerAddress() + "/summary")
	assert.NilError(t, err)
	defer a.Body.Close()
	var s thbackend.Summary
	assert.NilError(t, json.NewDecoder(a.Body).Decode(&s))
	return s
}

// warmUpCalls is the number of calls after which a cold backend server is warm.
const warmUpCalls = 300

// Guards against a cold server that gets more calls than it can handle, after its
// start or when it turns cold while running, under a load that needs all three
// servers. The test fails if a cold server starts with all of its slots: then about
// 300 calls are strained at the start and as many when the server turns cold.
func TestColdServersUnderLoad(t *testing.T) {
	f := newFleet(t)
	f.WriteJournals = true
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
	assert.NilError(t, err)
	for _, s := range thfleet.Ishikari.Services {
		for _, u := range thfleet.Ishikari.NewUpstreams(s, "1", 20*time.Millisecond) {
			u.WarmupRequests = warmUpCalls
			assert.NilError(t, f.Add(u))
		}
	}
	assert.NilError(t, f.WaitReady(t.Context()))
	warmUp(t, f, "/slots/now")
	warmUp(t, f, "/slots/now")
	slots := thfleet.Ishikari.Slots
	// 70% of the capacity of the three warm servers, which exceeds that of two.
	r := startTraffic(t, f, &thload.Generator{Path: "/slots/now", Rate: 0.7 * 3 * float64(slots) / 0.02, Concurrency: 800})
	time.Sleep(time.Second)
	restarted, turnedCold := findUpstream(t, f, "slotboard-1-3"), findUpstream(t, f, "slotboard-1-2")
	assert.NilError(t, restarted.Server.Stop(10*time.Second))
	assert.NilError(t, restarted.StartServer())
	time.Sleep(8 * time.Second)
	first := fetchSummary(t, restarted)
	before := fetchSummary(t, turnedCold)
	a, err := http.Post("http://"+turnedCold.ServerAddress()+"/cold", "", nil)
	assert.NilError(t, err)
	a.Body.Close()
	time.Sleep(8 * time.Second)
	second := fetchSummary(t, turnedCold)
	r.stop(t)
	t.Logf("cold start: %+v", first)
	t.Logf("turned cold: %d strained of %d, %+v", second.Strained-before.Strained, second.Requests-before.Requests, second)
	t.Logf("%d of %d answered, failures %v", r.goodCount(), len(r.all), r.failureKinds())
	r.requireMatchesRecords(t, f)
	// A strained call exceeds what the cold server can handle. The limit rises by one
	// call a round, and each increase causes a few strained calls. A server that turns
	// cold has all of its slots in use, and once more before the cold state shows.
	assert.Assert(t, first.Strained <= warmUpCalls/5, "%d strained", first.Strained)
	assert.Assert(t, second.Strained-before.Strained <= warmUpCalls/5+3*slots, "%d strained", second.Strained-before.Strained)
	assert.Assert(t, first.Overloads == 0 && second.Overloads == 0)
	assert.Assert(t, !first.Cold && !second.Cold, "still cold after 8 s")
}

// Guards against a warm server that gets only a tenth of its load after its daemon
// has restarted.
func TestRestartedDaemonBesideWarmServer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
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
