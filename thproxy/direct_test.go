package thproxy

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

	"github.com/turmerichaven/turmerichaven/therror"
)

const testIDHeader = "X-Id"

// serveConns runs a backend server that handles each connection with f.
func serveConns(t *testing.T, f func(net.Conn, *bufio.Reader)) string {
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
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// sendRequest sends one request with an ID and returns the response body.
func sendRequest(t *testing.T, d *DirectTransport, address, id string, body io.Reader) (string, error) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/a", body)
	assert.NilError(t, err)
	r.Header.Set(testIDHeader, id)
	resp, err := d.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

func writeResponse(c net.Conn, id, body, more string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", testIDHeader, id, len(body), more, body)
}

// readRequest reads one request and returns its ID, empty at the end of the
// connection.
func readRequest(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get(testIDHeader)
}

// Guards against a request that was sent but is reported as not run, and against
// one that was never sent but is reported with an unknown outcome.
func TestDirectReportsWhatWasSent(t *testing.T) {
	var read atomic.Int32
	address := serveConns(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		read.Add(1)
	})
	d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
	_, err := sendRequest(t, d, address, "1", nil)
	assert.Equal(t, therror.KindOf(err), therror.Broken)
	assert.Equal(t, read.Load(), int32(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	_, err = sendRequest(t, d, l.Addr().String(), "2", nil)
	assert.Equal(t, therror.KindOf(err), therror.Unready)
	assert.Assert(t, therror.IsNotRun(err))
}

// Guards against a late response to an earlier request that is returned for the
// next request on the same connection.
func TestDirectSkipsStrayAnswers(t *testing.T) {
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			if id == "2" {
				writeResponse(c, "1", "old", "")
			}
			writeResponse(c, id, "body "+id, "")
		}
	})
	d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
	for _, id := range []string{"1", "2", "3"} {
		got, err := sendRequest(t, d, address, id, nil)
		assert.NilError(t, err)
		assert.Equal(t, got, "body "+id)
	}
}

// Guards against reuse of a connection on which data arrived after the response.
func TestDirectDropsConnectionWithExtraBytes(t *testing.T) {
	var connections atomic.Int32
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for id := readRequest(r); id != ""; id = readRequest(r) {
			writeResponse(c, id, "ok", "")
			writeResponse(c, id, "again", "")
		}
	})
	d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
	for _, id := range []string{"1", "2"} {
		got, err := sendRequest(t, d, address, id, nil)
		assert.NilError(t, err)
		assert.Equal(t, got, "ok")
		eventually(t, func() bool { return len(d.idle) == 0 || !d.idle[0].isIdle() }) // the second response arrives while the connection is idle
	}
	assert.Equal(t, connections.Load(), int32(2))
}

// Guards against a truncated response that looks complete.
func TestDirectCutAnswerIsNoEnd(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 10\r\n", "chunks": "Transfer-Encoding: chunked\r\n"} {
		address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
			id := readRequest(r)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n4\r\nabcd", testIDHeader, id, head)
		})
		d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
		_, err := sendRequest(t, d, address, "1", nil)
		assert.Assert(t, err != nil, name)
	}
	// A reset must not look like the end of a response without a length.
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nabcd", testIDHeader, id)
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := sendRequest(t, &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}, address, "1", nil)
	assert.Assert(t, err != nil)
}

// A server responds before it has read a long request body. Guards against the rest
// of the body being read as the next request, and against a deadlock between the
// body and the response.
func TestDirectEarlyAnswerEndsConnection(t *testing.T) {
	var connections atomic.Int32
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeResponse(c, q.Header.Get(testIDHeader), "early", "")
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, q.Body)
	})
	d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
	for _, id := range []string{"1", "2"} {
		got, err := sendRequest(t, d, address, id, strings.NewReader(strings.Repeat("x", 8<<20)))
		assert.NilError(t, err)
		assert.Equal(t, got, "early")
	}
	assert.Equal(t, connections.Load(), int32(2))
}

// Guards against reuse of a connection after its server's Keep-Alive timeout.
func TestDirectKeepsServersTimeout(t *testing.T) {
	var connections atomic.Int32
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for id := readRequest(r); id != ""; id = readRequest(r) {
			writeResponse(c, id, "ok", "Keep-Alive: timeout=0\r\n")
		}
	})
	d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
	for _, id := range []string{"1", "2"} {
		_, err := sendRequest(t, d, address, id, nil)
		assert.NilError(t, err)
	}
	assert.Equal(t, connections.Load(), int32(2))
}

// Guards against more connections than the limit, and against failed requests that
// never free their connection slot.
func TestDirectLimitsConnections(t *testing.T) {
	var open, maxOpen atomic.Int32
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		defer open.Add(-1)
		for id := readRequest(r); id != "" && id != "9"; id = readRequest(r) {
			writeResponse(c, id, "ok", "")
		}
	})
	d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
	d.SetMaxConnections(3)
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() { _, _ = sendRequest(t, d, address, fmt.Sprint(i%10), nil) })
	}
	all.Wait()
	assert.Assert(t, maxOpen.Load() <= 4, "%d connections", maxOpen.Load()) // one may be closing
	_, err := sendRequest(t, d, address, "1", nil)
	assert.NilError(t, err)
}
