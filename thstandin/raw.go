package thstandin

import (
	"io"
	"net/http"
)

// RawResponse is a handler that answers each request with its bytes as they are, whether they
// are a valid response or not, and closes the connection.
type RawResponse string

// ServeHTTP answers one request. It panics with http.ErrAbortHandler if the connection can't be
// taken over.
func (b RawResponse) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, string(b)) // the client may have left
}

// MalformedResponse is an empty JSON object with status 200 and a field whose name holds a blank.
const MalformedResponse = RawResponse("HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\n{}")
