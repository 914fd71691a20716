package thhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

const (
	// maxUnread bounds the bytes received behind maxAhead requests. While there is
	// room, the end of the connection is noticed behind them.
	maxUnread = 64 << 10
	// lingerTime is how long a closed connection still takes bytes, so that a reset
	// does not destroy the last answer on its way.
	lingerTime = 500 * time.Millisecond
	// firstTime is how long a stopping server waits for the first request of a
	// connection that it has accepted.
	firstTime = time.Second
)

// past interrupts a read.
var past = time.Unix(1, 0)

// What the reader of a connection waits for.
const (
	waitsNothing = iota
	waitsRequest // the first byte of the next request
	waitsRoom    // an answer to one of the requests in progress
)

// connection is a connection of a caller. One goroutine reads its requests, and
// each request has one that handles it.
type connection struct {
	server *Server
	conn   net.Conn
	remote string
	source source
	reader *bufio.Reader // nil while nothing is read
	ctx    context.Context
	cancel context.CancelFunc

	mutex    sync.Mutex
	queue    []*response   // requests that are not answered, in their order
	waits    int           // what the reader waits for
	begun    bool          // a request has been read
	draining bool          // to be closed after the next answer that no request follows
	expired  bool          // nothing came while the connection was draining
	closing  bool          // no further request is taken
	broken   bool          // nothing more may be written
	hijacked bool          // the handler owns the connection
	gone     bool          // the caller has left, or the connection broke
	changed  chan struct{} // closed when a request changes its state
	last     chan struct{} // closed after the last answer
}

func newConnection(s *Server, n net.Conn) *connection {
	c := &connection{server: s, conn: n, changed: make(chan struct{}), last: make(chan struct{})}
	if a := n.RemoteAddr(); a != nil {
		c.remote = a.String()
	}
	c.source = source{conn: n, left: -1}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run reads requests until the connection ends.
func (c *connection) run() {
	defer c.server.remove(c)
	defer c.cancel()
	if err := c.read(); err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, errIdle) && c.server.log().IsDebug() {
			c.server.log().Debug("connection ended", "remote", c.remote, "error", err)
		}
		c.leave()
		return
	}
	if c.isHijacked() {
		return
	}
	c.linger()
}

// read takes requests until one is the last, and then waits for its answer. An
// error means that the caller has left.
func (c *connection) read() error {
	for {
		if err := c.await(); err != nil {
			return err
		}
		if c.isClosing() {
			return c.discard()
		}
		r, err := c.next()
		if err != nil {
			return c.refuse(err)
		}
		if r == nil {
			return nil
		}
		if !c.take(r) {
			return c.discard()
		}
		go c.handle(r)
		if !c.skipBody(r) {
			return c.discard()
		}
		if err := c.room(); err != nil {
			return err
		}
	}
}

// finished closes last when no answer is due any more. The mutex is held.
func (c *connection) finished() {
	if len(c.queue) > 0 || !c.closing && !c.gone {
		return
	}
	select {
	case <-c.last:
	default:
		close(c.last)
	}
}

// errIdle ends a connection on which nothing is in progress. What the caller
// sends at the same moment stays unread, so that it knows that nothing has run.
var errIdle = errors.New("connection idle")

// await waits for the first byte of the next request. It returns nil also when
// the connection closes after an answer.
func (c *connection) await() error {
	for {
		c.mutex.Lock()
		idle := len(c.queue) == 0 && !c.pending()
		switch {
		case c.closing:
			c.mutex.Unlock()
			return nil
		case idle && c.draining && (c.begun || c.expired):
			c.mutex.Unlock()
			return errIdle
		}
		c.waits = waitsRequest
		c.setIdle()
		c.mutex.Unlock()
		if c.pending() {
			return c.arrived()
		}
		if c.reader != nil {
			c.reader.Reset(nil)
			readers.Put(c.reader)
			c.reader = nil
		}
		err := c.source.wait()
		if err == nil {
			return c.arrived()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !c.waitsOn() {
			return errIdle
		}
	}
}

// waitsOn reports whether a wait for the next request goes on after its deadline.
func (c *connection) waitsOn() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waits = waitsNothing
	c.expired = c.draining
	return len(c.queue) > 0 || c.draining || c.closing
}

// pending reports whether bytes of the next request are there.
func (c *connection) pending() bool {
	return c.reader != nil && c.reader.Buffered() > 0 || len(c.source.ahead) > 0
}

// arrived prepares the reading of a head.
func (c *connection) arrived() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waits = waitsNothing
	c.begun = true
	limit := orDuration(c.server.HeaderTimeout, headerTimeout)
	return c.conn.SetReadDeadline(c.now().Add(limit))
}

// setIdle bounds the wait for the next request. The mutex is held.
func (c *connection) setIdle() {
	limit := time.Time{}
	switch {
	case len(c.queue) > 0:
	case c.begun:
		limit = c.now().Add(orDuration(c.server.IdleTimeout, idleTimeout))
	case c.draining:
		limit = c.now().Add(firstTime)
	default:
		limit = c.now().Add(orDuration(c.server.HeaderTimeout, headerTimeout))
	}
	_ = c.conn.SetReadDeadline(limit)
}

// next reads the head of a request; nil without an error means that the
// connection was handed on.
func (c *connection) next() (*response, error) {
	if c.reader == nil {
		c.reader = readers.Get().(*bufio.Reader)
		c.reader.Reset(&c.source)
	}
	// Bytes of the body or of the next request may be read with the head.
	c.source.left = orInt(c.server.MaxHeader, maxHeader) + readBuffer
	defer func() { c.source.left = -1 }()
	f, err := peekFraming(c.reader)
	if err != nil {
		return nil, err
	}
	if c.server.HTTP2 != nil {
		if start, _ := c.reader.Peek(min(c.reader.Buffered(), 4)); string(start) == preface[:4] && c.handOn() {
			return nil, nil
		}
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, err
	}
	if err := checkRequest(request, f); err != nil {
		return nil, err
	}
	request.RemoteAddr = c.remote
	return c.newResponse(request, f), nil
}

