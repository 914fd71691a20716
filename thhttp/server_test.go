package thhttp

import (
	"bufio"
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

// patience bounds what a test waits for.
const patience = 10 * time.Second

// start serves a handler on loopback.
func start(t testing.TB, s *Server) net.Addr {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return l.Addr()
}

// caller is a connection of a caller who sends requests ahead.
type caller struct {
	*net.TCPConn
	t      testing.TB
	reader *bufio.Reader
}

func dial(t testing.TB, address net.Addr) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	return &caller{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func (c *caller) send(format string, args ...any) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, format, args...)
	assert.NilError(c.t, err)
}

// answer reads an answer and its body.
func (c *caller) answer() (*http.Response, string) {
	c.t.Helper()
	a, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	b, err := io.ReadAll(a.Body)
	assert.NilError(c.t, err)
	return a, string(b)
}

// end expects that the server closes the connection without another byte.
func (c *caller) end() {
	c.t.Helper()
	b, err := io.ReadAll(c.reader)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(b), "")
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func eventually(t testing.TB, f func() bool) {
	t.Helper()
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("condition not reached in time")
}

// echo answers with path and body.
var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s", r.URL.Path, b)
})

// begin lets a request run in the order of the connection.
func begin(w http.ResponseWriter, r *http.Request, alone bool) error {
	return w.(interface {
		Begin(context.Context, bool) error
	}).Begin(r.Context(), alone)
}

// Pattern: requests sent behind a slow one. Guards against requests that wait
// unread for the one ahead, and against answers in another order.
func TestRequestsAheadRunBesideEachOther(t *testing.T) {
	last := make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, begin(w, r, false))
		switch r.URL.Path {
		case "/0":
			<-last // the first one ends after the last one
		case "/2":
			defer close(last)
		}
		w.Header().Set("Content-Length", "2")
		io.WriteString(w, r.URL.Path)
	})}
	c := dial(t, start(t, s))
	c.send("%s%s%s", get("/0"), get("/1"), get("/2"))
	for i := range 3 {
		_, body := c.answer()
		assert.Equal(t, body, fmt.Sprint("/", i))
	}
	c.send("%s", get("/3"))
	_, body := c.answer()
	assert.Equal(t, body, "/3")
}

// Pattern: a request that may run once, sent behind others. Guards against one
// that begins before those ahead are answered, and one behind that overtakes it.
func TestRequestThatRunsAlone(t *testing.T) {
	var mutex sync.Mutex
	var log []string
	note := func(text string) {
		mutex.Lock()
		defer mutex.Unlock()
		log = append(log, text)
	}
	release := make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, begin(w, r, r.Method == "POST"))
		note("begin " + r.URL.Path)
		if r.URL.Path == "/0" {
			<-release
		}
		note("end " + r.URL.Path)
	})}
	c := dial(t, start(t, s))
	c.send("%s%sPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n%s", get("/0"), get("/1"), get("/3"))
	eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(log) == 3 // 0 begins, 1 begins and ends
	})
	time.Sleep(20 * time.Millisecond) // for a 2 that begins too early
	close(release)
	for range 4 {
		c.answer()
	}
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, strings.Join(log[3:], ", "), "end /0, begin /2, end /2, begin /3, end /3")
}

// Pattern: a caller who sends ahead leaves. Guards against work that goes on for
// it, also when the end of the connection is hidden behind unread requests.
func TestCallerLeavesBehindUnreadRequests(t *testing.T) {
	for _, sent := range []int{1, 3, 40} {
		var begun, ended atomic.Int32
		s := &Server{MaxAhead: 8, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			begun.Add(1)
			<-r.Context().Done()
			ended.Add(1)
		})}
		c := dial(t, start(t, s))
		c.send("%s", strings.Repeat(get("/"), sent))
		want := int32(min(sent, 8))
		eventually(t, func() bool { return begun.Load() == want })
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, begun.Load(), want, "requests in progress at once")
		c.Close()
		eventually(t, func() bool { return ended.Load() == want })
	}
}

// Guards against answers that wait for their turn in unbounded memory, and
// against ones that are lost or cut when it comes.
func TestHeldAnswersAreBounded(t *testing.T) {
	const size = 1 << 20
	release := make(chan struct{})
	var written atomic.Int64
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			<-release
			return
		}
		for range size / 1024 {
			n, err := w.Write([]byte(strings.Repeat("x", 1024)))
			assert.Check(t, err)
			written.Add(int64(n))
		}
	})}
	c := dial(t, start(t, s))
	c.send("%s%s", get("/0"), get("/1"))
	eventually(t, func() bool { return written.Load() > maxHeld/2 })
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, written.Load() <= maxHeld, "%d bytes held", written.Load())
	close(release)
	c.answer()
	_, body := c.answer()
	assert.Equal(t, len(body), size)
}

