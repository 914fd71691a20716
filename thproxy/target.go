package thproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thonce"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Gate is the admission control beside the backend server.
type Gate interface {
	// Enter waits for a place; errors are of kind Full, Leaving, Late or Cancelled.
	Enter(ctx context.Context, o *thwire.Open) (Pass, error)
	// Load is what callers of a route are told.
	Load(route string) thwire.Load
}

// Pass is a place that a call holds. Done with a latency of zero means that
// the call was not dispatched and says nothing about the backend server.
type Pass interface {
	Done(latency time.Duration, ok bool)
}

// Call is a call as the target sees it: *thwire.Incoming or a local one.
type Call interface {
	Open() *thwire.Open
	Context() context.Context
	Read(p []byte) (int, error)
	WriteHead(h thwire.Head) error
	Write(p []byte) (int, error)
	End(trailer []thwire.Header, l thwire.Load) error
	Refuse(e *therror.Error, l thwire.Load) error
}

// Target hands calls to the backend server beside this daemon.
type Target struct {
	Gate      Gate
	Guard     *thonce.Guard
	Transport http.RoundTripper // a *Direct, or one whose errors are of the same kinds
	// Server returns the backend server and its address; false while there is none.
	Server func() (thwire.Server, netip.AddrPort, bool)
	// Closed reports that the daemon drains or its zone is out; nil means never.
	Closed func() bool
	// Pool returns a pool of the current tables, so that a call for another
	// backend version is refused; nil skips the check.
	Pool func(name string) (*thconfig.Pool, bool)
	// Served takes the outcome of each dispatched call as evidence about the
	// backend version; nil takes none. An empty kind is an answer with status.
	Served func(route, pool string, kind therror.Kind, status int, latency time.Duration, cold bool)
	// Reported takes what an answer says of the backend server's load; nil takes none.
	Reported func(running, waiting, slots int)
	Headers  *Headers // nil means the product's own names
	Runs     *Runs    // is told of the calls in progress; nil for none
	Clock    clockwork.Clock
	Log      hclog.Logger
}

// Serve handles one call and returns when it has ended.
func (t *Target) Serve(c Call) {
	defer func() {
		// One faulty call must not end the daemon and with it all other calls.
		if p := recover(); p != nil {
			if t.Log != nil {
				t.Log.Error("panic in a call", "route", c.Open().Route, "panic", p, "stack", string(debug.Stack()))
			}
			_ = c.Refuse(therror.New(therror.Internal, "panic at the target"), thwire.Load{})
		}
	}()
	if err := t.serve(c); err != nil {
		if t.Log != nil && !therror.IsNotRun(err) {
			t.Log.Warn("call failed at the target", "route", c.Open().Route, "kind", therror.KindOf(err), "error", err)
		}
		_ = c.Refuse(asError(err), t.Gate.Load(c.Open().Route))
	}
}

func asError(err error) *therror.Error {
	var e *therror.Error
	if errors.As(err, &e) {
		return e
	}
	return therror.Wrap(therror.KindOf(err), err, "call")
}

func (t *Target) serve(c Call) error {
	o := c.Open()
	server, address, ok := t.Server()
	switch {
	case t.Closed != nil && t.Closed():
		return therror.New(therror.Leaving, "target takes no new work")
	case !ok:
		return therror.New(therror.Unready, "no backend server beside this daemon")
	case server.State == thwire.ServerLeaving:
		return therror.New(therror.Leaving, "backend server drains")
	}
	if t.Pool != nil {
		if p, ok := t.Pool(o.Pool); ok && !p.Holds(server.Service, server.Version) {
			return therror.New(therror.Unready, "backend server is %s %s, not of pool %s", server.Service, server.Version, o.Pool)
		}
	}
	if o.Instance != "" && o.Instance != server.Instance {
		return therror.New(therror.Unready, "backend server is instance %s, not %s", server.Instance, o.Instance)
	}
	r, err := t.newRequest(c, address)
	if err != nil {
		return err
	}
	pass, err := t.Gate.Enter(c.Context(), o)
	if err != nil {
		// A call that ended in the queue has not run, whatever ended it.
		if therror.Is(err, therror.Late) {
			return therror.Wrap(therror.Full, err, "deadline passed in the queue")
		}
		return err
	}
	var ticket *thonce.Ticket
	if o.Once && o.Key != "" {
		if t.Guard == nil {
			pass.Done(0, true)
			return therror.New(therror.Unready, "no store for idempotency keys")
		}
		if ticket, err = t.Guard.Claim(c.Context(), o.Route, o.Key); err != nil {
			pass.Done(0, true)
			if therror.Is(err, therror.Repeat) {
				return t.answerRepeat(c, err)
			}
			return err
		}
	}
	trailer, status, latency, err := t.dispatch(c, r, pass, ticket)
	if t.Served != nil {
		t.Served(o.Route, o.Pool, therror.KindOf(err), status, latency, t.Gate.Load(o.Route).Cold)
	}
	if err != nil {
		return err
	}
	return c.End(trailer, t.Gate.Load(o.Route))
}

