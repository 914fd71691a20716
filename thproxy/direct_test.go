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

// sendRequest sends one request with an id and returns the body of the answer.
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
	a, err := d.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	got, err := io.ReadAll(a.Body)
	return string(got), err
}

func writeResponse(c net.Conn, id, body, more string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", testIDHeader, id, len(body), more, body)
}

// readRequest reads one request and returns its id, empty at the end of the connection.
func readRequest(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get(testIDHeader)
}

// Guards against a request that was sent and is reported as not run, and
// against one that was never sent and is reported as unknown.
func TestDirectTellsWhatWasSent(t *testing.T) {
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

// Guards against an answer to an earlier request that is taken for that of the
// next one, on a connection that carries both.
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

// Guards against a connection that is used again after bytes beyond its answer.
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
		eventually(t, func() bool { return len(d.idle) == 0 || !d.idle[0].isIdle() }) // the second answer arrives while the connection is idle
	}
	assert.Equal(t, connections.Load(), int32(2))
}

// Guards against an answer that is cut and looks complete.
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
	// Without a length a reset must not look like the end.
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		id := readRequest(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nabcd", testIDHeader, id)
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := sendRequest(t, &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}, address, "1", nil)
	assert.Assert(t, err != nil)
}

// Guards against the rest of a long body that is taken for the next request
// after an early answer, and against a body and an answer that wait for each other.
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

// Guards against a connection that is used after the time that its server has named.
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

// Guards against more connections than the backend server accepts, and against
// places that are lost when requests fail.
func TestDirectLimitsConnections(t *testing.T) {
	var open, most atomic.Int32
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		most.Store(max(most.Load(), open.Add(1)))
		defer open.Add(-1)
		for id := readRequest(r); id != "" && id != "9"; id = readRequest(r) {
			writeResponse(c, id, "ok", "")
		}
	})
	d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}, MaxConnections: 3}
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() { _, _ = sendRequest(t, d, address, fmt.Sprint(i%10), nil) })
	}
	all.Wait()
	assert.Assert(t, most.Load() <= 4, "%d connections", most.Load()) // one may be closing
	_, err := sendRequest(t, d, address, "1", nil)
	assert.NilError(t, err)
}
