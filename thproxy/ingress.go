// Package thproxy carries calls from callers to backend servers: Ingress
// accepts them, Target hands them to the backend server beside the daemon.
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

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thonce"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Limits of a call.
const (
	maxCallDepth = 10
	maxAttempts  = 4
)

// Router returns the version in effect and its matcher; false before the first version.
type Router func() (version uint64, match func(*http.Request) (*thconfig.Route, bool), ok bool)

// Mover knows the running moves.
type Mover interface {
	// Share returns the route's running move, the pool that it sends traffic to
	// and its share, 0 to 1.
	Share(route string) (move, to string, share float64, running bool)
	// SharePool returns the same of the running move of a pool.
	SharePool(pool string) (move, to string, share float64, running bool)
	// Observe counts an answer as evidence.
	Observe(move, pool, server string, kind therror.Kind, status int, latency time.Duration, load thwire.Load)
}

// Balancer chooses a backend server; kind Unready without candidates.
type Balancer interface {
	Choose(pool string, exclude []string) (Choice, error)
}

// Choice is a chosen backend server. Begin and Done enclose a call to it.
type Choice interface {
	Member() *thwire.Member
	Begin()
	Done(Result)
}

// Result says how a call to a backend server ended. An empty Kind is an answer.
type Result struct {
	Kind       therror.Kind
	Status     int
	Latency    time.Duration // until the head of the answer
	Load       thwire.Load
	HasLoad    bool
	RetryAfter time.Duration // retry time of a refusal
	Route      string
}

// Dialer opens streams to other daemons; *thwire.Dialer is one.
type Dialer interface {
	Open(ctx context.Context, peer netip.AddrPort, o thwire.Open) (*thwire.Stream, error)
	SeenGoAway(peer netip.AddrPort) bool
}

// RetryBudget limits the attempts that reach a backend server after an earlier one
// of the same call may have. It counts by pool.
type RetryBudget interface {
	CountRequest(pool string)
	// TakeRetry takes one repeat out of the budget; false means that it is spent.
	TakeRetry(pool string, priority int) bool
	// CountRetry counts a repeat that comes from a run which is itself one.
	CountRetry(pool string)
}

// PipelinedWriter is a writer whose request was sent ahead, on a connection that has
// earlier ones. Begin waits until the call may run beside those; one that must
// run alone waits for the answers to all of them.
type PipelinedWriter interface {
	Begin(ctx context.Context, alone bool) error
}

// Metrics counts finished calls. The outcome is empty for an answer of a
// backend server and an error kind otherwise; added is the time until the head
// of the answer less that of the backend server, zero where that is unknown.
type Metrics interface {
	Call(class string, status int, outcome string, total, added time.Duration)
}

// Ingress accepts calls over HTTP. The fields are set before the first call.
type Ingress struct {
	Self         string // name of this daemon
	Router       Router
	Mover        Mover // nil without moves
	Balancer     Balancer
	Dialer       Dialer
	Local        *Target      // nil sends every call through Dialer
	Ready        func() bool  // nil means always
	Metrics      Metrics      // nil counts nothing
	Headers      *Headers     // nil means the product's own names
	LocalService string       // service beside this daemon, for Headers.Caller
	RetryBudget  RetryBudget  // nil means a budget for each route by its Retry
	ActiveCalls  *ActiveCalls // calls in progress beside this daemon; nil tells no calls of theirs apart
	Clock        clockwork.Clock
	Log          hclog.Logger

	budgets     routeBudgets
	splits      routeSplits
	lateRetries lateRetryDetector
}

// call is one call on its way through the ingress.
type call struct {
	*Ingress
	writer          http.ResponseWriter
	request         *http.Request
	ctx             context.Context
	start           time.Time
	route           *thconfig.Route
	move            string // the running move of the route or the pool, empty without one
	basePool        string // pool of the call without the move
	open            thwire.Open
	baseHeaderCount int // headers before the one with the attempt
	body            body
	attempts        int
	excluded        []string
	failedServers   []string      // servers that failed this call other than by refusing it as full
	retryAfter      time.Duration // retry time of the last server that was full
	lastErr         error         // of the last server tried
	server          string        // last server tried
	unknownErr      error         // an earlier attempt may have run
	parent          *activeCall   // that made this call; nil for a caller's
	rejectedByAll   bool          // all servers have refused the call
	reached         int           // attempts that may have reached a backend server
	status          int
	addedLatency    time.Duration
	headSent        bool // the head of an answer went to the caller
}

