package thproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A complete response, which must not reach the caller from behind a malformed head.
const innerResponse = "HTTP/1.1 200 OK\r\n" + testIDHeader + ": a\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\ninner"

// callServerThatSends calls a backend server that answers with bytes and closes the connection, and
// returns the response with what came of its body.
func callServerThatSends(t *testing.T, bytes string, local bool) (*http.Response, string, error) {
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) != "" {
			_, _ = io.WriteString(c, bytes)
		}
	})
	m := newMeshBeside(t, address, local)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, m.front.URL+"/x", nil)
	assert.NilError(t, err)
	request.Header.Set(testIDHeader, "a")
	response, err := m.client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// expectNoResponse checks that a caller gets 502 for bytes that are no response, at once.
func expectNoResponse(t *testing.T, what, bytes string) {
	for _, local := range []bool{true, false} {
		start := time.Now()
		response, body, err := callServerThatSends(t, bytes, local)
		assert.Check(t, err, "%s: %q", what, bytes)
		assert.Check(t, response.StatusCode == http.StatusBadGateway && response.Header.Get("X-Stamp") == "",
			"%s: %q is a response: %d %v %q", what, bytes, response.StatusCode, response.Header, body)
		assert.Check(t, time.Since(start) < promptly, "%s: %q took %s", what, bytes, time.Since(start))
	}
}

// malformedFields are lines that are not in the grammar of a header.
var malformedFields = map[string]string{
	"blank in the name":             "X Bad: 1",
	"blank before the colon":        "X-Bad : 1",
	"blank before a length's colon": "Content-Length : 4",
	"blank before a coding's colon": "Transfer-Encoding : chunked",
	"blank before the name":         " X-Bad: 1",
	"tab before the name":           "\tX-Bad: 1",
	"tab before the colon":          "X-Bad\t: 1",
	"control byte in the name":      "X-\x01Bad: 1",
	"zero byte in the name":         "X-\x00Bad: 1",
	"carriage return in the name":   "X-\rBad: 1",
	"delete byte in the name":       "X-\x7fBad: 1",
	"byte above ASCII in the name":  "X-\xe9Bad: 1",
	"separator in the name":         "X-(Bad): 1",
	"slash in the name":             "X/Bad: 1",
	"empty name":                    ": 1",
	"no colon":                      "X-Bad",
	"control byte in the value":     "X-Bad: a\x01b",
	"zero byte in the value":        "X-Bad: a\x00b",
	"delete byte in the value":      "X-Bad: a\x7fb",
	"carriage return in the value":  "X-Bad: a\rb",
}

// Guards against a response with a malformed field that reaches the caller, with that line passed on
// or with a body that is not the server's.
func TestMalformedHeaderFieldIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + testIDHeader + ": a\r\nX-Stamp: s\r\n"
	for name, line := range malformedFields {
		expectNoResponse(t, name+", last", head+"Content-Length: 4\r\n"+line+"\r\n\r\nabcd"+innerResponse)
		expectNoResponse(t, name+", in the middle", head+line+"\r\nContent-Length: 4\r\n\r\nabcd")
		expectNoResponse(t, name+", first", "HTTP/1.1 200 OK\r\n"+line+"\r\n"+strings.TrimPrefix(head, "HTTP/1.1 200 OK\r\n")+"Content-Length: 4\r\n\r\nabcd")
		expectNoResponse(t, name+", no length", head+line+"\r\n\r\nabcd")
		expectNoResponse(t, name+", lines end without carriage return", strings.ReplaceAll(head+line+"\r\nContent-Length: 4\r\n\r\nabcd", "\r\n", "\n"))
		expectNoResponse(t, name+", informational", "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+innerResponse)
		expectNoResponse(t, name+", response to another request", "HTTP/1.1 200 OK\r\n"+testIDHeader+": b\r\nContent-Length: 0\r\n"+line+"\r\n\r\n"+innerResponse)
	}
}

// Guards against a malformed trailer behind which a response counts as complete.
func TestMalformedTrailerFieldIsNoEndOfResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + testIDHeader + ": a\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n"
	for name, line := range malformedFields {
		for _, declared := range []string{"", "Trailer: X-Sum\r\n"} {
			for _, local := range []bool{true, false} {
				response, body, err := callServerThatSends(t, head+declared+"\r\n4\r\nabcd\r\n0\r\nX-Sum: 1\r\n"+line+"\r\n\r\n", local)
				assert.Check(t, err != nil || response.StatusCode == http.StatusBadGateway, "%s: %d %q %v", name, response.StatusCode, body, response.Trailer)
			}
		}
	}
}

