package thhead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

const testLimit = 16 << 10 // bytes of a head

func read(s, method string) (*http.Response, string, error) {
	r, err := ReadResponse(bufio.NewReaderSize(strings.NewReader(s), 16), method, testLimit)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(r.Body)
	return r, string(b), err
}

// Guards against valid responses that are rejected or read otherwise than by net/http.
func TestValidResponsesAreReadLikeNetHTTP(t *testing.T) {
	for _, x := range []struct{ method, bytes string }{
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd"},
		{"GET", "HTTP/1.1 200 OK\nContent-Length: 4\n\nabcd"},
		{"GET", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nabcd"},
		{"GET", "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nabcd"},
		{"GET", "HTTP/1.1 200 a caf\xe9\tis open\r\nX: caf\xe9\ta\r\nContent-Length:4\r\n\r\nabcd"},
		{"GET", "HTTP/1.1 200 OK\r\ncontent-length:  \t4 \t\r\nx-EMPTY:\r\n!#$%&'*+-.^_`|~0: 1\r\n\r\nabcd"},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd"},
		{"GET", "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nSet-Cookie: c=3\r\nContent-Length: 0\r\n\r\n"},
		{"GET", "HTTP/1.1 404 Not Found\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nabcd\r\n1;a=b\r\ne\r\n0\r\n\r\n"},
		{"GET", "HTTP/1.1 200 OK\r\nTrailer: X-A, x-b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX-A: 1\r\nX-C: 2\r\n\r\n"},
		{"GET", "HTTP/1.1 200 OK\r\nTrailer: X-A, , X-B,\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: 1\r\n\r\n"},
		{"GET", "HTTP/1.1 200 OK\r\n\r\nup to the end"},
		{"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nabcd"},
		{"GET", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 4\r\n\r\nabcd"},
		{"GET", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nabcd"},
		{"GET", "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 4\r\n\r\nabcd"},
		{"GET", "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n\r\nup to the end"},
		{"GET", "HTTP/1.1 100 Continue\r\n\r\nrest"},
		{"GET", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nrest"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n"},
	} {
		got, body, err := read(x.bytes, x.method)
		assert.NilError(t, err, "%q", x.bytes)
		want, err := http.ReadResponse(bufio.NewReader(strings.NewReader(x.bytes)), &http.Request{Method: x.method})
		assert.NilError(t, err, "%q", x.bytes)
		wantBody, err := io.ReadAll(want.Body)
		assert.NilError(t, err, "%q", x.bytes)
		assert.Equal(t, body, string(wantBody), "%q", x.bytes)
		assert.Equal(t, got.StatusCode, want.StatusCode, "%q", x.bytes)
		assert.Equal(t, got.ContentLength, want.ContentLength, "%q", x.bytes)
		assert.Equal(t, got.Close, want.Close, "%q", x.bytes)
		delete(want.Trailer, "") // an empty element of the list
		assert.DeepEqual(t, got.Trailer, want.Trailer)
		for name, values := range want.Header {
			assert.DeepEqual(t, got.Header[name], values)
		}
	}
}

// Guards against a response that ends early and counts as complete.
func TestResponseCutAtEachByteIsAnError(t *testing.T) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
		"HTTP/1.1 200 OK\r\nTrailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX-A: 1\r\n\r\n",
	} {
		for n := range s {
			_, _, err := read(s[:n], http.MethodGet)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", s[:n])
		}
	}
}

// Guards against an error of the connection that counts as the end of a response.
func TestErrorOfConnectionIsNoEndOfResponse(t *testing.T) {
	errReset := errors.New("reset")
	for _, head := range []string{"", "Content-Length: 99\r\n", "Transfer-Encoding: chunked\r\n"} {
		source := io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+head+"\r\n4\r\nabcd\r\n"), iotest.ErrReader(errReset))
		r, err := ReadResponse(bufio.NewReader(source), http.MethodGet, testLimit)
		assert.NilError(t, err)
		_, err = io.ReadAll(r.Body)
		assert.ErrorIs(t, err, errReset, head)
	}
}

// Guards against a head or a trailer that takes unbounded memory.
func TestLongHeadsAreErrors(t *testing.T) {
	long := strings.Repeat("x", 2*testLimit)
	for _, s := range []string{
		long, "HTTP/1.1 200 " + long, "HTTP/1.1 200 OK\r\nX: " + long, "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", testLimit/6+1),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + long,
	} {
		_, _, err := read(s, http.MethodGet)
		assert.ErrorContains(t, err, "exceeds")
	}
	_, _, err := read("HTTP/1.1 200 OK\r\nX: "+long[:testLimit-22]+"\r\nContent-Length: 0\r\n\r\n", http.MethodGet)
	assert.ErrorContains(t, err, "exceeds")
	_, _, err = read("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: "+long[:testLimit-41]+"\r\n\r\n", http.MethodGet)
	assert.NilError(t, err)
}
