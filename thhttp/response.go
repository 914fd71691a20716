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
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Bounds of the bytes that an answer holds.
const (
	writeBuffer = 4 << 10  // written at once
	maxHeld     = 64 << 10 // held while the answers ahead are not complete
	maxPooled   = 16 << 10 // of a buffer that is used again
)

// writeTimeout bounds one write of an answer without a deadline of its own.
const writeTimeout = 30 * time.Second

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

var errBroken = errors.New("connection broke, or an earlier answer on it was cut")

// How a request may run beside others of its connection.
const (
	orderUnknown = iota // nothing behind it begins
	orderShared
	orderAlone
)

// response is a request in progress and its answer. It is the http.ResponseWriter
// of its handler.
type response struct {
	connection *connection
	request    *http.Request
	body       *requestBody // nil without one
	header     http.Header
	final      bool          // the connection ends with the answer
	ended      chan struct{} // closed when the handler has ended
	order      int           // guarded by the connection's mutex

	mutex    sync.Mutex
	turned   chan struct{} // closed when the answer may be written; nil until someone waits
	turn     bool          // all answers ahead are complete
	out      *bytes.Buffer // bytes to be written
	status   int           // zero until the head is decided
	length   int64         // as declared, negative without
	written  int64         // of the body
	composed bool          // the head is in out
	chunks   io.WriteCloser
	trailers []string
	early    []byte // body written before the head was composed
	flushed  bool   // out is due
	finished bool
	hijacked bool
	cut      bool      // ends without being complete
	deadline time.Time // for writes
	failure  error
}

func (c *connection) newResponse(request *http.Request, f framing) *response {
	r := &response{connection: c, header: http.Header{}, length: -1, ended: make(chan struct{})}
	r.request = request.WithContext(c.ctx)
	r.final = request.Close || !f.whole && f.chunked > 0 || !f.whole && len(request.TransferEncoding) > 0
	if request.Body != nil && request.Body != http.NoBody {
		r.body = &requestBody{response: r, source: request.Body, length: request.ContentLength, done: make(chan struct{})}
		r.body.expects.Store(len(request.Header["Expect"]) > 0 && request.ProtoAtLeast(1, 1))
		r.request.Body = r.body
		c.mutex.Lock()
		_ = c.conn.SetReadDeadline(time.Time{})
		c.mutex.Unlock()
	}
	return r
}

// Begin waits until the request may run. One that must run alone waits until all
// ahead of it on its connection are answered; others wait for such a request
// only. It returns the error of ctx, or of a connection that broke.
func (r *response) Begin(ctx context.Context, alone bool) error {
	c := r.connection
	c.mutex.Lock()
	r.order = orderShared
	if alone {
		r.order = orderAlone
	}
	c.notify()
	for {
		if c.broken || c.gone {
			c.mutex.Unlock()
			return errBroken
		}
		if !c.blocks(r, alone) {
			c.mutex.Unlock()
			return nil
		}
		changed := c.changed
		c.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mutex.Lock()
	}
}

// blocks reports whether a request ahead keeps r from running. The mutex is held.
func (c *connection) blocks(r *response, alone bool) bool {
	for _, o := range c.queue {
		if o == r {
			return false
		}
		if alone || o.order != orderShared {
			return true
		}
	}
	return false
}

// Header returns the header of the answer.
func (r *response) Header() http.Header { return r.header }

// WriteHeader decides the status. Informational answers are left out.
func (r *response) WriteHeader(status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.decide(status)
}

