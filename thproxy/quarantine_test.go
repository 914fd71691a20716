package thproxy

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thcrash"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// crashMesh is a mesh whose backend servers crash on each request of the path /deadly, and
// otherwise respond after work.
type crashMesh struct {
	*mesh

	work    atomic.Int64   // ns
	runs    []atomic.Int32 // of /deadly, by server
	active  []atomic.Int32
	maximum atomic.Int32 // concurrent requests at one server
}

func newCrashMesh(t *testing.T, route thconfig.Route, servers int, work time.Duration) *crashMesh {
	m := &crashMesh{runs: make([]atomic.Int32, servers), active: make([]atomic.Int32, servers)}
	m.work.Store(int64(work))
	handlers := make([]http.Handler, servers)
	for i := range handlers {
		handlers[i] = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(i, w, r) })
	}
	m.mesh = newMesh(t, route, handlers...)
	m.ingress.Crashes = &thcrash.Tracker{}
	return m
}

func (m *crashMesh) serve(server int, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	n := m.active[server].Add(1)
	defer m.active[server].Add(-1)
	for old := m.maximum.Load(); n > old && !m.maximum.CompareAndSwap(old, n); old = m.maximum.Load() {
	}
	if strings.HasPrefix(r.URL.Path, "/deadly") {
		m.runs[server].Add(1)
		time.Sleep(20 * time.Millisecond) // the time in which copies run beside each other
		m.crash(server)
		return
	}
	select {
	case <-time.After(time.Duration(m.work.Load())):
		_, _ = io.WriteString(w, "served")
	case <-r.Context().Done():
	}
}

func (m *crashMesh) call(t *testing.T, method, path, body string) (status int, response *http.Response) {
	t.Helper()
	request, err := http.NewRequest(method, m.front.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	response, err = m.client.Do(request)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode, response
}

func (m *crashMesh) crashes() int {
	n := 0
	for i := range m.runs {
		n += int(m.runs[i].Load())
	}
	return n
}

// removeCrashed removes the servers that have crashed from the balancer.
func (m *crashMesh) removeCrashed() {
	m.balancer.members = slices.DeleteFunc(m.balancer.members, func(s thwire.Member) bool { return m.runs[s.Name[0]-'a'].Load() > 0 })
}

// Guards against retries that send a request to one server after the other, which it crashes,
// and against a rejection of such a request that invites a further retry.
func TestDeadlyRequestCrashesTwoServers(t *testing.T) {
	for _, c := range []struct {
		name, method, body string
		route              thconfig.Route
		calls              int // until the request is quarantined
	}{
		{"safe", http.MethodGet, "", thconfig.Route{Retry: 100}, 1},
		{"safe with a body", http.MethodPost, "q", thconfig.Route{Retry: 100}, 1},
		{"once", http.MethodPost, "order", nonIdempotentRoute, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newCrashMesh(t, c.route, 4, 0)
			for range c.calls {
				status, response := m.call(t, c.method, "/deadly?x=1", c.body)
				assert.Equal(t, status, http.StatusBadGateway)
				assert.Equal(t, response.Header.Get(HeaderOutcome), OutcomeUnknown)
				m.removeCrashed()
			}
			assert.Equal(t, m.crashes(), 2)
			for range 3 {
				status, response := m.call(t, c.method, "/deadly?x=1", c.body)
				assert.Equal(t, status, http.StatusBadGateway)
				assert.Equal(t, response.Header.Get(HeaderOutcome), OutcomeNotRun)
				assert.Equal(t, response.Header.Get("Retry-After"), "")
			}
			assert.Equal(t, m.crashes(), 2)
			m.removeCrashed()
			status, _ := m.call(t, c.method, "/other", c.body)
			assert.Equal(t, status, http.StatusOK)
		})
	}
}

// Guards against requests that are quarantined because they were in progress beside one that
// crashes servers, and that are run together again on the next server.
func TestRequestsBesideACrashAreServed(t *testing.T) {
	const beside = 5
	m := newCrashMesh(t, thconfig.Route{Retry: 100}, 3, 100*time.Millisecond)
	var calls sync.WaitGroup
	for i := range beside {
		calls.Go(func() {
			status, _ := m.call(t, http.MethodGet, fmt.Sprint("/ordinary/", i), "")
			assert.Check(t, status == http.StatusOK, "answered %d", status)
		})
	}
	for m.active[0].Load() < beside {
		time.Sleep(time.Millisecond)
	}
	status, _ := m.call(t, http.MethodGet, "/deadly", "")
	assert.Equal(t, status, http.StatusBadGateway)
	calls.Wait()
	assert.Equal(t, m.crashes(), 2)
	suspect, quarantined := m.ingress.Crashes.Counts()
	assert.Equal(t, suspect, 0)
	assert.Equal(t, quarantined, 1)
}

