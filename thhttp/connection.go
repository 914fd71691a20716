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
	// maxReadAhead is the maximum number of bytes buffered while MaxPipelined requests are
	// in progress. Beyond it, or without memory for it, a disconnect is not detected.
	maxReadAhead = 64 << 10
	// lingerTimeout is how long input is still read after the sending side was closed,
	// so that a reset does not destroy the last response in transit.
	lingerTimeout = 500 * time.Millisecond
	// firstRequestTimeout is how long a server that shuts down waits for the first
	// request on a connection that it has accepted.
	firstRequestTimeout = time.Second
)

// pastDeadline is a read deadline that interrupts a blocked read.
var pastDeadline = time.Unix(1, 0) //nolint:forbidigo // not a duration

// The states of the goroutine that reads a connection.
const (
	readerBusy          = iota // none of the waits below
	readerAwaitsRequest        // waits for the first byte of the next request
	readerAwaitsSlot           // waits until fewer than MaxPipelined requests are in progress
)

// connection is a client connection. One goroutine reads the requests, and each
// request is handled in a goroutine of its own.
type connection struct {
	server *Server
	conn   net.Conn
	remote string
	input  connReader
	reader *bufio.Reader // nil while the connection is idle, to save memory
	ctx    context.Context
	cancel context.CancelFunc

	account account

	mutex        sync.Mutex
	queue        []*response   // requests in progress, in the order of arrival
	readerState  int           // what the reading goroutine waits for
	started      bool          // the first byte of a request has arrived
	draining     bool          // close after the next response without a queued request behind it
	drainExpired bool          // no request arrived before the deadline while draining
	closing      bool          // no further request is accepted
	broken       bool          // a response was truncated: nothing more may be written
	hijacked     bool          // the handler or HTTP2 owns the connection
	passedOn     bool          // HTTP2 owns the connection
	disconnected bool          // the client disconnected, or the connection broke
	changed      chan struct{} // closed when the state of a request changes; nil unless a goroutine waits
	allAnswered  chan struct{} // closed after the last response
}

func newConnection(s *Server, n net.Conn) *connection {
	c := &connection{server: s, conn: n, allAnswered: make(chan struct{})}
	if a := n.RemoteAddr(); a != nil {
		c.remote = a.String()
	}
	c.input = connReader{conn: n, account: &c.account, headBudget: -1}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run serves the connection until it ends.
func (c *connection) run() {
	defer c.server.remove(c)
	defer c.release()
	defer c.cancel()
	if err := c.readRequests(); err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, errIdle) && c.server.log().IsDebug() {
			c.server.log().Debug("connection ended", "remote", c.remote, "error", err)
		}
		c.abort()
		return
	}
	if c.isHijacked() {
		return
	}
	c.lingeringClose()
}

// readRequests reads requests until no further one is accepted, then waits for the
// outstanding responses. An error means that the connection broke, went idle or
// that the client disconnected.
func (c *connection) readRequests() error {
	for {
		if err := c.awaitRequest(); err != nil {
			return err
		}
		if c.isClosing() {
			return c.awaitResponses()
		}
		r, err := c.readRequest()
		if err != nil {
			return c.rejectRequest(err)
		}
		if r == nil {
			return nil
		}
		if !c.enqueue(r) {
			r.release()
			return c.awaitResponses()
		}
		go c.handle(r)
		if !c.awaitBody(r) {
			return c.awaitResponses()
		}
		if err := c.awaitSlot(); err != nil {
			return err
		}
	}
}

// signalIfAnswered closes allAnswered when no further response will be written.
// The mutex is held.
func (c *connection) signalIfAnswered() {
	if len(c.queue) > 0 || !c.closing && !c.disconnected {
		return
	}
	select {
	case <-c.allAnswered:
	default:
		close(c.allAnswered)
	}
}

// errIdle ends a connection without requests in progress. A request that arrives at
// the same time stays unread, so the client can tell that it has not run.
var errIdle = errors.New("connection idle")

