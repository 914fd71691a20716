// Package thproxy proxies HTTP calls to backend servers. Ingress accepts calls
// and chooses a backend server; Target dispatches them to the local one.
package thproxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thaccount"
	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thcrash"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thonce"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Limits of a call.
const (
	maxCallDepth = 10 // largest value of Headers.Depth
	maxAttempts  = 4  // includes the first attempt, and not those counted by maxRejections
	// maxRejections is the maximum number of attempts that are rejected as full, of a call of
	// which an earlier attempt may have reached a backend server. Many such calls try the same
	// server at once when another one has failed.
	maxRejections = 6
)

// Router returns the configuration version in effect and its route matcher. ok
// is false before the first version.
type Router func() (version uint64, match func(*http.Request) (*thconfig.Route, bool), ok bool)

// Mover reports the running moves and collects evidence about them.
type Mover interface {
	// Share returns the running move of a route, the pool that it shifts traffic
	// to and the traffic fraction of that pool, 0 to 1.
	Share(route string) (move, to string, share float64, running bool)
	// SharePool returns the same for the running move of a pool.
	SharePool(pool string) (move, to string, share float64, running bool)
	// LoadTest reports whether a load test of a move runs, and the position among the
	// servers of the new version, 0 to 1, from which on they get the calls.
	LoadTest(move string) (position float64, running bool)
	// Observe records the result of an attempt as evidence about the move.
	Observe(move, pool, server string, kind therror.Kind, status int, latency time.Duration, load thwire.Load)
}

// Balancer chooses a backend server of a pool. The error is of kind Unready if
// the pool has no candidates.
type Balancer interface {
	Choose(pool string, exclude []string) (Choice, error)
	// ChooseByKey chooses the same server for a key at all daemons while it is usable.
	ChooseByKey(pool, key string, exclude []string) (Choice, error)
	// ChoosePacked chooses the first server in the order of a key, from a position in it on,
	// that has room; the same one at all daemons.
	ChoosePacked(pool, key string, position float64, exclude []string) (Choice, error)
}

// Choice is a chosen backend server. Begin is called before an attempt at the
// server and Done after it.
type Choice interface {
	Member() *thwire.Member
	// StatedRate returns the limit in calls per second that the server last stated; zero
	// without one.
	StatedRate() float64
	Begin()
	Done(Result)
}

// Result is the result of one attempt at a backend server. An empty Kind means
// that the server responded.
type Result struct {
	Kind       therror.Kind
	Status     int
	Latency    time.Duration // until the response header
	Load       thwire.Load
	HasLoad    bool
	RetryAfter time.Duration // delay that a rejecting server asked for
	Route      string
}

// Dialer opens streams to other daemons; *thwire.Dialer is one.
type Dialer interface {
	Open(ctx context.Context, peer netip.AddrPort, o thwire.Open) (*thwire.Stream, error)
	SeenGoAway(peer netip.AddrPort) bool
}

// RetryBudget limits retries, by pool. Only an attempt that follows one which may
// have reached a backend server counts as a retry.
type RetryBudget interface {
	// CountRequest counts the first attempt of a call.
	CountRequest(pool string)
	// TakeRetry takes one retry out of the budget; false means that it is exhausted.
	TakeRetry(pool string, priority int) bool
	// CountRetry counts a nested call whose parent call is itself a retry. It is
	// not held back.
	CountRetry(pool string)
}

// PipelinedWriter is the writer of a pipelined request: one that was read while
// earlier requests of its connection had no response yet. Begin waits until the
// call may run concurrently with those; a call that must run alone waits for the
// responses to all of them.
type PipelinedWriter interface {
	Begin(ctx context.Context, alone bool) error
}

// Metrics counts finished calls. The outcome is empty for a response of a
// backend server and an error kind otherwise. added is the time until the response
// header less the backend server's own part of it, zero if unknown.
type Metrics interface {
	ObserveCall(class string, status int, outcome string, total, added time.Duration)
}

// Ingress accepts calls over HTTP and proxies them to backend servers. The
// exported fields must be set before the first call.
type Ingress struct {
	Self     string // name of this daemon
	Router   Router
	Mover    Mover // nil without moves
	Balancer Balancer
	Dialer   Dialer
	Local    *Target     // target of the local backend server; nil sends every call through Dialer
	Ready    func() bool // nil means always ready
	// TimeLeft returns the time until this daemon ends; false while it does not stop, or
	// still accepts all calls. It may be nil.
	TimeLeft func() (time.Duration, bool)
	// EndsIn returns the time until this daemon ends, from the signal to stop on; false while it
	// does not stop. It may be nil.
	EndsIn func() (time.Duration, bool)
	// OnLeaving is called with the member whose backend server states in a response that it
	// is leaving; it may be nil.
	OnLeaving func(m *thwire.Member)
	Metrics   Metrics // nil disables metrics
	// Link is the network link of this instance, which responses to callers take too; nil if unknown.
	Link         *thwire.Link
	Headers      *Headers                // nil means the default names
	Accounts     func() *thaccount.Table // table of the accounts in effect; nil means that requests need no key
	AccountStats *thaccount.Stats        // nil counts no calls of accounts
	LocalService string                  // service of the local backend server, sent in Headers.Caller
	RetryBudget  RetryBudget             // nil means a budget for each route, set by its Retry
	ActiveCalls  *ActiveCalls            // calls in progress at the local backend server; nil disables detection of nested calls
	Crashes      *thcrash.Tracker        // requests that crash backend servers; nil tracks none
	Clock        clockwork.Clock
	Log          hclog.Logger

	budgets     routeBudgets
	splits      routeSplits
	lateRetries lateRetryDetector
}

