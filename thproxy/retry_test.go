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

// truncatingServer closes each connection after it has read part of a request and
// sent response. The counter returned counts the connections on which bytes arrived.
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

// The backend server breaks after each byte of its response. Guards against a
// truncated response that looks complete, a "not run" for a request that the backend
// server received, and a second dispatch of a non-idempotent request.
func TestBackendCutAtEachByte(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		for n := range len(fullResponse) + 1 {
			m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
			address, ran := truncatingServer(t, fullResponse[:n])
			for _, target := range m.targets {
				target.Server = func() (thwire.Server, netip.AddrPort, bool) { return thwire.Server{}, address, true }
			}
			resp, body, err := do(t, m.client, method, m.front.URL, nil, HeaderKey, fmt.Sprint("k", n))
			assert.Equal(t, ran.Load(), int32(1), "%s truncated after %d bytes", method, n)
			switch {
			case n == len(fullResponse):
				assert.NilError(t, err)
				assert.Equal(t, body, "0123456789")
			case err == nil:
				assert.Equal(t, resp.StatusCode, 502, "truncated after %d bytes: %s", n, body)
				assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeUnknown)
			}
		}
	}
}

// Guards against a transport that sends a non-idempotent request again after a
// reused idle connection breaks, as http.Transport does.
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
			m := newMesh(t, c.route, h, h) // the ingress retries an idempotent request at the other server
			_, _, err := do(t, m.client, method, m.front.URL, nil, HeaderKey, "k1")
			assert.NilError(t, err)
			second.Store(1)
			_, _, err = do(t, m.client, method, m.front.URL, nil, HeaderKey, "k2")
			assert.NilError(t, err)
			assert.Equal(t, runs.Load(), c.want, "%s on a %s route", method, m.route.Repeat)
		}
	}
}

// Guards against rejected attempts that are not retried at another server, and
// against non-idempotent requests that are retried after an unknown outcome.
func TestRetries(t *testing.T) {
	for _, size := range []int{0, 100, 40 << 10, 200 << 10} {
		for _, knownLength := range []bool{true, false} {
			m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
			m.gates[0].rejection.Store(therror.New(therror.Full, "full"))
			var body io.Reader = strings.NewReader(strings.Repeat("x", size))
			if !knownLength {
				body = io.MultiReader(body)
			}
			resp, got, err := do(t, m.client, "PUT", m.front.URL, body, HeaderKey, "k")
			assert.NilError(t, err)
			if size <= maxReplayBytes {
				assert.Equal(t, resp.StatusCode, 202, "size %d: %s", size, got)
				assert.Equal(t, len(got), size)
			} else if resp.StatusCode != 202 {
				assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeNotRun)
			}
		}
	}
	for _, route := range []thconfig.Route{nonIdempotentRoute, {Retry: 100}} {
		var runs atomic.Int32
		m := newMesh(t, route, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}), http.HandlerFunc(echoHandler))
		resp, _, err := do(t, m.client, "POST", m.front.URL, strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, runs.Load(), int32(1))
		assert.Equal(t, resp.StatusCode == 202, route.Repeat == "", "status %d on a %s route", resp.StatusCode, m.route.Repeat)
	}
}

// Guards against retries that multiply the load of a failing pool.
func TestRetryBudget(t *testing.T) {
	m := newMesh(t, thconfig.Route{Retry: 10}, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
	for _, g := range m.gates {
		g.rejection.Store(therror.New(therror.Full, "full"))
	}
	const calls = 100
	start := time.Now()
	for range calls {
		_, _, err := do(t, m.client, "GET", m.front.URL, nil)
		assert.NilError(t, err)
	}
	timed := int(time.Since(start).Seconds()*minRetriesPerSecond) + minRetriesPerSecond
	assert.Assert(t, len(m.balancer.results) <= calls+calls/10+timed+1, "%d attempts", len(m.balancer.results))
	assert.Assert(t, len(m.balancer.results) > calls+5)
}

// truncatingConn breaks after a number of bytes in one direction.
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

// The connection between the daemons breaks after each byte. Guards against a call
// that ran but is reported as not run, runs twice, or gets a truncated response that
// looks complete.
func TestSessionCutAtEachByte(t *testing.T) {
	// Runs by request path: a call with an unknown outcome may run after its caller
	// got the response.
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
			// Without a Content-Length, only the end of the stream shows that the
			// response is complete.
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
			resp, body, err := do(t, m.client, "POST", m.front.URL+path, strings.NewReader("body"))
			switch {
			case err != nil:
			case resp.StatusCode == 200:
				assert.Equal(t, body, "answer")
				passed = true
			case resp.Header.Get(HeaderOutcome) == OutcomeNotRun:
				d.Close()
				eventually(t, func() bool { return m.gates[0].active.Load() == 0 })
				assert.Equal(t, ran(path), 0, "truncated after %d bytes, response %s", n, body)
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

// Guards against a request body that the caller truncated and that looks complete to
// the backend server.
func TestCutRequestBody(t *testing.T) {
	for _, head := range []string{"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "Content-Length: 100000\r\n\r\nhello"} {
		for _, local := range []bool{false, true} {
			started, got := make(chan struct{}), make(chan error, 1)
			m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				p := make([]byte, 5)
				_, _ = io.ReadFull(r.Body, p)
				close(started)
				_, err := io.ReadAll(r.Body)
				got <- err
			}))
			if local {
				m.ingress.Local, m.ingress.Self = m.targets[0], "a"
			}
			c, err := net.Dial("tcp", m.front.Listener.Addr().String())
			assert.NilError(t, err)
			io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+head)
			<-started // if closed before the dispatch, the call would not reach the backend server
			c.Close()
			assert.Assert(t, <-got != nil, "a truncated body ended normally")
		}
	}
}

