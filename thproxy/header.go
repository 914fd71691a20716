package thproxy

import (
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// The headers of the mesh.
const (
	HeaderDeadline = "Th-Deadline" // time left to the call, in ms
	HeaderDepth    = "Th-Depth"    // calls above this one
	HeaderAttempt  = "Th-Attempt"  // number of the attempt, from 1
	HeaderOutcome  = "Th-Outcome"  // OutcomeNotRun or OutcomeUnknown, on errors of the mesh
	HeaderStatus   = "Th-Status"   // recorded status of a repeated key
	HeaderKey      = "Idempotency-Key"

	// headerBackendLatency is between daemons only: time in µs from the dispatch to the
	// head of the answer.
	headerBackendLatency = "Th-Served"
	meshHeaderPrefix     = "Th-"
)

// The values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

const headerForwardedFor = "X-Forwarded-For"

// Headers names the headers that the proxy reads and sets. One with an empty
// name is not used.
type Headers struct {
	RequestID      string // id of a request, which the backend server repeats in its answer
	Deadline       string // time left to the call, in ms
	Depth          string // calls above this one
	Attempt        string // number of the attempt, from 1
	Outcome        string // on errors of the mesh: OutcomeNotRun or OutcomeUnknown
	Key            string // idempotency key
	ForwardedFor   string // addresses of the callers
	Instance       string // backend server instance that a request is meant for
	Caller         string // service beside the ingress
	Rejected       string // set on an answer of a backend server that has not run the request
	Load           string // on an answer: calls running, calls waiting and slots of the backend server
	Stamp          string // on every good answer of a backend server
	ChildSeparator string // between the id of a request and what a backend server adds to it for its own calls
}

// defaultHeaders are the names of the product's own interface.
var defaultHeaders = &Headers{
	Deadline: HeaderDeadline, Depth: HeaderDepth, Attempt: HeaderAttempt, Outcome: HeaderOutcome, Key: HeaderKey,
	ForwardedFor: headerForwardedFor,
}

// headersOrDefault returns h, or the product's own names for nil.
func headersOrDefault(h *Headers) *Headers {
	if h == nil {
		return defaultHeaders
	}
	return h
}

// isHopByHop reports whether a header in canonical form belongs to one connection
// only (RFC 9110, section 7.6.1). Content-Length is set anew by each hop and
// Expect is answered by the first.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}

// connectionHeaders returns the header names that the Connection header declares as hop-by-hop.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(n)))
		}
	}
	return names
}

// endToEndHeaders returns the end-to-end headers, without those of the mesh, with room for extra more.
func endToEndHeaders(h http.Header, extra int) []thwire.Header {
	hops := connectionHeaders(h)
	list := make([]thwire.Header, 0, len(h)+extra)
	for name, values := range h {
		if isHopByHop(name) || strings.HasPrefix(name, meshHeaderPrefix) || slices.Contains(hops, name) {
			continue
		}
		for _, v := range values {
			list = append(list, thwire.Header{Name: name, Value: v})
		}
	}
	return list
}

// forwardedHeaders returns the headers of a request as they go to the target.
func (n *Headers) forwardedHeaders(r *http.Request) []thwire.Header {
	list := endToEndHeaders(r.Header, 4)
	if r.ContentLength > 0 {
		list = append(list, thwire.Header{Name: "Content-Length", Value: strconv.FormatInt(r.ContentLength, 10)})
	}
	if slices.Contains(r.Header["Te"], "trailers") {
		list = append(list, thwire.Header{Name: "Te", Value: "trailers"})
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil || n.ForwardedFor == "" {
		return list
	}
	for i, h := range slices.Backward(list) { // the last line is the nearest hop
		if h.Name == n.ForwardedFor {
			list[i].Value += ", " + host
			return list
		}
	}
	return append(list, thwire.Header{Name: n.ForwardedFor, Value: host})
}

// withoutHeader returns the list without a header.
func withoutHeader(list []thwire.Header, name string) []thwire.Header {
	return slices.DeleteFunc(list, func(h thwire.Header) bool { return h.Name == name })
}

// addHeaders adds a list of headers to h.
func addHeaders(h http.Header, list []thwire.Header) {
	values := make([]string, len(list)) // one allocation for all single values
	for i, e := range list {
		name := textproto.CanonicalMIMEHeaderKey(e.Name)
		if old, ok := h[name]; ok {
			h[name] = append(old, e.Value)
			continue
		}
		values[i] = e.Value
		h[name] = values[i : i+1 : i+1]
	}
}

// formatMilliseconds returns d in ms, rounded up so that a short rest is not zero.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10)
}
