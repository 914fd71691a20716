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

// framing is what the raw head of a request says of the length of its body.
type framing struct {
	whole   bool // the head was seen completely
	lengths int  // lines with a length
	chunked int  // lines with a transfer coding
}

// peekFraming reads the framing of the next request from a buffer. It waits for
// the rest of the head while the buffer has room.
func peekFraming(r *bufio.Reader) (framing, error) {
	for {
		raw, err := r.Peek(r.Buffered())
		if err != nil {
			return framing{}, err
		}
		if f := scan(raw); f.whole || r.Buffered() == r.Size() {
			return f, nil
		}
		if _, err := r.Peek(r.Buffered() + 1); err != nil {
			return framing{}, err
		}
	}
}

// scan counts the framing lines of a head.
func scan(raw []byte) framing {
	var f framing
	begun := false
	for len(raw) > 0 {
		line, rest, ended := bytes.Cut(raw, []byte{'\n'})
		if !ended {
			return f
		}
		raw = rest
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 && begun {
			f.whole = true
			return f
		}
		begun = true
		name, _, _ := bytes.Cut(line, []byte{':'})
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			f.lengths++
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			f.chunked++
		}
	}
	return f
}

// allowsBody reports whether an answer of a status has a body.
func allowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHead writes the head of an answer. Its framing is in the header.
func writeHead(b *bytes.Buffer, minor, status int, h http.Header, now time.Time) {
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
			writeLine(b, name, v)
		}
	}
	b.WriteString("\r\n")
}

// lineBreaks are replaced in a value, which must not add lines to a head.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func writeLine(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	if strings.ContainsAny(value, "\r\n") {
		value = lineBreaks.Replace(value)
	}
	b.WriteString(value)
	b.WriteString("\r\n")
}

// declaredTrailers returns the names that the header announces as trailers.
func declaredTrailers(h http.Header) []string {
	var names []string
	for _, v := range h["Trailer"] {
		for n := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(n)))
		}
	}
	return names
}

// writeTrailers writes the trailers and the end of a chunked answer.
func writeTrailers(b *bytes.Buffer, declared []string, h http.Header) {
	for _, name := range declared {
		for _, v := range h[name] {
			writeLine(b, name, v)
		}
	}
	for name, values := range h {
		if short, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			for _, v := range values {
				writeLine(b, short, v)
			}
		}
	}
	b.WriteString("\r\n")
}
