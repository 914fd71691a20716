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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

// Limits of a Direct transport.
const (
	connectTimeout = time.Second
	maxHeaderBytes = 256 << 10 // of an answer's head
	readBufferSize = 8 << 10   // bytes read at once
	// maxInlineBody is the largest request body that is sent in one write with its
	// head; a longer one is sent beside the reading of the answer, which may come early.
	maxInlineBody      = 16 << 10
	maxMismatchedBody  = 1 << 20         // bytes of an answer to another request that are skipped
	maxSkipped         = 32              // informational answers and answers to other requests before the one that is due
	defaultIdleTimeout = 4 * time.Second // idle time of a connection whose server names no timeout
	idleTimeoutMargin  = time.Second     // a connection is not used this close to the server's timeout
	keepAliveInterval  = 5 * time.Second // keep-alive probes on a connection without answers
)

// DirectTransport is the transport to the backend server of a daemon on which several
// answers may arrive for one request, or an answer that belongs to an earlier
// one: it takes the answer that repeats the id of the request, and never sends
// a request twice. It uses no goroutine for an idle connection. Its errors are
// of kind Unready where nothing was sent, and Broken otherwise.
type DirectTransport struct {
	Headers        *Headers // Request names the header with the id; no check without a name
	MaxConnections int      // most connections; zero means any number
	Clock          clockwork.Clock
	Dial           func(ctx context.Context, network, address string) (net.Conn, error) // nil means net.Dialer

	initOnce  sync.Once
	connSlots chan struct{} // one for each connection in use; nil without a limit
	dialSlot  chan struct{} // connections are opened one at a time, since each costs the server about 1 ms
	mutex     sync.Mutex
	idle      []*directConn // latest use last
}

// directConn is a connection with at most one request.
type directConn struct {
	net.Conn
	address       string
	reader        *bufio.Reader
	expires       time.Time // not used again from then on
	mismatched    bool      // carried an answer to another request
	headBytesLeft int       // bytes that may be read until the end of the next head; negative for any number
}

// Read reads from the connection, and fails in the middle of a head that is too long.
func (c *directConn) Read(p []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, therror.New(therror.Broken, "head of the answer has more than %d bytes", maxHeaderBytes)
	}
	if c.headBytesLeft > 0 && len(p) > c.headBytesLeft {
		p = p[:c.headBytesLeft]
	}
	n, err := c.Conn.Read(p)
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= n
	}
	return n, err
}

// RoundTrip sends one request. The answer's body must be closed.
func (d *DirectTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	d.initOnce.Do(d.init)
	if !acquireSlot(ctx, d.connSlots) {
		return nil, therror.Wrap(therror.Unready, context.Cause(ctx), "all %d connections to the backend server are in use", d.MaxConnections)
	}
	c, err := d.getConn(ctx, r.URL.Host)
	if err != nil {
		releaseSlot(d.connSlots)
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
		c.expires = thclock.Or(d.Clock).Now().Add(keep)
	} else {
		c.expires = thclock.Or(d.Clock).Now().Add(defaultIdleTimeout)
	}
	response.Body = x
	if response.ContentLength == 0 || response.Body == http.NoBody {
		x.finish()
	}
	return response, nil
}

func (d *DirectTransport) init() {
	d.dialSlot = make(chan struct{}, 1)
	if d.MaxConnections > 0 {
		d.connSlots = make(chan struct{}, d.MaxConnections)
	}
}

