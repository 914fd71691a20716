package thproof

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

const (
	serviceTime = 50 * time.Millisecond // of a call; so long that few calls fill the slots
	// maxQueueTime is the design's limit on a call's time in one queue.
	maxQueueTime = 50 * time.Millisecond
	// maxAttempts is the maximum number of servers that the mesh tries for a call.
	maxAttempts = 4
)

// dueBetween returns the calls that were due from a time until before another.
func (c *callRecorder) dueBetween(from, to time.Time) []thload.Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []thload.Call
	for _, k := range c.all {
		if !k.Due.Before(from) && k.Due.Before(to) {
			due = append(due, k)
		}
	}
	return due
}

// latencyQuantile returns the q quantile of the latencies of the matching calls, or 0 if
// none matches.
func latencyQuantile(calls []thload.Call, q float64, match func(*thload.Call) bool) time.Duration {
	var latencies []time.Duration
	for i := range calls {
		if match(&calls[i]) {
			latencies = append(latencies, calls[i].End.Sub(calls[i].Start))
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(q*float64(len(latencies))))]
}

func countGood(calls []thload.Call) int {
	n := 0
	for i := range calls {
		if calls[i].Succeeded() {
			n++
		}
	}
	return n
}

// Guards against overload that lowers the rate of answered calls, rejections that are
// late, lack Retry-After or apply to calls that ran, responses delayed beyond the queue
// limit, and servers that get more calls than their slots.
func TestTwiceTheLoad(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, serviceTime)
	warmUp(t, f, "/slots/now")
	const window = 4 * time.Second
	capacity := float64(3*thfleet.Ishikari.Slots) / serviceTime.Seconds()
	var recorded []thload.Call
	run := func(rate float64) []thload.Call {
		r := startTraffic(t, f, &thload.Generator{Path: "/slots/now", Rate: rate, Concurrency: 1500})
		time.Sleep(time.Second) // until the limits and the retry budgets settle
		from := time.Now()
		time.Sleep(window)
		to := time.Now()
		r.stop(t)
		recorded = append(recorded, r.all...)
		return r.dueBetween(from, to)
	}
	full := run(capacity)
	time.Sleep(time.Second)
	twice := run(2 * capacity)
	rejected := func(c *thload.Call) bool { return c.Outcome == thload.OutcomeNotRun }
	p99 := latencyQuantile(twice, 0.99, (*thload.Call).Succeeded)
	t.Logf("capacity %.0f/s; at full load %d of %d answered, p99 %s; at twice the load %d of %d answered, p99 %s, rejections p50 %s p99 %s",
		capacity, countGood(full), len(full), latencyQuantile(full, 0.99, (*thload.Call).Succeeded),
		countGood(twice), len(twice), p99, latencyQuantile(twice, 0.5, rejected), latencyQuantile(twice, 0.99, rejected))
	recorder := callRecorder{all: recorded}
	t.Logf("failures: %v", recorder.failureKinds())
	for i := range recorded {
		c := &recorded[i]
		assert.Assert(t, c.Succeeded() || rejected(c) && c.Retry != "" && (c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests),
			"status=%d outcome=%q retry=%q error=%q", c.Status, c.Outcome, c.Retry, c.Error)
	}
	recorder.requireMatchesRecords(t, f)
	overSlots := thcheck.CheckPeaks(serverRecords(t, f), thfleet.Ishikari.Slots)
	assert.Assert(t, len(overSlots) == 0, "%v", overSlots)
	assert.Assert(t, float64(countGood(twice)) >= 0.8*float64(countGood(full)))
	// A call may wait in the queue of each server that is tried.
	assert.Assert(t, p99 <= serviceTime+maxAttempts*maxQueueTime)
	assert.Assert(t, latencyQuantile(twice, 0.99, rejected) <= maxAttempts*maxQueueTime)
}

// Guards against retry amplification in a chain of calls, where each level retries a
// failing call and the attempts multiply with the depth. The last service breaks the
// connection of half of its calls after they ran.
func TestChainsDoNotMultiplyTries(t *testing.T) {
	d, path := chainDeployment(t, 10)
	f := deploy(t, d, 2*time.Millisecond)
	g := &thload.Generator{Targets: fleetIngresses(f), Path: path, Rate: 50, Duration: 4 * time.Second, Concurrency: 4}
	assert.NilError(t, g.Run(t.Context()))
	for _, u := range upstreamsOf(f, "s9") {
		assert.NilError(t, thfleet.SetFault(t.Context(), u.ServerAddress(), thbackend.Fault{Share: 0.5, Drop: true}))
	}
	const window = 5 * time.Second
	r := startTraffic(t, f, &thload.Generator{Path: path, Rate: 50, Timeout: 2 * time.Second})
	time.Sleep(window)
	r.stop(t)
	r.requireMatchesRecords(t, f)
	ids := map[string]bool{}
	for i := range r.all {
		ids[r.all[i].ID] = true
	}
	attempts, reached := 0, map[string]bool{}
	for _, k := range serverRecords(t, f) {
		if k.Service == "s9" && ids[rootCallID(k.ID)] && strings.HasSuffix(k.ID, ".0") {
			attempts++
			reached[k.ID] = true
		}
	}
	// The retry budget: 20% of the first attempts, including those of the warm-up, plus
	// 3 a second in each of the two daemons whose backend servers call the last service,
	// with one second's worth at the start.
	maxExpected := float64(len(r.all)) + 0.2*(float64(len(r.all))+g.Rate*g.Duration.Seconds()) + 2*3*(window.Seconds()+1)
	t.Logf("%d attempts at the last service for %d chains, %d reached it; failures %v", attempts, len(r.all), len(reached), r.failureKinds())
	assert.Assert(t, float64(attempts) <= maxExpected, "%d attempts, at most %.0f allowed", attempts, maxExpected)
	assert.Assert(t, float64(len(reached)) >= 0.8*float64(len(r.all)))
	assert.Assert(t, attempts > len(reached), "no call was retried")
}

// rootCallID returns the id of the first call of a chain, the part before the first dot.
func rootCallID(id string) string {
	id, _, _ = strings.Cut(id, ".")
	return id
}

// chainDeployment returns a deployment of services that call each other in sequence, and
// the path of a call through all of them.
func chainDeployment(t *testing.T, levels int) (*thfleet.Deployment, string) {
	t.Helper()
	var text strings.Builder
	var paths []string
	d := &thfleet.Deployment{
		Name: "chain", Region: "hokkaido", Zones: []string{"sapporo", "otaru"}, Slots: 20,
	}
	for i := range levels {
		name := fmt.Sprintf("s%d", i)
		d.Services = append(d.Services, thfleet.Service{Name: name, Upstreams: 2})
		paths = append(paths, "/"+name+"/chain")
		fmt.Fprintf(&text, "[pool %s]\nservice = %s\nversion = 1\n\n[route %s]\npath = /%s\npool = %s\nclass = chain\nrepeat = safe\ntimeout = 5s\n\n",
			name, name, name, name, name)
	}
	d.TablesFile = filepath.Join(t.TempDir(), "chain.ini")
	assert.NilError(t, os.WriteFile(d.TablesFile, []byte(text.String()), 0o600))
	return d, fmt.Sprintf("%s?depth=%d&next=%s", paths[0], levels-1, strings.Join(append(paths[1:], paths[0]), ","))
}
