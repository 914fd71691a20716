package thproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

// pipeline sends requests on one connection without waiting for responses. It
// returns the status and the body of each response, or the outcome of an error.
func pipeline(t *testing.T, m *mesh, heads ...string) []string {
	t.Helper()
	c, err := net.Dial("tcp", m.front.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	for _, h := range heads {
		_, err = io.WriteString(c, h+" HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
	}
	r := bufio.NewReader(c)
	var list []string
	for range heads {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		if resp.StatusCode >= 400 {
			b = []byte(resp.Header.Get(HeaderOutcome))
		}
		list = append(list, fmt.Sprint(resp.StatusCode, " ", string(b)))
	}
	return list
}

// A caller pipelines several reads, of which the first is slow. Guards against
// calls that wait for the response to an earlier one before they are dispatched, and
// against an error response to one call that affects the other calls.
func TestPipelinedCalls(t *testing.T) {
	last := make(chan struct{})
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/0":
			<-last
		case "/3":
			close(last)
		}
		io.WriteString(w, r.URL.Path)
	}))
	assert.DeepEqual(t, pipeline(t, m, "GET /0", "GET /1", "GET /none", "GET /3"),
		[]string{"200 /0", "200 /1", "404 not-run", "200 /3"})
}

// A caller pipelines a booking behind reads. Guards against a booking that runs
// while an earlier response may still close the connection, since the caller would
// then send it again, and against one that runs after its deadline passed meanwhile.
func TestOnceWaitsForEarlierCalls(t *testing.T) {
	var first, bookings atomic.Int32
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			bookings.Add(1)
			assert.Check(t, first.Load() == 2, "the earlier calls are in progress")
			return
		}
		time.Sleep(60 * time.Millisecond)
		first.Add(1)
	}))
	assert.DeepEqual(t, pipeline(t, m, "GET /0", "GET /1", "POST /2\u0020HTTP/1.1\r\nContent-Length: 0\r\nX:"),
		[]string{"200 ", "200 ", "200 "})
	assert.Equal(t, bookings.Load(), int32(1))

	first.Store(0)
	assert.DeepEqual(t, pipeline(t, m, "GET /0", "POST /1\u0020HTTP/1.1\r\nContent-Length: 0\r\n"+HeaderDeadline+": 20\r\nX:"),
		[]string{"200 ", "503 not-run"})
	assert.Equal(t, bookings.Load(), int32(1))
}

// Guards against rejections of pipelined calls that are merged or close the
// connection.
func TestRejectionsOfPipelinedCalls(t *testing.T) {
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(echoHandler))
	m.gates[0].rejection.Store(therror.New(therror.Full, "full").WithRetryAfter(time.Second))
	assert.DeepEqual(t, pipeline(t, m, "GET /0", "GET /1", "GET /2"), []string{"503 not-run", "503 not-run", "503 not-run"})
}
