package thhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Limits of an HTTP/2 connection. The defaults of net/http let a client that sends nothing but the
// start of a frame take 1 MB, and one that sends bodies 1 MB more.
const (
	http2MaxStreams    = 100      // the least that RFC 9113 recommends
	http2MaxFrame      = 16 << 10 // bytes
	http2MaxConnBody   = 256 << 10
	http2MaxStreamBody = 64 << 10
)

// Estimated costs in bytes.
const (
	http2ConnectionCost = 40 << 10 // buffers, tables and goroutines, beside ConnectionCost
	http2StreamCost     = 32 << 10 // of a request beside its head
	// http2InputFactor is the memory for a byte received and not answered: frames of some
	// bytes and header fields take several times their size.
	http2InputFactor = 4
	// http2HeadFactor is the memory for a byte of an encoded head.
	http2HeadFactor = 2
)

// http2Pause is the time between two reads of a connection while Bounds.Bytes is exceeded.
const http2Pause = 10 * time.Millisecond

// ConfigureHTTP2 prepares the server that serves the connections passed to HTTP2: it limits what a
// connection can take, and counts its requests toward Bounds. Set the handler before.
func (s *Server) ConfigureHTTP2(h *http.Server) {
	h.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: http2MaxStreams, MaxReadFrameSize: http2MaxFrame,
		MaxReceiveBufferPerConnection: http2MaxConnBody, MaxReceiveBufferPerStream: http2MaxStreamBody,
	}
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c, ok := c.(*http2Conn); ok {
			return context.WithValue(ctx, http2ConnKey{}, c)
		}
		return ctx
	}
	h.Handler = &http2Handler{h.Handler}
}

// http2ConnKey is the key of the *http2Conn in the context of a request.
type http2ConnKey struct{}

// http2Conn is a connection that was passed to HTTP2. It returns bytes read earlier before new ones.
type http2Conn struct {
	net.Conn

	account    *account
	buffered   []byte
	unanswered atomic.Int64 // bytes in the account for input since the last write
	heads      http2HeadScanner
	waiting    atomic.Int64 // bytes in the account for heads whose handlers have not started
	streams    atomic.Int32 // handlers in progress
	closeOnce  sync.Once
	closed     atomic.Bool // Close was called

	mutex   sync.Mutex
	evicted bool
}

// Read returns the buffered bytes, then those of the connection. What arrives without a write of
// the server in between counts as held: an unfinished head, an unread body, or frames whose
// answers the client does not read.
func (c *http2Conn) Read(p []byte) (int, error) {
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		c.countInput(p[:n])
		return n, nil
	}
	if c.account.isFull() {
		thclock.OrSystem(c.account.server.Clock).Sleep(http2Pause)
	}
	n, err := c.Conn.Read(p)
	c.countInput(p[:n])
	return n, err
}

// countInput adds input to the account.
func (c *http2Conn) countInput(p []byte) {
	input, heads := int64(len(p))*http2InputFactor, int64(c.heads.scan(p))*http2HeadFactor
	c.unanswered.Add(input)
	c.waiting.Add(heads)
	c.account.add(input + heads)
	if c.closed.Load() {
		c.releaseInput()
		c.account.add(-c.waiting.Swap(0))
	}
}

// startStream counts a handler, whose head no longer waits.
func (c *http2Conn) startStream(head int64) {
	c.streams.Add(1)
	for {
		waiting := c.waiting.Load()
		started := min(waiting, head*http2HeadFactor)
		if c.waiting.CompareAndSwap(waiting, waiting-started) {
			c.account.add(-started)
			return
		}
	}
}

// endStream counts the end of a handler. Heads of requests that were reset while they waited are
// dropped without a handler; none waits while the handlers are far from their limit.
func (c *http2Conn) endStream() {
	if c.streams.Add(-1) < http2MaxStreams/2 {
		c.account.add(-c.waiting.Swap(0))
	}
}

// Write writes to the connection.
func (c *http2Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.releaseInput()
	return n, err
}

func (c *http2Conn) releaseInput() { c.account.add(-c.unanswered.Swap(0)) }

