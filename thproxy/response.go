package thproxy

import (
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thhead"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// writeGracePeriod is added to the deadline of a call to get the write deadline of
// the caller's connection.
const writeGracePeriod = time.Second

// authenticateChallenge is the challenge of responses with status 401.
const authenticateChallenge = "ApiKey"

// writeError sends an error response of the mesh to the caller.
func (c *call) writeError(err error) {
	a := therror.ResponseTo(therror.KindOf(err))
	c.status = a.Status
	h, names := c.writer.Header(), headersOrDefault(c.Headers)
	if names.Outcome != "" {
		h.Set(names.Outcome, OutcomeUnknown)
		if a.NotRun {
			h.Set(names.Outcome, OutcomeNotRun)
		}
	}
	if a.Status == http.StatusUnauthorized {
		h.Set("Www-Authenticate", authenticateChallenge) // required by RFC 9110, section 11.6.1
	}
	if wait := therror.RetryAfter(err); a.Retryable || wait > 0 {
		h.Set("Retry-After", c.retryAfterValue(err, wait))
	}
	text := err.Error() + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	h.Set("X-Content-Type-Options", "nosniff")
	c.closeUnread()
	c.writer.WriteHeader(a.Status)
	_, _ = io.WriteString(c.writer, text)
	if c.body.stream != nil {
		_ = c.body.control.Flush() // before body.stop ends the reading of the body
	}
}

// shedRetryFraction is the part of the latency objective after which a caller may repeat a call
// that a backend server has shed. Such a server rejects calls although the gate beside it has
// room, so a place does not come free at a certain time: another attempt may succeed at once,
// and this much later it can still be in time.
const shedRetryFraction = 0.2

// retryAfterValue returns the Retry-After of an error response: wait in whole seconds, at least
// one.
func (c *call) retryAfterValue(err error, wait time.Duration) string {
	if c.route != nil && c.route.Target > 0 && wait == 0 && therror.Is(err, therror.Shed) && headersOrDefault(c.Headers).FractionalRetryAfter {
		return strconv.FormatFloat(shedRetryFraction*c.route.Target.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(max(1, int64((wait+time.Second-1)/time.Second)), 10)
}

// closeUnread makes net/http close the connection of an HTTP/1.1 caller if the
// response starts before the end of the request body. Otherwise net/http could
// parse the rest of the body as the next request.
func (c *call) closeUnread() {
	if c.request.ProtoMajor == 1 && c.body.stream != nil && !c.body.stream.done() {
		c.writer.Header().Set("Connection", "close")
	}
}

// responseWriter writes the response of a backend server to the caller. It delays
// the header until the first part or the end of the body arrives or flush is
// called: until then a truncated response can still be replaced by that of a retry.
type responseWriter struct {
	call          *call
	control       *http.ResponseController
	started       bool
	pendingHead   *thwire.Head // header that is not written yet
	status        int
	contentLength int64     // declared length; negative if there is none
	headTime      time.Time // when the header arrived
	written       int64
}

// setHead sets the response header, which writeHead sends later. A second header
// or an informational status is an error of kind Broken.
func (a *responseWriter) setHead(head *thwire.Head) error {
	if thhead.CheckStatus(head.Status) != nil || head.Status < 200 || a.started {
		return therror.New(therror.Broken, "target sent invalid status %d or a second response header", head.Status)
	}
	a.started, a.headTime = true, a.call.now()
	a.pendingHead, a.status, a.contentLength = head, head.Status, -1
	for _, e := range head.Header {
		if e.Name != "Content-Length" {
			continue
		}
		if n, err := strconv.ParseInt(e.Value, 10, 64); err == nil {
			a.contentLength = n
		}
	}
	return nil
}

// writeHead writes the pending header, if any.
func (a *responseWriter) writeHead() {
	if a.pendingHead == nil {
		return
	}
	c, head := a.call, a.pendingHead
	a.pendingHead = nil
	h := c.writer.Header()
	addHeaders(h, head.Header)
	if v := h[headerBackendLatency]; len(v) > 0 {
		if n, err := strconv.ParseInt(v[0], 10, 64); err == nil {
			c.addedLatency = max(a.headTime.Sub(c.start)-time.Duration(n)*time.Microsecond, 0)
		}
		delete(h, headerBackendLatency)
	}
	c.status, c.headSent = head.Status, true
	c.closeUnread()
	c.writer.WriteHeader(head.Status)
}

// flush sends the header and the buffered body to the caller. Errors are of kind
// Cancelled.
func (a *responseWriter) flush() error {
	a.writeHead()
	if a.control == nil {
		a.control = http.NewResponseController(a.call.writer)
		// A caller that stops reading must not block the call beyond its deadline.
		deadline, _ := a.call.ctx.Deadline()
		_ = a.control.SetWriteDeadline(deadline.Add(writeGracePeriod))
	}
	if err := a.control.Flush(); err != nil {
		return therror.Wrap(therror.Cancelled, err, "write to the caller")
	}
	return nil
}

// clearDeadline removes the write deadline, which would otherwise apply to later
// calls on the connection.
func (a *responseWriter) clearDeadline() {
	if a.control != nil {
		_ = a.control.SetWriteDeadline(time.Time{})
	}
}

// relayResponse forwards a response to the caller, each part as it arrives.
func (c *call) relayResponse(u upstream, head *thwire.Head) error {
	a := responseWriter{call: c}
	defer a.clearDeadline()
	if err := checkFields(head.Header); err != nil {
		return err
	}
	if err := a.setHead(head); err != nil {
		return err
	}
	p := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	for {
		// net/http sends a complete response at the end of the handler.
		if !u.Ready() && !a.complete() && !a.awaitsBody() {
			if err := a.flush(); err != nil {
				return err
			}
		}
		n, err := u.Read(*p)
		if n > 0 {
			if err := a.write((*p)[:n]); err != nil {
				return err
			}
		}
		switch err {
		case nil:
		case io.EOF: //nolint:errorlint // a wrapped io.EOF means a broken connection
			if err := checkFields(u.Trailer()); err != nil {
				return err
			}
			return a.writeTrailer(u.Trailer())
		default:
			return err
		}
	}
}

// checkFields checks the fields of a header or a trailer from another daemon. Errors are of kind
// Broken.
func checkFields(list []thwire.Header) error {
	for _, e := range list {
		if err := thhead.CheckField(e.Name, e.Value); err != nil {
			return therror.Wrap(therror.Broken, err, "response of the target")
		}
	}
	return nil
}

// awaitsBody reports whether only the header of a response of known length has
// arrived. Its first part follows soon, and one write for both is cheaper.
func (a *responseWriter) awaitsBody() bool { return a.contentLength >= 0 && a.written == 0 }

// writeTrailer writes the trailer. net/http needs a prefix on names that the
// Trailer header did not declare.
func (a *responseWriter) writeTrailer(list []thwire.Header) error {
	a.writeHead()
	if len(list) == 0 {
		return nil
	}
	if err := a.flush(); err != nil {
		return err
	}
	h := a.call.writer.Header()
	var declared []string
	for _, v := range h["Trailer"] {
		for n := range strings.SplitSeq(v, ",") {
			declared = append(declared, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(n)))
		}
	}
	for _, e := range list {
		name := e.Name
		if !slices.Contains(declared, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = append(h[name], e.Value)
	}
	return nil
}
