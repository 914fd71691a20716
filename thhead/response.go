package thhead

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// typicalHead is the initial size of the buffer of a head, in bytes.
const typicalHead = 512

// ReadResponse reads the head of the next response to a request with the method, and returns
// it with its body. A response with an informational status (1xx) is returned like others and
// has no body. A head and a trailer may each have limit bytes; the body reads the trailer at its
// end. Errors are those of the reader, io.ErrUnexpectedEOF, or say what is not in the grammar.
func ReadResponse(r *bufio.Reader, method string, limit int) (*http.Response, error) {
	head, err := readLines(r, limit)
	if err != nil {
		return nil, err
	}
	line, lines, _ := strings.Cut(head, "\n")
	response := &http.Response{}
	if err := parseStatusLine(response, strings.TrimSuffix(line, "\r")); err != nil {
		return nil, err
	}
	if response.Header, err = parseFields(lines); err != nil {
		return nil, err
	}
	if err := parseFraming(response, method); err != nil {
		return nil, err
	}
	response.Body = newBody(response, r, method, limit)
	return response, nil
}

// readLines reads up to an empty line and returns the lines before it, each with its end.
func readLines(r *bufio.Reader, limit int) (string, error) {
	var b strings.Builder
	b.Grow(typicalHead)
	for start := true; ; {
		part, err := r.ReadSlice('\n')
		whole := err == nil
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		if start && (string(part) == "\r\n" || string(part) == "\n") {
			return b.String(), nil
		}
		if b.Len()+len(part) > limit {
			return "", fmt.Errorf("head or trailer exceeds %d bytes", limit)
		}
		b.Write(part)
		start = whole
	}
}

// parseStatusLine sets the version and the status of a response. The blank before an empty
// reason may be missing. Status codes above 599 are errors, like codes that are not in the
// grammar: they have no class by which a client could handle them (RFC 9110, section 15).
func parseStatusLine(response *http.Response, line string) error {
	version, status, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(status, " ")
	minor, isHTTP1 := strings.CutPrefix(version, "HTTP/1.")
	switch {
	case !isHTTP1 || len(minor) != 1 || !isDigit(minor[0]):
		return fmt.Errorf("status line %.40q is not of HTTP/1", line)
	case len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]):
		return fmt.Errorf("status line %.40q has no status code of three digits", line)
	case !httpguts.ValidHeaderFieldValue(reason):
		return fmt.Errorf("reason of status line %.40q holds a control byte", line)
	}
	response.StatusCode = 100*int(code[0]-'0') + 10*int(code[1]-'0') + int(code[2]-'0')
	response.Proto, response.ProtoMajor, response.ProtoMinor, response.Status = version, 1, int(minor[0]-'0'), status
	return CheckStatus(response.StatusCode)
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// CheckStatus returns an error unless a status code is from 100 to 599.
func CheckStatus(status int) error {
	if status < 100 || status > 599 {
		return fmt.Errorf("status code %03d is not from 100 to 599", status)
	}
	return nil
}

// parseFraming sets how the body of a response is delimited: by a length, by chunks or, with
// neither, by the end of the connection. ContentLength is negative for the latter two. Framing
// that another reader could take otherwise is an error (RFC 9112, section 6). What follows an
// informational response would be read as the next one, so it must not announce a body.
func parseFraming(response *http.Response, method string) error {
	h := response.Header
	length, err := contentLength(h["Content-Length"])
	if err != nil {
		return err
	}
	if length >= 0 {
		h["Content-Length"] = h["Content-Length"][:1]
	}
	if coding := h["Transfer-Encoding"]; len(coding) > 0 {
		switch {
		case len(coding) > 1 || !strings.EqualFold(coding[0], "chunked"):
			return fmt.Errorf("unsupported transfer coding %.40q", strings.Join(coding, ", "))
		case response.ProtoMinor == 0:
			return errors.New("transfer coding in HTTP/1.0")
		case length >= 0:
			return errors.New("both a transfer coding and a Content-Length")
		}
		response.TransferEncoding = []string{"chunked"}
	}
	if response.StatusCode < 200 && (length > 0 || len(response.TransferEncoding) > 0) {
		return fmt.Errorf("body announced with informational status %d", response.StatusCode)
	}
	if response.Trailer, err = declaredTrailer(h["Trailer"]); err != nil {
		return err
	}
	response.Close = httpguts.HeaderValuesContainsToken(h["Connection"], "close") ||
		response.ProtoMinor == 0 && !httpguts.HeaderValuesContainsToken(h["Connection"], "keep-alive")
	switch {
	case method == http.MethodHead:
		response.ContentLength = length
	case !allowsBody(response.StatusCode):
		response.ContentLength = 0
	default:
		response.ContentLength = length
		response.Close = response.Close || length < 0 && len(response.TransferEncoding) == 0
	}
	return nil
}

// allowsBody reports whether a response with the status may have a body.
func allowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// contentLength parses the values of Content-Length, which must not differ; -1 without one.
func contentLength(values []string) (int64, error) {
	if len(values) == 0 {
		return -1, nil
	}
	n, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil {
		return 0, fmt.Errorf("invalid Content-Length %.40q", values[0])
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return 0, fmt.Errorf("Content-Length %.40q differs from %.40q", v, values[0])
		}
	}
	return int64(n), nil
}

// declaredTrailer returns a trailer with the names that the Trailer header declares, without
// values.
func declaredTrailer(values []string) (http.Header, error) {
	if len(values) == 0 {
		return nil, nil
	}
	trailer := http.Header{}
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			if name = textproto.TrimString(name); name == "" {
				continue
			}
			if err := CheckField(name, ""); err != nil {
				return nil, err
			}
			switch name = textproto.CanonicalMIMEHeaderKey(name); name {
			case "Content-Length", "Transfer-Encoding", "Trailer":
				return nil, fmt.Errorf("trailer declares %s", name)
			}
			trailer[name] = nil
		}
	}
	return trailer, nil
}
