package thhttp

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
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Limits of the buffers of a response, in bytes.
const (
	writeBufferSize = 4 << 10  // a write to the connection starts at this size
	maxHeldBytes    = 64 << 10 // buffered while earlier responses are incomplete
	maxPooledBuffer = 16 << 10 // largest buffer that returns to the pool
)

// writeTimeout bounds a single write of a response without a write deadline.
const writeTimeout = 30 * time.Second

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

var errBroken = errors.New("connection broke, or an earlier response on it was truncated")

// response is a request in progress with its response. It is the http.ResponseWriter
// passed to the handler.
type response struct {
	connection       *connection
	request          *http.Request
	body             *requestBody // nil if the request has none
	header           http.Header
	closesConnection bool          // the connection closes after the response
	handlerDone      chan struct{} // closed when the handler has returned
	order            int           // guarded by the mutex of the connection
	running          atomic.Bool   // counts in the account as maybe at a backend server
	held             atomic.Int64  // bytes in the account; negative after release
	outHeld          int64         // part of held for out

	mutex        sync.Mutex
	turnStarted  chan struct{} // closed when hasTurn is set; nil unless a goroutine waits
	hasTurn      bool          // all earlier responses are complete, so this one may be written
	out          *bytes.Buffer // bytes not yet written to the connection
	status       int           // zero until WriteHeader or the first Write
	length       int64         // Content-Length; negative if unknown
	written      int64         // body bytes passed to Write
	headWritten  bool          // the head was appended to out
	chunkWriter  io.WriteCloser
	trailers     []string
	earlyBody    []byte // body bytes written before the head
	flushPending bool   // write out as soon as the response has its turn
	finished     bool
	hijacked     bool
	truncated    bool      // ends before it is complete
	deadline     time.Time // for writes and the wait for the turn; zero for none
	writeError   error
}

func (c *connection) newResponse(request *http.Request, f framing) *response {
	r := &response{connection: c, header: http.Header{}, length: -1, handlerDone: make(chan struct{})}
	r.request = request.WithContext(c.ctx)
	r.closesConnection = request.Close || !f.complete && f.transferEncodings > 0 || !f.complete && len(request.TransferEncoding) > 0
	if request.Body != nil && request.Body != http.NoBody {
		r.body = &requestBody{response: r, source: request.Body, length: request.ContentLength, done: make(chan struct{})}
		r.body.expectsContinue.Store(len(request.Header["Expect"]) > 0 && request.ProtoAtLeast(1, 1))
		r.request.Body = r.body
		c.mutex.Lock()
		_ = c.conn.SetReadDeadline(time.Time{})
		c.mutex.Unlock()
	}
	return r
}

// Header returns the header of the response, including trailers.
func (r *response) Header() http.Header { return r.header }

// WriteHeader sets the status. It ignores informational statuses and later calls.
func (r *response) WriteHeader(status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.setStatus(status)
}

// setStatus sets the status and parses the Content-Length; an invalid one is removed.
func (r *response) setStatus(status int) {
	if r.status != 0 || status < 200 || r.hijacked {
		return
	}
	r.status = status
	if v := r.header["Content-Length"]; len(v) == 1 {
		if n, err := strconv.ParseInt(v[0], 10, 64); err == nil && n >= 0 {
			r.length = n
			return
		}
	}
	delete(r.header, "Content-Length")
}

