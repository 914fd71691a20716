package thproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// upstream is the stream of an attempt at another daemon; *thwire.Stream
// implements it.
type upstream interface {
	Write(p []byte) (int, error)
	CloseWrite() error
	Head(ctx context.Context) (thwire.Head, error)
	Read(p []byte) (int, error)
	Ready() bool
	Trailer() []thwire.Header
	Load() (thwire.Load, bool)
	Cancel(k therror.Kind)
}

// body is the request body of a call.
type body struct {
	control  *http.ResponseController
	buffered []byte        // whole body, read before the first attempt
	stream   *replayBuffer // nil if buffered is used
	copiers  sync.WaitGroup
	mutex    sync.Mutex
	err      error // read error on the caller's connection
}

// loadBody buffers a body of known length up to maxReplayBytes and prepares any
// other body for streaming.
func (c *call) loadBody() error {
	r := c.request
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		c.open.Ended = true
		return nil
	}
	c.body.control = http.NewResponseController(c.writer)
	deadline, _ := c.ctx.Deadline()
	_ = c.body.control.SetReadDeadline(deadline)
	if n := r.ContentLength; n > 0 && n <= maxReplayBytes {
		c.body.buffered = make([]byte, n)
		if _, err := io.ReadFull(r.Body, c.body.buffered); err != nil {
			return therror.Wrap(therror.Bad, err, "request body truncated before %d bytes", n)
		}
		_ = c.body.control.SetReadDeadline(time.Time{})
		return nil
	}
	if r.ProtoMajor == 1 {
		_ = c.body.control.EnableFullDuplex()
	}
	c.body.stream = &replayBuffer{source: r.Body}
	return nil
}

// sendBody sends the body to an attempt. A streamed body is copied concurrently.
func (c *call) sendBody(u upstream) error {
	b := &c.body
	switch {
	case c.open.Ended:
		return nil
	case b.stream == nil:
		// Head returns the cause of a failed write.
		_, _ = u.Write(b.buffered)
		return u.CloseWrite()
	}
	attempt := int32(c.attempts)
	b.stream.currentAttempt.Store(attempt)
	b.copiers.Go(func() {
		err := b.stream.copyTo(attempt, u)
		if errors.Is(err, errSuperseded) {
			return
		}
		if err != nil {
			b.mutex.Lock()
			b.err = err
			b.mutex.Unlock()
			u.Cancel(therror.Cancelled)
			return
		}
		if b.stream.done() {
			_ = b.control.SetReadDeadline(time.Time{})
		}
	})
	return nil
}

// stop ends all reading of the body and waits for it: net/http does not allow
// reads after the handler has returned.
func (b *body) stop() {
	if b.stream == nil {
		return
	}
	b.stream.currentAttempt.Store(-1)
	if !b.stream.done() {
		_ = b.control.SetReadDeadline(time.Unix(1, 0)) //nolint:forbidigo // not a duration
	}
	b.copiers.Wait()
	// The transport of a local target may still be reading the body.
	b.stream.mutex.Lock()
	b.stream.mutex.Unlock() //nolint:staticcheck // waits for the reader
}

// callerErr returns the error of reading the body from the caller, if any.
func (b *body) callerErr() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.err
}

// bodyErrorKind returns the kind of an error of reading the body from the caller.
func bodyErrorKind(err error) therror.Kind {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return therror.Large
	}
	return therror.Cancelled
}

// replayable reports whether the whole body can be sent again.
func (b *body) replayable() bool { return b.stream == nil || !b.stream.overflowed.Load() }