// Guards against several suspect requests at one server, all of which a crash would quarantine.
func TestSuspectRequestsRunOneAtATime(t *testing.T) {
	const suspects = 4
	m := newCrashMesh(t, thconfig.Route{Retry: 100}, 1, 30*time.Millisecond)
	for i := range suspects {
		f := thcrash.Fingerprint(http.MethodGet, m.front.Listener.Addr().String(), fmt.Sprint("/suspect/", i), "", 0, nil)
		m.ingress.Crashes.RecordCrash(thcrash.Request{Fingerprint: f}, 1, false)
	}
	var calls sync.WaitGroup
	for i := range suspects {
		calls.Go(func() {
			status, _ := m.call(t, http.MethodGet, fmt.Sprint("/suspect/", i), "")
			assert.Check(t, status == http.StatusOK, "answered %d", status)
		})
	}
	calls.Wait()
	assert.Equal(t, m.maximum.Load(), int32(1))
	suspect, quarantined := m.ingress.Crashes.Counts()
	assert.Equal(t, suspect+quarantined, 0, "the responses clear the requests")
}

// Guards against a request that is quarantined because connections break under it while its
// servers go on.
func TestBrokenConnectionsQuarantineNothing(t *testing.T) {
	broken := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	m := newMesh(t, thconfig.Route{Retry: 100}, broken, broken, broken)
	m.ingress.Crashes = &thcrash.Tracker{}
	for range 3 {
		response, err := m.client.Get(m.front.URL + "/x")
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	}
	assert.Assert(t, !m.ingress.Crashes.Active())
}

// Guards against a suspect request that runs after all, because it waited at a server when the
// fleet quarantined it, and against one that goes on waiting once it is cleared.
func TestWaitingSuspectFollowsItsState(t *testing.T) {
	for _, c := range []struct {
		name       string
		quarantine bool
		status     int
	}{{"quarantined", true, http.StatusBadGateway}, {"cleared", false, http.StatusOK}} {
		t.Run(c.name, func(t *testing.T) {
			m := newCrashMesh(t, thconfig.Route{Retry: 100}, 1, 400*time.Millisecond)
			tracker := m.ingress.Crashes
			m.targets[0].Crashes = tracker
			fingerprintOf := func(path string) string {
				return thcrash.Fingerprint(http.MethodGet, m.front.Listener.Addr().String(), path, "", 0, nil)
			}
			for _, path := range []string{"/first", "/second"} {
				tracker.RecordCrash(thcrash.Request{Fingerprint: fingerprintOf(path)}, 1, false)
			}
			var first sync.WaitGroup
			first.Go(func() {
				status, _ := m.call(t, http.MethodGet, "/first", "")
				assert.Check(t, status == http.StatusOK, "answered %d", status)
			})
			for m.active[0].Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			var second sync.WaitGroup
			second.Go(func() {
				status, _ := m.call(t, http.MethodGet, "/second", "")
				assert.Check(t, status == c.status, "answered %d", status)
			})
			time.Sleep(50 * time.Millisecond)
			if c.quarantine {
				tracker.RecordCrash(thcrash.Request{Fingerprint: fingerprintOf("/second")}, 2, true)
				second.Wait()
				assert.Equal(t, m.maximum.Load(), int32(1))
			} else {
				tracker.RecordResponse(fingerprintOf("/second"))
				for m.maximum.Load() < 2 {
					time.Sleep(time.Millisecond)
				}
				second.Wait()
			}
			first.Wait()
		})
	}
}

// Guards against a popular request that is quarantined because several servers crash at the
// same moment for another reason, each while it runs a copy of the request.
func TestSimultaneousCrashesQuarantineNothing(t *testing.T) {
	const servers = 4
	m := newCrashMesh(t, nonIdempotentRoute, servers, 10*time.Second)
	m.balancer.inTurn = true
	var calls sync.WaitGroup
	for i := range servers - 1 {
		calls.Go(func() {
			status, _ := m.call(t, http.MethodPost, "/popular", "")
			assert.Check(t, status == http.StatusBadGateway, "answered %d", status)
		})
		for m.active[i].Load() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for i := range servers - 1 {
		m.crash(i)
	}
	calls.Wait()
	m.work.Store(0)
	status, _ := m.call(t, http.MethodPost, "/popular", "")
	assert.Equal(t, status, http.StatusOK)
	suspect, quarantined := m.ingress.Crashes.Counts()
	assert.Equal(t, suspect+quarantined, 0)
}

// Guards against copies of a suspect request that crash several servers at the same time,
// before the first crash is known: they must wait for each other at one server.
func TestCopiesOfSuspectMeetAtOneServer(t *testing.T) {
	const copies = 4
	m := newCrashMesh(t, nonIdempotentRoute, 4, 0)
	m.balancer.inTurn = true
	for i := range m.targets {
		m.targets[i].Crashes = m.ingress.Crashes
	}
	f := thcrash.Fingerprint(http.MethodPost, m.front.Listener.Addr().String(), "/deadly", "", 0, nil)
	m.ingress.Crashes.RecordCrash(thcrash.Request{Fingerprint: f}, 1, false)
	var calls sync.WaitGroup
	for range copies {
		calls.Go(func() {
			status, _ := m.call(t, http.MethodPost, "/deadly", "")
			assert.Check(t, status == http.StatusBadGateway, "answered %d", status)
		})
		time.Sleep(time.Millisecond)
	}
	calls.Wait()
	assert.Equal(t, m.crashes(), 1)
}
