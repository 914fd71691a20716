package thhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a planned stop that truncates a response, and against a response that
// closes the connection before the responses to other pipelined requests.
func TestDrainClosesAfterLastResponse(t *testing.T) {
	release := make(chan struct{})
	var started atomic.Int32
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		<-release
		io.WriteString(w, r.URL.Path)
	})}
	c := dial(t, start(t, s))
	c.send("%s%s", get("/0"), get("/1"))
	eventually(t, func() bool { return started.Load() == 2 })
	s.Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	close(release)
	resp, body := c.readResponse()
	assert.Assert(t, !resp.Close && body == "/0")
	resp, body = c.readResponse()
	assert.Assert(t, resp.Close && body == "/1")
	c.expectClosed()
	c.Close()
	assert.NilError(t, <-stopped)
}

// Guards against a planned stop that waits for idle connections, and against one that
// loses the first request of a connection that was accepted shortly before.
func TestShutdownOfIdleConnections(t *testing.T) {
	s := &Server{Handler: echo}
	address := start(t, s)
	idle, fresh := dial(t, address), dial(t, address)
	idle.send("%s", get("/"))
	idle.readResponse()
	eventually(t, func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return len(s.connections) == 2
	})
	startTime := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	idle.expectClosed()
	fresh.send("%s", get("/fresh"))
	resp, body := fresh.readResponse()
	assert.Assert(t, resp.Close && body == "/fresh ")
	fresh.Close()
	assert.NilError(t, <-stopped)
	assert.Assert(t, time.Since(startTime) < firstRequestTimeout)
	_, err := net.Dial("tcp", address.String())
	assert.Assert(t, err != nil, "a stopped server accepts connections")
}

// Guards against a shutdown that doesn't end when its context does.
func TestShutdownHasALimit(t *testing.T) {
	s := &Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}
	c := dial(t, start(t, s))
	c.send("%s", get("/"))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	eventually(t, func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return len(s.connections) == 1
	})
	assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
}

// Guards against a stop under load that loses the responses of requests that have run,
// and against responses that belong to other requests. The clients count the responses
// that they receive, for comparison with the requests that ran.
func TestStopUnderLoad(t *testing.T) {
	for round := range 5 {
		var ran, answered atomic.Int64
		s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if begin(w, r, false) != nil {
				return
			}
			ran.Add(1)
			time.Sleep(time.Millisecond)
			io.WriteString(w, r.URL.Path)
		})}
		address := start(t, s)
		var group sync.WaitGroup
		for i := range 8 {
			group.Go(func() {
				for n := 0; ; n++ {
					if !sendPipelined(t, address, fmt.Sprintf("/%d-%d-%d", round, i, n), &answered) {
						return
					}
				}
			})
		}
		eventually(t, func() bool { return answered.Load() > 200 })
		s.Drain()
		time.Sleep(10 * time.Millisecond)
		assert.NilError(t, s.Shutdown(t.Context()))
		group.Wait()
		assert.Equal(t, ran.Load(), answered.Load())
	}
}

// sendPipelined pipelines requests on one connection until it closes. It returns false
// if the connection is not accepted.
func sendPipelined(t *testing.T, address net.Addr, name string, answered *atomic.Int64) bool {
	n, err := net.Dial("tcp", address.String())
	if err != nil {
		return false
	}
	defer n.Close()
	c := &pipelineClient{n.(*net.TCPConn), t, nil}
	r := newReader(n)
	for i := 0; ; i += 3 {
		var b strings.Builder
		for j := range 3 {
			b.WriteString(get(fmt.Sprintf("%s/%d", name, i+j)))
		}
		if _, err := io.WriteString(c, b.String()); err != nil {
			return true
		}
		for j := range 3 {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return true
			}
			body, err := io.ReadAll(resp.Body)
			assert.Check(t, err)
			assert.Check(t, string(body) == fmt.Sprintf("%s/%d", name, i+j), "%s", body)
			answered.Add(1)
			if resp.Close {
				return true
			}
		}
	}
}
