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
	c.input.overloaded = false
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
	if err != nil && c.input.overloaded {
		err = errOverloaded // the error of the reader may have been replaced
	}
	if err != nil && c.input.headBudget == 0 {
		err = errHeadTooLong // the line that was cut looks malformed
	}
	if err != nil {
		return nil, err
	}
	size := c.input.taken - int64(c.reader.Buffered()) - start
	if size-emptyLine > int64(limits.MaxHeader) {
		return nil, errHeadTooLong
	}
	if err := validateRequest(request, f); err != nil {
		return nil, err
	}
	if err := c.limitBody(request, limits.MaxBody); err != nil {
		return nil, err
	}
	held := c.input.endHead()
	cost := requestCost + headCost(size, request.Header)
	if !c.account.reserve(cost - held) {
		c.account.add(-cost)
		return nil, errOverloaded
	}
	request.RemoteAddr = c.remote
	r := c.newResponse(request, f)
	r.held.Store(cost)
	return r, nil
}

// headCost returns the estimated memory of a head of a size.
func headCost(size int64, h http.Header) int64 {
	fields := 0
	for _, v := range h {
		fields += len(v)
	}
	return size + int64(fields*fieldCost)
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
	case errors.Is(err, errOverloaded):
		status = http.StatusServiceUnavailable
		c.server.reportBound(LimitBytes, 1)
	}
	c.account.add(-c.input.endHead())
	r := c.newResponse(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, framing{complete: true})
	r.closesConnection = true
	if status == http.StatusServiceUnavailable {
		r.header["Retry-After"] = []string{"1"}
	}
	if !c.enqueue(r) {
		return c.awaitResponses()
	}
	r.sendError(status, err)
	return c.awaitResponses()
}
