package thplatform

import (
	"errors"
	"io"
	"net/http"

	"github.com/turmerichaven/turmerichaven/thhead"
)

const (
	maxIdleConns = 32 // per endpoint
	// MaxResponseHeaderBytes limits the header of a response, in bytes. A client keeps a header
	// in memory until it is complete.
	MaxResponseHeaderBytes = 64 << 10
)

// errResponseTooLarge is returned by reads of a response body beyond the limit.
var errResponseTooLarge = errors.New("response of the platform is too large")

// NewHTTPClient returns a client for one of the platform's services. It uses no
// proxy, follows no redirects, rejects malformed responses, and fails reads of a response body beyond limit
// bytes, since the platform's responses are not trusted.
func NewHTTPClient(limit int) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = maxIdleConns
	t.MaxResponseHeaderBytes = MaxResponseHeaderBytes
	return &http.Client{
		Transport:     limitedTransport{RoundTripper: thhead.Transport{Transport: t}, limit: limit},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// limitedTransport limits the size of response bodies, in bytes.
type limitedTransport struct {
	http.RoundTripper
	limit int
}

func (l limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		r = r.WithContext(r.Context()) // a RoundTripper must not modify the caller's request
		r.Body = noWriteToBody{r.Body}
	}
	resp, err := l.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, remaining: l.limit}
	return resp, nil
}

// noWriteToBody hides the WriteTo method of a request body. The SDK closes the body
// when the response starts, after which its WriteTo returns io.EOF instead of nil.
// If net/http is still probing for the end of the body, it treats io.EOF as a failed
// write and closes the connection while the response is read (observed with smithy-go 1.28.9).
type noWriteToBody struct{ io.ReadCloser }

// limitedBody fails with errResponseTooLarge after remaining bytes.
type limitedBody struct {
	io.ReadCloser
	remaining int
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		// A body of exactly the limit is valid; only a further byte is an error.
		var one [1]byte
		n, err := b.ReadCloser.Read(one[:])
		if n > 0 {
			return 0, errResponseTooLarge
		}
		return 0, err
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}
