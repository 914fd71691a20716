package thhead_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thhead"
	"github.com/turmerichaven/turmerichaven/thstandin"
)

// serve answers each request with bytes.
func serve(t *testing.T, bytes string) string {
	server := httptest.NewServer(thstandin.RawResponse(bytes))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a malformed response that a client of the standard library accepts.
func TestTransportRejectsMalformedHeaders(t *testing.T) {
	client := &http.Client{Transport: thhead.Transport{Transport: &http.Transport{}}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for _, x := range []string{
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nX: \x01\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 099 OK\r\n\r\n{}",
		"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/9.9 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n{}",
	} {
		response, err := client.Get(serve(t, x))
		if !assert.Check(t, err != nil, "%q", x) {
			response.Body.Close()
		}
	}
	response, err := client.Get(serve(t, "HTTP/1.1 200 OK\r\nX-A: caf\xe9\r\nContent-Length: 2\r\n\r\n{}"))
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "{}")
	response.Body.Close()
}