// ServeHTTP handles one call. It panics with http.ErrAbortHandler where the
// caller must see a cut answer.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Ingress: g, writer: w, request: r, ctx: r.Context(), start: g.now()}
	if err := c.serve(); err != nil && c.headSent {
		// Without a byte of the answer a caller would see a connection that broke
		// while idle, and net/http's client would repeat the call by itself.
		control := http.NewResponseController(w)
		_ = control.Flush()
		if !r.ProtoAtLeast(1, 1) {
			resetConn(control)
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConn resets the connection of an HTTP/1.0 caller, to which a close would be
// the end of the answer.
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
			err = c.runAttempts()
		}
	}
	if err != nil && !c.headSent {
		c.writeError(err)
	}
	c.finish(err)
	return err
}

// waitTurn waits for the calls ahead on the caller's connection.
func (c *call) waitTurn() error {
	o, ok := c.writer.(PipelinedWriter)
	if !ok {
		return nil
	}
	switch err := o.Begin(c.ctx, c.open.Once); {
	case err == nil:
		return nil
	case c.ctx.Err() != nil && !therror.Is(contextError(c.ctx), therror.Cancelled):
		return therror.Wrap(therror.Down, err, "deadline passed behind another call")
	default:
		return therror.Wrap(therror.Cancelled, err, "call ended behind another one")
	}
}

// prepare matches the request and fills the open frame.
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
		Priority: route.Priority,
	}
	if c.open.Late = c.lateRetries.isLateRetry(route, time.Duration(deadline)*time.Millisecond); !c.open.Late {
		c.open.Goal = int64(route.Target)
	}
	if names.Caller != "" {
		c.open.Header = append(withoutHeader(c.open.Header, names.Caller), thwire.Header{Name: names.Caller, Value: c.LocalService})
	}
	c.baseHeaderCount = len(c.open.Header)
	c.parent = c.ActiveCalls.parent(c.id(), names.ChildSeparator)
	c.open.Begun = c.parent.hasResponses()
	if err := c.setIdempotencyKey(r.Header[names.Key]); err != nil {
		return err
	}
	c.applyMove()
	return nil
}

// setIdempotencyKey takes the idempotency key of a call that may run once.
func (c *call) setIdempotencyKey(keys []string) error {
	if len(keys) == 0 || !c.open.Once {
		return nil
	}
	if len(keys) > 1 {
		return therror.New(therror.Bad, "%d idempotency keys", len(keys))
	}
	if err := thonce.CheckKey(keys[0]); err != nil {
		return err
	}
	c.open.Key = keys[0]
	return nil
}

// applyMove sends the share of a running move of the route, or of its pool, to
// the new version.
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

// requestTarget returns the path and query of a request as they were sent.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (g *Ingress) now() time.Time { return thclock.Or(g.Clock).Now() }

// headerInt reads a header that holds a whole number from 0 up.
func headerInt(h http.Header, name string, fallback int64) (int64, error) {
	v, ok := h[name]
	if !ok {
		return fallback, nil
	}
	n, err := strconv.ParseUint(v[0], 10, 62)
	if err != nil || len(v) > 1 {
		return 0, therror.New(therror.Bad, "header %s is not one whole number", name)
	}
	return int64(n), nil
}

// finish counts the call and logs it if it failed.
func (c *call) finish(err error) {
	if err == nil && c.status < http.StatusMultipleChoices {
		c.parent.countResponse()
	}
	total := c.now().Sub(c.start)
	class, route := "", ""
	if c.route != nil {
		class, route = c.route.Class, c.route.Name
	}
	if c.Metrics != nil {
		c.Metrics.Call(class, c.status, string(therror.KindOf(err)), total, c.addedLatency)
	}
	if err != nil && c.Log != nil {
		c.Log.Warn("call failed", "request", c.id(), "route", route, "version", c.open.Version, "pool", c.open.Pool,
			"server", c.server, "kind", therror.KindOf(err), "status", c.status, "attempts", c.attempts, "reached", c.reached,
			"cut", c.headSent, "inner", c.parent != nil, "begun", c.open.Begun, "total", total, "error", err)
	}
}

// id returns the id of the request, empty where requests have none.
func (c *call) id() string { return c.request.Header.Get(headersOrDefault(c.Headers).RequestID) }
