package thwire

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

// maxCallDuration is the deadline of calls whose Open has none or a longer one. It is
// the maximum timeout of a route.
const maxCallDuration = 10 * time.Minute

// Incoming is the handling side of a call.
type Incoming struct {
	flow
	open     Open
	arrived  int64 // thclock.Stamp
	ctx      context.Context
	cancel   context.CancelFunc
	headSent atomic.Bool // WriteHead was called
	settled  atomic.Bool // ended by End, Refuse, a cancel or the session
}

func (i *Incoming) base() *flow { return &i.flow }

func (i *Incoming) initContext() {
	timeout := time.Duration(i.open.Deadline)
	if timeout <= 0 || timeout > maxCallDuration {
		timeout = maxCallDuration
	}
	i.ctx, i.cancel = context.WithTimeout(context.Background(), timeout)
	if i.open.Ended {
		i.remoteEnded = true
	}
}

func (i *Incoming) run(handler func(*Incoming)) {
	defer i.session.workers.Done()
	defer func() {
		if !i.settled.Load() {
			_ = i.Refuse(therror.New(therror.Internal, "handler ended without a response"), Load{})
		}
		i.cancel()
		i.session.handlerReturned()
	}()
	handler(i)
}

func (i *Incoming) sessionFailed(err error, _ uint64) {
	i.settled.Store(true)
	i.fail(err)
	i.cancel()
}

func (i *Incoming) outlivesSilence() bool { return i.open.Once }

func (i *Incoming) endForSilence(err error) {
	i.sessionFailed(err, 0)
	_ = i.session.sendFrame(&i.flow, control, TypeRefuse, &Refuse{Stream: i.id, Kind: string(therror.Broken), Message: err.Error()}, false)
}

func (i *Incoming) cancelledByPeer(k therror.Kind) {
	if k != therror.Late {
		k = therror.Cancelled
	}
	err := therror.New(k, "cancelled by the ingress")
	i.settled.Store(true)
	i.session.remove(i.id)
	i.fail(err)
	i.cancel()
}

// Open returns the frame that opened the call.
func (i *Incoming) Open() *Open { return &i.open }

// Context returns a context that ends when the ingress cancels the call, the session
// breaks, the deadline passes or the handler returns.
func (i *Incoming) Context() context.Context { return i.ctx }

// Read reads the request body.
func (i *Incoming) Read(p []byte) (int, error) { return i.read(i.ctx, p) }

// WriteHead starts the response. A head with a Content-Length other than 0 is sent
// with the first bytes of the body, which follow at once; any other head is sent
// immediately.
func (i *Incoming) WriteHead(h Head) error {
	if i.settled.Load() {
		return therror.New(therror.Cancelled, "stream %d has ended", i.id)
	}
	i.headSent.Store(true)
	h.Stream = i.id
	length, later := int64(0), false
	for _, e := range h.Header {
		if e.Name == "Content-Length" && e.Value != "0" {
			length, _ = strconv.ParseInt(e.Value, 10, 64) // an invalid one says nothing about the size
			later = true
		}
	}
	i.urgency = responseUrgency(&i.open, i.age(), length)
	err := i.session.sendFrame(&i.flow, i.urgency, TypeHead, &h, later)
	if later {
		return err
	}
	return nil
}

// Write sends bytes of the response body. It blocks while the send window is closed.
func (i *Incoming) Write(p []byte) (int, error) { return i.write(i.ctx, p) }

// End completes the response. It fails if the call has ended or WriteHead was not
// called.
func (i *Incoming) End(trailer []Header, l Load) error {
	if !i.headSent.Load() || i.settled.Swap(true) {
		return therror.New(therror.Cancelled, "stream %d has ended or has no head", i.id)
	}
	_ = i.session.sendFrame(&i.flow, control, TypeEnd, &End{Stream: i.id, Trailer: trailer, Load: l}, false)
	i.session.remove(i.id)
	i.discard()
	return nil
}

// Refuse ends the call with an error instead of the rest of the response. It fails if
// the call has ended.
func (i *Incoming) Refuse(e *therror.Error, l Load) error {
	if i.settled.Swap(true) {
		return therror.New(therror.Cancelled, "stream %d has ended", i.id)
	}
	message := e.Error()
	_ = i.session.sendFrame(&i.flow, control, TypeRefuse, &Refuse{
		Stream: i.id, Kind: string(e.Kind), Message: message[:min(len(message), 1024)], Retry: int64(e.RetryAfter), Load: l,
	}, false)
	i.session.remove(i.id)
	i.discard()
	return nil
}
