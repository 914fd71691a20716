package thhttp

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// client is a connection without a network.
type client struct {
	account

	name   string
	closed *[]string
	begins bool // a request begins while the connection is about to be closed
}

func (c *client) evict() bool {
	if c.begins {
		c.running.Add(1)
		return false
	}
	*c.closed = append(*c.closed, c.name)
	return true
}

// crowd is a server with clients that have no network.
type crowd struct {
	Server
	clock  *clockwork.FakeClock
	closed []string
	limits limitCounter
}

func newCrowd(b Bounds) *crowd {
	k := &crowd{clock: clockwork.NewFakeClock()}
	k.Clock, k.Bounds, k.OnLimit = k.clock, b, k.limits.count
	return k
}

// connect admits a client, nil if the server refuses it.
func (k *crowd) connect(name string) *client {
	c := &client{name: name, closed: &k.closed}
	if !k.admit(&c.account, c) {
		return nil
	}
	return c
}

// Guards against a bound of connections that is exceeded, against a connection with a request at
// the backend server that is closed, and against a wrong order: what counts is the product of bytes
// and time since the last response.
func TestConnectionThatHeldMostForLongestIsClosedFirst(t *testing.T) {
	k := newCrowd(Bounds{Connections: 5})
	busy, large, old, short := k.connect("busy"), k.connect("large"), k.connect("old"), k.connect("short")
	busy.add(1 << 20)
	busy.running.Add(1)
	large.add(60 << 10)
	short.add(30 << 10)
	k.clock.Advance(10 * time.Second)
	for _, c := range []*client{large, short} {
		c.since.Store(k.clock.Now().UnixNano()) // a response has just been completed
	}
	assert.Assert(t, k.connect("first") != nil)
	assert.Equal(t, len(k.closed), 0)
	k.connect("second") // old: 8 KB for 10 s; large: 68 KB for less than a second
	k.connect("third")
	k.connect("fourth")
	assert.DeepEqual(t, k.closed, []string{"old", "large", "short"})
	assert.Equal(t, k.limits.get(LimitConnections), 3)
	old.leave()
	assert.Equal(t, k.clients.evicted, 2)
}

// Guards against a client that is accepted above the bound, or at the cost of one whose request
// begins at that moment, while all others have requests at the backend server.
func TestClientIsRefusedWhenAllOthersAreBusy(t *testing.T) {
	k := newCrowd(Bounds{Connections: 2})
	busy, begins := k.connect("busy"), k.connect("begins")
	busy.running.Add(1)
	begins.begins = true
	assert.Assert(t, k.connect("new") == nil)
	assert.Equal(t, len(k.closed), 0)
	busy.running.Add(-1)
	assert.Assert(t, k.connect("new") != nil)
	assert.DeepEqual(t, k.closed, []string{"busy"})
}

// Guards against a bound of bytes that is exceeded, against idle connections that are closed for
// it, which would release little, and against more closed connections than needed while those
// that were closed have not ended.
func TestBytesAreReleasedByTheLargest(t *testing.T) {
	k := newCrowd(Bounds{Bytes: 1 << 20})
	var idle []*client
	for i := range 40 {
		idle = append(idle, k.connect(fmt.Sprint("idle", i)))
	}
	k.clock.Advance(time.Hour)
	first := k.connect("first")
	assert.Assert(t, first.add(300<<10))
	k.clock.Advance(2 * time.Second)
	second := k.connect("second")
	assert.Assert(t, second.add(350<<10))
	assert.Equal(t, len(k.closed), 0)
	assert.Assert(t, second.add(60<<10))
	assert.DeepEqual(t, k.closed, []string{"first"})
	assert.Assert(t, second.add(100<<10), "the bytes of the closed connection count")
	assert.DeepEqual(t, k.closed, []string{"first"})
	assert.Equal(t, k.limits.get(LimitBytes), 1)
	for _, c := range append(idle, first, second) {
		c.add(-c.held.Load() + ConnectionCost)
		c.leave()
	}
	assert.Equal(t, k.clients.held.Load(), int64(0))
	assert.Equal(t, k.clients.evicted, 0)
}

