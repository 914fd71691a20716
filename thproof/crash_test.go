package thproof

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thstandin"
)

// Bounds of the platform's rule on a request that crashes the backend servers which run it.
const (
	maxCrashedBefore = 3               // crashes until the request must be known
	maxRetriesAfter  = 3               // requests that may reach servers once it is known
	contactTime      = 3 * time.Second // until it must be known everywhere
)

// restartTime is the time that the stand-in of a backend server takes to be back after a crash.
const restartTime = time.Second

// crashOn makes each request of a target crash the backend server that runs it. The server is
// back after restartTime as a new process.
func (h *hostedFleet) crashOn(target string) {
	var restarts sync.WaitGroup
	h.t.Cleanup(restarts.Wait)
	for _, n := range h.nodes {
		n.instance.CrashOn(target, func() { restarts.Go(func() { n.crashInstance(h) }) })
	}
}

func (n *hostedNode) crashInstance(h *hostedFleet) {
	n.setState("")
	n.closeInstance()
	time.Sleep(restartTime)
	n.instance.Restart()
	if err := n.serveInstance(); err != nil {
		h.t.Errorf("restart of the backend server of %s: %v", n.name, err)
		return
	}
	n.setState("ready")
}

// crashTimes returns when backend servers have crashed, sorted.
func (h *hostedFleet) crashTimes() []time.Time {
	var times []time.Time
	for _, n := range h.nodes {
		times = append(times, n.instance.Crashes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// ordinaryTraffic sends calls with a path of their own from each node until stop is called,
// which returns the statuses of the calls by the time at which they were sent.
func (h *hostedFleet) ordinaryTraffic(clients int, pause time.Duration) (stop func() map[time.Time]int) {
	var mutex sync.Mutex
	statuses := map[time.Time]int{}
	done := make(chan struct{})
	var running sync.WaitGroup
	for c := range clients {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				sent := time.Now()
				status, _, err := h.nodes[(c+i)%len(h.nodes)].call("GET", fmt.Sprintf("/view/o%d-%d", c, i), fmt.Sprintf("o%d-%d", c, i), "")
				if err != nil {
					status = -1
				}
				mutex.Lock()
				statuses[sent] = status
				mutex.Unlock()
			}
		})
	}
	return func() map[time.Time]int {
		close(done)
		running.Wait()
		return statuses
	}
}

// sendAgain sends the same request from the nodes in turn for a time.
func (h *hostedFleet) sendAgain(method, target, body string, interval, duration time.Duration) {
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		_, _, _ = h.nodes[i%len(h.nodes)].call(method, target, fmt.Sprint("deadly-", i), body) // fails when its server crashes
		time.Sleep(interval)
	}
}

// requireFewCrashes fails the test if the request that crashes servers has reached more of
// them than the rule allows.
func (h *hostedFleet) requireFewCrashes() {
	h.t.Helper()
	times := h.crashTimes()
	h.t.Logf("%d crashes", len(times))
	if len(times) <= maxCrashedBefore {
		return
	}
	late := 0
	for _, at := range times {
		if at.After(times[maxCrashedBefore-1].Add(contactTime)) {
			late++
		}
	}
	assert.Assert(h.t, late <= maxRetriesAfter, "%d requests reached servers later than %s after the third crash", late, contactTime)
}

// Guards against a request that crashes one backend server after the other, as each retry of
// it, and each return of its caller, reaches a further one.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	for _, c := range []struct{ method, path, body string }{
		{http.MethodGet, "/view/deadly?x=1", ""},
		{http.MethodPost, "/book/deadly", "order"},
	} {
		t.Run(c.path, func(t *testing.T) {
			h := &hostedFleet{t: t, size: 4, slots: 6, processingTime: 40 * time.Millisecond}
			h.startNodes()
			h.configure(1)
			h.waitServing()
			h.crashOn(c.path)
			stop := h.ordinaryTraffic(16, 20*time.Millisecond)
			h.sendAgain(c.method, c.path, c.body, 50*time.Millisecond, 9*time.Second)
			statuses := stop()
			h.requireFewCrashes()
			var failed []string
			settled := h.crashTimes()[0].Add(contactTime + 2*restartTime)
			for sent, status := range statuses {
				if sent.After(settled) && status != http.StatusOK {
					failed = append(failed, fmt.Sprint(status))
				}
			}
			assert.Assert(t, len(failed) == 0, "%d of %d ordinary calls failed once the request had to be known: %s", len(failed), len(statuses), strings.Join(failed, " "))
		})
	}
}

// restartAll kills all daemons at the same moment and starts them again.
func (h *hostedFleet) restartAll() {
	for _, n := range h.nodes {
		n.daemon.Kill()
	}
	for _, n := range h.nodes {
		n.clearBootstrap(h)
		n.start(h)
	}
	h.waitServing()
}

// Guards against a request that crashes servers again after a restart of daemons: of one of
// them, also while the store is down, and of all at the same moment. Also guards against a
// release that a restart of all daemons undoes.
func TestQuarantineOutlivesRestarts(t *testing.T) {
	h := &hostedFleet{t: t, size: 4, slots: 6, processingTime: 5 * time.Millisecond}
	h.startNodes()
	h.configure(1)
	h.waitServing()
	h.crashOn("/view/deadly")
	h.sendAgain(http.MethodGet, "/view/deadly", "", 20*time.Millisecond, contactTime)
	before := len(h.crashTimes())
	assert.Assert(t, before > 0)

	h.store.SetFaults(thstandin.RowStoreFaults{Unavailable: true})
	n := h.nodes[0]
	n.daemon.Kill()
	n.start(h)
	h.waitServing()
	time.Sleep(contactTime)
	h.sendAgain(http.MethodGet, "/view/deadly", "", 20*time.Millisecond, time.Second)
	assert.Equal(t, len(h.crashTimes()), before, "crashes after the restart of a daemon without the store")

	h.store.SetFaults(thstandin.RowStoreFaults{})
	h.restartAll()
	time.Sleep(contactTime)
	h.sendAgain(http.MethodGet, "/view/deadly", "", 20*time.Millisecond, time.Second)
	assert.Equal(t, len(h.crashTimes()), before, "crashes after the restart of all daemons")

	// An operator ends the quarantine at one daemon, for the fleet and the store.
	admin := &thadmin.Client{Address: netip.AddrPortFrom(netip.MustParseAddr(n.ip()), hostedAdminPort)}
	status, err := admin.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(status.Quarantine), 1)
	assert.NilError(t, admin.Release(t.Context(), status.Quarantine[0].Fingerprint))
	time.Sleep(time.Second)
	h.restartAll()
	time.Sleep(time.Second)
	h.sendAgain(http.MethodGet, "/view/deadly", "", 20*time.Millisecond, time.Second)
	assert.Assert(t, len(h.crashTimes()) > before, "still quarantined after the release")
}
