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

// endlessServer answers with begin and then with repeat until the connection closes.
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

// Pattern: a server in trouble sends bytes that are no answer and never end, at
// each place of an answer. Guards against a transport that reads them for longer
// than the call lasts, keeps them in memory, takes the answer for whole, or uses
// the connection again.
func TestEndlessBytesFromAServer(t *testing.T) {
	for _, x := range []struct {
		name, begin, repeat string
		body                bool // the head is an answer; its body has no end
	}{
		{"status line", "", "x", false},
		{"head line", "HTTP/1.1 200 OK\r\nX: ", "y", false},
		{"head", "HTTP/1.1 200 OK\r\n", "X: y\r\n", false},
		{"informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
		{"answers to others", "", "HTTP/1.1 200 OK\r\n" + testIDHeader + ": b\r\nContent-Length: 1\r\n\r\nx", false},
		{"answer to another", "HTTP/1.1 200 OK\r\n" + testIDHeader + ": b\r\nContent-Length: 99999999999\r\n\r\n", "x", false},
		{"chunk size", responseHead + "Transfer-Encoding: chunked\r\n\r\n", "0", true},
		{"chunk extension", responseHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x", true},
		{"trailer", responseHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", true},
		{"chunks", responseHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", true},
		{"no length", responseHead + "\r\n", "x", true},
	} {
		address, closed := endlessServer(t, x.begin, x.repeat)
		d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/a", nil)
		assert.NilError(t, err)
		r.Header.Set(testIDHeader, "a")
		begun := time.Now()
		a, err := d.RoundTrip(r)
		assert.Equal(t, err == nil, x.body, "%s: %v", x.name, err)
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
			assert.Assert(t, err != nil, "%s: taken for a whole answer", x.name)
			a.Body.Close()
		}
		cancel()
		assert.Assert(t, time.Since(begun) < 3*time.Second, x.name)
		// Only a body, which its caller is getting, lasts until the deadline.
		assert.Assert(t, x.body || time.Since(begun) < 900*time.Millisecond, x.name)
		eventually(t, func() bool { return closed.Load() == 1 })
		assert.Equal(t, len(d.idle), 0, x.name)
	}
}

// Guards against a caller who gets a whole answer, or who is told that nothing
// has run, when a server sends bytes without end, and against memory that grows
// with them while the caller reads nothing.
func TestCallerOfAnEndlessServer(t *testing.T) {
	for _, begin := range []string{"nonsense ", "HTTP/1.1 200 OK\r\n\r\n"} {
		address, closed := endlessServer(t, begin, "x")
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
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, a.Body)
		if a.StatusCode == http.StatusOK {
			assert.Assert(t, err != nil, "a cut answer looks whole")
		} else {
			assert.Equal(t, a.StatusCode, http.StatusBadGateway)
			assert.Equal(t, a.Header.Get(HeaderOutcome), OutcomeUnknown)
		}
		eventually(t, func() bool { return closed.Load() >= 1 })
	}
}
