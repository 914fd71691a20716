package thplatform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// closedBody behaves like a closed request body of the SDK: WriteTo returns io.EOF.
type closedBody struct{ io.Reader }

func (closedBody) WriteTo(io.Writer) (int64, error) { return 0, io.EOF }
func (closedBody) Close() error                     { return nil }

// Guards against a connection that closes during the response because the SDK has
// closed the request body while net/http still probes for its end.
func TestResponseOutlivesRequestBody(t *testing.T) {
	const size, requestBody = 4 << 20, "request"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, size))
	}))
	defer server.Close()
	client := NewHTTPClient(2 * size)
	for range 20 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, closedBody{strings.NewReader(requestBody)})
		assert.NilError(t, err)
		r.ContentLength = int64(len(requestBody))
		resp, err := client.Do(r)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
		assert.NilError(t, resp.Body.Close())
	}
}