// runAttempts makes attempts until one gets a response or no retry is allowed.
func (c *call) runAttempts() error {
	if err := c.loadBody(); err != nil {
		return err
	}
	budget := c.budgets.get(c.route.Name)
	budget.countRequest(c.route.Retry)
	if c.RetryBudget != nil {
		c.RetryBudget.CountRequest(c.basePool)
	}
	for {
		if err := c.checkQuarantine(); err != nil {
			if c.unknownErr != nil {
				return c.unknownErr
			}
			return err
		}
		c.attempts++
		err := c.attempt()
		if err == nil || c.headSent {
			return err
		}
		if readErr := c.body.callerErr(); readErr != nil {
			return therror.Wrap(bodyErrorKind(readErr), readErr, "read of the request body failed")
		}
		if therror.IsNotRun(err) || therror.Is(err, therror.Crashed) {
			// Calls that the new version of a move rejects, or at which it crashes, go to
			// the old one.
			c.open.Pool = c.basePool
		}
		if !therror.IsNotRun(err) {
			c.unknownErr = err
		}
		if c.Log != nil && c.Log.IsDebug() {
			c.Log.Debug("attempt failed", "route", c.route.Name, "server", c.server, "attempt", c.attempts, "kind", therror.KindOf(err), "error", err)
		}
		if !c.mayRetry(err) || !c.takeRetry(budget) {
			if c.unknownErr != nil {
				return c.unknownErr
			}
			return err
		}
	}
}

// takeRetry takes a retry out of the budget. With a RetryBudget, retries are free
// until an attempt may have reached a backend server. A retry that was rejected is not
// taken again.
func (c *call) takeRetry(b *routeBudget) bool {
	if c.RetryBudget == nil {
		if c.reached == 0 || c.retryTaken {
			return b.rejected.take(c.route.Retry, c.Clock)
		}
		c.retryTaken = b.failed.take(c.route.Retry, c.Clock)
		return c.retryTaken
	}
	if c.reached == 0 || c.retryTaken {
		return true
	}
	priority := c.route.Priority
	if c.open.Begun {
		priority = 0
	}
	c.retryTaken = c.RetryBudget.TakeRetry(c.basePool, priority)
	return c.retryTaken
}

// mayRetry reports whether a retry is allowed after err, apart from the budget.
func (c *call) mayRetry(err error) bool {
	attemptsUsed := c.attempts-c.rejections >= maxAttempts || c.rejections >= maxRejections
	if c.rejectedByAll || attemptsUsed || c.ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if c.route.Attempts > 0 && c.reached >= c.route.Attempts || c.checkTimeLeft() != nil {
		return false
	}
	// The caller's own daemon already retries the outer call.
	if c.open.Depth > 0 {
		if n, err := headerInt(c.request.Header, headersOrDefault(c.Headers).Attempt, 1); err != nil || n > 1 {
			return false
		}
	}
	k := therror.KindOf(err)
	if a := therror.ResponseTo(k); a.NotRun {
		return a.Retryable
	}
	return !c.open.Once && (k == therror.Broken || k == therror.Crashed || k == therror.Unknown || k == therror.Internal)
}

// choose picks a server and skips peers that have sent GoAway. Copies of a suspect request go
// to one server, which runs them one at a time, so that a crash stops those that wait.
func (c *call) choose() (Choice, error) {
	for {
		choice, err := c.pick()
		if err != nil && c.open.Pool != c.basePool {
			// The new version of a move has no available server: use the old one.
			c.open.Pool = c.basePool
			continue
		}
		if err != nil {
			return nil, err
		}
		m := choice.Member()
		if (c.Local != nil && m.Name == c.Self) || !c.Dialer.SeenGoAway(m.Peer) {
			return choice, nil
		}
		if len(c.excluded) >= maxExcluded {
			return nil, therror.New(therror.Leaving, "all servers tried are leaving")
		}
		c.excluded = append(c.excluded, m.Name)
	}
}

// pick asks the balancer for a server that is not excluded. In a load test of a move, the
// servers of the new version get their calls one after the other.
func (c *call) pick() (Choice, error) {
	if c.open.Suspect != "" {
		return c.Balancer.ChooseByKey(c.open.Pool, c.open.Suspect, c.excluded)
	}
	if c.move != "" && c.open.Pool != c.basePool {
		if position, running := c.Mover.LoadTest(c.move); running {
			return c.Balancer.ChoosePacked(c.open.Pool, c.move, position, c.excluded)
		}
	}
	return c.Balancer.Choose(c.open.Pool, c.excluded)
}

// maxExcluded is the number of excluded servers at which choose stops skipping
// peers and fails.
const maxExcluded = 16

