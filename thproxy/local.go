package thproxy

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// localCall is an attempt at the target in the same process; it implements Call.
// The target runs in the goroutine of the ingress and writes directly to the caller.
type localCall struct {
	*call
	frame         thwire.Open
	attemptNumber int32
	bodyOffset    int // read offset in the request body
	response      responseWriter
	failure       *therror.Error
	load          thwire.Load
	hasLoad       bool
	ended         bool
}

// dispatchLocal sends an attempt to the target in this process.
func (c *call) dispatchLocal(o thwire.Open, result *Result) error {
	l := &localCall{call: c, frame: o, attemptNumber: int32(c.attempts)}
	if c.body.stream != nil {
		c.body.stream.currentAttempt.Store(l.attemptNumber)
	}
	start := c.now()
	l.response.call = c
	defer l.response.clearDeadline()
	c.Local.Serve(l)
	result.Load, result.HasLoad = l.load, l.hasLoad
	result.Latency = c.now().Sub(start)
	if l.response.started {
		result.Latency = l.response.headTime.Sub(start)
		result.Status = l.response.status
	}
	switch {
	case l.failure != nil && l.response.started && therror.IsNotRun(l.failure):
		return therror.Wrap(therror.Broken, l.failure, "response truncated")
	case l.failure != nil:
		return l.failure
	case !l.ended:
		return therror.New(therror.Internal, "target ended without a response")
	}
	return nil
}

func (l *localCall) Open() *thwire.Open       { return &l.frame }
func (l *localCall) Context() context.Context { return l.ctx }

// Read reads the request body.
func (l *localCall) Read(p []byte) (int, error) {
	if l.body.stream != nil {
		return l.body.stream.read(l.attemptNumber, &l.bodyOffset, p)
	}
	n := copy(p, l.body.buffered[l.bodyOffset:])
	l.bodyOffset += n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (l *localCall) WriteHead(h thwire.Head) error {
	if err := l.response.setHead(&h); err != nil {
		return err
	}
	// The first part of a body of unknown length may be late: send the header now.
	if l.response.awaitsBody() {
		return nil
	}
	return l.response.flush()
}

func (l *localCall) Write(p []byte) (int, error) {
	if err := l.response.write(p); err != nil {
		return 0, err
	}
	if l.response.complete() {
		return len(p), nil
	}
	return len(p), l.response.flush()
}

func (l *localCall) End(trailer []thwire.Header, load thwire.Load) error {
	l.load, l.hasLoad = load, true
	l.ended = true
	return l.response.writeTrailer(trailer)
}

func (l *localCall) Refuse(e *therror.Error, load thwire.Load) error {
	if l.failure == nil && !l.ended {
		l.failure, l.load, l.hasLoad = e, load, true
	}
	return nil
}

// complete reports whether the whole body of the declared length was written.
func (a *responseWriter) complete() bool { return a.contentLength >= 0 && a.written >= a.contentLength }

// write writes a part of the body. net/http drops the body if the method or status
// does not allow one.
func (a *responseWriter) write(p []byte) error {
	a.writeHead()
	n, err := a.call.writer.Write(p)
	a.written += int64(n)
	a.call.Link.Add(n, thwire.IsLarge(max(a.contentLength, a.written)))
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return therror.Wrap(therror.Cancelled, err, "write to the caller")
	}
	return nil
}
