package thproof

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

// Bounds of the platform for the limit that a backend server states.
const (
	limitNotice = 3 * time.Second // from the first statement until the limit binds
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5 // requests
)

// allowedByLimit returns the requests that a server with a limit may get in limitWindow.
func allowedByLimit(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
}

// mostWithin returns the largest number of arrivals from since on within a window, and
// their total.
func mostWithin(arrivals []time.Time, since time.Time, window time.Duration) (most, total int) {
	first := 0
	for i, a := range arrivals {
		if a.Before(since) {
			first = i + 1
			continue
		}
		total++
		for a.Sub(arrivals[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, total
}

// randomTraffic sends calls to random ones of some nodes, with exponential gaps, until ctx ends.
type randomTraffic struct {
	good, all      atomic.Int64
	badRefusals    atomic.Int64 // neither a success nor "not run" with a time to come back
	slowestRefusal atomic.Int64 // ns
	clients        sync.WaitGroup
}

func (r *randomTraffic) start(ctx context.Context, nodes []*hostedNode, rate float64) {
	r.clients.Go(func() {
		random := rand.New(rand.NewPCG(*seed, 1))
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			n := nodes[random.IntN(len(nodes))]
			r.clients.Go(func() {
				start := time.Now()
				response, err := n.send("GET", "/view/x", fmt.Sprintf("random-%d", i), "")
				r.all.Add(1)
				if err != nil {
					r.badRefusals.Add(1)
					return
				}
				defer response.Body.Close()
				if response.StatusCode == http.StatusOK {
					r.good.Add(1)
					return
				}
				if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
					r.badRefusals.Add(1)
				}
				r.slowestRefusal.Store(max(r.slowestRefusal.Load(), int64(time.Since(start))))
			})
		}
	})
}

// Guards against a backend server that gets more requests than the limit that it states
// in its responses, while other servers of its service have room.
func TestStatedLimitIsKept(t *testing.T) {
	const limit = 7
	h := newHostedFleet(t, 3)
	h.configure(1)
	h.waitServing()
	limited := h.nodes[0].instance
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var traffic randomTraffic
	traffic.start(ctx, h.nodes, 90)
	limited.SetLimit(fmt.Sprint(limit))
	binding := time.Now().Add(limitNotice)
	time.Sleep(limitNotice + limitWindow + time.Second)
	cancel()
	traffic.clients.Wait()
	most, total := mostWithin(limited.Arrivals(), binding, limitWindow)
	t.Logf("%d requests in %s, %d in all, %d of %d calls good", most, limitWindow, total, traffic.good.Load(), traffic.all.Load())
	assert.Assert(t, most <= allowedByLimit(limit), "%d requests in %s, %d allowed", most, limitWindow, allowedByLimit(limit))
	assert.Assert(t, total > 0, "the server with a limit gets no calls")
	assert.Equal(t, traffic.good.Load(), traffic.all.Load())
}

// Guards against servers that get more than they state where no server of the service has
// room for more, against refusals that are held back or name no time to come back, and
// against servers that get far less than they state.
func TestAllServersStateLimits(t *testing.T) {
	const limit, rate = 7, 60
	h := newHostedFleet(t, 3)
	h.configure(1)
	h.waitServing()
	for _, n := range h.nodes {
		n.instance.SetLimit(fmt.Sprint(limit))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	traffic := randomTraffic{}
	traffic.start(ctx, h.nodes, rate)
	binding := time.Now().Add(limitNotice)
	time.Sleep(limitNotice + limitWindow + time.Second)
	cancel()
	traffic.clients.Wait()
	served := 0
	for _, n := range h.nodes {
		most, total := mostWithin(n.instance.Arrivals(), binding, limitWindow)
		assert.Assert(t, most <= allowedByLimit(limit), "%s: %d requests in %s, %d allowed", n.name, most, limitWindow, allowedByLimit(limit))
		served += total
	}
	t.Logf("%d served in %s, %d of %d calls good", served, limitWindow+time.Second, traffic.good.Load(), traffic.all.Load())
	assert.Assert(t, float64(served) >= 0.8*3*limit*limitWindow.Seconds(), "%d served", served)
	assert.Equal(t, traffic.badRefusals.Load(), int64(0))
	slowest := time.Duration(traffic.slowestRefusal.Load())
	assert.Assert(t, slowest < time.Second, "a refusal took %s", slowest)
}

// Guards against a burst of requests at a server with a limit after a restart of the
// daemon beside it, which has forgotten the limit, while the other daemons know it.
func TestStatedLimitIsKeptThroughRestart(t *testing.T) {
	checkLimitThroughRestart(t, func(h *hostedFleet) []*hostedNode { return h.nodes[1:] })
}

// Guards against the same by the callers of the restarted daemon, whose calls name no limit.
func TestStatedLimitBindsCallersOfRestartedDaemon(t *testing.T) {
	checkLimitThroughRestart(t, func(h *hostedFleet) []*hostedNode {
		return append([]*hostedNode{h.nodes[0], h.nodes[0], h.nodes[0], h.nodes[0]}, h.nodes...)
	})
}

// checkLimitThroughRestart fails the test when the first server, which states a limit, gets
// more requests than that after a restart of the daemon beside it. callers returns the nodes
// that get calls, each as often as its share.
func checkLimitThroughRestart(t *testing.T, callers func(*hostedFleet) []*hostedNode) {
	t.Helper()
	const limit, slots = 2, 24
	h := &hostedFleet{t: t, size: 3, slots: slots, processingTime: 300 * time.Millisecond}
	h.startNodes()
	h.configure(1)
	h.waitServing()
	limited := h.nodes[0]
	limited.instance.SetLimit(fmt.Sprint(limit))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var traffic randomTraffic
	traffic.start(ctx, callers(h), 170)
	binding := time.Now().Add(limitNotice)
	time.Sleep(limitNotice + time.Second)
	limited.daemon.Kill()
	limited.clearBootstrap(h)
	limited.start(h)
	time.Sleep(limitWindow)
	cancel()
	traffic.clients.Wait()
	most, total := mostWithin(limited.instance.Arrivals(), binding, limitWindow)
	t.Logf("%d requests in %s, %d in all, %d of %d calls good", most, limitWindow, total, traffic.good.Load(), traffic.all.Load())
	assert.Assert(t, most <= allowedByLimit(limit), "%d requests in %s, %d allowed", most, limitWindow, allowedByLimit(limit))
}

// Guards against limits of several servers, one of which changes, that are exceeded while any
// of the daemons restart one after the other.
func TestStatedLimitsAreKeptThroughRestarts(t *testing.T) {
	const restarts, pause = 5, 2 * time.Second
	h := &hostedFleet{t: t, size: 4, slots: 24, processingTime: 100 * time.Millisecond}
	h.startNodes()
	h.configure(1)
	h.waitServing()
	limits := []float64{7, 2.5} // of the first servers
	for i, limit := range limits {
		h.nodes[i].instance.SetLimit(fmt.Sprint(limit))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var traffic randomTraffic
	traffic.start(ctx, h.nodes, 150)
	binding := time.Now().Add(limitNotice)
	random := rand.New(rand.NewPCG(*seed, 2))
	var restarted []string
	for i := range restarts {
		time.Sleep(pause)
		n := h.nodes[i%len(limits)] // beside a server that states a limit
		if random.IntN(2) == 0 {
			n = h.nodes[random.IntN(len(h.nodes))]
		}
		n.daemon.Kill()
		n.clearBootstrap(h)
		n.start(h)
		restarted = append(restarted, n.name)
		if i == restarts/2 {
			h.nodes[1].instance.SetLimit("1") // lower
		}
	}
	time.Sleep(limitWindow)
	cancel()
	traffic.clients.Wait()
	t.Logf("seed %d, restarted %v, %d of %d calls good", *seed, restarted, traffic.good.Load(), traffic.all.Load())
	for i, limit := range limits {
		most, total := mostWithin(h.nodes[i].instance.Arrivals(), binding, limitWindow)
		t.Logf("limit %g: %d requests in %s, %d in all", limit, most, limitWindow, total)
		assert.Check(t, most <= allowedByLimit(limit), "%d requests in %s, %d allowed", most, limitWindow, allowedByLimit(limit))
		assert.Check(t, total > 0)
	}
}

// callTogether makes more concurrent calls at a node than the server of its zone has
// slots, so that some go to other zones.
func (h *hostedFleet) callTogether(node int) {
	h.t.Helper()
	var calls sync.WaitGroup
	for i := range 12 {
		calls.Go(func() {
			_, _, err := h.nodes[node].call("GET", "/view/x", fmt.Sprintf("together-%d-%d", i, time.Now().UnixNano()), "")
			assert.Check(h.t, err == nil, "%v", err)
		})
	}
	calls.Wait()
}

// Guards against a backend server that gets new calls although its responses state that
// it is leaving, while its heartbeats still say that it is ready; also after a restart of
// the daemon beside it.
func TestStatedLeavingIsKept(t *testing.T) {
	checkStatedLeaving(t, false)
}

// Guards against the same while the store is down, so that only the other daemons know
// of the departure after the restart.
func TestStatedLeavingIsKeptWithoutStore(t *testing.T) {
	checkStatedLeaving(t, true)
}

// checkStatedLeaving fails the test when an instance that states in its responses that it
// is leaving gets calls, also after a restart of the daemon beside it.
func checkStatedLeaving(t *testing.T, storeDown bool) {
	t.Helper()
	const drain = 2 * time.Second
	h := newHostedFleet(t, 3)
	h.configure(1)
	h.waitServing()
	n := h.nodes[1]
	h.store.SetFaults(thstandin.RowStoreFaults{Unavailable: storeDown})
	n.instance.SetLeaving(true)
	waitUntil(t, "a response states it", func() bool { return h.countServed(n, fmt.Sprint("before", time.Now().UnixNano())) > 0 })
	time.Sleep(drain)
	assert.Equal(t, h.countServed(n, "leaving"), 0)
	n.daemon.Kill()
	n.clearBootstrap(h)
	n.start(h)
	waitUntil(t, "the daemon is back", n.isReady)
	waitUntil(t, "the daemon has a heartbeat", func() bool { return n.instance.SendHeartbeat("ready", 0) == nil })
	// The daemon beside the server has restarted; the others are bound.
	before := len(n.instance.Runs())
	for end, i := time.Now().Add(drain), 0; time.Now().Before(end); i++ {
		h.callTogether(i % 2 * 2)
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, len(n.instance.Runs())-before, 0)
}

// Guards against limits of the configuration on the callers' requests that are not applied, and
// against changes of them that need a restart.
func TestLimitsOfTheConfigurationAreApplied(t *testing.T) {
	h := newHostedFleet(t, 2)
	h.configure(1)
	h.waitServing()
	send := func(header int, body io.Reader) (status int) {
		n := h.nodes[0]
		request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/view/x", n.ip(), hostedIngressPort), body)
		assert.NilError(t, err)
		request.Host = "site.example"
		request.Header.Set("X-Request-Id", fmt.Sprint("sizes-", time.Now().UnixNano()))
		request.Header.Set("X-Padding", strings.Repeat("x", header))
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		response.Body.Close()
		return response.StatusCode
	}
	sizes := func(header, body int) (status int) { return send(header, strings.NewReader(strings.Repeat("x", body))) }
	chunked := func(body int) (status int) {
		return send(0, io.MultiReader(strings.NewReader(strings.Repeat("x", body)))) // of unknown length
	}
	assert.Equal(t, sizes(8000, 1000), http.StatusOK)
	h.limits = `{"max_header_bytes":4000,"max_body_bytes":500,"header_timeout_s":1,"idle_timeout_s":2}`
	h.configure(2)
	waitUntil(t, "the lower limits are in effect", func() bool { return sizes(8000, 0) == http.StatusRequestHeaderFieldsTooLarge })
	assert.Equal(t, sizes(0, 501), http.StatusRequestEntityTooLarge)
	assert.Equal(t, chunked(501), http.StatusRequestEntityTooLarge)
	assert.Equal(t, chunked(500), http.StatusOK)
	assert.Equal(t, sizes(3000, 500), http.StatusOK)
	h.limits = `{"max_header_bytes":12000,"max_body_bytes":2000,"header_timeout_s":1,"idle_timeout_s":2}`
	h.configure(3)
	waitUntil(t, "the higher limits are in effect", func() bool { return sizes(8000, 2000) == http.StatusOK })
	status, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", h.nodes[0].ip(), hostedAdminPort))
	assert.NilError(t, err)
	defer status.Body.Close()
	metrics, err := io.ReadAll(status.Body)
	assert.NilError(t, err)
	for _, limit := range []string{"header", "body"} {
		assert.Assert(t, strings.Contains(string(metrics), `turmerichaven_limited_total{limit="`+limit+`"}`), limit)
	}
}