// Guards against a caller who reads nothing and holds up others.
func TestSlowReaderHoldsUpNobodyElse(t *testing.T) {
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			io.CopyN(w, zeros{}, 64<<20)
		}
	})}
	address := start(t, s)
	slow, other := dial(t, address), dial(t, address)
	slow.send("%s%s", get("/large"), get("/"))
	for range 10 {
		other.send("%s", get("/"))
		a, _ := other.answer()
		assert.Equal(t, a.StatusCode, 200)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against requests that run although an answer ahead closes the
// connection, so that the caller sends them again.
func TestNothingRunsBehindAClosingAnswer(t *testing.T) {
	for _, head := range []string{
		"GET /0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"GET /0 HTTP/1.0\r\n\r\n",
		"GET /closes HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		var ran atomic.Int32
		s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if begin(w, r, false) != nil {
				return
			}
			ran.Add(1)
			if r.URL.Path == "/closes" {
				w.Header().Set("Connection", "close")
				w.(http.Flusher).Flush()
			}
			io.WriteString(w, "x")
		})}
		c := dial(t, start(t, s))
		c.send("%s", head)
		if strings.Contains(head, "/closes") {
			eventually(t, func() bool { return ran.Load() == 1 })
			time.Sleep(5 * time.Millisecond)
		}
		c.send("%s%s", get("/1"), get("/2"))
		a, body := c.answer()
		assert.Equal(t, body, "x")
		assert.Assert(t, a.Close)
		c.end()
		assert.Equal(t, ran.Load(), int32(1))
	}
}

// Guards against a half-closed connection whose requests run for nobody: the end
// of the caller's side means that it has left.
func TestHalfClosedConnection(t *testing.T) {
	cancelled := make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})}
	c := dial(t, start(t, s))
	c.send("%s", get("/"))
	assert.NilError(t, c.CloseWrite())
	<-cancelled
}

// Guards against a body that is sent although the request is refused, and
// against a 100 Continue among the answers to the requests ahead.
func TestExpectContinue(t *testing.T) {
	release := make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			<-release
		case "/refused":
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echo(w, r)
	})}
	address := start(t, s)
	c := dial(t, address)
	const head = "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
	c.send("%s"+head, get("/slow"), "/put")
	close(release)
	_, body := c.answer()
	assert.Equal(t, body, "/slow ")
	a, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, 100)
	c.send("body%s", get("/next"))
	_, body = c.answer()
	assert.Equal(t, body, "/put body")
	_, body = c.answer()
	assert.Equal(t, body, "/next ")

	c.send(head, "/refused")
	a, _ = c.answer()
	assert.Equal(t, a.StatusCode, 503)
	assert.Assert(t, a.Close, "the body may or may not follow")
	c.end()
	c = dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\nExpect: wonders\r\n\r\n")
	a, _ = c.answer()
	assert.Equal(t, a.StatusCode, 417)
}

// Guards against answers that an HTTP/1.0 caller can't read.
func TestHTTP10(t *testing.T) {
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "1")
		}
		w.WriteHeader(200)
		w.(http.Flusher).Flush()
		io.WriteString(w, "x")
	})}
	c := dial(t, start(t, s))
	c.send("GET /length HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /open HTTP/1.0\r\n\r\n")
	a, body := c.answer()
	assert.Equal(t, a.Header.Get("Connection")+body, "keep-alivex")
	a, body = c.answer()
	assert.Equal(t, body, "x")
	assert.Assert(t, len(a.TransferEncoding) == 0 && a.Close)
	c.end()
}

// Guards against unread rests of bodies that are taken for requests.
func TestUnreadBodies(t *testing.T) {
	var ran atomic.Int32
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	address := start(t, s)
	smuggled := get("/smuggled")
	c := dial(t, address)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s%s", len(smuggled), smuggled, get("/"))
	for range 2 {
		a, _ := c.answer()
		assert.Equal(t, a.StatusCode, 503)
	}
	assert.Equal(t, ran.Load(), int32(2))
	for _, head := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		ran.Store(0)
		c = dial(t, address)
		c.send("POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", head)
		a, _ := c.answer()
		assert.Assert(t, a.Close, head)
		c.send("%s%s", smuggled, smuggled)
		c.end()
		assert.Equal(t, ran.Load(), int32(1))
	}
}
