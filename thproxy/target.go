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
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thcrash"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thonce"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Gate is the admission control of the local backend server.
type Gate interface {
	// Enter waits for admission. Errors are of kind Full, Leaving, Late or Cancelled.
	Enter(ctx context.Context, o *thwire.Open) (Pass, error)
	// Load returns the load that is reported to the ingresses of a route.
	Load(route string) thwire.Load
}

// Pass is the admission slot of a call. Done frees it and records the latency of
// the call. A latency of zero means that the call was not dispatched, or that its
// latency says nothing about the backend server.
type Pass interface {
	Done(latency time.Duration, ok bool)
}

// Call is a call at the target: a *thwire.Incoming or a *localCall.
type Call interface {
	Open() *thwire.Open
	Context() context.Context
	Read(p []byte) (int, error)
	WriteHead(h thwire.Head) error
	Write(p []byte) (int, error)
	End(trailer []thwire.Header, l thwire.Load) error
	Refuse(e *therror.Error, l thwire.Load) error
}

// Target dispatches calls to the local backend server. The fields must be set
// before the first call.
type Target struct {
	Gate      Gate
	Guard     *thonce.Guard     // nil rejects non-idempotent calls that have an idempotency key
	Transport http.RoundTripper // a *DirectTransport, or one with the same error kinds
	// Server returns the local backend server and its address; false if there is none.
	Server func() (thwire.Server, netip.AddrPort, bool)
	// Closed reports whether the daemon drains or its zone is out; nil means never.
	Closed func() bool
	// Pool returns a pool of the current tables, and their version. Calls for a pool that
	// does not hold the version of the backend server are rejected, unless the ingress has
	// newer tables, in which the pool may hold it; nil skips the check.
	Pool func(name string) (pool *thconfig.Pool, version uint64, found bool)
	// OnDispatch is called before a call is sent to the backend server, and returns the
	// observer of the call. A call that is not allowed is rejected without being sent.
	// OnDispatch may be nil.
	OnDispatch func(route, pool string, cold bool) (observer CallObserver, allowed bool)
	// OnBegin is called with the account of a request that is sent to the backend server, and
	// returns a function that is called if the server has not run it. Nested calls are part of
	// a request that was counted. OnBegin may be nil.
	OnBegin func(account string) (undo func())
	// OnLoadReport receives the load that the backend server reports in a response
	// header; it may be nil.
	OnLoadReport func(LoadReport)
	// OnReport receives what the backend server states about itself in each response;
	// it may be nil.
	OnReport    func(ServerReport)
	Headers     *Headers         // nil means the default names
	ActiveCalls *ActiveCalls     // shared with the Ingress; nil tracks no calls
	Crashes     *thcrash.Tracker // shared with the Ingress; nil tracks none
	Downloads   *Downloads       // nil admits large responses without regard to the network link
	// OnCrash is called when the backend server has crashed; it may be nil.
	OnCrash func()
	Clock   clockwork.Clock
	Log     hclog.Logger

	crashes     crashDetector
	suspectOnce sync.Once
	suspectSlot chan struct{} // held by the suspect request that runs; see enterSuspect
}

// CallObserver receives the progress of a dispatched call as evidence about the version
// of the backend server.
type CallObserver interface {
	// Responded is called when the response header has arrived.
	Responded()
	// End is called once with the outcome. An empty kind means that the backend server
	// responded with status; latency is the time until the response header.
	End(kind therror.Kind, status int, latency time.Duration)
}

// Serve handles one call and returns when it has ended. Errors go to the ingress
// by Call.Refuse.
func (t *Target) Serve(c Call) {
	defer func() {
		// A panic in one call must not end the daemon and all other calls.
		if p := recover(); p != nil {
			if t.Log != nil {
				t.Log.Error("panic while serving a call", "route", c.Open().Route, "panic", p, "stack", string(debug.Stack()))
			}
			_ = c.Refuse(therror.New(therror.Internal, "panic at the target"), thwire.Load{})
		}
	}()
	if err := t.serve(c); err != nil {
		if t.Log != nil && !therror.IsNotRun(err) {
			o, names := c.Open(), headersOrDefault(t.Headers)
			t.Log.Warn("call failed at the target", "request", headerValue(o.Header, names.RequestID), "route", o.Route, "method", o.Method,
				"path", shortTarget(o.Target), "caller", headerValue(o.Header, names.Caller), "instance", o.Instance, "kind", therror.KindOf(err), "error", err)
		}
		_ = c.Refuse(toError(err), t.load(c.Open().Route))
	}
}