// Guards against a caller that is told that there is memory when only connections with requests at
// the backend server hold it.
func TestNoMemoryWhileAllAreBusy(t *testing.T) {
	k := newCrowd(Bounds{Bytes: 100 << 10})
	busy := k.connect("busy")
	busy.running.Add(1)
	assert.Assert(t, busy.add(80<<10))
	assert.Assert(t, !busy.add(20<<10))
	assert.Assert(t, busy.isFull())
	busy.add(-20 << 10)
	assert.Assert(t, !busy.isFull())
	assert.Equal(t, len(k.closed), 0)
}

// Guards against a log line for each closed connection.
func TestLogOfABoundIsBounded(t *testing.T) {
	var out bytes.Buffer
	k := newCrowd(Bounds{Connections: 1})
	k.Log = hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info})
	for i := range 100 {
		k.connect(fmt.Sprint(i))
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
	k.clock.Advance(boundLogInterval)
	k.connect("later")
	assert.Equal(t, strings.Count(out.String(), "\n"), 2)
	assert.Assert(t, strings.Contains(out.String(), "ended=99"), out.String())
	assert.Equal(t, k.limits.get(LimitConnections), 100)
}

// requireNothingHeld fails the test unless all connections end and release what they held.
func requireNothingHeld(t *testing.T, s *Server) {
	t.Helper()
	members, evicted := 0, 0
	defer func() {
		if t.Failed() {
			t.Logf("%d connections, %d evicted, %d bytes", members, evicted, s.clients.held.Load())
		}
	}()
	eventually(t, func() bool {
		s.clients.mutex.Lock()
		defer s.clients.mutex.Unlock()
		members, evicted = len(s.clients.members), s.clients.evicted
		return members == 0 && evicted == 0 && s.clients.held.Load() == 0
	})
}

// Guards against accounts that don't return to zero, so that a server rejects everything after some
// time, whatever way requests and connections end.
func TestAccountsReturnToZero(t *testing.T) {
	s := &Server{MaxPipelined: 2, Limits: Limits{HeaderTimeout: 50 * time.Millisecond, MaxBody: 200 << 10}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if begin(w, r, r.Method == "POST") != nil {
			return
		}
		switch r.URL.Path {
		case "/read":
			io.Copy(w, r.Body)
		case "/large":
			io.CopyN(w, zeros{}, 3<<20)
		case "/wait":
			<-r.Context().Done()
		case "/panic":
			panic(http.ErrAbortHandler)
		}
	})}
	address := start(t, s)
	large := "X: " + strings.Repeat("x", 9<<10) + "\r\n"
	post := func(path string, n int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", path, n, large)
	}
	body := strings.Repeat("b", 100<<10)
	for _, text := range []string{
		get("/"), strings.Repeat(get("/"), 20), strings.Repeat(post("/", 0), 5), post("/read", len(body)) + body + get("/"),
		post("/unread", len(body)) + body, post("/read", len(body)) + "b", strings.Repeat(post("/wait", 0), 5),
		strings.Repeat(get("/large"), 4), get("/panic") + get("/"), "GET / HTTP/1.1\r\n" + large, "GET / HTTP/1.1\r\n" + large + "bad\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(large, 9) + "\r\n", post("/read", 300<<10), "", "\r\n\r\n\r\n",
		get("/")[:10], "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + strings.Repeat(get("/"), 5),
	} {
		for _, reads := range []bool{true, false} {
			c := dial(t, address)
			c.send("%s", text)
			if reads {
				c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				io.Copy(io.Discard, c)
			}
			c.Close()
			requireNothingHeld(t, s)
		}
	}
}

