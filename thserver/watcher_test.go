package thserver

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

func post(w *Watcher, path, body string) int {
	rec := httptest.NewRecorder()
	w.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return rec.Code
}

func announcementBody(address string) string {
	return fmt.Sprintf(`{"service":"page","version":"v1","address":%q,"slots":5,"health":"/health","load":"/load"}`, address)
}

// change is one call of a Watch callback.
type change struct {
	server  thwire.Server
	address netip.AddrPort
	gone    bool
}

// newWatcher returns a Watcher and the list of changes that it reports.
func newWatcher(c clockwork.Clock) (*Watcher, *[]change) {
	var changes []change
	w := &Watcher{Clock: c, LocalAddresses: []netip.Addr{netip.MustParseAddr("10.1.2.3")}}
	w.Watch(func(s thwire.Server, a netip.AddrPort, gone bool) { changes = append(changes, change{s, a, gone}) })
	return w, &changes
}

// Guards against malformed announcements, and those with the address of another machine.
func TestAnnouncementIsChecked(t *testing.T) {
	w, changes := newWatcher(clockwork.NewFakeClock())
	for _, bad := range []string{
		"", "{}", "[]", announcementBody("8.8.8.8:80"), announcementBody("127.0.0.1:0"), announcementBody("127.0.0.1"), announcementBody("localhost:80"),
		strings.Replace(announcementBody("127.0.0.1:80"), "slots", "slot", 1),
		strings.Replace(announcementBody("127.0.0.1:80"), ":5", ":0", 1),
		strings.Replace(announcementBody("127.0.0.1:80"), ":5", ":20000", 1),
		strings.Replace(announcementBody("127.0.0.1:80"), "/health", "http://other", 1),
		strings.Replace(announcementBody("127.0.0.1:80"), "page", "Page!", 1),
		announcementBody("127.0.0.1:80") + "{}",
		announcementBody("127.0.0.1:80")[:20] + strings.Repeat(" ", maxBodyBytes) + announcementBody("127.0.0.1:80")[20:],
	} {
		assert.Equal(t, post(w, "/announce", bad), http.StatusBadRequest, "body %q is accepted", bad)
	}
	assert.Equal(t, len(*changes), 0)
	assert.Equal(t, post(w, "/announce", announcementBody("127.0.0.1:80")), http.StatusNoContent)
	assert.Equal(t, post(w, "/announce", announcementBody("10.1.2.3:80")), http.StatusNoContent)
	assert.Equal(t, len(*changes), 2)
	assert.Equal(t, post(w, "/other", ""), http.StatusNotFound)
}

// Guards against a leaving server that its own announcements make ready again, and
// against callbacks for repeated announcements.
func TestLeavingLasts(t *testing.T) {
	w, changes := newWatcher(clockwork.NewFakeClock())
	for range 3 {
		post(w, "/announce", announcementBody("127.0.0.1:80"))
	}
	post(w, "/leave", "")
	post(w, "/announce", announcementBody("127.0.0.1:80"))
	assert.Equal(t, len(*changes), 2)
	s, _, found := w.Server()
	assert.Assert(t, found && s.State == thwire.ServerLeaving)
	// A new process at another port is starting.
	post(w, "/announce", announcementBody("127.0.0.1:81"))
	s, _, _ = w.Server()
	assert.Equal(t, s.State, thwire.ServerStarting)
}

// Guards against removing a server while announcements or probes still succeed, and
// against keeping it when both have failed.
func TestGoneNeedsBoth(t *testing.T) {
	var status atomic.Int32
	status.Store(http.StatusServiceUnavailable)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(int(status.Load()))
		if r.URL.Path == "/load" {
			fmt.Fprint(rw, `{"load":3}`)
		}
	}))
	defer server.Close()
	c := clockwork.NewFakeClock()
	w, changes := newWatcher(c)
	var hint ProbeResult
	w.WatchProbes(func(h ProbeResult) { hint = h })
	post(w, "/announce", announcementBody(server.Listener.Addr().String()))
	w.checkServer(context.Background())
	assert.Equal(t, len(*changes), 1) // still starting
	assert.Assert(t, !hint.Healthy && !hint.HasLoad)
	status.Store(http.StatusOK)
	w.checkServer(context.Background())
	assert.Equal(t, (*changes)[1].server.State, thwire.ServerReady)
	assert.Assert(t, hint.Healthy && hint.HasLoad && hint.Load == 3)
	c.Advance(time.Minute)
	w.checkServer(context.Background())
	assert.Equal(t, len(*changes), 2)
	server.Close()
	post(w, "/announce", announcementBody((*changes)[0].address.String()))
	w.checkServer(context.Background())
	assert.Equal(t, len(*changes), 2)
	c.Advance(maxMissedAnnouncements * announceInterval)
	w.checkServer(context.Background())
	assert.Equal(t, len(*changes), 3)
	assert.Assert(t, (*changes)[2].gone)
	_, _, found := w.Server()
	assert.Assert(t, !found)
}

