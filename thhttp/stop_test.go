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

// Pattern: a planned stop while requests sent ahead are in progress. Guards
// against a cut answer, and against an answer that closes the connection ahead of
// others.
func TestDrainClosesWithTheLastAnswer(t *testing.T) {
	release := make(chan struct{})
	var begun atomic.Int32
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		<-release
		io.WriteString(w, r.URL.Path)
	})}
	c := dial(t, start(t, s))
	c.send("%s%s", get("/0"), get("/1"))
	eventually(t, func() bool { return begun.Load() == 2 })
	s.Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	close(release)
	a, body := c.answer()
	assert.Assert(t, !a.Close && body == "/0")
	a, body = c.answer()
	assert.Assert(t, a.Close && body == "/1")
	c.end()
	c.Close()
	assert.NilError(t, <-stopped)
}

// Pattern: a planned stop of a server with idle connections, and with one that
// was accepted and has sent nothing yet. Guards against a stop that waits for
// them, and against a first request that is cut off.
func TestShutdownOfIdleConnections(t *testing.T) {
	s := &Server{Handler: echo}
	address := start(t, s)
	idle, fresh := dial(t, address), dial(t, address)
	idle.send("%s", get("/"))
	idle.answer()
	eventually(t, func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return len(s.connections) == 2
	})
	begun := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	idle.end()
	fresh.send("%s", get("/fresh"))
	a, body := fresh.answer()
	assert.Assert(t, a.Close && body == "/fresh ")
	fresh.Close()
	assert.NilError(t, <-stopped)
	assert.Assert(t, time.Since(begun) < firstTime)
	_, err := net.Dial("tcp", address.String())
	assert.Assert(t, err != nil, "a stopped server accepts connections")
}

// Guards against a stop that never ends.
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

// Pattern: stops under load. Guards against requests that were read and are not
// answered, and against answers of other requests: each caller counts what it
// sent on a connection and got back, and sends again only what was not read.
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
					if !callAhead(t, address, fmt.Sprintf("/%d-%d-%d", round, i, n), &answered) {
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

// callAhead sends requests ahead on one connection until it closes; false when
// no connection is accepted.
func callAhead(t *testing.T, address net.Addr, name string, answered *atomic.Int64) bool {
	n, err := net.Dial("tcp", address.String())
	if err != nil {
		return false
	}
	defer n.Close()
	c := &caller{n.(*net.TCPConn), t, nil}
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
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				return true
			}
			body, err := io.ReadAll(a.Body)
			assert.Check(t, err)
			assert.Check(t, string(body) == fmt.Sprintf("%s/%d", name, i+j), "%s", body)
			answered.Add(1)
			if a.Close {
				return true
			}
		}
	}
}