// Close closes the connection and ends its accounting.
func (c *http2Conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.closed.Store(true)
		c.releaseInput()
		c.account.add(-c.waiting.Swap(0) - http2ConnectionCost)
		c.account.leave()
	})
	return err
}

// evict closes the connection unless one of its requests may be at a backend server. The server
// then calls Close.
func (c *http2Conn) evict() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.account.running.Load() > 0 {
		return false
	}
	c.evicted = true // Begin fails from here on
	_ = c.Conn.Close()
	return true
}

// http2HeadScanner counts the bytes of heads in the input of an HTTP/2 connection.
type http2HeadScanner struct {
	header      [9]byte // of the next frame
	headerBytes int     // bytes of header that have arrived
	left        int     // bytes of the current frame that have not arrived
	isHead      bool    // the current frame is a part of a head
	started     bool    // the preface has arrived
}

// Types of frames that are parts of heads (RFC 9113, section 6).
const (
	http2Headers      = 0x1
	http2Continuation = 0x9
)

// scan returns the bytes of p that are parts of heads.
func (s *http2HeadScanner) scan(p []byte) int {
	if !s.started {
		s.started, s.left = true, len(http2Preface)
	}
	heads := 0
	for len(p) > 0 {
		if s.left > 0 {
			n := min(s.left, len(p))
			if s.isHead {
				heads += n
			}
			s.left -= n
			p = p[n:]
			continue
		}
		n := copy(s.header[s.headerBytes:], p)
		s.headerBytes += n
		p = p[n:]
		if s.headerBytes == len(s.header) {
			s.headerBytes = 0
			s.left = int(s.header[0])<<16 | int(s.header[1])<<8 | int(s.header[2])
			s.isHead = s.header[3] == http2Headers || s.header[3] == http2Continuation
		}
	}
	return heads
}

// http2Handler counts requests toward the account of their connection, and rejects those for which
// there is no memory.
type http2Handler struct{ http.Handler }

// ServeHTTP serves a request.
func (h *http2Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(http2ConnKey{}).(*http2Conn)
	if !ok {
		h.Handler.ServeHTTP(w, r)
		return
	}
	a := c.account
	head := headCost(headSize(r), r.Header)
	cost := http2StreamCost + head
	k := &http2Writer{ResponseWriter: w, conn: c, request: r}
	c.startStream(head)
	defer func() {
		k.endRunning()
		a.add(-cost)
		a.since.Store(thclock.Stamp(thclock.OrSystem(a.server.Clock).Now()))
		c.endStream()
	}()
	if !a.reserve(cost) {
		a.server.reportBound(LimitBytes, 1)
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Content-Length", "0") // a body may wait for the client
		w.WriteHeader(http.StatusServiceUnavailable)
		flush(w)
		return
	}
	h.Handler.ServeHTTP(k, r)
	if k.hasBody {
		flush(w)
	}
}

// flush waits until the client has room for the response. net/http would wait after the handler,
// when the request no longer counts.
func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// headSize returns about the size of a head in bytes.
func headSize(r *http.Request) int64 {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

// http2Writer notes when a request begins to run and when its response begins.
type http2Writer struct {
	http.ResponseWriter

	conn    *http2Conn
	request *http.Request
	running atomic.Bool // counts in the account as maybe at a backend server
	hasBody bool
}

// Begin marks that the request may be at a backend server from now on. Requests of an HTTP/2
// connection don't wait for each other. It returns errBroken if the connection was closed.
func (w *http2Writer) Begin(context.Context, bool) error {
	w.conn.mutex.Lock()
	defer w.conn.mutex.Unlock()
	if w.conn.evicted {
		return errBroken
	}
	if !w.running.Swap(true) {
		w.conn.account.running.Add(1)
		context.AfterFunc(w.request.Context(), w.endRunning) // the client has reset the stream
	}
	return nil
}

// Unwrap returns the writer for http.ResponseController.
func (w *http2Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the status and header.
func (w *http2Writer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.endRunning()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *http2Writer) Write(p []byte) (int, error) {
	w.endRunning()
	w.hasBody = true
	return w.ResponseWriter.Write(p)
}

// endRunning marks that the backend server has answered, or that nobody waits for it.
func (w *http2Writer) endRunning() {
	if w.running.Swap(false) {
		w.conn.account.running.Add(-1)
	}
}
