package thproxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// truncatingServer accepts connections and breaks each after it has read and answered
// a part of a call; ran counts the connections on which bytes arrived.
func truncatingServer(t *testing.T, response string) (netip.AddrPort, *atomic.Int32) {
	ran := new(atomic.Int32)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if n, _ := c.Read(make([]byte, 4096)); n > 0 {
					ran.Add(1)
				}
				io.WriteString(c, response)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), ran
}

const fullResponse = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"

// Guards against a cut answer that looks whole, a "not run" for a request that
// the backend server received, and a second dispatch of a once request,
// wherever the backend server breaks.
func TestBackendCutAtEachByte(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		for n := range len(fullResponse) + 1 {
			m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
			address, ran := truncatingServer(t, fullResponse[:n])
			for _, target := range m.targets {
				target.Server = func() (thwire.Server, netip.AddrPort, bool) { return thwire.Server{}, address, true }
			}
			a, body, err := do(t, m.client, method, m.front.URL, nil, HeaderKey, fmt.Sprint("k", n))
			assert.Equal(t, ran.Load(), int32(1), "%s cut after %d bytes", method, n)
			switch {
			case n == len(fullResponse):
				assert.NilError(t, err)
				assert.Equal(t, body, "0123456789")
			case err == nil:
				assert.Equal(t, a.StatusCode, 502, "cut after %d bytes: %s", n, body)
				assert.Equal(t, a.Header.Get(HeaderOutcome), OutcomeUnknown)
			}
		}
	}
}

// Guards against http.Transport sending a once request again after a reused
// idle connection breaks.
func TestIdleConnectionBreaksOnceRequest(t *testing.T) {
	for _, c := range []struct {
		route thconfig.Route
		want  int32
	}{{nonIdempotentRoute, 1}, {thconfig.Route{Retry: 100}, 2}} {
		for _, method := range []string{"GET", "OPTIONS", "POST"} {
			var second, runs atomic.Int32
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if second.Load() == 1 && runs.Add(1) == 1 {
					conn, _, _ := w.(http.Hijacker).Hijack()
					conn.Close()
				}
			})
			m := newMesh(t, c.route, h, h) // the ingress repeats a safe request elsewhere
			_, _, err := do(t, m.client, method, m.front.URL, nil, HeaderKey, "k1")
			assert.NilError(t, err)
			second.Store(1)
			_, _, err = do(t, m.client, method, m.front.URL, nil, HeaderKey, "k2")
			assert.NilError(t, err)
			assert.Equal(t, runs.Load(), c.want, "%s on a %s route", method, m.route.Repeat)
		}
	}
}

// Guards against refusals that are not retried elsewhere, and against once
// requests that are retried after an unknown outcome.
func TestRetries(t *testing.T) {
	for _, size := range []int{0, 100, 40 << 10, 200 << 10} {
		for _, known := range []bool{true, false} {
			m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
			m.gates[0].refusal.Store(therror.New(therror.Full, "full"))
			var body io.Reader = strings.NewReader(strings.Repeat("x", size))
			if !known {
				body = io.MultiReader(body)
			}
			a, got, err := do(t, m.client, "PUT", m.front.URL, body, HeaderKey, "k")
			assert.NilError(t, err)
			if size <= maxReplayBytes {
				assert.Equal(t, a.StatusCode, 202, "size %d: %s", size, got)
				assert.Equal(t, len(got), size)
			} else if a.StatusCode != 202 {
				assert.Equal(t, a.Header.Get(HeaderOutcome), OutcomeNotRun)
			}
		}
	}
	for _, route := range []thconfig.Route{nonIdempotentRoute, {Retry: 100}} {
		var runs atomic.Int32
		m := newMesh(t, route, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}), http.HandlerFunc(echoHandler))
		a, _, err := do(t, m.client, "POST", m.front.URL, strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, runs.Load(), int32(1))
		assert.Equal(t, a.StatusCode == 202, route.Repeat == "", "status %d on a %s route", a.StatusCode, m.route.Repeat)
	}
}

