package thhttp

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limitCounter counts the calls of OnLimit.
type limitCounter struct {
	mutex  sync.Mutex
	counts map[Limit]int
}

func (l *limitCounter) count(limit Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.counts == nil {
		l.counts = map[Limit]int{}
	}
	l.counts[limit]++
}

func (l *limitCounter) get(limit Limit) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.counts[limit]
}

// headOf returns a request whose line and header have the size, with a body of a length.
func headOf(size, body int) string {
	start := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nX: ", body)
	return start + strings.Repeat("x", size-len(start)-len("\r\n")) + "\r\n\r\n"
}

// Guards against heads and bodies above the limits that are served, against those of exactly
// the limit that are rejected, and against changes that need a restart.
func TestSizesAboveTheLimitsAreRejected(t *testing.T) {
	var limits limitCounter
	var ran atomic.Int32
	s := &Server{OnLimit: limits.count, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		ran.Add(1)
		fmt.Fprint(w, n)
	})}
	address := start(t, s)
	send := func(request string) int {
		c := dial(t, address)
		c.send("%s", request)
		response, _ := c.readResponse()
		return response.StatusCode
	}
	chunked := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	}
	for i, l := range []Limits{{MaxHeader: 6000, MaxBody: 5000}, {MaxHeader: 300, MaxBody: 20}, {MaxHeader: 9000, MaxBody: 70000}} {
		s.SetLimits(l)
		ran.Store(0)
		body := strings.Repeat("x", int(l.MaxBody))
		assert.Equal(t, send(headOf(l.MaxHeader, 0)), http.StatusOK)
		assert.Equal(t, send(headOf(l.MaxHeader, len(body))+body), http.StatusOK)
		assert.Equal(t, send(chunked(len(body))), http.StatusOK)
		assert.Equal(t, ran.Load(), int32(3))
		assert.Equal(t, send(headOf(l.MaxHeader+1, 0)), http.StatusRequestHeaderFieldsTooLarge)
		assert.Equal(t, send(headOf(200, len(body)+1)+body+"x"), http.StatusRequestEntityTooLarge)
		assert.Equal(t, send(chunked(len(body)+1)), http.StatusRequestEntityTooLarge)
		assert.Equal(t, ran.Load(), int32(3), "a request above a limit ran")
		assert.Equal(t, limits.get(LimitHeader), i+1)
		assert.Equal(t, limits.get(LimitBody), 2*(i+1))
	}
}

// Guards against a head above the limit that gets another error, since it is cut in the middle
// of a line.
func TestHeadCutAnywhereIsTooLong(t *testing.T) {
	const limit = 4000
	s := &Server{Limits: Limits{MaxHeader: limit}, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	address := start(t, s)
	for size := limit + readBufferSize - 10; size < limit+readBufferSize+20; size++ {
		c := dial(t, address)
		c.send("%s", headOf(size, 0))
		response, _ := c.readResponse()
		assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge, "%d bytes", size)
	}
}

// Guards against pipelined requests whose heads are counted together.
func TestLimitOfTheHeadIsPerRequest(t *testing.T) {
	s := &Server{Limits: Limits{MaxHeader: 200, MaxBody: 10}, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
	})}
	c := dial(t, start(t, s))
	for range 5 {
		c.send("%s%s", headOf(200, 10)+"0123456789", headOf(200, 0))
	}
	for range 10 {
		response, _ := c.readResponse()
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	c.send("%s", headOf(201, 0))
	response, _ := c.readResponse()
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	c.expectClosed()
}

// Guards against clients that keep connections open longer than the limits allow, and against
// changes of these times that need a restart.
func TestTimesAboveTheLimitsEndConnections(t *testing.T) {
	var limits limitCounter
	s := &Server{OnLimit: limits.count, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	address := start(t, s)
	s.SetLimits(Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 600 * time.Millisecond})
	idle := dial(t, address)
	idle.send("%s", get("/"))
	idle.readResponse()
	time.Sleep(400 * time.Millisecond)
	idle.send("%s", get("/")) // within the limit
	response, _ := idle.readResponse()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	started := time.Now()
	idle.expectClosed()
	assert.Assert(t, time.Since(started) >= 500*time.Millisecond)
	assert.Equal(t, limits.get(LimitIdleTimeout), 1)

	half := dial(t, address)
	half.send("GET / HTTP/1.1\r\nHo")
	response, _ = half.readResponse()
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, limits.get(LimitHeaderTimeout), 1)
	silent := dial(t, address)
	silent.expectClosed()
	assert.Equal(t, limits.get(LimitHeaderTimeout), 2)
}
