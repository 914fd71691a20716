package thhttp

import (
	"bufio"
	"bytes"
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

// Guards against accepting heads that another server could parse differently, and
// against error responses that are sent out of order.
func TestBadHeads(t *testing.T) {
	var ran atomic.Int32
	s := &Server{Limits: Limits{MaxHeader: 8 << 10}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		if r.URL.Path == "/first" {
			time.Sleep(20 * time.Millisecond)
		}
		echo(w, r)
	})}
	address := start(t, s)
	for _, x := range []struct {
		status int
		head   string
	}{
		{400, "nonsense\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\n folded: x\r\nContent-Length : 5\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX : a\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX\t: a\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX\x01Y: a\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX\x7f: a\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX\xe9: a\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX/Y: a\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\n: a\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX: a\x01b\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX: a\x7fb\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n"},
		{400, "GET / HTTP/1.1\r\nHost: h\r\nY: " + strings.Repeat("y", 6<<10) + "\r\nX Y: a\r\n\r\n"},
		{400, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello"},
		{400, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n"},
		{400, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{400, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{400, "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n0\r\n\r\n"},
		{505, "GET / HTTP/2.0\r\nHost: h\r\n\r\n"},
		{431, "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"},
	} {
		ran.Store(0)
		c := dial(t, address)
		c.send("%s%s%s", get("/first"), x.head, get("/behind"))
		_, body := c.readResponse()
		assert.Equal(t, body, "/first ")
		resp, _ := c.readResponse()
		assert.Equal(t, resp.StatusCode, x.status, "%q", x.head)
		assert.Assert(t, resp.Close, "%q", x.head)
		c.expectClosed()
		assert.Equal(t, ran.Load(), int32(1), "%q", x.head)
	}
}

// Guards against a folded line of a request that counts as a field of its own: it is the rest of
// the value before it, with a blank between (RFC 9112, section 5.2).
func TestFoldedLineIsPartOfTheValue(t *testing.T) {
	headers := make(chan http.Header, 1)
	address := start(t, &Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { headers <- r.Header })})
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n Content-Length: 5\r\n\r\n")
	resp, _ := c.readResponse()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.DeepEqual(t, <-headers, http.Header{"X": {"a Content-Length: 5"}})
}

// Guards against endless heads and bodies that take unbounded memory or time.
func TestEndlessRequests(t *testing.T) {
	s := &Server{Limits: Limits{HeaderTimeout: 300 * time.Millisecond}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			n, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 1<<20))
			assert.Check(t, err != nil && n <= 1<<20)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	address := start(t, s)
	const post = "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, x := range []struct{ name, begin, repeat string }{
		{"line", "GET /", "x"},
		{"header", "GET / HTTP/1.1\r\nHost: h\r\n", "X-Y: z\r\n"},
		{"chunks", post, "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"chunk size", post, "0"},
		{"chunk extension", post, "4;a=" + strings.Repeat("x", 1000)},
		{"trailer", post + "0\r\n", "X-Y: z\r\n"},
		{"length", "POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", 1024)},
		{"not read", "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", 1024)},
	} {
		c := dial(t, address)
		chunk := []byte(strings.Repeat(x.repeat, max(1, 8192/len(x.repeat))))
		_, err := io.WriteString(c, x.begin)
		assert.NilError(t, err)
		sent := 0
		for startTime := time.Now(); err == nil; {
			var n int
			n, err = c.Write(chunk)
			sent += n
			if time.Since(startTime) > 8*time.Second {
				t.Fatalf("%s: %d bytes accepted, connection still open", x.name, sent)
			}
		}
	}
	// A client that stops within the head gets an error, so it knows that the request has
	// not run.
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHo")
	resp, _ := c.readResponse()
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	c.expectClosed()
}

// FuzzConnection sends arbitrary bytes to a connection. Guards against requests that
// differ from those that net/http parses sequentially, and against a connection that
// never ends.
func FuzzConnection(f *testing.F) {
	f.Add([]byte(get("/a") + get("/b")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get("/b")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/b")))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx" + get("/c")))
	f.Add([]byte("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /x HTTP/1.0\r\n\r\n" + get("/c")))
	f.Fuzz(func(t *testing.T, data []byte) {
		var mutex sync.Mutex
		handled := map[string]int{}
		s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			mutex.Lock()
			handled[r.Method+" "+r.RequestURI+" "+string(b)]++
			mutex.Unlock()
			_, _ = w.Write(b)
		})}
		client, server := net.Pipe()
		c := newConnection(s, server)
		ended := make(chan struct{})
		go func() {
			c.run()
			close(ended)
		}()
		go io.Copy(io.Discard, client)
		_ = client.SetWriteDeadline(time.Now().Add(testTimeout))
		client.Write(data)
		time.Sleep(time.Millisecond)
		client.Close()
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatal("connection does not end")
		}
		want := map[string]int{}
		for r := bufio.NewReader(bytes.NewReader(data)); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				break
			}
			b, err := io.ReadAll(q.Body)
			if err != nil {
				break
			}
			want[q.Method+" "+q.RequestURI+" "+string(b)]++
		}
		mutex.Lock()
		defer mutex.Unlock()
		for k, n := range handled {
			if n > want[k] {
				t.Fatalf("request %q handled %d times, sent %d times", k, n, want[k])
			}
		}
	})
}
