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
	"github.com/turmerichaven/turmerichaven/thwire"
)

// writeGrace is added to the deadline of a call for writes to its caller.
const writeGrace = time.Second

// answer reports an error of the mesh to the caller at once.
func (c *call) answer(err error) {
	a := therror.AnswerTo(therror.KindOf(err))
	c.status = a.Status
	h, names := c.writer.Header(), headersOr(c.Headers)
	if names.Outcome != "" {
		h.Set(names.Outcome, OutcomeUnknown)
		if a.NotRun {
			h.Set(names.Outcome, OutcomeNotRun)
		}
	}
	if wait := therror.RetryAfter(err); a.Again || wait > 0 {
		h.Set("Retry-After", strconv.FormatInt(max(1, int64((wait+time.Second-1)/time.Second)), 10))
	}
	text := err.Error() + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	h.Set("X-Content-Type-Options", "nosniff")
	c.closeUnread()
	c.writer.WriteHeader(a.Status)
	_, _ = io.WriteString(c.writer, text)
	if c.body.stream != nil {
		_ = c.body.control.Flush() // before the reading of the body is stopped
	}
}

// closeUnread ends the connection of an HTTP/1.1 caller after an answer that
// begins before the end of the request body. Otherwise net/http could take the
// rest of the body for the next request.
func (c *call) closeUnread() {
	if c.request.ProtoMajor == 1 && c.body.stream != nil && !c.body.stream.done() {
		c.writer.Header().Set("Connection", "close")
	}
}

// answerWriter writes the answer of a backend server to the caller. It holds
// the head back until a part or the end follows or a flush is due: an answer
// that breaks off before can still be replaced by another one.
type answerWriter struct {
	call    *call
	control *http.ResponseController
	begun   bool
	held    *thwire.Head // the head, until it is written
	status  int
	length  int64     // as the head declares it, negative without
	at      time.Time // when the head arrived
	written int64
}

// head takes the head; it is written with the first part or at the end.
func (a *answerWriter) head(head *thwire.Head) error {
	if head.Status < 200 || head.Status > 999 || a.begun {
		return therror.New(therror.Broken, "status %d from the target, or a second head", head.Status)
	}
	a.begun, a.at = true, a.call.now()
	a.held, a.status, a.length = head, head.Status, -1
	for _, e := range head.Header {
		if e.Name != "Content-Length" {
			continue
		}
		if n, err := strconv.ParseInt(e.Value, 10, 64); err == nil {
			a.length = n
		}
	}
	return nil
}

// commit writes the head that was held back.
func (a *answerWriter) commit() {
	if a.held == nil {
		return
	}
	c, head := a.call, a.held
	a.held = nil
	h := c.writer.Header()
	unflatten(h, head.Header)
	if v := h[headerServed]; len(v) > 0 {
		if n, err := strconv.ParseInt(v[0], 10, 64); err == nil {
			c.added = max(a.at.Sub(c.start)-time.Duration(n)*time.Microsecond, 0)
		}
		delete(h, headerServed)
	}
	c.status, c.headed = head.Status, true
	c.closeUnread()
	c.writer.WriteHeader(head.Status)
}

// flush sends what was written.
func (a *answerWriter) flush() error {
	a.commit()
	if a.control == nil {
		a.control = http.NewResponseController(a.call.writer)
		// A caller that reads nothing must not hold the call beyond its deadline.
		deadline, _ := a.call.ctx.Deadline()
		_ = a.control.SetWriteDeadline(deadline.Add(writeGrace))
	}
	if err := a.control.Flush(); err != nil {
		return therror.Wrap(therror.Cancelled, err, "write to the caller")
	}
	return nil
}

// close removes the write deadline, which outlives the call on a connection.
func (a *answerWriter) close() {
	if a.control != nil {
		_ = a.control.SetWriteDeadline(time.Time{})
	}
}

// relay passes an answer on to the caller, each part as it arrives.
func (c *call) relay(u upstream, head *thwire.Head) error {
	a := answerWriter{call: c}
	defer a.close()
	if err := a.head(head); err != nil {
		return err
	}
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	for {
		// A complete answer goes out with the end of the handler.
		if !u.Ready() && !a.complete() && !a.waits() {
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
		case io.EOF: //nolint:errorlint // a wrapped io.EOF is a connection that broke
			return a.trail(u.Trailer())
		default:
			return err
		}
	}
}

// waits reports that only the head of an answer of known length has arrived.
// Its first part follows at once, and one write for both is cheaper.
func (a *answerWriter) waits() bool { return a.length >= 0 && a.written == 0 }

// trail writes the trailer. Names that were not declared need the prefix of net/http.
func (a *answerWriter) trail(list []thwire.Header) error {
	a.commit()
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