// Guards against a response with an invalid status line that reaches the caller, and against one
// that hides in its body.
func TestMalformedStatusLineIsNoResponse(t *testing.T) {
	const fields = "\r\n" + testIDHeader + ": a\r\nX-Stamp: s\r\n"
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2 OK",
		"HTTP/1.1 2000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 0x2 OK", "HTTP/1.1 200.1 OK", "HTTP/1.1 2_0 OK",
		"HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK",
		"HTTP/2.0 200 OK", "HTTP/2 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 200 OK", "HTTP/9.9 200 OK", "HTTP/1.10 200 OK", "HTTP/01.1 200 OK",
		"HTTP/1. 200 OK", "HTTP/1 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK", "HTTPS/1.1 200 OK", "HTTP 200 OK", "200 OK", "",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK",
	} {
		expectNoResponse(t, line, line+fields+"Content-Length: 4\r\n\r\nabcd")
		expectNoResponse(t, line, line+fields+"Content-Length: 0\r\n\r\n")
		expectNoResponse(t, line, line+fields+"\r\nabcd")
		expectNoResponse(t, line, line+fields+"\r\n"+innerResponse)
		expectNoResponse(t, line, line+fields+"Content-Length: 99\r\n\r\n"+innerResponse)
		expectNoResponse(t, line, line+"\r\n\r\n"+innerResponse)
	}
	// No request asks for another protocol.
	expectNoResponse(t, "protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"+innerResponse)
	expectNoResponse(t, "protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n"+innerResponse)
}

// Guards against a response that another reader could delimit differently, and whose body or
// rest reaches the caller.
func TestAmbiguousFramingIsNoResponse(t *testing.T) {
	const head = " 200 OK\r\n" + testIDHeader + ": a\r\nX-Stamp: s\r\n"
	const chunks = "4\r\nabcd\r\n0\r\n\r\n"
	for name, bytes := range map[string]string{
		"length and coding":               "HTTP/1.1" + head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"coding and length":               "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n" + chunks,
		"coding in HTTP/1.0":              "HTTP/1.0" + head + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"coding and length in HTTP/1.0":   "HTTP/1.0" + head + "Transfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n" + chunks,
		"another coding":                  "HTTP/1.1" + head + "Transfer-Encoding: gzip\r\n\r\n" + chunks,
		"two codings":                     "HTTP/1.1" + head + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
		"chunked twice":                   "HTTP/1.1" + head + "Transfer-Encoding: chunked, chunked\r\n\r\n" + chunks,
		"chunked in two fields":           "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"empty coding":                    "HTTP/1.1" + head + "Transfer-Encoding:\r\n\r\n" + chunks,
		"different lengths":               "HTTP/1.1" + head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"list of lengths":                 "HTTP/1.1" + head + "Content-Length: 4, 4\r\n\r\nabcd",
		"length with a sign":              "HTTP/1.1" + head + "Content-Length: +4\r\n\r\nabcd",
		"negative length":                 "HTTP/1.1" + head + "Content-Length: -4\r\n\r\nabcd",
		"hexadecimal length":              "HTTP/1.1" + head + "Content-Length: 0x4\r\n\r\nabcd",
		"length with a blank":             "HTTP/1.1" + head + "Content-Length: 4 4\r\n\r\nabcd",
		"empty length":                    "HTTP/1.1" + head + "Content-Length:\r\n\r\nabcd",
		"length above 63 bits":            "HTTP/1.1" + head + "Content-Length: 9223372036854775808\r\n\r\nabcd",
		"informational with a length":     "HTTP/1.1 103 Early Hints\r\nContent-Length: 99\r\n\r\n" + innerResponse,
		"informational with a coding":     "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + innerResponse,
		"trailer that declares a length":  "HTTP/1.1" + head + "Trailer: Content-Length\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"trailer that declares no name":   "HTTP/1.1" + head + "Trailer: X Y\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"chunk size with a sign":          "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n+4\r\nabcd\r\n0\r\n\r\n",
		"chunk size with a prefix":        "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n0x4\r\nabcd\r\n0\r\n\r\n",
		"chunk size with a blank inside":  "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n0 4\r\nabcd\r\n0\r\n\r\n",
		"chunk size with a blank before":  "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n 4\r\nabcd\r\n0\r\n\r\n",
		"empty chunk size":                "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n\r\nabcd\r\n0\r\n\r\n",
		"chunk size above 64 bits":        "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n10000000000000004\r\nabcd\r\n0\r\n\r\n",
		"chunk longer than its size":      "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
		"chunk shorter than its size":     "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n6\r\nabcd\r\n0\r\n\r\n",
		"line feed alone at a chunk size": "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n4\nabcd\r\n0\r\n\r\n",
	} {
		for _, local := range []bool{true, false} {
			response, body, err := callServerThatSends(t, bytes, local)
			assert.Check(t, err != nil || response.StatusCode == http.StatusBadGateway && response.Header.Get("X-Stamp") == "",
				"%s: %d %q", name, response.StatusCode, body)
		}
	}
}

// A response with status 204 ends with its head, whatever its fields say. Guards against bytes
// behind it that reach the caller of the next request on the connection.
func TestBytesBehindNoContentReachNoCaller(t *testing.T) {
	for _, line := range []string{"", "Content-Length: 0\r\n", "Content-Length: 99\r\n", "Transfer-Encoding: chunked\r\n"} {
		address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
			for id := readRequest(r); id != ""; id = readRequest(r) {
				_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n"+testIDHeader+": "+id+"\r\n"+line+"\r\n"+innerResponse)
			}
		})
		d := &DirectTransport{Headers: &Headers{RequestID: testIDHeader}}
		for range 3 {
			body, err := sendRequest(t, d, address, "a", nil)
			assert.NilError(t, err, line)
			assert.Equal(t, body, "", line)
			eventually(t, func() bool { return len(d.idle) == 0 || !d.idle[0].isIdle() })
		}
	}
}