// awaitRequest waits for the first byte of the next request. It also returns nil
// when the connection is closing.
func (c *connection) awaitRequest() error {
	for {
		c.mutex.Lock()
		idle := len(c.queue) == 0 && !c.hasInput()
		switch {
		case c.closing:
			c.mutex.Unlock()
			return nil
		case idle && c.draining && (c.started || c.drainExpired):
			c.mutex.Unlock()
			return errIdle
		}
		c.readerState = readerAwaitsRequest
		c.setIdleDeadline(c.now())
		c.mutex.Unlock()
		if c.hasInput() {
			return c.startHead()
		}
		if c.reader != nil {
			c.reader.Reset(nil)
			readers.Put(c.reader)
			c.reader = nil
		}
		err := c.input.waitForInput()
		if err == nil {
			return c.startHead()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !c.continuesWaiting() {
			return errIdle
		}
	}
}

// continuesWaiting reports whether awaitRequest continues after a read deadline.
func (c *connection) continuesWaiting() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readerState = readerBusy
	c.drainExpired = c.draining
	if len(c.queue) > 0 || c.draining || c.closing {
		return true
	}
	if c.started {
		c.server.countLimit(LimitIdleTimeout)
	} else {
		c.server.countLimit(LimitHeaderTimeout)
	}
	return false
}

// hasInput reports whether bytes of the next request are buffered.
func (c *connection) hasInput() bool {
	return c.reader != nil && c.reader.Buffered() > 0 || len(c.input.buffered) > 0
}

// startHead sets the deadline for reading a request head.
func (c *connection) startHead() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readerState = readerBusy
	c.started = true
	return c.conn.SetReadDeadline(c.now().Add(c.server.currentLimits().HeaderTimeout))
}

