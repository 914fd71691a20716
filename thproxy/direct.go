package thproxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thhead"
)

// Limits of a DirectTransport.
const (
	connectTimeout = time.Second
	maxHeaderBytes = 64 << 10 // status line and header of a response, or its trailer
	readBufferSize = 8 << 10  // bytes
	// maxInlineBody is the largest request body, in bytes, that is sent in one write
	// with the header. A longer body is sent while the response is read, since the
	// server may respond early.
	maxInlineBody      = 16 << 10
	maxMismatchedBody  = 1 << 20         // bytes of a skipped response to another request
	maxSkipped         = 32              // informational responses and responses to other requests that are skipped
	defaultIdleTimeout = 4 * time.Second // if the server sends no Keep-Alive timeout
	idleTimeoutMargin  = time.Second     // a connection is not reused this close to the server's timeout
	keepAliveInterval  = 5 * time.Second // of TCP keep-alive probes
)

// DirectTransport is the http.RoundTripper from a daemon to its local backend
// server. It accepts servers that send several responses to one request, or a
// response to an earlier request: it returns the response that repeats the
// request ID. It never sends a request twice and uses no goroutine for an idle
// connection. Its errors are of kind Unready if nothing was sent, and Broken
// otherwise.
type DirectTransport struct {
	Headers *Headers // RequestID names the header to match; if empty, the first final response is returned
	Clock   clockwork.Clock
	Dial    func(ctx context.Context, network, address string) (net.Conn, error) // nil means net.Dialer
	// OnConnectionLimit is called for a request that found no connection in time; nil means
	// that nobody is told.
	OnConnectionLimit func()

	initOnce sync.Once
	slots    connSlots     // of the connections in use
	dialSlot chan struct{} // serialises dials, since each new connection costs the server about 1 ms
	mutex    sync.Mutex
	idle     []*directConn // most recently used last
}

// newConnectionKey is the context key of withNewConnection.
type newConnectionKey struct{}

// withNewConnection makes a DirectTransport send the request on a new connection. A
// repeated request needs one: it has the ID of the earlier attempt, so a second copy of
// the response to that attempt could not be told from its own.
func withNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// RoundTrip sends one request. The caller must close the response body.
func (d *DirectTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	d.initOnce.Do(d.init)
	if !d.slots.acquire(ctx) {
		if d.OnConnectionLimit != nil {
			d.OnConnectionLimit()
		}
		return nil, therror.Wrap(therror.Unready, context.Cause(ctx), "all connections to the backend server are in use")
	}
	c, err := d.getConn(ctx, r.URL.Host)
	if err != nil {
		d.slots.release()
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchange{conn: c, transport: d, stop: stop}
	response, err := x.roundTrip(r, headersOrDefault(d.Headers).RequestID)
	if err != nil {
		x.abort()
		return nil, therror.Wrap(therror.Broken, err, "request to the backend server")
	}
	x.body, x.remaining = response.Body, response.ContentLength
	x.reusable = !response.Close && !c.mismatched
	if keep, ok := idleTimeout(response.Header); ok {
		c.expires = thclock.OrSystem(d.Clock).Now().Add(keep)
	} else {
		c.expires = thclock.OrSystem(d.Clock).Now().Add(defaultIdleTimeout)
	}
	response.Body = x
	if response.ContentLength == 0 || response.Body == http.NoBody {
		x.finish()
	}
	return response, nil
}

func (d *DirectTransport) init() {
	d.dialSlot = make(chan struct{}, 1)
}

// SetMaxConnections limits the open connections, idle ones included; zero means no limit.
// Connections in use above a lower limit stay open until their requests end.
func (d *DirectTransport) SetMaxConnections(n int) {
	d.slots.setLimit(n)
	d.closeIdleAboveLimit()
}

// closeIdleAboveLimit closes the idle connections, least recently used first, that exceed the
// limit together with those in use.
func (d *DirectTransport) closeIdleAboveLimit() {
	unused, limited := d.slots.unused()
	if !limited {
		return
	}
	d.mutex.Lock()
	excess := max(0, len(d.idle)-unused)
	closed := slices.Clone(d.idle[:excess])
	d.idle = d.idle[excess:]
	d.mutex.Unlock()
	for _, c := range closed {
		_ = c.Close()
	}
}

// acquireSlot acquires a slot of a semaphore. It returns false if ctx ends first.
func acquireSlot(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// getConn returns an idle connection that is open and has no unread input, or a
// new one. It always returns a new one for a context of withNewConnection.
func (d *DirectTransport) getConn(ctx context.Context, address string) (*directConn, error) {
	if ctx.Value(newConnectionKey{}) != nil {
		return d.connect(ctx, address)
	}
	now := thclock.OrSystem(d.Clock).Now()
	for {
		d.mutex.Lock()
		n := len(d.idle)
		if n == 0 {
			d.mutex.Unlock()
			break
		}
		c := d.idle[n-1]
		d.idle = d.idle[:n-1]
		d.mutex.Unlock()
		if c.address == address && now.Before(c.expires) && c.isIdle() {
			return c, nil
		}
		_ = c.Close()
	}
	return d.connect(ctx, address)
}

func (d *DirectTransport) connect(ctx context.Context, address string) (*directConn, error) {
	if !acquireSlot(ctx, d.dialSlot) {
		return nil, therror.Wrap(therror.Unready, context.Cause(ctx), "connect to the backend server")
	}
	defer func() { <-d.dialSlot }()
	d.closeIdleAboveLimit()
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveInterval}).DialContext
	}
	n, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, therror.Wrap(therror.Unready, err, "connect to the backend server")
	}
	c := &directConn{Conn: n, address: address, clock: thclock.OrSystem(d.Clock)}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// putConn returns a connection to the idle list. It also closes expired idle