// take adds a request to those in progress; false when the connection closes
// before it, so that it counts as not read.
func (c *connection) take(r *response) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing || c.gone {
		return false
	}
	r.turn = len(c.queue) == 0
	c.queue = append(c.queue, r)
	if r.final {
		c.closing = true
	}
	return true
}

// handle runs the handler.
func (c *connection) handle(r *response) {
	defer func() {
		p := recover()
		if p != nil && p != http.ErrAbortHandler { //nolint:errorlint // the panic value itself is compared
			c.server.log().Error("panic in a handler", "remote", c.remote, "panic", p, "stack", string(debug.Stack()))
		}
		r.finish(p != nil)
	}()
	c.server.Handler.ServeHTTP(r, r.request)
}

// skipBody waits until the body of a request has been read; false when the
// next request can't be found behind it.
func (c *connection) skipBody(r *response) bool {
	if r.body == nil {
		return true
	}
	select {
	case <-r.body.done:
	case <-r.ended:
		// The handler has answered without reading all of the body.
		if c.isClosing() || !r.body.discard() {
			return false
		}
	case <-c.ctx.Done():
		_ = c.conn.SetReadDeadline(past)
		<-r.ended
		return false
	}
	return r.body.whole()
}

// room waits until a further request may be read, and notices meanwhile that
// the caller leaves.
func (c *connection) room() error {
	for {
		c.mutex.Lock()
		if c.closing || len(c.queue) < orInt(c.server.MaxAhead, maxAhead) {
			c.mutex.Unlock()
			return nil
		}
		changed := c.changed
		c.waits = waitsRoom
		_ = c.conn.SetReadDeadline(time.Time{})
		c.mutex.Unlock()
		err := c.source.fill(maxUnread)
		c.mutex.Lock()
		c.waits = waitsNothing
		c.mutex.Unlock()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err != nil:
			return err
		default:
			select {
			case <-changed:
			case <-c.ctx.Done():
				return c.ctx.Err()
			}
		}
	}
}

// discard waits for the last answer and drops what still arrives. An error
// means that the caller has left before.
func (c *connection) discard() error {
	c.mutex.Lock()
	c.closing = true
	c.finished()
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mutex.Unlock()
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = io.Copy(io.Discard, &c.source) // until the caller leaves, or the deadline
	}()
	select {
	case <-c.last:
		_ = c.conn.SetReadDeadline(past)
		<-left
		return nil
	case <-left:
		select {
		case <-c.last:
			return nil
		default:
			return io.EOF
		}
	}
}

// refuse answers a request that can't be read, after the answers to those ahead.
func (c *connection) refuse(err error) error {
	status := http.StatusBadRequest
	var broken net.Error
	var f *fault
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken):
		return err
	case errors.As(err, &f):
		status = f.status
	case errors.Is(err, errHeadTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	r := c.newResponse(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, framing{whole: true})
	r.final = true
	if !c.take(r) {
		return c.discard()
	}
	r.refuse(status, err)
	return c.discard()
}

// linger closes the sending side, and the connection once the caller has closed
// its own or some time has passed.
func (c *connection) linger() {
	if w, ok := c.conn.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		if c.conn.SetReadDeadline(c.now().Add(lingerTime)) == nil {
			_, _ = io.Copy(io.Discard, c.conn)
		}
	}
	c.leave()
}

// leave ends the connection and what is in progress on it.
func (c *connection) leave() {
	c.mutex.Lock()
	c.gone = true
	hijacked := c.hijacked
	c.mutex.Unlock()
	c.cancel()
	if !hijacked {
		_ = c.conn.Close()
	}
}

// drain lets the connection end with the next answer that no request follows.
// With now, an idle connection is closed at once.
func (c *connection) drain(now bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	switch {
	case !now || c.waits != waitsRequest || len(c.queue) > 0:
	case c.begun:
		_ = c.conn.SetReadDeadline(past)
	default:
		c.setIdle()
	}
}

// answered takes the first request out of the queue after its answer and
// returns the next one, which may write now.
func (c *connection) answered(r *response) *response {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queue[0] = nil
	c.queue = c.queue[1:]
	if r.cut {
		c.closing, c.broken = true, true
		c.cancel()
	}
	c.notify()
	switch {
	case c.waits == waitsRoom, c.waits == waitsRequest && (c.closing || c.draining && len(c.queue) == 0):
		_ = c.conn.SetReadDeadline(past)
	case c.waits == waitsRequest:
		c.setIdle()
	}
	c.finished()
	if len(c.queue) == 0 {
		return nil
	}
	return c.queue[0]
}

// notify wakes those who wait for a change. The mutex is held.
func (c *connection) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// close decides whether the connection ends with an answer: the answer wants it,
// or the server stops and no request follows.
func (c *connection) close(r *response, wanted bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.queue) > 0 && c.queue[len(c.queue)-1] == r && (wanted || c.draining) {
		c.closing = true
		if c.waits == waitsRequest {
			_ = c.conn.SetReadDeadline(past)
		}
	}
	return c.closing && len(c.queue) > 0 && c.queue[len(c.queue)-1] == r
}

func (c *connection) isClosing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closing || c.gone
}

func (c *connection) isHijacked() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.hijacked
}

func (c *connection) hasQueue() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.queue) > 0
}

func (c *connection) now() time.Time { return thclock.OrSystem(c.server.Clock).Now() }
