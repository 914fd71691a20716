package thhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
)

// readRequest reads the head of the next request. A nil response without an error
// means that the connection was passed to HTTP2.
func (c *connection) readRequest() (*response, error) {
	if c.reader == nil {
		c.reader = readers.Get().(*bufio.Reader)
		c.reader.Reset(&c.input)
	}
	// The reader may fetch up to one buffer beyond the head: bytes of the body or of
	// the next request.
	limits := c.server.currentLimits()
	c.input.headBudget = limits.MaxHeader + emptyLine + readBufferSize
	defer func() { c.input.headBudget = -1 }()
	start := c.input.taken - int64(c.reader.Buffered())
	f, err := peekFraming(c.reader)
	if err != nil {
		return nil, err
	}
	if c.server.HTTP2 != nil {
		if start, _ := c.reader.Peek(min(c.reader.Buffered(), 4)); string(start) == http2Preface[:4] && c.passToHTTP2() {
			return nil, nil
		}
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil && c.input.headBudget == 0 {
		err = errHeadTooLong // the line that was cut looks malformed
	}
	if err != nil {
		return nil, err
	}
	if size := c.input.taken - int64(c.reader.Buffered()) - start - emptyLine; size > int64(limits.MaxHeader) {
		return nil, errHeadTooLong
	}
	if err := validateRequest(request, f); err != nil {
		return nil, err
	}
	if err := c.limitBody(request, limits.MaxBody); err != nil {
		return nil, err
	}
	request.RemoteAddr = c.remote
	return c.newResponse(request, f), nil
}

// emptyLine is the size of the line that ends a head, in bytes.
const emptyLine = 2

// limitBody rejects a body that is longer than the limit, and limits one of unknown length. A
// limit of zero means none.
func (c *connection) limitBody(r *http.Request, limit int64) error {
	switch {
	case limit == 0 || r.Body == nil || r.Body == http.NoBody:
	case r.ContentLength > limit:
		c.server.countLimit(LimitBody)
		return &requestError{http.StatusRequestEntityTooLarge, "body exceeds " + strconv.FormatInt(limit, 10) + " bytes"}
	case r.ContentLength < 0:
		r.Body = &limitedBody{ReadCloser: r.Body, server: c.server, limit: limit, left: limit}
	}
	return nil
}

// rejectRequest sends an error response for a request that can't be read, after the
// responses to the earlier requests.
func (c *connection) rejectRequest(err error) error {
	status := http.StatusBadRequest
	var broken net.Error
	var invalid *requestError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
		c.server.countLimit(LimitHeaderTimeout)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken):
		return err
	case errors.As(err, &invalid):
		status = invalid.status
	case errors.Is(err, errHeadTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
		c.server.countLimit(LimitHeader)
	}
	r := c.newResponse(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, framing{complete: true})
	r.closesConnection = true
	if !c.enqueue(r) {
		return c.awaitResponses()
	}
	r.sendError(status, err)
	return c.awaitResponses()
}