// connections, which the server is about to close.
func (d *DirectTransport) putConn(c *directConn) {
	now := thclock.OrSystem(d.Clock).Now()
	d.mutex.Lock()
	var old []*directConn
	for len(d.idle) > 0 && !now.Before(d.idle[0].expires) {
		old = append(old, d.idle[0])
		d.idle = d.idle[1:]
	}
	d.idle = append(d.idle, c)
	d.mutex.Unlock()
	for _, o := range old {
		_ = o.Close()
	}
}

// CloseIdle closes the idle connections. Connections in use are unaffected.
func (d *DirectTransport) CloseIdle() {
	d.mutex.Lock()
	idle := d.idle
	d.idle = nil
	d.mutex.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// hasOpenIdleConn reports whether the server at the address keeps an idle connection open,
// so that its process runs.
func (d *DirectTransport) hasOpenIdleConn(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.ContainsFunc(d.idle, func(c *directConn) bool { return c.address == address && c.isIdle() })
}

// idleTimeout returns how long a connection may stay idle by the Keep-Alive
// header of a response, less a margin; false if the header has no timeout.
func idleTimeout(h http.Header) (time.Duration, bool) {
	for _, v := range h["Keep-Alive"] {
		for p := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
			n, err := strconv.Atoi(value)
			if !strings.EqualFold(name, "timeout") || err != nil || n < 0 {
				continue
			}
			keep := time.Duration(n) * time.Second
			return max(keep-idleTimeoutMargin, keep/2), true
		}
	}
	return 0, false
}

// exchange is one request and its response on a connection. It implements the
// response body.
type exchange struct {
	conn      *directConn
	transport *DirectTransport
	stop      func() bool
	body      io.ReadCloser
	remaining int64 // unread bytes of the response body; negative if unknown
	reusable  bool  // the connection may carry further requests
	done      bool
	bodySent  chan error // result of streamBody; nil if it does not run
}

// roundTrip sends the request and reads the response header. After an error the
// backend server may have run the request.
func (x *exchange) roundTrip(r *http.Request, id string) (*http.Response, error) {
	if err := x.writeRequest(r); err != nil {
		return nil, err
	}
	return x.readResponse(r, id)
}

// writeRequest writes the request header and a short body, and starts streamBody
// for any other body.
func (x *exchange) writeRequest(r *http.Request) error {
	var b bytes.Buffer
	writeRequestHead(&b, r)
	switch {
	case r.Body == nil || r.ContentLength == 0:
	case r.ContentLength > 0 && r.ContentLength <= maxInlineBody:
		if n, err := io.Copy(&b, io.LimitReader(r.Body, r.ContentLength)); err != nil || n < r.ContentLength {
			return therror.Wrap(therror.Cancelled, errors.Join(err, io.ErrUnexpectedEOF), "request body truncated")
		}
	default:
		if _, err := x.conn.Write(b.Bytes()); err != nil {
			return err
		}
		x.bodySent = make(chan error, 1)
		written := make(chan struct{})
		x.conn.bodyWritten = written
		go func() {
			x.bodySent <- x.streamBody(r)
			close(written)
		}()
		return nil
	}
	_, err := x.conn.Write(b.Bytes())
	return err
}