// Guards against retries that multiply the load of a failing pool.
func TestRetryBudget(t *testing.T) {
	m := newMesh(t, thconfig.Route{Retry: 10}, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
	for _, g := range m.gates {
		g.refusal.Store(therror.New(therror.Full, "full"))
	}
	const calls = 100
	begun := time.Now()
	for range calls {
		_, _, err := do(t, m.client, "GET", m.front.URL, nil)
		assert.NilError(t, err)
	}
	timed := int(time.Since(begun).Seconds()*minRetriesPerSecond) + minRetriesPerSecond
	assert.Assert(t, len(m.balancer.results) <= calls+calls/10+timed+1, "%d attempts", len(m.balancer.results))
	assert.Assert(t, len(m.balancer.results) > calls+5)
}

// truncatingConn breaks after a number of bytes, counted over one direction.
type truncatingConn struct {
	net.Conn
	reads     bool
	remaining int
}

func (c *truncatingConn) Write(p []byte) (int, error) {
	if c.reads {
		return c.Conn.Write(p)
	}
	if len(p) <= c.remaining {
		c.remaining -= len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.remaining])
	c.Close()
	return n, io.ErrUnexpectedEOF
}

func (c *truncatingConn) Read(p []byte) (int, error) {
	if c.reads {
		p = p[:min(len(p), c.remaining)]
		if len(p) == 0 {
			c.Close()
			return 0, io.EOF
		}
	}
	n, err := c.Conn.Read(p)
	if c.reads {
		c.remaining -= n
	}
	return n, err
}

// Guards against a call that was cut between the daemons and claims not to
// have run, runs twice, or gives a cut answer that looks whole.
func TestSessionCutAtEachByte(t *testing.T) {
	// Runs by the path of the request: a call whose outcome is unknown may run
	// after its caller was told so.
	var mutex sync.Mutex
	runs := map[string]int{}
	ran := func(path string) int {
		mutex.Lock()
		defer mutex.Unlock()
		return runs[path]
	}
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil && string(body) == "body" {
			mutex.Lock()
			runs[r.URL.Path]++
			mutex.Unlock()
			// Without a Content-Length only the end of the stream shows that the
			// answer is whole.
			io.WriteString(w, "ans")
			_ = http.NewResponseController(w).Flush()
			io.WriteString(w, "wer")
		}
	}))
	for _, reads := range []bool{false, true} {
		passed := false
		for n := 0; !passed && n < 2000; n += 1 + n/40 {
			d := &thwire.Dialer{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &truncatingConn{Conn: c, reads: reads, remaining: n}, err
			}}
			m.ingress.Dialer = d
			path := fmt.Sprintf("/%t/%d", reads, n)
			a, body, err := do(t, m.client, "POST", m.front.URL+path, strings.NewReader("body"))
			switch {
			case err != nil:
			case a.StatusCode == 200:
				assert.Equal(t, body, "answer")
				passed = true
			case a.Header.Get(HeaderOutcome) == OutcomeNotRun:
				d.Close()
				eventually(t, func() bool { return m.gates[0].active.Load() == 0 })
				assert.Equal(t, ran(path), 0, "cut after %d bytes, answered %s", n, body)
			}
			d.Close()
		}
		assert.Assert(t, passed)
	}
	m.front.Close()
	eventually(t, func() bool { return m.gates[0].active.Load() == 0 })
	mutex.Lock()
	defer mutex.Unlock()
	for path, n := range runs {
		assert.Equal(t, n, 1, path)
	}
}

