package thhead

import (
	"bytes"
	"net/http"
	"regexp"
	"testing"
)

// validHead is the grammar of the head of a response (RFC 9112, sections 2 to 5) without folded
// lines. The end of a line may lack the carriage return, and an empty reason the blank before it.
var validHead = regexp.MustCompile(`\A(?s-m:HTTP/1\.[0-9] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n` +
	"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + `[\t\x20-\x7e\x80-\xff]*\r?\n)*\r?\n)`)

// latin1 maps each byte to one character, so that the expression matches bytes.
func latin1(b []byte) string {
	r := make([]rune, len(b))
	for i, c := range b {
		r[i] = rune(c)
	}
	return string(r)
}

// FuzzResponse reads arbitrary bytes as a response. Guards against a head that is not in the
// grammar and becomes a response, and against a body that has bytes of none.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
		"HTTP/1.0 200\nX: a\n\nabcd",
		"HTTP/1.1 200 OK\r\nTrailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX-A: 1\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 +20 OK\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1 999 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: a\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nabcd", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x7f: a\r\n\r\n", "HTTP/1.1 200 OK\r\n: a\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		response, body, err := read(string(data), http.MethodGet)
		if response == nil {
			return
		}
		if !validHead.MatchString(latin1(data)) {
			t.Fatalf("%q is not in the grammar, and has status %d, header %v", data, response.StatusCode, response.Header)
		}
		if err == nil && !bytes.Contains(data, []byte(body)) && response.TransferEncoding == nil {
			t.Fatalf("body %q is no part of %q", body, data)
		}
		if response.ContentLength > 0 && err == nil && int64(len(body)) != response.ContentLength {
			t.Fatalf("body %q has %d bytes of %d", body, len(body), response.ContentLength)
		}
	})
}
