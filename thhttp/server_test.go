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

// testTimeout bounds each wait of a test.
const testTimeout = 10 * time.Second

// start runs the server on a loopback address and closes it at the end of the test.
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

// pipelineClient is a client connection that pipelines requests.
type pipelineClient struct {
	*net.TCPConn
	t      testing.TB
	reader *bufio.Reader
}

func dial(t testing.TB, address net.Addr) *pipelineClient {
	t.Helper()
	c, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &pipelineClient{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func (c *pipelineClient) send(format string, args ...any) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, format, args...)
	assert.NilError(c.t, err)
}

// readResponse reads a response and its body.
func (c *pipelineClient) readResponse() (*http.Response, string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	b, err := io.ReadAll(r.Body)
	assert.NilError(c.t, err)
	return r, string(b)
}

// expectClosed fails unless the server closes the connection without sending another
// byte.
func (c *pipelineClient) expectClosed() {
	c.t.Helper()
	b, err := io.ReadAll(c.reader)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(b), "")
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func eventually(t testing.TB, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("condition not reached in time")
}

// echo responds with the path and the request body.
var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s", r.URL.Path, b)
})

// begin calls Begin of the response writer.
func begin(w http.ResponseWriter, r *http.Request, exclusive bool) error {
	return w.(interface {
		Begin(context.Context, bool) error
	}).Begin(r.Context(), exclusive)
}

// Guards against pipelined requests that wait for a slow earlier one, and against
// responses in the wrong order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	lastRan := make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, begin(w, r, false))
		switch r.URL.Path {
		case "/0":
			<-lastRan // the first request ends after the last one
		case "/2":
			defer close(lastRan)
		}
		w.Header().Set("Content-Length", "2")
		io.WriteString(w, r.URL.Path)
	})}
	c := dial(t, start(t, s))
	c.send("%s%s%s", get("/0"), get("/1"), get("/2"))
	for i := range 3 {
		_, body := c.readResponse()
		assert.Equal(t, body, fmt.Sprint("/", i))
	}
	c.send("%s", get("/3"))
	_, body := c.readResponse()
	assert.Equal(t, body, "/3")
}

// Guards against a non-idempotent request that starts before the earlier requests of
// its connection are answered, and against a later request that overtakes it.
func TestExclusiveRequest(t *testing.T) {
	var mutex sync.Mutex
	var log []string
	record := func(text string) {
		mutex.Lock()
		defer mutex.Unlock()
		log = append(log, text)
	}
	release := make(chan struct{})
	s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, begin(w, r, r.Method == "POST"))
		record("begin " + r.URL.Path)
		if r.URL.Path == "/0" {
			<-release
		}
		record("end " + r.URL.Path)
	})}
	c := dial(t, start(t, s))
	c.send("%s%sPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n%s", get("/0"), get("/1"), get("/3"))
	eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(log) == 3 // /0 has begun, /1 has begun and ended
	})
	time.Sleep(20 * time.Millisecond) // lets /2 begin too early if the order is broken
	close(release)
	for range 4 {
		c.readResponse()
	}
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, strings.Join(log[3:], ", "), "end /0, begin /2, end /2, begin /3, end /3")
}

// Guards against requests that keep running after the client has disconnected, also
// when the end of the connection is behind requests that were not read yet.
func TestDisconnectBehindUnreadRequests(t *testing.T) {
	for _, sent := range []int{1, 3, 40} {
		var started, ended atomic.Int32
		s := &Server{MaxPipelined: 8, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			started.Add(1)
			<-r.Context().Done()
			ended.Add(1)
		})}
		c := dial(t, start(t, s))
		c.send("%s", strings.Repeat(get("/"), sent))
		want := int32(min(sent, 8))
		eventually(t, func() bool { return started.Load() == want })
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, started.Load(), want, "requests in progress at once")
		c.Close()
		eventually(t, func() bool { return ended.Load() == want })
	}
}

// Guards against responses that use unbounded memory while earlier ones are
// incomplete, and against responses that are then lost or truncated.
func TestBufferedResponsesAreBounded(t *testing.T) {
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
	eventually(t, func() bool { return written.Load() > maxHeldBytes/2 })
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, written.Load() <= maxHeldBytes, "%d bytes buffered", written.Load())
	close(release)
	c.readResponse()
	_, body := c.readResponse()
	assert.Equal(t, len(body), size)
}

// Guards against a client that doesn't read and delays other clients.
func TestSlowReaderDoesNotBlockOtherClients(t *testing.T) {
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
		resp, _ := other.readResponse()
		assert.Equal(t, resp.StatusCode, 200)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against requests that run behind a response that closes the connection: the
// client would send them again.
func TestNothingRunsAfterClosingResponse(t *testing.T) {
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
		resp, body := c.readResponse()
		assert.Equal(t, body, "x")
		assert.Assert(t, resp.Close)
		c.expectClosed()
		assert.Equal(t, ran.Load(), int32(1))
	}
}

// Guards against requests that keep running on a half-closed connection: a client that
// closes its sending side counts as disconnected.
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

// Guards against asking for the body of a rejected request, and against a 100 Continue
// that is sent before the responses to earlier requests.
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
	_, body := c.readResponse()
	assert.Equal(t, body, "/slow ")
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 100)
	c.send("body%s", get("/next"))
	_, body = c.readResponse()
	assert.Equal(t, body, "/put body")
	_, body = c.readResponse()
	assert.Equal(t, body, "/next ")

	c.send(head, "/refused")
	resp, _ = c.readResponse()
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Close, "the body may or may not follow")
	c.expectClosed()
	c = dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\nExpect: wonders\r\n\r\n")
	resp, _ = c.readResponse()
	assert.Equal(t, resp.StatusCode, 417)
}

// Guards against responses that an HTTP/1.0 client can't parse.
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
	resp, body := c.readResponse()
	assert.Equal(t, resp.Header.Get("Connection")+body, "keep-alivex")
	resp, body = c.readResponse()
	assert.Equal(t, body, "x")
	assert.Assert(t, len(resp.TransferEncoding) == 0 && resp.Close)
	c.expectClosed()
}

// Guards against unread parts of bodies that are parsed as requests.
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
		resp, _ := c.readResponse()
		assert.Equal(t, resp.StatusCode, 503)
	}
	assert.Equal(t, ran.Load(), int32(2))
	for _, head := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		ran.Store(0)
		c = dial(t, address)
		c.send("POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", head)
		resp, _ := c.readResponse()
		assert.Assert(t, resp.Close, head)
		c.send("%s%s", smuggled, smuggled)
		c.expectClosed()
		assert.Equal(t, ran.Load(), int32(1))
	}
}