// Guards against a request body that was cut by the caller and looks whole to
// the backend server.
func TestCutRequestBody(t *testing.T) {
	for _, head := range []string{"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "Content-Length: 100000\r\n\r\nhello"} {
		for _, local := range []bool{false, true} {
			begun, got := make(chan struct{}), make(chan error, 1)
			m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				p := make([]byte, 5)
				_, _ = io.ReadFull(r.Body, p)
				close(begun)
				_, err := io.ReadAll(r.Body)
				got <- err
			}))
			if local {
				m.ingress.Local, m.ingress.Self = m.targets[0], "a"
			}
			c, err := net.Dial("tcp", m.front.Listener.Addr().String())
			assert.NilError(t, err)
			io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+head)
			<-begun // a cut before the dispatch would not reach the backend server
			c.Close()
			assert.Assert(t, <-got != nil, "a cut body ended normally")
		}
	}
}

// Guards against the rest of a request body that is taken for another request
// after an early answer.
func TestEarlyAnswerThenBody(t *testing.T) {
	for _, local := range []bool{false, true} {
		var paths sync.Map
		m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// Without it net/http reads the rest of the body before it answers.
			_ = http.NewResponseController(w).EnableFullDuplex()
			paths.Store(r.URL.Path, true)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}))
		if local {
			m.ingress.Local, m.ingress.Self = m.targets[0], "a"
		}
		c, err := net.Dial("tcp", m.front.Listener.Addr().String())
		assert.NilError(t, err)
		io.WriteString(c, "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		p := make([]byte, 12)
		_, err = io.ReadFull(c, p)
		assert.NilError(t, err)
		assert.Equal(t, string(p), "HTTP/1.1 413")
		io.WriteString(c, "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
		rest, _ := io.ReadAll(c) // a reset is as good as an end
		c.Close()
		assert.Assert(t, !strings.Contains(string(rest), "HTTP/1.1"), "%s", rest)
		_, found := paths.Load("/smuggled")
		assert.Assert(t, !found)
	}
}

// Guards against a local answer that was cut and is reported as not run.
func TestLocalAnswerCut(t *testing.T) {
	address, _ := truncatingServer(t, fullResponse[:len(fullResponse)-1])
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler))
	m.ingress.Local, m.ingress.Self = m.targets[0], "a"
	m.targets[0].Server = func() (thwire.Server, netip.AddrPort, bool) { return thwire.Server{}, address, true }
	_, body, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.Assert(t, err != nil, body)
	m.balancer.mutex.Lock()
	defer m.balancer.mutex.Unlock()
	assert.Equal(t, len(m.balancer.results), 1)
	assert.Equal(t, m.balancer.results[0].Kind, therror.Broken)
}

// Guards against an answer shown as cut, with an unknown outcome, although
// nothing of it had gone to the caller when it broke off after its head: a safe
// call is answered by another server, and a once call is told that it may have run.
func TestCutBeforeFirstPart(t *testing.T) {
	for _, local := range []bool{false, true} {
		address, _ := truncatingServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Server: a\r\n\r\n")
		for _, route := range []thconfig.Route{{Retry: 100}, nonIdempotentRoute} {
			m := newMesh(t, route, http.HandlerFunc(echoHandler), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, "b")
			}))
			if local {
				m.ingress.Local, m.ingress.Self = m.targets[0], "a"
			}
			m.targets[0].Server = func() (thwire.Server, netip.AddrPort, bool) { return thwire.Server{}, address, true }
			a, body, err := do(t, m.client, "GET", m.front.URL, nil)
			assert.NilError(t, err)
			assert.Equal(t, a.Header.Get("X-Server"), "")
			if route.Repeat != thconfig.RepeatOnce {
				assert.Equal(t, body, "b")
				continue
			}
			assert.Equal(t, a.StatusCode, http.StatusBadGateway, body)
			assert.Equal(t, a.Header.Get(HeaderOutcome), OutcomeUnknown)
		}
	}
}