// setIdleDeadline sets the deadline for the first byte of the next request; there is
// none while requests are in progress. The mutex is held.
func (c *connection) setIdleDeadline(now time.Time) {
	deadline := time.Time{}
	switch {
	case len(c.queue) > 0:
	case c.started:
		deadline = now.Add(c.server.currentLimits().IdleTimeout)
	case c.draining:
		deadline = now.Add(firstRequestTimeout)
	default:
		deadline = now.Add(c.server.currentLimits().HeaderTimeout)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// enqueue adds a request to the queue. It returns false if the connection is
// closing or broken: the request then counts as not read.
func (c *connection) enqueue(r *response) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing || c.disconnected {
		return false
	}
	r.hasTurn = len(c.queue) == 0
	c.queue = append(c.queue, r)
	if r.closesConnection {
		c.closing = true
	}
	return true
}

// handle runs the handler of a request and completes its response.
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

// awaitBody waits until the body of a request has been read. It returns false if the
// start of the next request can't be determined.
func (c *connection) awaitBody(r *response) bool {
	if r.body == nil {
		return true
	}
	select {
	case <-r.body.done:
	case <-r.handlerDone:
		// The handler returned without reading the whole body.
		if c.isClosing() || !r.body.discard() {
			return false
		}
	case <-c.ctx.Done():
		_ = c.conn.SetReadDeadline(pastDeadline)
		<-r.handlerDone
		return false
	}
	return r.body.isComplete()
}

// awaitSlot waits until fewer than MaxPipelined requests are in progress. It reads
// ahead meanwhile to detect that the client disconnects.
func (c *connection) awaitSlot() error {
	for {
		c.mutex.Lock()
		if c.closing || len(c.queue) < intOrDefault(c.server.MaxPipelined, defaultMaxPipelined) {
			c.mutex.Unlock()
			return nil
		}
		changed := c.waitChannel()
		c.readerState = readerAwaitsSlot
		_ = c.conn.SetReadDeadline(time.Time{})
		c.mutex.Unlock()
		err := c.input.readAhead()
		c.mutex.Lock()
		c.readerState = readerBusy
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

// awaitResponses waits for the outstanding responses and drops further input. An
// error means that the client disconnected before the last response.
func (c *connection) awaitResponses() error {
	c.mutex.Lock()
	c.closing = true
	c.signalIfAnswered()
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mutex.Unlock()
	inputEnded := make(chan struct{})
	go func() {
		defer close(inputEnded)
		_, _ = io.Copy(io.Discard, &c.input) // until the client disconnects, or the deadline
	}()
	select {
	case <-c.allAnswered:
		_ = c.conn.SetReadDeadline(pastDeadline)
		<-inputEnded
		return nil
	case <-inputEnded:
		select {
		case <-c.allAnswered:
			return nil
		default:
			return io.EOF
		}
	}
}

// lingeringClose closes the sending side, and the whole connection once the client
// has closed its side or lingerTimeout has passed.
func (c *connection) lingeringClose() {
	if w, ok := c.conn.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		if c.conn.SetReadDeadline(c.now().Add(lingerTimeout)) == nil {
			_, _ = io.Copy(io.Discard, c.conn)
		}
	}
	c.abort()
}

// abort closes the connection and cancels its requests in progress.
func (c *connection) abort() {
	c.mutex.Lock()
	c.disconnected = true
	hijacked := c.hijacked
	c.mutex.Unlock()
	c.cancel()
	if !hijacked {
		_ = c.conn.Close()
	}
}

// evict closes the connection unless one of its requests may be at a backend server.
func (c *connection) evict() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.account.running.Load() > 0 {
		return false
	}
	c.disconnected = true // Begin fails from here on
	c.cancel()
	_ = c.conn.Close()
	return true
}

// release ends the accounting of a connection that has ended. One that was passed to HTTP2
// continues.
func (c *connection) release() {
	c.input.release()
	if !c.passedOn {
		c.account.leave()
	}
}

// drain closes the connection after the next response without a queued request
// behind it. With now set, an idle connection closes at once, or after
// firstRequestTimeout if it has had no request yet.
func (c *connection) drain(now bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.draining = true
	switch {
	case !now || c.readerState != readerAwaitsRequest || len(c.queue) > 0:
	case c.started:
		_ = c.conn.SetReadDeadline(pastDeadline)
	default:
		c.setIdleDeadline(c.now())
	}
}

// dequeue removes the first request after its response is complete. It returns the
// next one, whose response may be written now, or nil.
func (c *connection) dequeue(r *response) *response {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queue[0] = nil
	c.queue = c.queue[1:]
	r.release()
	now := c.now()
	c.account.since.Store(thclock.Stamp(now))
	if r.truncated {
		c.closing, c.broken = true, true
		c.cancel()
	}
	c.notifyChange()
	switch {
	case c.readerState == readerAwaitsSlot, c.readerState == readerAwaitsRequest && (c.closing || c.draining && len(c.queue) == 0):
		_ = c.conn.SetReadDeadline(pastDeadline)
	case c.readerState == readerAwaitsRequest:
		c.setIdleDeadline(now)
	}
	c.signalIfAnswered()
	if len(c.queue) == 0 {
		return nil
	}
	return c.queue[0]
}

// notifyChange wakes all goroutines that wait on changed. The mutex is held.
func (c *connection) notifyChange() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// waitChannel returns the channel that notifyChange closes. The mutex is held.
func (c *connection) waitChannel() chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// decideClose reports whether the connection closes after the response r. It does if
// no request is queued behind r, and wanted is set, the connection drains or it is
// closing already.
func (c *connection) decideClose(r *response, wanted bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.queue) > 0 && c.queue[len(c.queue)-1] == r && (wanted || c.draining) {
		c.closing = true
		if c.readerState == readerAwaitsRequest {
			_ = c.conn.SetReadDeadline(pastDeadline)
		}
	}
	return c.closing && len(c.queue) > 0 && c.queue[len(c.queue)-1] == r
}

func (c *connection) isClosing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closing || c.disconnected
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
