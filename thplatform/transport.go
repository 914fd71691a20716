package thplatform

import (
	"errors"
	"io"
	"net/http"
)

const (
	maxIdleConns           = 32       // idle connections to one endpoint
	maxResponseHeaderBytes = 64 << 10 // bytes
)

// errResponseTooLarge ends an answer that is larger than the transport's limit.
var errResponseTooLarge = errors.New("answer of the platform is too large")

// NewHTTPClient returns a client for one of the platform's services. It uses no
// proxy and follows no redirects, and its answers end with an error beyond limit
// bytes: what the platform sends is not trusted.
func NewHTTPClient(limit int) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = maxIdleConns
	t.MaxResponseHeaderBytes = maxResponseHeaderBytes
	return &http.Client{
		Transport:     limitedTransport{RoundTripper: t, limit: limit},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

type limitedTransport struct {
	http.RoundTripper
	limit int
}

func (l limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		r = r.WithContext(r.Context()) // a transport may not change the request it was given
		r.Body = noWriteToBody{r.Body}
	}
	resp, err := l.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, remaining: l.limit}
	return resp, nil
}

// noWriteToBody hides the WriteTo of a request's body. The SDK closes the body when
// the answer begins, and its WriteTo then returns io.EOF in place of nil: if
// net/http is still looking for the end of the body, it takes that for a failed
// write and closes the connection under the answer (seen with smithy-go 1.28.9).
type noWriteToBody struct{ io.ReadCloser }

type limitedBody struct {
	io.ReadCloser
	remaining int
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		// Only a byte beyond the limit is an error, not its exact end.
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
