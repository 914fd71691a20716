package thhttp

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// framing counts the header lines in the raw head of a request that determine the
// length of its body.
type framing struct {
	complete          bool // the whole head was scanned
	contentLengths    int  // Content-Length lines
	transferEncodings int  // Transfer-Encoding lines
}

// peekFraming scans the head of the next request without consuming it. It waits for
// more input until the head is complete or the buffer of r is full.
func peekFraming(r *bufio.Reader) (framing, error) {
	for {
		raw, err := r.Peek(r.Buffered())
		if err != nil {
			return framing{}, err
		}
		if f := scanFraming(raw); f.complete || r.Buffered() == r.Size() {
			return f, nil
		}
		if _, err := r.Peek(r.Buffered() + 1); err != nil {
			return framing{}, err
		}
	}
}

// scanFraming counts the framing headers in the start of a request.
func scanFraming(raw []byte) framing {
	var f framing
	started := false // the first line may be empty
	for len(raw) > 0 {
		line, rest, found := bytes.Cut(raw, []byte{'\n'})
		if !found {
			return f
		}
		raw = rest
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 && started {
			f.complete = true
			return f
		}
		started = true
		name, _, _ := bytes.Cut(line, []byte{':'})
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			f.contentLengths++
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			f.transferEncodings++
		}
	}
	return f
}

// allowsBody reports whether a response with the status may have a body.
func allowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeResponseHead writes the status line and the header h, which must already
// contain the framing. It adds a Date unless h has one, and leaves out trailers.
func writeResponseHead(b *bytes.Buffer, minor, status int, h http.Header, now time.Time) {
	b.WriteString("HTTP/1.")
	b.WriteByte(byte('0' + minor))
	b.WriteByte(' ')
	b.WriteString(strconv.Itoa(status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(status))
	b.WriteString("\r\n")
	if _, found := h["Date"]; !found {
		b.WriteString("Date: ")
		b.WriteString(now.UTC().Format(http.TimeFormat))
		b.WriteString("\r\n")
	}
	for name, values := range h {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			continue
		}
		for _, v := range values {
			writeHeaderLine(b, name, v)
		}
	}
	b.WriteString("\r\n")
}

// lineBreakReplacer replaces line breaks in header values, which could otherwise
// inject headers.
var lineBreakReplacer = strings.NewReplacer("\r", " ", "\n", " ")

func writeHeaderLine(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	if strings.ContainsAny(value, "\r\n") {
		value = lineBreakReplacer.Replace(value)
	}
	b.WriteString(value)
	b.WriteString("\r\n")
}

// declaredTrailers returns the canonical names listed in the Trailer header.
func declaredTrailers(h http.Header) []string {
	var names []string
	for _, v := range h["Trailer"] {
		for n := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(n)))
		}
	}
	return names
}

// writeTrailers writes the trailers and the final empty line of a chunked response.
// Besides the declared ones, they are the headers with http.TrailerPrefix.
func writeTrailers(b *bytes.Buffer, declared []string, h http.Header) {
	for _, name := range declared {
		for _, v := range h[name] {
			writeHeaderLine(b, name, v)
		}
	}
	for name, values := range h {
		if short, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			for _, v := range values {
				writeHeaderLine(b, short, v)
			}
		}
	}
	b.WriteString("\r\n")
}
