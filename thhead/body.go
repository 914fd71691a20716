package thhead

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
)

// newBody returns the body of a response whose head was read from r.
func newBody(response *http.Response, r *bufio.Reader, method string, limit int) io.ReadCloser {
	switch {
	case method == http.MethodHead, !allowsBody(response.StatusCode), response.ContentLength == 0:
		return http.NoBody
	case response.ContentLength > 0:
		return &lengthBody{reader: r, left: response.ContentLength}
	case len(response.TransferEncoding) > 0:
		return &chunkedBody{chunks: httputil.NewChunkedReader(r), reader: r, response: response, limit: limit}
	}
	return io.NopCloser(r) // up to the end of the connection
}

// lengthBody is a body of a known length.
type lengthBody struct {
	reader *bufio.Reader
	left   int64 // bytes
}

// Read returns io.EOF after the whole body only.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close does nothing.
func (*lengthBody) Close() error { return nil }

// chunkedBody is a body in chunks with a trailer, which may be empty.
type chunkedBody struct {
	chunks   io.Reader
	reader   *bufio.Reader
	response *http.Response
	limit    int   // bytes of the trailer
	err      error // of the trailer, io.EOF after a valid one; nil before
}

// Read returns io.EOF after the last chunk and a valid trailer, which it sets in the response.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		b.err = b.readTrailer()
		err = b.err
	}
	return n, err
}

func (b *chunkedBody) readTrailer() error {
	lines, err := readLines(b.reader, b.limit)
	if err != nil {
		return err
	}
	fields, err := parseFields(lines)
	if err != nil {
		return err
	}
	if b.response.Trailer == nil && len(fields) > 0 {
		b.response.Trailer = http.Header{}
	}
	for name, values := range fields {
		b.response.Trailer[name] = values
	}
	return io.EOF
}

// Close does nothing.
func (*chunkedBody) Close() error { return nil }