// attempt makes one attempt. If the response header was already written to the
// caller, an error means that the response must be truncated.
func (c *call) attempt() error {
	choice, err := c.selectServer()
	if err != nil {
		return err
	}
	m := choice.Member()
	c.server = m.Name
	start := c.now()
	choice.Begin()
	result := Result{Kind: therror.Internal, Route: c.route.Name}
	defer func() {
		choice.Done(result)
		c.observe(m.Name, result)
	}()
	err = c.dispatch(choice, start, &result)
	c.recordOutcome(m, err)
	if !therror.IsNotRun(err) || therror.Is(err, therror.Shed) {
		if c.reached == 0 && c.parent.isRetry() && c.RetryBudget != nil {
			c.RetryBudget.CountRetry(c.basePool)
		}
		c.reached++
		c.retryTaken = false
	} else if c.reached > 0 && therror.Is(err, therror.Full) {
		c.rejections++
	}
	result.Kind, result.RetryAfter = therror.KindOf(err), therror.RetryAfter(err)
	if err != nil {
		c.excluded = append(c.excluded, m.Name)
		c.lastErr = err
		if result.Kind == therror.Full {
			c.retryAfter = result.RetryAfter
		} else {
			c.failedServers = append(c.failedServers, m.Name)
		}
	}
	return err
}

// dispatch sends an attempt to a chosen server and fills in the result.
func (c *call) dispatch(choice Choice, start time.Time, result *Result) error {
	m, o := choice.Member(), c.open
	if d, ok := c.ctx.Deadline(); ok {
		o.Deadline = max(int64(c.beforeEnd(time.Until(d))), 1)
	}
	o.Header = o.Header[:c.baseHeaderCount:c.baseHeaderCount]
	if name := headersOrDefault(c.Headers).Attempt; name != "" {
		o.Header = append(o.Header, thwire.Header{Name: name, Value: strconv.Itoa(c.attempts)})
	}
	if o.Goal > 0 {
		o.Goal = max(o.Goal-int64(c.now().Sub(c.start)), 1)
	}
	o.Again = c.reached > 0 || c.parent.isRetry()
	if m.Server != nil {
		o.Instance, o.Rate = m.Server.Instance, choice.StatedRate()
	}
	if c.Local != nil && m.Name == c.Self {
		return c.dispatchLocal(o, result)
	}
	u, err := c.Dialer.Open(c.ctx, m.Peer, o)
	if err != nil {
		return err
	}
	defer c.closeStream(u)
	if err := c.sendBody(u); err != nil {
		return err
	}
	head, err := u.Head(c.ctx)
	result.Latency = c.now().Sub(start)
	if err == nil {
		result.Status = head.Status
		c.reportLeaving(m, &head)
		err = c.relayResponse(u, &head)
	}
	result.Load, result.HasLoad = u.Load()
	return err
}

// endMargin is the time that a stopping daemon needs to pass on the last responses.
const endMargin = 300 * time.Millisecond

// beforeEnd limits the time that is left for an attempt to what a stopping daemon can wait. A call
// that is still queued at a target then is rejected as not run, in place of being cut.
func (c *call) beforeEnd(left time.Duration) time.Duration {
	if c.EndsIn == nil {
		return left
	}
	if end, stopping := c.EndsIn(); stopping {
		return min(left, end-endMargin)
	}
	return left
}

// reportLeaving calls OnLeaving if the backend server of the member states in a response that
// it is leaving. The daemon beside it may end before the other daemons have learned that.
func (c *call) reportLeaving(m *thwire.Member, head *thwire.Head) {
	name := headersOrDefault(c.Headers).Leaving
	if c.OnLeaving == nil || name == "" {
		return
	}
	if slices.Contains(head.Header, thwire.Header{Name: name, Value: headerValueLeaving}) {
		c.OnLeaving(m)
	}
}

// closeStream cancels a stream. The target stops working on the call if its
// response is not complete.
func (c *call) closeStream(u upstream) {
	if c.ctx.Err() != nil {
		u.Cancel(therror.KindOf(context.Cause(c.ctx)))
		return
	}
	u.Cancel(therror.Cancelled)
}

// observe reports the result of an attempt to the running move as evidence.
// Calls cancelled by the caller are no evidence.
func (c *call) observe(server string, r Result) {
	if c.move == "" || r.Kind == therror.Cancelled {
		return
	}
	c.Mover.Observe(c.move, c.open.Pool, server, r.Kind, r.Status, r.Latency, r.Load)
}