// Write writes a part of the body. It blocks while earlier responses are incomplete
// and maxHeldBytes are buffered.
func (r *response) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.setStatus(http.StatusOK)
	switch {
	case r.hijacked:
		return 0, http.ErrHijacked
	case r.writeError != nil:
		return 0, r.writeError
	case !allowsBody(r.status):
		return 0, http.ErrBodyNotAllowed
	case r.length >= 0 && r.written+int64(len(p)) > r.length:
		return 0, http.ErrContentLength
	}
	r.written += int64(len(p))
	if r.request.Method == http.MethodHead {
		return len(p), nil
	}
	if !r.headWritten && r.length < 0 && len(r.earlyBody)+len(p) <= writeBufferSize {
		r.earlyBody = append(r.earlyBody, p...)
		return len(p), nil
	}
	r.writeHead()
	if err := r.appendBody(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// appendBody appends a part of the body to out, which it writes when it is full enough.
func (r *response) appendBody(p []byte) error {
	r.ensureBuffer()
	for len(p) > 0 {
		n := len(p)
		switch {
		case r.hasTurn:
		case r.connection.account.isFull():
			n = min(n, writeBufferSize-r.out.Len())
		default:
			n = min(n, maxHeldBytes-r.out.Len())
		}
		if n <= 0 {
			if err := r.waitForTurn(); err != nil {
				return err
			}
			continue
		}
		if r.chunkWriter != nil {
			_, _ = r.chunkWriter.Write(p[:n])
		} else {
			r.out.Write(p[:n])
		}
		p = p[n:]
		r.holdBuffer()
		if r.hasTurn && r.out.Len() >= writeBufferSize {
			if err := r.writeBuffered(); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitForTurn waits for the earlier responses. The held mutex is released meanwhile.
func (r *response) waitForTurn() error {
	if r.hasTurn {
		return nil
	}
	if r.turnStarted == nil {
		r.turnStarted = make(chan struct{})
	}
	started, timeout := r.turnStarted, (<-chan time.Time)(nil)
	if !r.deadline.IsZero() {
		clock := thclock.OrSystem(r.connection.server.Clock)
		t := clock.NewTimer(r.deadline.Sub(clock.Now()))
		defer t.Stop()
		timeout = t.Chan()
	}
	r.mutex.Unlock()
	defer r.mutex.Lock()
	select {
	case <-started:
		return nil
	case <-timeout:
		return context.DeadlineExceeded
	case <-r.connection.ctx.Done():
		return errBroken
	}
}

// writeHead decides on the framing, and appends the head and the early body to out.
func (r *response) writeHead() {
	if r.headWritten || r.hijacked {
		return
	}
	r.headWritten = true
	r.endRunning()
	r.setStatus(http.StatusOK)
	r.ensureBuffer()
	h, http10 := r.header, r.request.ProtoMinor == 0
	wantsClose := r.closesConnection || r.body != nil && !r.body.isDiscardable() || hasClose(h)
	delete(h, "Connection")
	delete(h, "Transfer-Encoding")
	r.trailers = declaredTrailers(h)
	switch {
	case r.length >= 0 || !allowsBody(r.status):
	case http10:
		wantsClose = true
	case r.request.Method != http.MethodHead:
		h["Transfer-Encoding"] = []string{"chunked"}
		r.chunkWriter = httputil.NewChunkedWriter(r.out)
	}
	closes := r.connection.decideClose(r, wantsClose)
	switch {
	case closes:
		h["Connection"] = []string{"close"}
	case http10:
		h["Connection"] = []string{"keep-alive"}
	}
	writeResponseHead(r.out, r.request.ProtoMinor, r.status, h, r.connection.now())
	if len(r.earlyBody) > 0 {
		_ = r.appendBody(r.earlyBody)
		r.earlyBody = nil
	}
}

func hasClose(h http.Header) bool {
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(n), "close") {
				return true
			}
		}
	}
	return false
}

func (r *response) ensureBuffer() {
	if r.out == nil {
		r.out = buffers.Get().(*bytes.Buffer)
	}
}

// writeBuffered writes out to the connection. The response must have its turn.
func (r *response) writeBuffered() error {
	r.flushPending = false
	if r.writeError != nil || r.out == nil || r.out.Len() == 0 {
		return r.writeError
	}
	c := r.connection
	c.mutex.Lock()
	broken := c.broken || c.disconnected
	c.mutex.Unlock()
	if broken {
		r.writeError = errBroken
	} else {
		deadline := r.deadline
		if deadline.IsZero() {
			deadline = c.now().Add(writeTimeout)
		}
		_ = c.conn.SetWriteDeadline(deadline)
		_, r.writeError = c.conn.Write(r.out.Bytes())
	}
	r.out.Reset()
	return r.writeError
}

// FlushError writes the buffered part of the response as soon as it has its turn.
func (r *response) FlushError() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.hijacked {
		return http.ErrHijacked
	}
	r.writeHead()
	r.flushPending = true
	if r.hasTurn {
		return r.writeBuffered()
	}
	return r.writeError
}

// Flush calls FlushError and ignores its error.
func (r *response) Flush() { _ = r.FlushError() }