// A backend server responds before the end of the request body. Guards against the
// rest of the body being parsed as another request (request smuggling).
func TestEarlyAnswerThenBody(t *testing.T) {
	for _, local := range []bool{false, true} {
		var paths sync.Map
		m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// Without full duplex, net/http reads the rest of the body before it responds.
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
		rest, _ := io.ReadAll(c) // the connection may end with a reset
		c.Close()
		assert.Assert(t, !strings.Contains(string(rest), "HTTP/1.1"), "%s", rest)
		_, found := paths.Load("/smuggled")
		assert.Assert(t, !found)
	}
}

// Guards against a truncated response of the local target that is reported as not
// run.
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

// A response breaks off after its header, before anything was sent to the caller.
// Guards against a truncated response to the caller: an idempotent call must be
// retried at another server, and a non-idempotent call must get an error response
// with an unknown outcome.
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
			resp, body, err := do(t, m.client, "GET", m.front.URL, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.Header.Get("X-Server"), "")
			if route.Repeat != thconfig.RepeatOnce {
				assert.Equal(t, body, "b")
				continue
			}
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeUnknown)
		}
	}
}

// The backend server breaks the connection of every call that it runs. Guards
// against a transport that retries an idempotent call on each idle connection,
// outside of the retry budget.
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
	resp, _, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	assert.Equal(t, runs.Load(), int32(1))
}

// Guards against a cancelled call whose duration is used as a latency sample and
// lowers the admission limit, as after a freeze of the daemon: it says nothing about
// the backend server.
func TestCancelledCallIsNoSample(t *testing.T) {
	started := make(chan struct{})
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	r, err := http.NewRequestWithContext(ctx, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	_, err = m.client.Do(r)
	assert.ErrorIs(t, err, context.Canceled)
	eventually(t, func() bool { return m.gates[0].active.Load() == 0 })
	assert.Equal(t, m.gates[0].lastLatency.Load(), int64(0))
}

// Guards against a balancer that keeps choosing a daemon whose backend server is
// unreachable, so that each of its calls takes a retry from the budget.
func TestUnreachableBackend(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
	m.targets[0].Server = func() (thwire.Server, netip.AddrPort, bool) { return thwire.Server{}, address, true }
	resp, _, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	m.front.Close() // waits for the handler
	// Down from a reachable daemon would mean that the platform is down.
	assert.Equal(t, m.balancer.results[0].Kind, therror.Unready)
}

// Guards against a truncated response that looks complete to an HTTP/1.0 caller, for
// which the close of the connection ends a response of unknown length.
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

// Guards against a balancer that does not get the retry time of a full server and
// sends calls to it before then.
func TestRetryTimeReachesBalancer(t *testing.T) {
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
	m.gates[0].rejection.Store(therror.New(therror.Full, "full").WithRetryAfter(300 * time.Millisecond))
	_, _, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	m.front.Close() // waits for the handler
	assert.Equal(t, len(m.balancer.results), 2)
	assert.Equal(t, m.balancer.results[0].Kind, therror.Full)
	assert.Equal(t, m.balancer.results[0].RetryAfter, 300*time.Millisecond)
}

// A server rejects all calls for a while and then breaks with calls in progress.
// Guards against rejections that use up the retry budget, so that idempotent calls
// fail as broken (14 streams of TestPairsOfFaults with seed 1).
func TestRefusalsLeaveTheBudgetToBrokenCalls(t *testing.T) {
	m := newMesh(t, thconfig.Route{Retry: 20}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}), http.HandlerFunc(echoHandler))
	m.gates[0].rejection.Store(therror.New(therror.Full, "full").WithRetryAfter(time.Second))
	rejected := 0
	for range 300 {
		resp, _, err := do(t, m.client, "GET", m.front.URL, nil)
		assert.NilError(t, err)
		if resp.StatusCode == http.StatusServiceUnavailable {
			rejected++
		}
	}
	assert.Assert(t, rejected > 0, "the retry budget of rejections is not used up")
	m.gates[0].rejection.Store(nil)
	for range 40 {
		resp, body, err := do(t, m.client, "GET", m.front.URL, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusAccepted, body)
	}
}