// Guards against a transport that repeats a safe call on each idle connection,
// outside of the retry budget, while the backend server breaks every call that
// it ran.
func TestTransportRepeatsNothing(t *testing.T) {
	const idle = 8
	var breaks atomic.Bool
	var runs atomic.Int32
	var together sync.WaitGroup
	together.Add(idle)
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if breaks.Load() {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		together.Done()
		together.Wait()
	}))
	var all sync.WaitGroup
	for range idle {
		all.Go(func() {
			_, _, err := do(t, m.client, "GET", m.front.URL, nil)
			assert.Check(t, err)
		})
	}
	all.Wait()
	breaks.Store(true)
	a, _, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusBadGateway)
	assert.Equal(t, a.Header.Get(HeaderOutcome), OutcomeUnknown)
	assert.Equal(t, runs.Load(), int32(1))
}

// Guards against callers that give up and whose time lowers the admission limit,
// as after a freeze of the daemon: it says nothing about the backend server.
func TestCancelledCallIsNoSample(t *testing.T) {
	began := make(chan struct{})
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	r, err := http.NewRequestWithContext(ctx, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	_, err = m.client.Do(r)
	assert.ErrorIs(t, err, context.Canceled)
	eventually(t, func() bool { return m.gates[0].active.Load() == 0 })
	assert.Equal(t, m.gates[0].last.Load(), int64(0))
}

// Guards against a balancer that goes on choosing a daemon whose backend server
// cannot be reached, so that each of these calls takes from the retry budget.
func TestUnreachableBackend(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
	m.targets[0].Server = func() (thwire.Server, netip.AddrPort, bool) { return thwire.Server{}, address, true }
	a, _, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusAccepted)
	m.front.Close() // waits for the handler
	// Down from a daemon that answers would mean that the platform is down.
	assert.Equal(t, m.balancer.results[0].Kind, therror.Unready)
}

// Guards against a cut answer that looks whole to a caller on HTTP/1.0, for
// which the end of the connection is the end of an answer of unknown length.
func TestCutAnswerOverHTTP10(t *testing.T) {
	arrived := make(chan struct{})
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-arrived
		panic(http.ErrAbortHandler)
	}))
	c, err := net.Dial("tcp", m.front.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	got, p := "", make([]byte, 1024)
	for !strings.HasSuffix(got, "part") {
		n, err := c.Read(p)
		assert.NilError(t, err, got)
		got += string(p[:n])
	}
	close(arrived)
	_, err = c.Read(p)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a balancer that sends calls to a full server again before the
// retry time that the server gave.
func TestRetryTimeReachesBalancer(t *testing.T) {
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
	m.gates[0].refusal.Store(therror.New(therror.Full, "full").After(300 * time.Millisecond))
	_, _, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	m.front.Close() // waits for the handler
	assert.Equal(t, len(m.balancer.results), 2)
	assert.Equal(t, m.balancer.results[0].Kind, therror.Full)
	assert.Equal(t, m.balancer.results[0].RetryAfter, 300*time.Millisecond)
}

// Pattern: a server refuses all calls for a while, and then breaks with calls in
// progress. Guards against refusals that use up the budget, so that safe calls are
// answered as broken (14 streams of TestPairsOfFaults with seed 1).
func TestRefusalsLeaveTheBudgetToBrokenCalls(t *testing.T) {
	m := newMesh(t, thconfig.Route{Retry: 20}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}), http.HandlerFunc(echoHandler))
	m.gates[0].refusal.Store(therror.New(therror.Full, "full").After(time.Second))
	refused := 0
	for range 300 {
		a, _, err := do(t, m.client, "GET", m.front.URL, nil)
		assert.NilError(t, err)
		if a.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	assert.Assert(t, refused > 0, "the budget of refusals is not used up")
	m.gates[0].refusal.Store(nil)
	for range 40 {
		a, body, err := do(t, m.client, "GET", m.front.URL, nil)
		assert.NilError(t, err)
		assert.Equal(t, a.StatusCode, http.StatusAccepted, body)
	}
}
