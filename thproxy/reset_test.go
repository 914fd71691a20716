package thproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// longUpload is the size of a request body, in bytes, that doesn't fit into the buffers
// between the caller and the backend server.
const longUpload = 8 << 20

// promptly is how soon a call must end after its response, far below its deadline.
const promptly = 3 * time.Second

// onceResetConn is a connection that was reset while it was written to: the kernel reports
// the reset to the write, and to the read only the end.
type onceResetConn struct {
	net.Conn
	response  io.Reader
	atReset   bool          // the response can be read only after the reset
	reset     chan struct{} // closed when a write has got the error
	resetOnce sync.Once
	closed    chan struct{}
	closeOnce sync.Once
	sent      int
}

func newOnceResetConn(response string) *onceResetConn {
	return &onceResetConn{response: strings.NewReader(response), reset: make(chan struct{}), closed: make(chan struct{})}
}

func (c *onceResetConn) Write(p []byte) (int, error) {
	if c.sent += len(p); c.sent < longUpload/2 {
		return len(p), nil
	}
	c.resetOnce.Do(func() { close(c.reset) })
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

func (c *onceResetConn) Read(p []byte) (int, error) {
	if c.atReset {
		<-c.reset
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(50 * time.Millisecond):
		}
	}
	n, err := c.response.Read(p)
	if err == io.EOF {
		<-c.reset
	}
	return n, err
}

func (c *onceResetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (*onceResetConn) SetDeadline(time.Time) error      { return nil }
func (*onceResetConn) SetReadDeadline(time.Time) error  { return nil }
func (*onceResetConn) SetWriteDeadline(time.Time) error { return nil }

// A server sends a part of a response without a length and resets the connection while the
// request body is written, and only the write sees the reset. Guards against the part that
// counts as a complete response.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
		d.Dial = func(context.Context, string, string) (net.Conn, error) {
			head := version + " 200 OK\r\n" + testIDHeader + ": 1\r\n\r\nabcd"
			return newOnceResetConn(head), nil
		}
		body, err := sendRequest(t, d, "127.0.0.1:1", "1", strings.NewReader(strings.Repeat("x", longUpload)))
		assert.Assert(t, err != nil, "%s: %q is a complete response", version, body)
	}
}

// endConn is a connection that tells when a read has met its end.
type endConn struct {
	*net.TCPConn
	ended chan struct{}
	once  sync.Once
}

func (c *endConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		c.once.Do(func() { close(c.ended) })
	}
	return n, err
}

// A server reads what has arrived of an upload, sends a part of a response without a length and
// closes the connection. That ends it in order, and the rest of the upload resets it. Guards
// against the part that counts as a complete response.
func TestResetBehindEndDuringUploadIsNoEndOfResponse(t *testing.T) {
	const first = 1 << 20 // bytes of the upload that arrive before the response
	ended := make(chan struct{})
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, q.Body, first)
		respondUntilClose(c, q, "HTTP/1.1")
	})
	body, rest := io.Pipe()
	go func() {
		_, _ = rest.Write(make([]byte, first))
		<-ended
		_, _ = rest.Write(make([]byte, first))
		_, _ = rest.Write(make([]byte, first))
	}()
	defer body.Close()
	// The clock stands still, so that the rest of the upload is not too late on a busy machine.
	d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}, Clock: clockwork.NewFakeClock()}
	d.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &endConn{TCPConn: c.(*net.TCPConn), ended: ended}, nil
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/a", body)
	assert.NilError(t, err)
	request.Header.Set(testIDHeader, "1")
	request.ContentLength = 3 * first
	response, err := d.RoundTrip(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	assert.Assert(t, err != nil, "%q is a complete response", got)
	<-ended
}

// A server sends a whole response and resets the connection while the request body is written.
// Guards against a response that is lost because the connection is closed after the failed write.
func TestResetDuringUploadLeavesWholeResponse(t *testing.T) {
	d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
	d.Dial = func(context.Context, string, string) (net.Conn, error) {
		c := newOnceResetConn("HTTP/1.1 200 OK\r\n" + testIDHeader + ": 1\r\nContent-Length: 4\r\n\r\nabcd")
		c.atReset = true
		return c, nil
	}
	body, err := sendRequest(t, d, "127.0.0.1:1", "1", strings.NewReader(strings.Repeat("x", longUpload)))
	assert.NilError(t, err)
	assert.Equal(t, body, "abcd")
}

// resetServer answers each upload with respond as soon as it has the head, while the body is
// still being sent.
func resetServer(t *testing.T, respond func(c *net.TCPConn, q *http.Request)) string {
	return serveConns(t, func(c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		respond(c.(*net.TCPConn), q)
	})
}

// respondUntilClose writes a response that ends with its connection.
func respondUntilClose(c net.Conn, q *http.Request, version string) {
	fmt.Fprintf(c, "%s 200 OK\r\nX-Stamp: s\r\n%s: %s\r\n\r\nabcd", version, testIDHeader, q.Header.Get(testIDHeader))
}

// upload posts a long body through both hops, or through the daemon beside the server alone,
// and returns the response with what came of its body.
func upload(t *testing.T, address string, local bool) (status int, body string, err error) {
	m := newMeshBeside(t, address, local)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, m.front.URL+"/x", strings.NewReader(strings.Repeat("x", longUpload)))
	assert.NilError(t, err)
	request.Header.Set(testIDHeader, "a")
	response, err := m.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

// Real connections are reset while a long body is written. Guards against a part of a
// response that reaches the caller as a complete success, and against a caller that waits for
// the deadline of the call although its response has ended.
func TestResetDuringUploadIsNoSuccess(t *testing.T) {
	const rounds = 8
	for name, respond := range map[string]func(c *net.TCPConn, q *http.Request){
		"at once": func(c *net.TCPConn, q *http.Request) {
			respondUntilClose(c, q, "HTTP/1.1")
			_ = c.SetLinger(0)
		},
		"later": func(c *net.TCPConn, q *http.Request) {
			respondUntilClose(c, q, "HTTP/1.1")
			time.Sleep(5 * time.Millisecond)
			_ = c.SetLinger(0)
		},
		"while the body is read": func(c *net.TCPConn, q *http.Request) {
			respondUntilClose(c, q, "HTTP/1.1")
			_, _ = io.CopyN(io.Discard, q.Body, longUpload/2)
			_ = c.SetLinger(0)
		},
		"HTTP/1.0": func(c *net.TCPConn, q *http.Request) {
			respondUntilClose(c, q, "HTTP/1.0")
			time.Sleep(time.Millisecond)
			_ = c.SetLinger(0)
		},
		"close with unread input": func(c *net.TCPConn, q *http.Request) {
			respondUntilClose(c, q, "HTTP/1.1")
			eventually(t, func() bool { return !(&directConn{Conn: c, reader: bufio.NewReader(c)}).isIdle() })
		},
	} {
		address := resetServer(t, respond)
		for i := range 2 * rounds {
			start := time.Now()
			status, body, err := upload(t, address, i%2 == 0)
			assert.Assert(t, err != nil || status != http.StatusOK, "%s: %q is a complete response", name, body)
			assert.Assert(t, time.Since(start) < promptly, "%s: took %s", name, time.Since(start))
		}
	}
}
