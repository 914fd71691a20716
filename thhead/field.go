// Package thhead checks and reads the heads of HTTP/1.1 messages by their grammar
// (RFC 9110 and RFC 9112). net/http accepts more: names of fields with blanks, status codes
// with a sign, any version of one digit.
package thhead

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// CheckField returns an error unless the name of a field is a token and its value holds no
// control bytes other than tabs (RFC 9110, section 5).
func CheckField(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return fmt.Errorf("field name %.40q is not a token", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return fmt.Errorf("value %.40q of field %.40q holds a control byte", value, name)
	}
	return nil
}

// CheckHeader checks each field of a header or a trailer like CheckField.
func CheckHeader(h http.Header) error {
	for name, values := range h {
		for _, v := range values {
			if err := CheckField(name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// parseFields parses the lines of a header or a trailer. A line that begins with a blank, which
// earlier versions of HTTP took for the rest of the value before it, is an error: such a line
// from a proxy's server is to be replaced or rejected (RFC 9112, section 5.2).
func parseFields(lines string) (http.Header, error) {
	n := strings.Count(lines, "\n")
	h, values := make(http.Header, n), make([]string, 0, n) // one allocation for the first values of all fields
	for len(lines) > 0 {
		var line string
		line, lines, _ = strings.Cut(lines, "\n")
		name, value, found := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		if !found {
			return nil, fmt.Errorf("line %.40q of a header has no colon", line)
		}
		value = strings.Trim(value, " \t")
		if err := CheckField(name, value); err != nil {
			return nil, err
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		if old, ok := h[name]; ok {
			h[name] = append(old, value)
			continue
		}
		values = append(values, value)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
	return h, nil
}
