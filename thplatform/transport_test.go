package thplatform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// closedBody is a request body of the SDK: once closed, its WriteTo returns io.EOF.
type closedBody struct{ io.Reader }

func (closedBody) WriteTo(io.Writer) (int64, error) { return 0, io.EOF }
func (closedBody) Close() error                     { return nil }

// Guards against connections that break under an answer because the SDK has
// closed the body of the request while net/http still looks for its end.
func TestAnswerOutlivesTheRequestBody(t *testing.T) {
	const size, question = 4 << 20, "question"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, size))
	}))
	defer server.Close()
	client := NewHTTPClient(2 * size)
	for range 20 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, closedBody{strings.NewReader(question)})
		assert.NilError(t, err)
		r.ContentLength = int64(len(question))
		answer, err := client.Do(r)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
		assert.NilError(t, answer.Body.Close())
	}
}
