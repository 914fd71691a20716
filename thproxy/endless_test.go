package thproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// endlessServer responds with prefix and then with repeat until the connection
// closes. It counts the closed connections.
func endlessServer(t *testing.T, prefix, repeat string) (address string, closed *atomic.Int32) {
	closed = new(atomic.Int32)
	part := []byte(strings.Repeat(repeat, max(1, 4096/len(repeat))))
	return serveConns(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		defer closed.Add(1)
		if _, err := io.WriteString(c, prefix); err != nil {
			return
		}
		for {
			if _, err := c.Write(part); err != nil {
				return
			}
		}
	}), closed
}

const responseHead = "HTTP/1.1 200 OK\r\n" + testIDHeader + ": a\r\n"

// A faulty server sends an endless stream of bytes in each part of a response.
// Guards against a transport that reads them after the deadline of the call,
// buffers them all, treats the response as complete, or reuses the connection.
func TestEndlessBytesFromAServer(t *testing.T) {
	for _, x := range []struct {
		name, prefix, repeat string
		body                 bool // the header is valid; the body is endless
	}{
		{"status line", "", "x", false},
		{"head line", "HTTP/1.1 200 OK\r\nX: ", "y", false},
		{"head", "HTTP/1.1 200 OK\r\n", "X: y\r\n", false},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\n" + testIDHeader + ": b\r\nContent-Length: 1\r\n\r\nx", false},
		{"response to another request", "HTTP/1.1 200 OK\r\n" + testIDHeader + ": b\r\nContent-Length: 99999999999\r\n\r\n", "x", false},
		{"chunk size", responseHead + "Transfer-Encoding: chunked\r\n\r\n", "0", true},
		{"chunk extension", responseHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x", true},
		{"trailer", responseHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", true},
		{"chunks", responseHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", true},
		{"no length", responseHead + "\r\n", "x", true},
	} {
		address, closed := endlessServer(t, x.prefix, x.repeat)
		d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/a", nil)
		assert.NilError(t, err)
		r.Header.Set(testIDHeader, "a")
		start := time.Now()
		resp, err := d.RoundTrip(r)
		assert.Equal(t, err == nil, x.body, "%s: %v", x.name, err)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			assert.Assert(t, err != nil, "%s: treated as a complete response", x.name)
			resp.Body.Close()
		}
		cancel()
		assert.Assert(t, time.Since(start) < 3*time.Second, x.name)
		// Only a body, which is relayed to the caller, may last until the deadline.
		assert.Assert(t, x.body || time.Since(start) < 900*time.Millisecond, x.name)
		eventually(t, func() bool { return closed.Load() == 1 })
		assert.Equal(t, len(d.idle), 0, x.name)
	}
}

// A server sends an endless response. Guards against a caller that gets a complete
// response or the outcome "not run", and against memory that grows with the
// response while the caller reads nothing.
func TestCallerOfAnEndlessServer(t *testing.T) {
	for _, prefix := range []string{"nonsense ", "HTTP/1.1 200 OK\r\n\r\n"} {
		address, closed := endlessServer(t, prefix, "x")
		m := newMesh(t, thconfig.Route{Timeout: 500 * time.Millisecond}, http.HandlerFunc(echoHandler))
		m.targets[0].Server = func() (thwire.Server, netip.AddrPort, bool) {
			return thwire.Server{State: thwire.ServerReady}, netip.MustParseAddrPort(address), true
		}
		c, err := net.Dial("tcp", m.front.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(200 * time.Millisecond)
		runtime.ReadMemStats(&after)
		assert.Assert(t, int64(after.HeapAlloc)-int64(before.HeapAlloc) < 16<<20)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode == http.StatusOK {
			assert.Assert(t, err != nil, "a truncated response looks complete")
		} else {
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeUnknown)
		}
		eventually(t, func() bool { return closed.Load() >= 1 })
	}
}
