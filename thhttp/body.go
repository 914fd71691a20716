package thhttp

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// maxDiscard is the longest rest of a request body, in bytes, that is read after
// the answer so that the connection can be kept.
const maxDiscard = 64 << 10

// requestBody is the body of a request. Its end tells the connection's reader
// where the next request begins.
type requestBody struct {
	response *response
	source   io.ReadCloser
	length   int64        // as declared, negative without
	expects  atomic.Bool  // the caller waits for 100 Continue
	read     atomic.Int64 // bytes
	once     sync.Once
	ended    atomic.Bool   // the whole body was read
	done     chan struct{} // closed at the end or after an error
}

// Read reads the body, and first tells a caller who waits for it to send it.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.expects.Load() {
		if err := b.response.proceed(); err != nil {
			return 0, err
		}
		b.expects.Store(false)
	}
	n, err := b.source.Read(p)
	b.read.Add(int64(n))
	if err != nil {
		b.once.Do(func() {
			b.ended.Store(err == io.EOF) // a wrapped io.EOF is a connection that broke
			close(b.done)
		})
	}
	return n, err
}

// Close does nothing: the connection's reader takes the rest.
func (*requestBody) Close() error { return nil }

func (b *requestBody) isDone() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

func (b *requestBody) whole() bool { return b.ended.Load() }

// short reports whether what is left of the body can be read after the answer.
func (b *requestBody) short() bool {
	return b.whole() || !b.isDone() && !b.expects.Load() && b.length >= 0 && b.length-b.read.Load() <= maxDiscard
}

// discard reads the rest of a short body.
func (b *requestBody) discard() bool {
	if !b.short() {
		return false
	}
	_, _ = io.Copy(io.Discard, b)
	return b.whole()
}

// fault is a request that is answered with an error.
type fault struct {
	status int
	text   string
}

// Error returns the text.
func (f *fault) Error() string { return f.text }

// checkRequest refuses what another server could read differently.
func checkRequest(r *http.Request, f framing) error {
	expect := r.Header["Expect"]
	switch {
	case r.ProtoMajor != 1:
		return &fault{http.StatusHTTPVersionNotSupported, "HTTP version is not 1.0 or 1.1"}
	case f.chunked > 0 && (f.lengths > 0 || r.ProtoMinor == 0):
		return &fault{http.StatusBadRequest, "transfer coding with a content length or in HTTP/1.0"}
	case r.ProtoMinor > 0 && r.Host == "" && r.Method != http.MethodConnect:
		return &fault{http.StatusBadRequest, "no host"}
	case len(expect) > 1 || len(expect) == 1 && !strings.EqualFold(expect[0], "100-continue"):
		return &fault{http.StatusExpectationFailed, "unknown expectation"}
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &fault{http.StatusBadRequest, "invalid header name"}
		}
	}
	return nil
}
