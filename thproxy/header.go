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

// Default names of the headers of the mesh.
const (
	HeaderDeadline = "Th-Deadline" // remaining time of the call in ms
	HeaderDepth    = "Th-Depth"    // number of calls that this one is nested in
	HeaderAttempt  = "Th-Attempt"  // number of the attempt, from 1
	HeaderOutcome  = "Th-Outcome"  // OutcomeNotRun or OutcomeUnknown, on error responses of the mesh
	HeaderStatus   = "Th-Status"   // recorded status of the earlier call with the same idempotency key
	HeaderKey      = "Idempotency-Key"

	// headerBackendLatency is the time in µs from the dispatch to the response header
	// of the backend server. It is sent between daemons only.
	headerBackendLatency = "Th-Served"
	meshHeaderPrefix     = "Th-"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

const headerForwardedFor = "X-Forwarded-For"

// Headers holds the names of the headers that the proxy reads and sets. A header
// with an empty name is not used.
type Headers struct {
	RequestID      string // request ID, which the backend server repeats in its response
	Deadline       string // remaining time of the call in ms
	Depth          string // number of calls that this one is nested in
	Attempt        string // number of the attempt, from 1
	Outcome        string // on error responses of the mesh: OutcomeNotRun or OutcomeUnknown
	Key            string // idempotency key
	ForwardedFor   string // addresses of the callers
	Instance       string // backend server instance that the request is meant for
	Caller         string // service of the ingress's local backend server
	Rejected       string // on responses of a backend server that has not run the request
	Load           string // on responses: running calls, waiting calls and slots of the backend server
	Stamp          string // on every successful response of a backend server
	Limit          string // on responses: calls per second that the backend server accepts, for as long as its responses state a number
	Leaving        string // on responses of a backend server that is leaving: "1"
	ClientKey      string // key of a client account, which goes no further than the ingress
	Account        string // name of the client account
	ChildSeparator string // not a header: between a request ID and the suffix that a backend server adds for its nested calls
	// FractionalRetryAfter means that callers understand fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// defaultHeaders holds the default names.
var defaultHeaders = &Headers{
	Deadline: HeaderDeadline, Depth: HeaderDepth, Attempt: HeaderAttempt, Outcome: HeaderOutcome, Key: HeaderKey,
	ForwardedFor: headerForwardedFor,
}

// headersOrDefault returns h, or defaultHeaders if h is nil.
func headersOrDefault(h *Headers) *Headers {
	if h == nil {
		return defaultHeaders
	}
	return h
}

// isHopByHop reports whether a header, given in canonical form, must not be
// forwarded (RFC 9110, section 7.6.1). Each hop sets Content-Length anew, and the
// first hop handles Expect.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}

// connectionHeaders returns the header names that the Connection header declares
// as hop-by-hop, in canonical form.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(n)))
		}
	}
	return names
}

// endToEndHeaders returns the end-to-end headers as a list, without the headers of
// the mesh. The list has capacity for extra more.
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

// forwardedHeaders returns the headers of a request to forward to the target, with
// the address of the caller added to ForwardedFor.
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
	for i, h := range slices.Backward(list) { // the last line comes from the nearest hop
		if h.Name == n.ForwardedFor {
			list[i].Value += ", " + host
			return list
		}
	}
	return append(list, thwire.Header{Name: n.ForwardedFor, Value: host})
}

// withoutHeader removes a header from a list in place.
func withoutHeader(list []thwire.Header, name string) []thwire.Header {
	return slices.DeleteFunc(list, func(h thwire.Header) bool { return h.Name == name })
}

// addHeaders adds a list of headers to h, with names in canonical form.
func addHeaders(h http.Header, list []thwire.Header) {
	values := make([]string, len(list)) // one allocation for the first values of all headers
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

// formatMilliseconds returns d in ms, rounded up so that a short remaining time
// does not become zero.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10)
}

// maxLoggedTarget is the number of bytes of a request target that a log line shows.
const maxLoggedTarget = 120

// shortTarget returns a request target for a log line.
func shortTarget(target string) string {
	if len(target) <= maxLoggedTarget {
		return target
	}
	return target[:maxLoggedTarget] + "..."
}

// headerValue returns the first value of a header, empty if the list has none.
func headerValue(list []thwire.Header, name string) string {
	i := slices.IndexFunc(list, func(h thwire.Header) bool { return h.Name == name })
	if i < 0 {
		return ""
	}
	return list[i].Value
}