func (r *response) decide(status int) {
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

// Write takes a part of the body. It waits while the answers ahead are not
// complete and no more may be held.
func (r *response) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.decide(http.StatusOK)
	switch {
	case r.hijacked:
		return 0, http.ErrHijacked
	case r.failure != nil:
		return 0, r.failure
	case !allowsBody(r.status):
		return 0, http.ErrBodyNotAllowed
	case r.length >= 0 && r.written+int64(len(p)) > r.length:
		return 0, http.ErrContentLength
	}
	r.written += int64(len(p))
	if r.request.Method == http.MethodHead {
		return len(p), nil
	}
	if !r.composed && r.length < 0 && len(r.early)+len(p) <= writeBuffer {
		r.early = append(r.early, p...)
		return len(p), nil
	}
	r.compose()
	if err := r.append(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// append adds a part of the body behind the head.
func (r *response) append(p []byte) error {
	r.buffer()
	for len(p) > 0 {
		n := len(p)
		if !r.turn {
			n = min(n, maxHeld-r.out.Len())
		}
		if n <= 0 {
			if err := r.wait(); err != nil {
				return err
			}
			continue
		}
		if r.chunks != nil {
			_, _ = r.chunks.Write(p[:n])
		} else {
			r.out.Write(p[:n])
		}
		p = p[n:]
		if r.turn && r.out.Len() >= writeBuffer {
			if err := r.push(); err != nil {
				return err
			}
		}
	}
	return nil
}

// wait waits for the turn of the answer. The mutex is held, but not meanwhile.
func (r *response) wait() error {
	if r.turn {
		return nil
	}
	if r.turned == nil {
		r.turned = make(chan struct{})
	}
	turned, late := r.turned, (<-chan time.Time)(nil)
	if !r.deadline.IsZero() {
		clock := thclock.OrSystem(r.connection.server.Clock)
		t := clock.NewTimer(r.deadline.Sub(clock.Now()))
		defer t.Stop()
		late = t.Chan()
	}
	r.mutex.Unlock()
	defer r.mutex.Lock()
	select {
	case <-turned:
		return nil
	case <-late:
		return context.DeadlineExceeded
	case <-r.connection.ctx.Done():
		return errBroken
	}
}

// compose writes the head.
func (r *response) compose() {
	if r.composed || r.hijacked {
		return
	}
	r.composed = true
	r.decide(http.StatusOK)
	r.buffer()
	h, old := r.header, r.request.ProtoMinor == 0
	wanted := r.final || r.body != nil && !r.body.short() || hasClose(h)
	delete(h, "Connection")
	delete(h, "Transfer-Encoding")
	r.trailers = declaredTrailers(h)
	switch {
	case r.length >= 0 || !allowsBody(r.status):
	case old:
		wanted = true
	case r.request.Method != http.MethodHead:
		h["Transfer-Encoding"] = []string{"chunked"}
		r.chunks = httputil.NewChunkedWriter(r.out)
	}
	closes := r.connection.close(r, wanted)
	switch {
	case closes:
		h["Connection"] = []string{"close"}
	case old:
		h["Connection"] = []string{"keep-alive"}
	}
	writeHead(r.out, r.request.ProtoMinor, r.status, h, r.connection.now())
	if len(r.early) > 0 {
		_ = r.append(r.early)
		r.early = nil
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

func (r *response) buffer() {
	if r.out == nil {
		r.out = buffers.Get().(*bytes.Buffer)
	}
}

// push writes what is held to the connection. It is the turn of the answer.
func (r *response) push() error {
	r.flushed = false
	if r.failure != nil || r.out == nil || r.out.Len() == 0 {
		return r.failure
	}
	c := r.connection
	c.mutex.Lock()
	broken := c.broken || c.gone
	c.mutex.Unlock()
	if broken {
		r.failure = errBroken
	} else {
		deadline := r.deadline
		if deadline.IsZero() {
			deadline = c.now().Add(writeTimeout)
		}
		_ = c.conn.SetWriteDeadline(deadline)
		_, r.failure = c.conn.Write(r.out.Bytes())
	}
	r.out.Reset()
	return r.failure
}

// FlushError sends what was written, or leaves it to the end of the answers ahead.
func (r *response) FlushError() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.hijacked {
		return http.ErrHijacked
	}
	r.compose()
	r.flushed = true
	if r.turn {
		return r.push()
	}
	return r.failure
}

// Flush is FlushError without its error.
func (r *response) Flush() { _ = r.FlushError() }

// SetWriteDeadline bounds the writes of this answer, and its wait for the ones ahead.
func (r *response) SetWriteDeadline(t time.Time) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.deadline = t
	return nil
}

// SetReadDeadline bounds the reading of the request body.
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

// EnableFullDuplex does nothing: a body can always be read beside the answer.
func (*response) EnableFullDuplex() error { return nil }

// Hijack gives the connection to the handler of its only request.
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
	return c.conn, bufio.NewReadWriter(bufio.NewReader(c.conn), bufio.NewWriter(c.conn)), nil
}

// proceed tells the caller to send the body.
func (r *response) proceed() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.wait(); err != nil {
		return err
	}
	if r.composed {
		return nil
	}
	_ = r.connection.conn.SetWriteDeadline(r.connection.now().Add(writeTimeout))
	_, err := io.WriteString(r.connection.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// refuse answers a request that could not be read.
func (r *response) refuse(status int, cause error) {
	text := strconv.Itoa(status) + " " + http.StatusText(status) + ": " + cause.Error() + "\n"
	r.header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	r.header["Content-Length"] = []string{strconv.Itoa(len(text))}
	r.WriteHeader(status)
	_, _ = io.WriteString(r, text)
	r.finish(false)
}

// finish ends the answer, and writes it and those behind it that are complete
// when it is its turn. An answer that is cut ends the connection.
func (r *response) finish(cut bool) {
	r.mutex.Lock()
	r.complete(cut)
	r.finished = true
	turn := r.turn
	if turn {
		r.end()
	}
	r.mutex.Unlock()
	close(r.ended)
	r.connection.release(r)
	for turn {
		next := r.connection.answered(r)
		if next == nil {
			return
		}
		r, turn = next, next.start()
	}
}

// release lets requests behind one run that has ended without Begin, as after
// an error.
func (c *connection) release(r *response) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r.order == orderUnknown {
		r.order = orderShared
		c.notify()
	}
}

// complete puts the end of the answer behind what is held.
func (r *response) complete(cut bool) {
	r.cut = r.cut || cut
	if r.cut || r.hijacked {
		return
	}
	if r.status == 0 {
		r.decide(http.StatusOK)
	}
	bodiless := !allowsBody(r.status) || r.request.Method == http.MethodHead
	if !r.composed && r.length < 0 && !bodiless && len(r.header["Trailer"]) == 0 && !r.hasTrailers() {
		r.length = int64(len(r.early))
		r.header["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	}
	r.compose()
	if r.chunks != nil {
		_ = r.chunks.Close()
		writeTrailers(r.out, r.trailers, r.header)
	}
	r.cut = r.failure != nil || !bodiless && r.length >= 0 && r.written < r.length
}

func (r *response) hasTrailers() bool {
	for name := range r.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			return true
		}
	}
	return false
}

// start gives the answer its turn. It reports whether the answer has ended, so
// that the one behind it follows.
func (r *response) start() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.turn = true
	if r.turned != nil {
		close(r.turned)
	}
	switch {
	case r.finished:
		r.end()
		return true
	case r.flushed:
		_ = r.push() // the handler learns of a failure with its next write
	}
	return false
}

// end writes the rest of a finished answer and frees what it holds.
func (r *response) end() {
	if r.hijacked {
		return
	}
	if r.push() != nil {
		r.cut = true
	}
	if r.out != nil && r.out.Cap() <= maxPooled {
		r.out.Reset()
		buffers.Put(r.out)
	}
	r.out = nil
	if w, ok := r.connection.conn.(interface{ CloseWrite() error }); r.cut && ok {
		_ = w.CloseWrite()
	}
}