// answerRepeat answers a key that was used before.
func (t *Target) answerRepeat(c Call, err error) error {
	h := thwire.Head{Status: http.StatusConflict, Header: []thwire.Header{
		{Name: HeaderOutcome, Value: OutcomeUnknown}, {Name: "Content-Length", Value: "0"},
	}}
	if status, ok := thonce.RecordedStatus(err); ok {
		h.Header[0] = thwire.Header{Name: HeaderStatus, Value: strconv.Itoa(status)}
	}
	if err := c.WriteHead(h); err != nil {
		return err
	}
	return c.End(nil, t.Gate.Load(c.Open().Route))
}

// dispatch sends the request and passes the answer on, but for its end. The
// pass is given back before the end, whose load then does not count this call.
// The status is zero without an answer; latency is the time until its head.
func (t *Target) dispatch(c Call, r *http.Request, pass Pass, ticket *thonce.Ticket) (trailer []thwire.Header, status int, latency time.Duration, err error) {
	clock := thclock.Or(t.Clock)
	start := clock.Now()
	sample, good := time.Duration(0), true
	defer func() { pass.Done(sample, good) }()
	if d, ok := c.Context().Deadline(); ok {
		left := time.Until(d)
		if left <= 0 {
			release(c, ticket)
			return nil, 0, 0, therror.New(therror.Down, "deadline passed before the dispatch")
		}
		r.Header[headersOr(t.Headers).Deadline] = []string{milliseconds(left)}
	}
	defer t.Runs.begin(r.Header.Get(headersOr(t.Headers).Request), c.Open())()
	response, err := t.Transport.RoundTrip(r.WithContext(c.Context()))
	latency = max(clock.Since(start), 1)
	sample = latency
	if err != nil {
		if therror.IsNotRun(err) {
			release(c, ticket)
		}
		err = t.failure(c, err)
		good = false
		if therror.Is(err, therror.Cancelled) {
			sample = 0 // a caller that gave up says nothing about the backend server
		}
		return nil, 0, latency, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := t.rejected(response); err != nil {
		if therror.IsNotRun(err) {
			release(c, ticket)
		}
		sample = 0
		return nil, 0, latency, err
	}
	if err := t.relay(c, response, latency); err != nil {
		good = !therror.Is(err, therror.Broken)
		return nil, response.StatusCode, latency, err
	}
	if ticket != nil {
		ticket.Settle(response.StatusCode)
	}
	good = response.StatusCode < http.StatusInternalServerError
	return flatten(response.Trailer, 0), response.StatusCode, latency, nil
}

// rejected reads what an answer says of the backend server. The error is of
// kind Shed when the backend server has not run the request, and Broken for a
// good answer that is not its own.
func (t *Target) rejected(response *http.Response) error {
	names := headersOr(t.Headers)
	if v := response.Header[names.Load]; len(v) == 1 && t.Reported != nil {
		if running, waiting, slots, ok := parseLoad(v[0]); ok {
			t.Reported(running, waiting, slots)
		}
	}
	if names.Rejected != "" && (len(response.Header[names.Rejected]) > 0 || response.StatusCode == http.StatusMisdirectedRequest) {
		return therror.New(therror.Shed, "backend server answers %d without running the request", response.StatusCode)
	}
	if names.Stamp != "" && response.StatusCode < 300 && len(response.Header[names.Stamp]) == 0 {
		return therror.New(therror.Broken, "answer %d without the mark of the backend server", response.StatusCode)
	}
	return nil
}

// parseLoad reads calls running, calls waiting and slots, separated by commas.
func parseLoad(v string) (running, waiting, slots int, ok bool) {
	p := strings.Split(v, ",")
	if len(p) != 3 {
		return 0, 0, 0, false
	}
	var n [3]int
	for i := range p {
		x, err := strconv.Atoi(strings.TrimSpace(p[i]))
		if err != nil || x < 0 {
			return 0, 0, 0, false
		}
		n[i] = x
	}
	return n[0], n[1], n[2], true
}

// contextError gives an ended context the kind Late or Cancelled, or the kind of its cause.
func contextError(ctx context.Context) *therror.Error {
	cause := context.Cause(ctx)
	return therror.Wrap(therror.KindOf(cause), cause, "call ended")
}

// release frees the key of a call that did not run. A call that has ended
// does not wait for the store.
func release(c Call, ticket *thonce.Ticket) {
	switch {
	case ticket == nil:
	case c.Context().Err() != nil:
		go ticket.Release()
	default:
		ticket.Release()
	}
}

// failure gives an error of the transport its kind. The kind claims that the
// call was not run only when nothing can have been sent.
func (t *Target) failure(c Call, err error) error {
	if therror.IsNotRun(err) {
		switch ctx := c.Context(); {
		case ctx.Err() == nil:
			// The balancer avoids a server that is not ready; Down from a daemon that
			// answers would mean that the platform is down.
			return therror.Wrap(therror.Unready, err, "backend server, nothing sent")
		case therror.KindOf(context.Cause(ctx)) == therror.Cancelled:
			return therror.Wrap(therror.Cancelled, err, "caller went away")
		}
		return therror.Wrap(therror.Down, err, "deadline passed, nothing sent to the backend server")
	}
	if ctx := c.Context(); ctx.Err() != nil {
		return contextError(ctx)
	}
	return therror.Wrap(therror.Broken, err, "backend server")
}

// relay passes the head and the parts of an answer on as they arrive.
func (t *Target) relay(c Call, response *http.Response, latency time.Duration) error {
	list := flatten(response.Header, 3)
	if response.ContentLength >= 0 && (response.ContentLength > 0 || len(response.Header["Content-Length"]) > 0) {
		list = append(list, thwire.Header{Name: "Content-Length", Value: strconv.FormatInt(response.ContentLength, 10)})
	}
	if len(response.Trailer) > 0 {
		names := make([]string, 0, len(response.Trailer))
		for n := range response.Trailer {
			names = append(names, n)
		}
		list = append(list, thwire.Header{Name: "Trailer", Value: strings.Join(names, ", ")})
	}
	list = append(list, thwire.Header{Name: headerServed, Value: strconv.FormatInt(latency.Microseconds(), 10)})
	if err := c.WriteHead(thwire.Head{Status: response.StatusCode, Header: list}); err != nil {
		return err
	}
	if response.ContentLength == 0 || response.Body == http.NoBody {
		return nil
	}
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	for {
		n, err := response.Body.Read(*p)
		if n > 0 {
			if _, err := c.Write((*p)[:n]); err != nil {
				return asError(err)
			}
		}
		switch {
		case err == nil:
		case err == io.EOF: // a wrapped io.EOF is a connection that broke
			return nil
		case c.Context().Err() != nil:
			return contextError(c.Context())
		default:
			return therror.Wrap(therror.Broken, err, "answer of the backend server cut")
		}
	}
}

// newRequest builds the request to the backend server.
func (t *Target) newRequest(c Call, address netip.AddrPort) (*http.Request, error) {
	o, names := c.Open(), headersOr(t.Headers)
	u, err := url.ParseRequestURI(o.Target)
	if err != nil || o.Method == http.MethodConnect || (o.Target != "*" && !strings.HasPrefix(o.Target, "/")) {
		return nil, therror.New(therror.Bad, "target %q or method %q not usable", o.Target, o.Method)
	}
	u.Scheme, u.Host = "http", address.String()
	r := &http.Request{
		Method: o.Method, URL: u, RequestURI: o.Target, Host: o.Host, Header: make(http.Header, len(o.Header)+3),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: -1,
	}
	unflatten(r.Header, o.Header)
	if v := r.Header["Content-Length"]; len(v) == 1 {
		n, err := strconv.ParseInt(v[0], 10, 64)
		if err != nil || n < 0 {
			return nil, therror.New(therror.Bad, "content length %q", v[0])
		}
		r.ContentLength = n
		delete(r.Header, "Content-Length")
	}
	if names.Depth != "" {
		r.Header[names.Depth] = []string{strconv.Itoa(o.Depth + 1)}
	}
	if names.Instance != "" {
		delete(r.Header, names.Instance)
		if o.Instance != "" {
			r.Header[names.Instance] = []string{o.Instance}
		}
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	if !o.Ended {
		r.Body = requestBody{c}
	} else {
		r.ContentLength = 0
	}
	return r, nil
}

// requestBody reads the body of the request from the call.
type requestBody struct{ call Call }

func (b requestBody) Read(p []byte) (int, error) { return b.call.Read(p) }

// Close does nothing: the body ends with the call.
func (requestBody) Close() error { return nil }
