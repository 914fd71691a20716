package thhttp

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/turmerichaven/turmerichaven/thhead"
)

// maxDiscard is the maximum number of unread body bytes that are read and dropped
// after the response, so that the connection can be kept alive.
const maxDiscard = 64 << 10

// requestBody is the body of a request. The connection reads the next request
// only after done is closed.
type requestBody struct {
	response        *response
	source          io.ReadCloser
	length          int64        // Content-Length; negative if unknown
	expectsContinue atomic.Bool  // the client waits for 100 Continue
	bytesRead       atomic.Int64 // bytes read by the handler or discarded
	doneOnce        sync.Once
	complete        atomic.Bool   // read up to io.EOF
	done            chan struct{} // closed at io.EOF or after a read error
}

// Read reads the body. The first call sends 100 Continue if the client expects it.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.expectsContinue.Load() {
		if err := b.response.sendContinue(); err != nil {
			return 0, err
		}
		b.expectsContinue.Store(false)
	}
	n, err := b.source.Read(p)
	read := b.bytesRead.Add(int64(n))
	if kept := min(read, maxKeptBody) - min(read-int64(n), maxKeptBody); kept > 0 {
		b.response.hold(kept)
	}
	if err != nil {
		b.doneOnce.Do(func() {
			b.complete.Store(err == io.EOF) // a wrapped io.EOF means that the connection broke
			close(b.done)
		})
	}
	return n, err
}

// Close does nothing: the connection discards the unread part.
func (*requestBody) Close() error { return nil }

func (b *requestBody) isDone() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

func (b *requestBody) isComplete() bool { return b.complete.Load() }

// isDiscardable reports whether the unread part of the body is at most maxDiscard
// bytes and will arrive without a 100 Continue.
func (b *requestBody) isDiscardable() bool {
	return b.isComplete() || !b.isDone() && !b.expectsContinue.Load() && b.length >= 0 && b.length-b.bytesRead.Load() <= maxDiscard
}

// discard drops the unread part of a discardable body. It reports whether the
// body was read up to its end.
func (b *requestBody) discard() bool {
	if !b.isDiscardable() {
		return false
	}
	_, _ = io.Copy(io.Discard, b)
	return b.isComplete()
}

// requestError is an invalid request; status and message go into the response.
type requestError struct {
	status  int
	message string
}

// Error returns the message of the response body.
func (e *requestError) Error() string { return e.message }

// validateRequest rejects requests that another server could parse differently.
func validateRequest(r *http.Request, f framing) error {
	expect := r.Header["Expect"]
	switch {
	case r.ProtoMajor != 1:
		return &requestError{http.StatusHTTPVersionNotSupported, "HTTP version is not 1.0 or 1.1"}
	case f.transferEncodings > 0 && (f.contentLengths > 0 || r.ProtoMinor == 0):
		return &requestError{http.StatusBadRequest, "transfer coding with a content length or in HTTP/1.0"}
	case r.ProtoMinor > 0 && r.Host == "" && r.Method != http.MethodConnect:
		return &requestError{http.StatusBadRequest, "no host"}
	case len(expect) > 1 || len(expect) == 1 && !strings.EqualFold(expect[0], "100-continue"):
		return &requestError{http.StatusExpectationFailed, "unknown expectation"}
	}
	if err := thhead.CheckHeader(r.Header); err != nil {
		return &requestError{http.StatusBadRequest, err.Error()}
	}
	return nil
}