// Guards against an old process that replaces its successor, or makes it leave, while
// both are running.
func TestReplacedServerIsIgnored(t *testing.T) {
	c := clockwork.NewFakeClock()
	w, changes := newWatcher(c)
	post(w, "/announce", announcementBody("127.0.0.1:80"))
	post(w, "/announce", announcementBody("127.0.0.1:81"))
	post(w, "/announce", announcementBody("127.0.0.1:80"))
	assert.Equal(t, post(w, "/leave", `{"address":"127.0.0.1:80"}`), http.StatusNoContent)
	assert.Equal(t, post(w, "/leave", `{"other":1}`), http.StatusBadRequest)
	assert.Equal(t, len(*changes), 2)
	c.Advance(maxMissedAnnouncements * announceInterval)
	post(w, "/announce", announcementBody("127.0.0.1:80"))
	assert.Equal(t, (*changes)[2].address.Port(), uint16(80))
}

// Guards against a restarted process that is treated as a warm one.
func TestRestartBegins(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	w, changes := newWatcher(clockwork.NewFakeClock())
	address := server.Listener.Addr().String()
	post(w, "/announce", announcementBody(address))
	w.checkServer(context.Background())
	assert.Equal(t, (*changes)[1].server.State, thwire.ServerReady)
	server.Close()
	w.checkServer(context.Background())
	assert.Equal(t, len(*changes), 2)
	post(w, "/announce", announcementBody(address))
	assert.Equal(t, (*changes)[2].server.State, thwire.ServerStarting)
}

// Guards against a broken health endpoint that keeps a working server out of use.
func TestStartingEnds(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	c := clockwork.NewFakeClock()
	w, changes := newWatcher(c)
	assert.NilError(t, w.Start(context.Background()))
	defer w.Stop()
	post(w, "/announce", announcementBody(server.Listener.Addr().String()))
	c.Advance(maxStartingTime)
	w.checkServer(context.Background())
	assert.Equal(t, (*changes)[len(*changes)-1].server.State, thwire.ServerReady)
}

// Guards against a server that restarts between two probes and stays leaving for ever,
// or gets the load of its warm predecessor.
func TestAgeTellsRestart(t *testing.T) {
	w, changes := newWatcher(clockwork.NewFakeClock())
	aged := func(age string) string {
		return strings.Replace(announcementBody("127.0.0.1:80"), "}", `,"age":`+age+"}", 1)
	}
	state := func() string { return (*changes)[len(*changes)-1].server.State }
	assert.Equal(t, post(w, "/announce", aged("100")), http.StatusNoContent)
	assert.Equal(t, state(), thwire.ServerReady)
	assert.Equal(t, post(w, "/announce", aged("98")), http.StatusNoContent)
	assert.Equal(t, state(), thwire.ServerReady, "announcements out of order, as after a freeze of the daemon")
	w.current.connRefused = true
	assert.Equal(t, post(w, "/announce", aged("101")), http.StatusNoContent)
	assert.Equal(t, state(), thwire.ServerReady, "a failed connection without a restart")
	assert.Equal(t, post(w, "/announce", aged("0.5")), http.StatusNoContent)
	assert.Equal(t, state(), thwire.ServerStarting, "restarted server")
	assert.Equal(t, post(w, "/leave", ""), http.StatusNoContent)
	assert.Equal(t, post(w, "/announce", aged("1.5")), http.StatusNoContent)
	assert.Equal(t, state(), thwire.ServerLeaving, "an announcement that was sent before the leave request")
	assert.Equal(t, post(w, "/announce", aged("0.1")), http.StatusNoContent)
	assert.Equal(t, state(), thwire.ServerStarting, "server restarted after it left")
}

// Guards against a warm server that is treated as cold because its daemon has restarted,
// and against a restarted server that is treated as warm.
func TestAgeTellsWarmServer(t *testing.T) {
	for age, want := range map[string]string{"59.5": thwire.ServerStarting, "60": thwire.ServerReady, "86400": thwire.ServerReady} {
		w, changes := newWatcher(clockwork.NewFakeClock())
		aged := strings.Replace(announcementBody("127.0.0.1:80"), "}", `,"age":`+age+"}", 1)
		assert.Equal(t, post(w, "/announce", aged), http.StatusNoContent)
		assert.Equal(t, (*changes)[0].server.State, want, "age %s", age)
		// A server that replaces another one is starting, whatever its age.
		assert.Equal(t, post(w, "/announce", strings.Replace(aged, ":80", ":81", 1)), http.StatusNoContent)
		assert.Equal(t, (*changes)[len(*changes)-1].server.State, thwire.ServerStarting)
	}
	w, _ := newWatcher(clockwork.NewFakeClock())
	assert.Equal(t, post(w, "/announce", strings.Replace(announcementBody("127.0.0.1:80"), "}", `,"age":-1}`, 1)), http.StatusBadRequest)
}