// streamBody sends a long body. If the body ends early, it closes the connection,
// so that the server can't read the next request as the rest of the body. After a failed
// write it does not: a response that arrived before may still be read.
func (x *exchange) streamBody(r *http.Request) error {
	var err error
	if r.ContentLength > 0 {
		var n int64
		n, err = io.Copy(x.conn, io.LimitReader(r.Body, r.ContentLength))
		if err == nil && n < r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
	} else {
		w := httputil.NewChunkedWriter(x.conn)
		if _, err = io.Copy(w, r.Body); err == nil {
			err = w.Close()
		}
		if err == nil {
			_, err = io.WriteString(x.conn, "\r\n")
		}
	}
	if err != nil && x.conn.failedWrite() == nil {
		_ = x.conn.Close()
	}
	return err
}

func writeRequestHead(b *bytes.Buffer, r *http.Request) {
	target := r.RequestURI // unchanged from the caller
	if target == "" {
		target = r.URL.RequestURI()
	}
	for _, s := range []string{r.Method, " ", target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		b.WriteString(s)
	}
	for name, values := range r.Header {
		if name == "User-Agent" && len(values) == 1 && values[0] == "" {
			continue
		}
		for _, v := range values {
			for _, s := range []string{name, ": ", v, "\r\n"} {
				b.WriteString(s)
			}
		}
	}
	switch {
	case r.Body != nil && r.ContentLength > 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	case r.Body != nil && r.ContentLength < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
}

// readResponse reads responses until a final one repeats the request ID.
func (x *exchange) readResponse(r *http.Request, name string) (*http.Response, error) {
	for range maxSkipped {
		response, err := thhead.ReadResponse(x.conn.reader, r.Method, maxHeaderBytes)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, therror.New(therror.Broken, "backend server switched protocols without being asked to")
		case response.StatusCode < 200:
			continue
		}
		if name == "" || response.Header.Get(name) == r.Header.Get(name) {
			return response, nil
		}
		x.conn.mismatched = true
		delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		if response.Close || !delimited {
			return nil, therror.New(therror.Broken, "got a response to another request and none to this one")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBody))
		if err != nil || n == maxMismatchedBody {
			return nil, therror.Wrap(therror.Broken, err, "gave up after %d bytes of a response to another request", n)
		}
	}
	return nil, therror.New(therror.Broken, "skipped %d responses without one to this request", maxSkipped)
}

// Read reads the response body.
func (x *exchange) Read(p []byte) (int, error) {
	if x.done {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if x.remaining > 0 {
		x.remaining -= int64(n)
	}
	if err == io.EOF {
		x.finish()
	}
	return n, err
}

// Close ends the exchange. It closes the connection if part of the response has
// not arrived yet.
func (x *exchange) Close() error {
	if x.done {
		return nil
	}
	if x.remaining > 0 && x.remaining <= int64(x.conn.reader.Buffered()) {
		if _, err := io.Copy(io.Discard, x.body); err == nil {
			x.finish()
			return nil
		}
	}
	x.abort()
	return nil
}

// finish ends the exchange after a complete response. The connection becomes idle
// if it can be reused, and is closed otherwise.
func (x *exchange) finish() {
	if x.done {
		return
	}
	if x.bodySent != nil {
		select {
		case err := <-x.bodySent:
			x.reusable = x.reusable && err == nil
		default:
			x.reusable = false // the server responded before it read the whole request
		}
	}
	if !x.reusable || x.conn.reader.Buffered() > 0 || !x.stop() {
		x.abort()
		return
	}
	x.done = true
	x.transport.putConn(x.conn)
	x.transport.slots.release()
}

// abort ends the exchange and closes the connection.
func (x *exchange) abort() {
	if x.done {
		return
	}
	x.done = true
	x.stop()
	_ = x.conn.Close()
	x.transport.slots.release()
}
