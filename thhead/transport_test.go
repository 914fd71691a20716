package thhead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serve answers each connection with bytes after the head of a request.
func serve(t *testing.T, bytes string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, bytes)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a malformed response that a client of the standard library accepts.
func TestTransportRejectsMalformedHeaders(t *testing.T) {
	client := &http.Client{Transport: Transport{&http.Transport{}}, Timeout: 5 * time.Second}
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
