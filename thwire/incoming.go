package thwire

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

// longestCall bounds calls whose Open names no deadline or a longer one; it is
// the longest timeout of a route.
const longestCall = 10 * time.Minute

// Incoming is a call as the side that handles it sees it.
type Incoming struct {
	flow
	open    Open
	ctx     context.Context
	cancel  context.CancelFunc
	headed  atomic.Bool
	settled atomic.Bool
}

func (i *Incoming) base() *flow { return &i.flow }

func (i *Incoming) start() {
	left := time.Duration(i.open.Deadline)
	if left <= 0 || left > longestCall {
		left = longestCall
	}
	i.ctx, i.cancel = context.WithTimeout(context.Background(), left)
	if i.open.Ended {
		i.ended = true
	}
}

func (i *Incoming) run(handler func(*Incoming)) {
	defer i.session.workers.Done()
	defer func() {
		if !i.settled.Load() {
			_ = i.Refuse(therror.New(therror.Internal, "handler ended without an answer"), Load{})
		}
		i.cancel()
		i.session.leave()
	}()
	handler(i)
}

func (i *Incoming) broken(err error, _ uint64) {
	i.settled.Store(true)
	i.fail(err)
	i.cancel()
}

func (i *Incoming) cancelled(k therror.Kind) {
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

// Context ends when the ingress cancels, the session breaks, the deadline
// passes or the handler returns.
func (i *Incoming) Context() context.Context { return i.ctx }

// Read returns bytes of the request.
func (i *Incoming) Read(p []byte) (int, error) { return i.read(i.ctx, p) }

// WriteHead begins the answer. A head with a Content-Length is sent together
// with the first part, which follows at once; any other head is sent now.
func (i *Incoming) WriteHead(h Head) error {
	if i.settled.Load() {
		return therror.New(therror.Cancelled, "stream %d has ended", i.id)
	}
	i.headed.Store(true)
	h.Stream = i.id
	for _, e := range h.Header {
		if e.Name == "Content-Length" && e.Value != "0" {
			return i.session.sendLater(TypeHead, &h)
		}
	}
	i.session.send(TypeHead, &h)
	return nil
}

// Write sends bytes of the answer. It waits for credit.
func (i *Incoming) Write(p []byte) (int, error) { return i.write(i.ctx, p) }

// End completes the answer.
func (i *Incoming) End(trailer []Header, l Load) error {
	if !i.headed.Load() || i.settled.Swap(true) {
		return therror.New(therror.Cancelled, "stream %d has ended or has no head", i.id)
	}
	i.session.send(TypeEnd, &End{Stream: i.id, Trailer: trailer, Load: l})
	i.session.remove(i.id)
	i.discard()
	return nil
}

// Refuse ends the call with an error.
func (i *Incoming) Refuse(e *therror.Error, l Load) error {
	if i.settled.Swap(true) {
		return therror.New(therror.Cancelled, "stream %d has ended", i.id)
	}
	message := e.Error()
	i.session.send(TypeRefuse, &Refuse{
		Stream: i.id, Kind: string(e.Kind), Message: message[:min(len(message), 1024)], Retry: int64(e.RetryAfter), Load: l,
	})
	i.session.remove(i.id)
	i.discard()
	return nil
}