// call is the state of one call in the ingress.
type call struct {
	*Ingress
	writer          http.ResponseWriter
	request         *http.Request
	ctx             context.Context
	start           time.Time
	route           *thconfig.Route
	move            string // the running move of the route or the pool, empty without one
	basePool        string // pool of the call if no move applies
	open            thwire.Open
	baseHeaderCount int // headers of open without the attempt header
	body            body
	fingerprint     string // see requestFingerprint; empty until it is needed
	attempts        int
	rejections      int // attempts that were rejected as full after one that may have reached a backend server
	excluded        []string
	failedServers   []string      // servers of which an attempt failed for a reason other than Full
	retryAfter      time.Duration // delay that the last full server asked for
	lastErr         error         // error of the last attempt
	server          string        // server of the last attempt
	unknownErr      error         // error of the last attempt that may have run
	parent          *activeCall   // call that made this nested call; nil if there is none
	rejectedByAll   bool          // all servers rejected the call as full
	reached         int           // attempts that may have reached a backend server
	retryTaken      bool          // a retry was taken out of the budget and has not reached a backend server
	status          int
	addedLatency    time.Duration
	headSent        bool // the response header was written to the caller
}

// ServeHTTP handles one call. It panics with http.ErrAbortHandler if the caller
// must see a truncated response.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Ingress: g, writer: w, request: r, ctx: r.Context(), start: g.now()}
	if err := c.serve(); err != nil && c.headSent {
		// If no byte of the response arrived, the caller would see an idle
		// connection break, and net/http's client would retry the call by itself.
		control := http.NewResponseController(w)
		_ = control.Flush()
		if !r.ProtoAtLeast(1, 1) {
			resetConn(control)
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConn resets the connection of an HTTP/1.0 caller, for which a close would
// mark the end of the response.
func resetConn(control *http.ResponseController) {
	conn, _, err := control.Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

func (c *call) serve() error {
	err := c.prepare()
	if err == nil {
		ctx, cancel := context.WithTimeout(c.ctx, time.Duration(c.open.Deadline))
		defer cancel()
		c.ctx = ctx
		defer c.body.stop()
		if err = c.waitTurn(); err == nil {
			err = c.checkTimeLeft()
		}
		if err == nil {
			err = c.runAttempts()
		}
	}
	if err != nil && !c.headSent {
		c.writeError(err)
	}
	c.finish(err)
	return err
}

// waitTurn waits until a pipelined call may run.
func (c *call) waitTurn() error {
	o, ok := c.writer.(PipelinedWriter)
	if !ok {
		return nil
	}
	switch err := o.Begin(c.ctx, c.open.Once); {
	case err == nil:
		return nil
	case c.ctx.Err() != nil && !therror.Is(contextError(c.ctx), therror.Cancelled):
		return therror.Wrap(therror.Down, err, "deadline passed while waiting for an earlier call on the connection")
	default:
		return therror.Wrap(therror.Cancelled, err, "call ended while waiting for an earlier call on the connection")
	}
}

// checkTimeLeft rejects a call that no backend server has got if its deadline is after
// the end of the stopping daemon, which would cut it. Nested calls are accepted: a
// rejection would waste their parent.
func (c *call) checkTimeLeft() error {
	if c.TimeLeft == nil || c.parent != nil || c.reached > 0 {
		return nil
	}
	left, stopping := c.TimeLeft()
	if deadline, ok := c.ctx.Deadline(); !stopping || ok && time.Until(deadline) <= left {
		return nil
	}
	return therror.New(therror.Leaving, "daemon stops in %s, before the deadline of the call", left)
}

// prepare matches the request to a route and fills in the open frame.
func (c *call) prepare() error {
	if c.Ready != nil && !c.Ready() {
		return therror.New(therror.Unready, "no current configuration yet")
	}
	version, match, ok := c.Router()
	if !ok {
		return therror.New(therror.Unready, "no configuration yet")
	}
	route, ok := match(c.request)
	if !ok {
		return therror.New(therror.Route, "no route for %s %s%s", c.request.Method, c.request.Host, c.request.URL.Path)
	}
	c.route = route
	r, names := c.request, headersOrDefault(c.Headers)
	c.parent = c.ActiveCalls.parent(c.id(), names.ChildSeparator)
	account, err := c.authenticate(names)
	if err != nil {
		return err
	}
	deadline, err := headerInt(r.Header, names.Deadline, route.Timeout.Milliseconds()+1)
	if err != nil {
		return err
	}
	depth, err := headerInt(r.Header, names.Depth, 0)
	if err != nil {
		return err
	}
	if depth > maxCallDepth {
		return therror.New(therror.Deep, "call depth %d is above %d", depth, maxCallDepth)
	}
	timeout := route.Timeout
	if deadline < timeout.Milliseconds() {
		timeout = time.Duration(deadline) * time.Millisecond
	}
	if timeout <= 0 {
		return therror.New(therror.Down, "deadline passed before the call arrived")
	}
	c.basePool = route.Pool
	if len(route.Split) > 0 {
		c.basePool = c.splits.nextPool(route)
	}
	c.open = thwire.Open{
		Version: version, Route: route.Name, Pool: c.basePool, Class: route.Class, Method: r.Method,
		Target: requestTarget(r), Host: r.Host, Header: names.forwardedHeaders(r), Deadline: int64(timeout),
		Depth: int(depth), Once: route.Repeat != thconfig.RepeatSafe,
		Priority: route.Priority, Account: account.name, Rank: account.rank,
	}
	if account.required {
		c.open.Header = names.withAccount(c.open.Header, account.name)
	}
	if c.open.Late = c.lateRetries.isLateRetry(route, time.Duration(deadline)*time.Millisecond); !c.open.Late {
		c.open.Goal = int64(route.Target)
	}
	if names.Caller != "" {
		c.open.Header = append(withoutHeader(c.open.Header, names.Caller), thwire.Header{Name: names.Caller, Value: c.LocalService})
	}
	c.baseHeaderCount = len(c.open.Header)
	c.open.Nested, c.open.Begun = c.parent != nil, c.parent.hasResponses()
	if err := c.setIdempotencyKey(r.Header[names.Key]); err != nil {
		return err
	}
	c.applyMove()
	return nil
}

// setIdempotencyKey validates and sets the idempotency key of a non-idempotent
// call. Idempotent calls need none.
func (c *call) setIdempotencyKey(keys []string) error {
	if len(keys) == 0 || !c.open.Once {
		return nil
	}
	if len(keys) > 1 {
		return therror.New(therror.Bad, "request has %d idempotency keys", len(keys))
	}
	if err := thonce.CheckKey(keys[0]); err != nil {
		return err
	}
	c.open.Key = keys[0]
	return nil
}

// applyMove chooses the pool of the new version with the probability set by the
// running move of the route or, without one, of its pool.
func (c *call) applyMove() {
	if c.Mover == nil {
		return
	}
	move, to, share, running := c.Mover.Share(c.route.Name)
	if !running {
		move, to, share, running = c.Mover.SharePool(c.basePool)
	}
	if !running {
		return
	}
	c.move = move
	if rand.Float64() < share {
		c.open.Pool = to
	}
}

// requestTarget returns the path and query of a request as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (g *Ingress) now() time.Time { return thclock.OrSystem(g.Clock).Now() }

// headerInt parses a header that holds a non-negative integer. It returns
// fallback if the header is missing, and an error of kind Bad if it is malformed.
func headerInt(h http.Header, name string, fallback int64) (int64, error) {
	v, ok := h[name]
	if !ok {
		return fallback, nil
	}
	n, err := strconv.ParseUint(v[0], 10, 62)
	if err != nil || len(v) > 1 {
		return 0, therror.New(therror.Bad, "header %s is not a single non-negative integer", name)
	}
	return int64(n), nil
}

// finish updates the metrics and the parent call, and logs a failed call.
func (c *call) finish(err error) {
	if err == nil && c.status < http.StatusMultipleChoices {
		c.parent.countResponse()
	}
	c.countAccount(err)
	total := c.now().Sub(c.start)
	class, route := "", ""
	if c.route != nil {
		class, route = c.route.Class, c.route.Name
	}
	if c.Metrics != nil {
		c.Metrics.ObserveCall(class, c.status, string(therror.KindOf(err)), total, c.addedLatency)
	}
	if err != nil && c.Log != nil {
		c.Log.Warn("call failed", "request", c.id(), "route", route, "method", c.request.Method, "path", shortTarget(requestTarget(c.request)),
			"caller", c.LocalService, "version", thconfig.VersionText(c.open.Version), "pool", c.open.Pool,
			"server", c.server, "kind", therror.KindOf(err), "status", c.status, "attempts", c.attempts, "reached", c.reached,
			"cut", c.headSent, "inner", c.parent != nil, "begun", c.open.Begun, "total", total, "error", err)
	}
}

// id returns the request ID, empty if the request has none.
func (c *call) id() string { return c.request.Header.Get(headersOrDefault(c.Headers).RequestID) }