func toError(err error) *therror.Error {
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
		return therror.New(therror.Leaving, "target accepts no new calls")
	case !ok:
		return therror.New(therror.Unready, "daemon has no local backend server")
	case server.State == thwire.ServerLeaving:
		return therror.New(therror.Leaving, "backend server drains")
	}
	if t.Pool != nil {
		p, version, found := t.Pool(o.Pool)
		if found && version >= o.Version && !p.Matches(server.Service, server.Version) {
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
	download, err := t.Downloads.Enter(c.Context(), o)
	if err != nil {
		return err
	}
	defer download.Done()
	pass, leave, err := t.admit(c)
	if err != nil {
		return err
	}
	defer leave()
	var ticket *thonce.Ticket
	if o.Once && o.Key != "" {
		if t.Guard == nil {
			pass.Done(0, true)
			return therror.New(therror.Unready, "no store for idempotency keys")
		}
		if ticket, err = t.Guard.Claim(c.Context(), o.Route, o.Key); err != nil {
			pass.Done(0, true)
			if therror.Is(err, therror.Repeat) {
				return t.respondRepeatedKey(c, err)
			}
			return err
		}
	}
	trailer, err := t.dispatch(c, r, server, pass, ticket, download)
	if err != nil {
		return t.checkCrash(c, server, address, err)
	}
	return c.End(trailer, t.load(o.Route))
}

// load returns the load that is reported to the ingresses of a route.
func (t *Target) load(route string) thwire.Load {
	l := t.Gate.Load(route)
	l.Link = int64(t.Downloads.LinkTime(route))
	return l
}

// admit waits until the call may be sent to the backend server. The caller calls leave at
// the end of the call.
func (t *Target) admit(c Call) (pass Pass, leave func(), err error) {
	leave = func() {}
	o := c.Open()
	if o.Suspect != "" {
		if leave, err = t.enterSuspect(c.Context(), o.Suspect); err != nil {
			return nil, nil, err
		}
	}
	if pass, err = t.Gate.Enter(c.Context(), o); err == nil {
		if err = t.checkSuspect(o); err == nil {
			return pass, leave, nil
		}
		pass.Done(0, true)
	}
	leave()
	// A call whose deadline passed in the queue has not run, unlike other calls of kind Late.
	if therror.Is(err, therror.Late) {
		err = therror.Wrap(therror.Full, err, "deadline passed in the queue")
	}
	return nil, nil, err
}

// respondRepeatedKey responds 409 to an idempotency key that was used before, with
// the recorded status of the earlier call if it is known.
func (t *Target) respondRepeatedKey(c Call, err error) error {
	h := thwire.Head{Status: http.StatusConflict, Header: []thwire.Header{
		{Name: HeaderOutcome, Value: OutcomeUnknown}, {Name: "Content-Length", Value: "0"},
	}}
	if status, ok := thonce.RecordedStatus(err); ok {
		h.Header[0] = thwire.Header{Name: HeaderStatus, Value: strconv.Itoa(status)}
	}
	if err := c.WriteHead(h); err != nil {
		return err
	}
	return c.End(nil, t.load(c.Open().Route))
}

// dispatch sends the request to the backend server and relays the response except
// for its End. It frees the pass first, so that the load in End does not count this
// call.
func (t *Target) dispatch(c Call, r *http.Request, server thwire.Server, pass Pass, ticket *thonce.Ticket, download *Download) (trailer []thwire.Header, err error) {
	var observer CallObserver
	status, latency := 0, time.Duration(0) // until the response header
	if o := c.Open(); t.OnDispatch != nil {
		allowed := false
		if observer, allowed = t.OnDispatch(o.Route, o.Pool, t.Gate.Load(o.Route).Cold); !allowed {
			pass.Done(0, true)
			releaseKey(c, ticket)
			return nil, therror.New(therror.Full, "pool %s has had the calls of its load test", o.Pool)
		}
		defer func() { observer.End(therror.KindOf(err), status, latency) }()
	}
	clock := thclock.OrSystem(t.Clock)
	start := clock.Now()
	sample, succeeded := time.Duration(0), true
	defer func() { pass.Done(sample, succeeded) }()
	if d, ok := c.Context().Deadline(); ok {
		left := time.Until(d)
		if left <= 0 {
			releaseKey(c, ticket)
			return nil, therror.New(therror.Down, "deadline passed before the call was dispatched")
		}
		r.Header[headersOrDefault(t.Headers).Deadline] = []string{formatMilliseconds(left)}
	}
	defer t.ActiveCalls.add(r.Header.Get(headersOrDefault(t.Headers).RequestID), c.Open())()
	ctx := c.Context()
	if c.Open().Again {
		ctx = withNewConnection(ctx)
	}
	if o := c.Open(); t.OnBegin != nil && o.Account != "" && !o.Nested {
		undo := t.OnBegin(o.Account)
		defer func() {
			if therror.IsNotRun(err) {
				undo()
			}
		}()
	}
	response, err := t.Transport.RoundTrip(r.WithContext(ctx))
	latency = max(clock.Since(start), 1)
	sample = latency
	if err != nil {
		if therror.IsNotRun(err) {
			releaseKey(c, ticket)
		}
		err = t.transportError(c, err)
		succeeded = false
		if therror.Is(err, therror.Cancelled) {
			sample = 0 // the latency until a cancellation is no sample of the backend server
		}
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	download.Sending()
	status = response.StatusCode
	if observer != nil {
		observer.Responded()
	}
	t.report(response, server, start)
	if err := t.checkResponse(response); err != nil {
		if therror.IsNotRun(err) {
			releaseKey(c, ticket)
		}
		sample = 0
		return nil, err
	}
	if err := t.relayResponse(c, response, latency); err != nil {
		succeeded = !therror.Is(err, therror.Broken)
		return nil, err
	}
	if ticket != nil {
		ticket.Settle(status)
	}
	if succeeded = status < http.StatusInternalServerError; status == http.StatusBadGateway {
		sample = 0 // the failure of another server, which tells nothing about the load of this one
	}
	return endToEndHeaders(response.Trailer, 0), nil
}

// checkResponse evaluates the response headers that concern the backend server
// itself. The error is of kind Shed if the backend server has not run the request,
// and Broken for a successful response without the server's stamp.
func (t *Target) checkResponse(response *http.Response) error {
	names := headersOrDefault(t.Headers)
	if v := response.Header[names.Load]; len(v) == 1 && t.OnLoadReport != nil {
		if l, ok := parseLoad(v[0]); ok {
			t.OnLoadReport(l)
		}
	}
	if names.Rejected != "" && (len(response.Header[names.Rejected]) > 0 || response.StatusCode == http.StatusMisdirectedRequest) {
		return therror.New(therror.Shed, "backend server rejected the request with status %d without running it", response.StatusCode)
	}
	if names.Stamp != "" && response.StatusCode < 300 && len(response.Header[names.Stamp]) == 0 {
		return therror.New(therror.Broken, "response with status %d lacks the stamp of the backend server", response.StatusCode)
	}
	return nil
}

// contextError returns the error of an ended context. Its kind is that of the
// cause, or Late or Cancelled for a cause without one.
func contextError(ctx context.Context) *therror.Error {
	cause := context.Cause(ctx)
	return therror.Wrap(therror.KindOf(cause), cause, "call ended")
}

// releaseKey frees the idempotency key of a call that did not run. It does not
// wait for the store if the call has already ended.
func releaseKey(c Call, ticket *thonce.Ticket) {
	switch {
	case ticket == nil:
	case c.Context().Err() != nil:
		go ticket.Release()
	default:
		ticket.Release()
	}
}

// transportError converts a transport error to one with the kind for the ingress.
// The kind means "not run" only if nothing was sent to the backend server.
func (t *Target) transportError(c Call, err error) error {
	if therror.IsNotRun(err) {
		switch ctx := c.Context(); {
		case ctx.Err() == nil:
			// Unready makes the balancer avoid the server. Down from a reachable daemon
			// would mean that the platform is down.
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

// relayResponse forwards the response header and then the body, part by part, as
// they arrive.
func (t *Target) relayResponse(c Call, response *http.Response, latency time.Duration) error {
	list := endToEndHeaders(response.Header, 3)
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
	list = append(list, thwire.Header{Name: headerBackendLatency, Value: strconv.FormatInt(latency.Microseconds(), 10)})
	if err := c.WriteHead(thwire.Head{Status: response.StatusCode, Header: list}); err != nil {
		return err
	}
	if response.ContentLength == 0 || response.Body == http.NoBody {
		return nil
	}
	p := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	written := int64(0)
	for {
		n, err := response.Body.Read(*p)
		written += int64(n)
		if n > 0 {
			if _, err := c.Write((*p)[:n]); err != nil {
				return toError(err)
			}
		}
		switch {
		case err == nil:
		case err == io.EOF: // a wrapped io.EOF means a broken connection
			if response.StatusCode < http.StatusMultipleChoices {
				t.Downloads.Observe(c.Open().Route, written, latency)
			}
			return nil
		case c.Context().Err() != nil:
			return contextError(c.Context())
		default:
			return therror.Wrap(therror.Broken, err, "answer of the backend server cut")
		}
	}
}

// newRequest builds the request to the backend server. Errors are of kind Bad.
func (t *Target) newRequest(c Call, address netip.AddrPort) (*http.Request, error) {
	o, names := c.Open(), headersOrDefault(t.Headers)
	u, err := url.ParseRequestURI(o.Target)
	if err != nil || o.Method == http.MethodConnect || (o.Target != "*" && !strings.HasPrefix(o.Target, "/")) {
		return nil, therror.New(therror.Bad, "invalid request target %q or method %q", o.Target, o.Method)
	}
	u.Scheme, u.Host = "http", address.String()
	r := &http.Request{
		Method: o.Method, URL: u, RequestURI: o.Target, Host: o.Host, Header: make(http.Header, len(o.Header)+3),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: -1,
	}
	addHeaders(r.Header, o.Header)
	if v := r.Header["Content-Length"]; len(v) == 1 {
		n, err := strconv.ParseInt(v[0], 10, 64)
		if err != nil || n < 0 {
			return nil, therror.New(therror.Bad, "invalid Content-Length %q", v[0])
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
		r.Header["User-Agent"] = []string{""} // prevents net/http's default
	}
	if !o.Ended {
		r.Body = requestBody{c}
	} else {
		r.ContentLength = 0
	}
	return r, nil
}

// requestBody is the request body for the transport; it reads from the call.
type requestBody struct{ call Call }

func (b requestBody) Read(p []byte) (int, error) { return b.call.Read(p) }

// Close does nothing, since the body ends with the call.
func (requestBody) Close() error { return nil }
