package thproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A backend server stops after each byte of its response and closes the connection, with
// each framing of the body and both ends of a line. Guards against a response with a
// truncated head or body that reaches the caller as a complete success.
func TestResponseCutAtEachByteIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + testIDHeader + ": a\r\nX-Stamp: s\r\n"
	for name, c := range map[string]struct{ full, body string }{
		"length":  {head + "Content-Length: 4\r\n\r\nabcd", "abcd"},
		"empty":   {head + "Content-Length: 0\r\n\r\n", ""},
		"chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", "abcd"},
		"trailer": {head + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX-T: 1\r\n\r\n", "abcd"},
		"lines":   {strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 4\n\nabcd", "abcd"},
	} {
		for n := range len(c.full) + 1 {
			address := serveConns(t, func(conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = io.WriteString(conn, c.full[:n])
			})
			m := newMeshBeside(t, address, false)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, m.front.URL+"/x", nil)
			assert.NilError(t, err)
			request.Header.Set(testIDHeader, "a")
			what := fmt.Sprintf("%s, %d bytes: %q", name, n, c.full[:n])
			response, err := m.client.Do(request)
			if err != nil {
				assert.Assert(t, n < len(c.full), what)
				continue
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			success := err == nil && response.StatusCode == http.StatusOK
			assert.Equal(t, success, n == len(c.full), "%s: %d %q %v", what, response.StatusCode, body, err)
			if success {
				assert.Equal(t, string(body), c.body, what)
			} else if err == nil {
				assert.Equal(t, response.StatusCode, http.StatusBadGateway, what)
			}
		}
	}
}