// Guards against unfinished heads that together exceed the bound, and against an ordinary request
// that gets no answer beside them.
func TestUnfinishedHeadsStayWithinTheBound(t *testing.T) {
	const bound = 1 << 20
	var limits limitCounter
	s := &Server{Bounds: Bounds{Bytes: bound}, OnLimit: limits.count, Handler: echo}
	address := start(t, s)
	for range 100 {
		c := dial(t, address)
		c.send("GET / HTTP/1.1\r\nX: %s", strings.Repeat("x", 30<<10))
		assert.Assert(t, s.clients.held.Load() < 2*bound)
	}
	eventually(t, func() bool { return limits.get(LimitBytes) > 50 && s.clients.held.Load() <= bound })
	c := dial(t, address)
	c.send("%s", get("/ordinary"))
	response, body := c.readResponse()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "/ordinary ")
}

// Guards against a request at the backend server whose connection is closed, against a rejection of
// a request that runs, and against one without a time to come back.
func TestRejectedForMemoryHasNotRun(t *testing.T) {
	var limits limitCounter
	var ran atomic.Int32
	release := make(chan struct{})
	s := &Server{Bounds: Bounds{Bytes: 64 << 10}, OnLimit: limits.count, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, begin(w, r, true))
		ran.Add(1)
		if r.URL.Path == "/slow" {
			<-release
		}
	})}
	address := start(t, s)
	first, second := dial(t, address), dial(t, address)
	first.send("%s", get("/slow"))
	eventually(t, func() bool { return ran.Load() == 1 })
	s.clients.held.Add(40 << 10) // as much as other requests at the backend server hold
	defer s.clients.held.Add(-40 << 10)
	second.send("%s", get("/"))
	response, _ := second.readResponse()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "1")
	assert.Equal(t, ran.Load(), int32(1))
	assert.Equal(t, limits.get(LimitBytes), 1)
	close(release)
	response, _ = first.readResponse()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a request that begins on a connection that was closed for others.
func TestRequestOfAClosedConnectionDoesNotBegin(t *testing.T) {
	begins, results := make(chan struct{}), make(chan error)
	s := &Server{Bounds: Bounds{Connections: 1}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-begins
		results <- begin(w, r, true)
	})}
	address := start(t, s)
	first := dial(t, address)
	first.send("%s", get("/"))
	eventually(t, func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for c := range s.connections {
			return c.hasQueue()
		}
		return false
	})
	dial(t, address)
	_, err := first.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	close(begins)
	assert.ErrorIs(t, <-results, errBroken)
}

// Guards against responses that wait without memory for them and are lost, or never end.
func TestResponsesWaitWithoutMemory(t *testing.T) {
	const size = 40 << 10
	release := make(chan struct{})
	s := &Server{Bounds: Bounds{Bytes: 1}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			<-release
		}
		io.CopyN(w, zeros{}, size)
	})}
	clientEnd, serverEnd := net.Pipe()
	defer clientEnd.Close()
	c := newConnection(s, serverEnd)
	c.account.server = s
	c.account.running.Add(1) // is never closed
	s.clients.members, c.account.owner = []*account{&c.account}, c
	first, second := pendingResponse(c, "/0"), pendingResponse(c, "/1")
	go c.handle(first)
	go c.handle(second)
	s.clients.held.Store(2)
	time.Sleep(20 * time.Millisecond)
	second.mutex.Lock()
	assert.Check(t, second.out.Len() < writeBufferSize+100, // with the chunk header
		"%d bytes wait", second.out.Len())
	second.mutex.Unlock()
	close(release)
	k := &pipelineClient{nil, t, newReader(clientEnd)}
	for range 2 {
		_, body := k.readResponse()
		assert.Equal(t, len(body), size)
	}
}

// pendingResponse adds a request to the queue of a connection.
func pendingResponse(c *connection, path string) *response {
	request, _ := http.NewRequest(http.MethodGet, path, http.NoBody)
	r := c.newResponse(request, framing{complete: true})
	c.enqueue(r)
	return r
}

// BenchmarkChoice measures the choice among as many connections as a small machine accepts.
func BenchmarkChoice(b *testing.B) {
	k := newCrowd(Bounds{})
	for range 2000 {
		k.connect("")
	}
	now := k.clock.Now()
	b.ResetTimer()
	for range b.N {
		k.clients.choose(now, true)
	}
}
