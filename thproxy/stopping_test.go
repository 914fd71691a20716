package thproxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against a stopping daemon that sends a late request to a backend server and then
// ends before the response, and against one that refuses what it can still serve.
func TestStoppingIngressRefusesWhatItCannotFinish(t *testing.T) {
	const left = time.Second // until the daemon ends
	var runs atomic.Int32
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	m.ingress.Headers = &Headers{RequestID: testIDHeader, Deadline: HeaderDeadline, ChildSeparator: "."}
	m.ingress.ActiveCalls = &ActiveCalls{}
	stopping := true
	m.ingress.TimeLeft = func() (time.Duration, bool) { return left, stopping }
	send := func(id, deadline string) *http.Response {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, m.front.URL+"/x", nil)
		assert.NilError(t, err)
		request.Header.Set(testIDHeader, id)
		request.Header.Set(HeaderDeadline, deadline)
		response, err := m.client.Do(request)
		assert.NilError(t, err)
		response.Body.Close()
		return response
	}
	late := send("a", "2000")
	assert.Equal(t, late.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, late.Header.Get("Retry-After") != "")
	assert.Equal(t, runs.Load(), int32(0))
	assert.Equal(t, send("b", "900").StatusCode, http.StatusOK)
	// A nested call of a request in progress is not refused: that would waste the request.
	defer m.ingress.ActiveCalls.add("c", &thwire.Open{})()
	assert.Equal(t, send("c.1", "2000").StatusCode, http.StatusOK)
	stopping = false
	assert.Equal(t, send("d", "2000").StatusCode, http.StatusOK)
}

// Guards against a stopping daemon that queues a call at a further backend server after a
// rejection, and is gone before the response.
func TestStoppingIngressDoesNotTryFurtherServers(t *testing.T) {
	var runs atomic.Int32
	serve := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	m := newMesh(t, nonIdempotentRoute, serve, serve)
	m.ingress.Headers = &Headers{RequestID: testIDHeader, Deadline: HeaderDeadline}
	m.gates[0].rejection.Store(therror.New(therror.Full, "full").WithRetryAfter(time.Second))
	calls := 0
	m.ingress.TimeLeft = func() (time.Duration, bool) {
		calls++
		return time.Second, calls > 1 // the daemon begins to stop while the call is queued
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, m.front.URL+"/x", nil)
	assert.NilError(t, err)
	request.Header.Set(testIDHeader, "a")
	request.Header.Set(HeaderDeadline, "2000")
	response, err := m.client.Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, runs.Load(), int32(0))
}