// acquireSlot takes a place of a semaphore; nil has any number of them. It returns
// false when ctx ends first.
func acquireSlot(ctx context.Context, slots chan struct{}) bool {
	if slots == nil {
		return true
	}
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func releaseSlot(slots chan struct{}) {
	if slots != nil {
		<-slots
	}
}

// getConn returns an idle connection that has neither ended nor received anything, or a new one.
func (d *DirectTransport) getConn(ctx context.Context, address string) (*directConn, error) {
	now := thclock.Or(d.Clock).Now()
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
	defer releaseSlot(d.dialSlot)
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveInterval}).DialContext
	}
	n, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, therror.Wrap(therror.Unready, err, "connect to the backend server")
	}
	c := &directConn{Conn: n, address: address, headBytesLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// putConn keeps a connection for further requests. Those that have been idle too
// long are closed here: the server closes them about now.
func (d *DirectTransport) putConn(c *directConn) {
	now := thclock.Or(d.Clock).Now()
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

// CloseIdle closes the idle connections.
func (d *DirectTransport) CloseIdle() {
	d.mutex.Lock()
	idle := d.idle
	d.idle = nil
	d.mutex.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// isIdle reports whether nothing has arrived on an idle connection, its end included.
func (c *directConn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// idleTimeout returns how long a connection may be used after an answer.
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

// exchange is one request and its answer on a connection. It is the answer's body.
type exchange struct {
	conn      *directConn
	transport *DirectTransport
	stop      func() bool
	body      io.ReadCloser
	remaining int64 // bytes of the answer that are still to be read; negative if unknown
	reusable  bool  // the server keeps the connection
	done      bool
	bodySent  chan error // result of a body that is sent beside the answer; nil without one
}

// roundTrip sends the request and reads the head of its answer. After an error the
// backend server may have run the request.
func (x *exchange) roundTrip(r *http.Request, id string) (*http.Response, error) {
	if err := x.writeRequest(r); err != nil {
		return nil, err
	}
	return x.readResponse(r, id)
}

// writeRequest writes the request.
func (x *exchange) writeRequest(r *http.Request) error {
	var b bytes.Buffer
	writeRequestHead(&b, r)
	switch {
	case r.Body == nil || r.ContentLength == 0:
	case r.ContentLength > 0 && r.ContentLength <= maxInlineBody:
		if n, err := io.Copy(&b, io.LimitReader(r.Body, r.ContentLength)); err != nil || n < r.ContentLength {
			return therror.Wrap(therror.Cancelled, errors.Join(err, io.ErrUnexpectedEOF), "request body cut")
		}
	default:
		if _, err := x.conn.Write(b.Bytes()); err != nil {
			return err
		}
		x.bodySent = make(chan error, 1)
		go func() { x.bodySent <- x.streamBody(r) }()
		return nil
	}
	_, err := x.conn.Write(b.Bytes())
	return err
}

// streamBody sends a long body. One that ends early breaks the connection, so that
// the server can't take what follows for the rest.
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
	if err != nil {
		_ = x.conn.Close()
	}
	return err
}

func writeRequestHead(b *bytes.Buffer, r *http.Request) {
	target := r.RequestURI // as the caller sent it
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

// readResponse reads answers until one repeats the id of the request.
func (x *exchange) readResponse(r *http.Request, name string) (*http.Response, error) {
	for range maxSkipped {
		x.conn.headBytesLeft = maxHeaderBytes
		response, err := http.ReadResponse(x.conn.reader, r)
		if err != nil {
			return nil, err
		}
		x.conn.headBytesLeft = -1
		if response.StatusCode < 200 {
			continue
		}
		if name == "" || response.Header.Get(name) == r.Header.Get(name) {
			return response, nil
		}
		x.conn.mismatched = true
		delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		if response.Close || !delimited {
			return nil, therror.New(therror.Broken, "answer to another request, and none to this one")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBody))
		if err != nil || n == maxMismatchedBody {
			return nil, therror.Wrap(therror.Broken, err, "answer of %d bytes to another request", n)
		}
	}
	return nil, therror.New(therror.Broken, "%d answers, and none to this request", maxSkipped)
}

// Read reads the body of the answer.
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

// Close ends the exchange. The connection is closed when a part of the answer
// is still to come.
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

// finish takes the connection back after a whole answer, if it can be used again.
func (x *exchange) finish() {
	if x.done {
		return
	}
	if x.bodySent != nil {
		select {
		case err := <-x.bodySent:
			x.reusable = x.reusable && err == nil
		default:
			x.reusable = false // answered before the request was read
		}
	}
	if !x.reusable || x.conn.reader.Buffered() > 0 || !x.stop() {
		x.abort()
		return
	}
	x.done = true
	x.transport.putConn(x.conn)
	releaseSlot(x.transport.connSlots)
}

// abort closes the connection.
func (x *exchange) abort() {
	if x.done {
		return
	}
	x.done = true
	x.stop()
	_ = x.conn.Close()
	releaseSlot(x.transport.connSlots)
}