// SetWriteDeadline bounds the writes of this response and its wait for earlier ones.
func (r *response) SetWriteDeadline(t time.Time) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.deadline = t
	return nil
}

// SetReadDeadline bounds the reading of the request body, up to its end.
func (r *response) SetReadDeadline(t time.Time) error {
	if r.body == nil {
		return nil
	}
	c := r.connection
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r.body.isDone() {
		return nil
	}
	return c.conn.SetReadDeadline(t)
}

// EnableFullDuplex does nothing: full duplex is always enabled.
func (*response) EnableFullDuplex() error { return nil }

// Hijack passes the connection to the handler if this is its only request.
func (r *response) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := r.connection
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.queue) != 1 || c.queue[0] != r || r.hijacked {
		return nil, nil, http.ErrHijacked
	}
	r.hijacked, c.hijacked, c.closing = true, true, true
	c.account.running.Add(1) // the handler owns the connection, so it is never evicted
	return c.conn, bufio.NewReadWriter(bufio.NewReader(c.conn), bufio.NewWriter(c.conn)), nil
}

// sendContinue sends 100 Continue in the turn of the response, unless it has a head.
func (r *response) sendContinue() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.waitForTurn(); err != nil {
		return err
	}
	if r.headWritten {
		return nil
	}
	_ = r.connection.conn.SetWriteDeadline(r.connection.now().Add(writeTimeout))
	_, err := io.WriteString(r.connection.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// sendError writes a complete error response with the text of cause as its body.
func (r *response) sendError(status int, cause error) {
	text := strconv.Itoa(status) + " " + http.StatusText(status) + ": " + cause.Error() + "\n"
	r.header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	r.header["Content-Length"] = []string{strconv.Itoa(len(text))}
	r.WriteHeader(status)
	_, _ = io.WriteString(r, text)
	r.finish(false)
}

// finish completes the response. In its turn, it is written with the finished ones
// behind it. A truncated response closes the connection.
func (r *response) finish(truncated bool) {
	r.endRunning()
	r.mutex.Lock()
	r.completeBody(truncated)
	r.holdBuffer()
	r.finished = true
	hasTurn := r.hasTurn
	if hasTurn {
		r.writeRest()
	}
	r.mutex.Unlock()
	close(r.handlerDone)
	r.connection.releaseOrder(r)
	for hasTurn {
		next := r.connection.dequeue(r)
		if next == nil {
			return
		}
		r, hasTurn = next, next.startTurn()
	}
}

// completeBody appends the rest of the response to out, or marks it as truncated.
func (r *response) completeBody(truncated bool) {
	r.truncated = r.truncated || truncated
	if r.truncated || r.hijacked {
		return
	}
	if r.status == 0 {
		r.setStatus(http.StatusOK)
	}
	noBody := !allowsBody(r.status) || r.request.Method == http.MethodHead
	if !r.headWritten && r.length < 0 && !noBody && len(r.header["Trailer"]) == 0 && !r.hasTrailers() {
		r.length = int64(len(r.earlyBody))
		r.header["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	}
	r.writeHead()
	if r.chunkWriter != nil {
		_ = r.chunkWriter.Close()
		writeTrailers(r.out, r.trailers, r.header)
	}
	r.truncated = r.writeError != nil || !noBody && r.length >= 0 && r.written < r.length
}

func (r *response) hasTrailers() bool {
	for name := range r.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			return true
		}
	}
	return false
}

// startTurn marks that all earlier responses are complete. It reports whether this
// response is finished too, so that the next one has its turn.
func (r *response) startTurn() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hasTurn = true
	if r.turnStarted != nil {
		close(r.turnStarted)
	}
	switch {
	case r.finished:
		r.writeRest()
		return true
	case r.flushPending:
		_ = r.writeBuffered() // an error is returned by the next write of the handler
	}
	return false
}

// writeRest writes the rest of a finished response and releases its buffer.
func (r *response) writeRest() {
	if r.hijacked {
		return
	}
	if r.writeBuffered() != nil {
		r.truncated = true
	}
	if r.out != nil && r.out.Cap() <= maxPooledBuffer {
		r.out.Reset()
		buffers.Put(r.out)
	}
	r.out = nil
	if w, ok := r.connection.conn.(interface{ CloseWrite() error }); r.truncated && ok {
		_ = w.CloseWrite()
	}
}
