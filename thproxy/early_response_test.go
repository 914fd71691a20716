package thproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A server ends a response in order. Guards against a complete response that counts as broken
// off, whether or not the server has read the request body.
func TestResponseThatEndsInOrderIsComplete(t *testing.T) {
	for name, respond := range map[string]func(c *net.TCPConn, q *http.Request){
		"after the body": func(c *net.TCPConn, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			respondUntilClose(c, q, "HTTP/1.1")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
		"half of the body read": func(c *net.TCPConn, q *http.Request) {
			_, _ = io.CopyN(io.Discard, q.Body, longUpload/2)
			respondUntilClose(c, q, "HTTP/1.1")
			_ = c.CloseWrite()
			<-t.Context().Done()
		},
		"body not read": func(c *net.TCPConn, q *http.Request) {
			respondUntilClose(c, q, "HTTP/1.1")
			_ = c.CloseWrite()
			<-t.Context().Done()
		},
		"length, body not read": func(c *net.TCPConn, q *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n%s: %s\r\nContent-Length: 4\r\n\r\nabcd", testIDHeader, q.Header.Get(testIDHeader))
			<-t.Context().Done()
		},
		"chunks, body not read": func(c *net.TCPConn, q *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", testIDHeader, q.Header.Get(testIDHeader))
			<-t.Context().Done()
		},
	} {
		address := resetServer(t, respond)
		for _, local := range []bool{true, false} {
			start := time.Now()
			status, body, err := upload(t, address, local)
			what := fmt.Sprintf("%s, local %t: %d %q %v after %s", name, local, status, body, err, time.Since(start))
			assert.Assert(t, err == nil && status == http.StatusOK && body == "abcd", what)
			assert.Assert(t, time.Since(start) < promptly, what)
		}
	}
}
