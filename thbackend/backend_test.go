package thbackend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thserver"
	"github.com/turmerichaven/turmerichaven/thwire"
)

func started(t *testing.T, b *Backend) string {
	t.Helper()
	assert.NilError(t, b.Start(context.Background()))
	t.Cleanup(b.Stop)
	return "http://" + b.Address().String()
}

func get(t *testing.T, address, id string, header ...string) (int, string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, address, nil)
	assert.NilError(t, err)
	r.Header.Set("X-Request-Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// Guards against a stream whose parts aren't those of its request id, and against
// records that lack a request.
func TestStreamAndRecord(t *testing.T) {
	b := &Backend{Service: "page", Version: "v1"}
	address := started(t, b)
	status, body, err := get(t, address+"/x/stream?parts=3&gap=1", "a")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, string(ResponsePart("a", 0))+string(ResponsePart("a", 1))+string(ResponsePart("a", 2)))
	_, lines, err := get(t, address+"/record", "")
	assert.NilError(t, err)
	records, err := ReadRecords(strings.NewReader(lines))
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.Assert(t, records[0].ID == "a" && records[0].Run && records[0].Status == http.StatusOK && records[0].Version == "v1")
}

// Guards against running more requests than slots, and against not counting the
// rejected ones.
func TestOverload(t *testing.T) {
	b := &Backend{Slots: 2, ProcessingTime: 100 * time.Millisecond}
	address := started(t, b)
	var all sync.WaitGroup
	for range 5 {
		all.Go(func() { get(t, address+"/x", "a") })
	}
	all.Wait()
	s := b.Summary()
	assert.Assert(t, s.Overloads > 0 && s.Peak > 2, "%+v", s)
	run := 0
	for _, r := range b.Records() {
		if r.Run {
			run++
		}
	}
	assert.Equal(t, run, s.Requests-s.Overloads)
}

// Guards against faults that have no effect.
func TestFaults(t *testing.T) {
	b := &Backend{}
	address := started(t, b)
	seven := 7
	b.SetFault(Fault{Share: 1, Path: "/bad", Health: 418, Load: &seven})
	status, _, _ := get(t, address+"/bad", "a")
	assert.Equal(t, status, http.StatusInternalServerError)
	status, _, _ = get(t, address+"/good", "a")
	assert.Equal(t, status, http.StatusOK)
	status, _, _ = get(t, address+"/health", "a")
	assert.Equal(t, status, 418)
	_, body, _ := get(t, address+"/load", "a")
	assert.Equal(t, body, "{\"load\":7}\n")
	b.SetFault(Fault{Share: 1, Cut: true})
	_, _, err := get(t, address+"/stream?parts=4", "a")
	assert.Assert(t, err != nil)
	b.SetFault(Fault{Share: 1, Above: 1})
	status, _, _ = get(t, address+"/x", "a")
	assert.Equal(t, status, http.StatusOK)
	b.SetFault(Fault{Latency: 10000})
	status, _, _ = get(t, address+"/x", "late", "Th-Deadline", "20")
	assert.Equal(t, status, http.StatusGatewayTimeout)
}

// Guards against a cold server that is warm from the start or never becomes warm.
func TestColdStart(t *testing.T) {
	b := &Backend{WarmupRequests: 10, Slots: 20}
	address := started(t, b)
	assert.Equal(t, b.capacity(), int64(2))
	status, _, _ := get(t, address+"/health", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	for range 10 {
		get(t, address+"/x", "a")
	}
	assert.Equal(t, b.capacity(), int64(20))
	get(t, address+"/cold", "")
	assert.Equal(t, b.capacity(), int64(2))
}

// Guards against announcements that the daemon rejects, and against a drain without a
// notification.
func TestAnnouncesToWatcher(t *testing.T) {
	w := &thserver.Watcher{}
	changes := make(chan thwire.Server, 10)
	w.Watch(func(s thwire.Server, _ netip.AddrPort, _ bool) { changes <- s })
	daemon := httptest.NewServer(w)
	defer daemon.Close()
	b := &Backend{Service: "page", Version: "v1", Slots: 5, Daemon: daemon.Listener.Addr().String()}
	address := started(t, b)
	s := <-changes
	assert.Assert(t, s.Service == "page" && s.Slots == 5 && s.State == thwire.ServerStarting)
	get(t, address+"/drain", "")
	assert.Equal(t, (<-changes).State, thwire.ServerLeaving)
}

// Guards against chains that lose the depth, the deadline or a response.
func TestChain(t *testing.T) {
	b := &Backend{}
	address := started(t, b)
	b.Ingress = b.Address().String()
	status, body, err := get(t, address+"/chain?depth=3", "a", "Th-Deadline", "5000", "Th-Depth", "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, string(ResponsePart("a", 0)))
	assert.Equal(t, b.Summary().Requests, 4)
}
