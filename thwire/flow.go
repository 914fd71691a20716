package thwire

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Flow control parameters of a stream, in bytes.
const (
	initialWindow   = 256 << 10 // send window of a new stream, in each direction
	smallWindow     = 32 << 10  // window of new streams when many bytes are buffered for all
	creditThreshold = 64 << 10  // bytes consumed before a Credit is sent
	maxDataFrame    = 32 << 10  // data of a single frame, so that streams interleave
)

// errWritesEnded is the error of a write after the peer has ended the call.
var errWritesEnded = therror.Wrap(therror.Cancelled, io.ErrClosedPipe, "the call has ended")

var errFinished = therror.New(therror.Cancelled, "the stream has finished")

// flow is the part of a stream that both sides share: the received data and the flow
// control. One goroutine may read while another one writes.
type flow struct {
	session  *Session
	id       uint32
	dataType Type // type of the data frames sent by this side
	sender   sender

	// Of the goroutine that writes:
	urgency urgency // of the next data frame
	sent    int32   // bytes written while the body counts as small

	mutex         sync.Mutex
	received      bytes.Buffer
	uncredited    int   // bytes read for which no Credit was sent yet
	receiveWindow int   // bytes that the peer may still send
	creditAfter   int   // bytes consumed before a Credit is sent
	maxWindow     int   // highest send window
	remoteEnded   bool  // the peer has sent all data
	failure       error // ends both directions at once
	sendWindow    int   // bytes that this side may still send
	readable      chan struct{}
	writable      chan struct{}
	writesEnded   bool
	writesDone    chan struct{} // closed when no more may be written
}

func (f *flow) init(s *Session, id uint32, t Type) {
	f.session, f.id, f.dataType = s, id, t
	f.sendWindow, f.receiveWindow, f.maxWindow, f.creditAfter = initialWindow, initialWindow, initialWindow, creditThreshold
	f.readable, f.writable, f.writesDone = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	// The writer waits for room in the send queue or for credit, but not for both.
	f.sender.room = f.writable
}

// signal wakes the receiver of c, which has a buffer of one, without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// deliver buffers data from the peer. It returns an error for data beyond the window or
// after the end.
func (f *flow) deliver(data []byte) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failure != nil {
		return nil
	}
	if f.remoteEnded || len(data) > f.receiveWindow {
		return therror.New(therror.Frame, "stream %d: data beyond the credit or after the end", f.id)
	}
	f.receiveWindow -= len(data)
	f.session.addBuffered(len(data))
	f.received.Write(data)
	signal(f.readable)
	return nil
}

// finish marks that the peer has sent all data.
func (f *flow) finish() {
	f.mutex.Lock()
	f.remoteEnded = true
	f.mutex.Unlock()
	signal(f.readable)
}

// endWrites ends blocked and later writes. The mutex is held.
func (f *flow) endWrites() {
	if !f.writesEnded {
		f.writesEnded = true
		close(f.writesDone)
	}
}

// fail ends both directions with err and frees the buffered data. Only the first error
// is kept.
func (f *flow) fail(err error) {
	f.mutex.Lock()
	if f.failure == nil {
		f.failure = err
		f.session.addBuffered(-f.received.Len())
		f.received = bytes.Buffer{}
	}
	f.endWrites()
	f.mutex.Unlock()
	signal(f.readable)
}

// discard ends both directions, frees the buffered data and drops data that still arrives.
func (f *flow) discard() {
	f.mutex.Lock()
	if f.failure == nil {
		f.failure = errFinished
	}
	f.session.addBuffered(-f.received.Len())
	f.received = bytes.Buffer{}
	f.endWrites()
	f.mutex.Unlock()
	signal(f.readable)
}

// addCredit extends the send window.
func (f *flow) addCredit(n uint32) {
	f.mutex.Lock()
	// The peer may only credit bytes that were sent; any excess is ignored.
	f.sendWindow = min(f.sendWindow+int(n), f.maxWindow)
	f.mutex.Unlock()
	signal(f.writable)
}

// ready reports whether a read would not block.
func (f *flow) ready() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.received.Len() > 0 || f.remoteEnded || f.failure != nil
}

func (f *flow) read(ctx context.Context, p []byte) (int, error) {
	for {
		f.mutex.Lock()
		switch {
		case f.failure != nil:
			defer f.mutex.Unlock()
			return 0, f.failure
		case f.received.Len() > 0:
			n, _ := f.received.Read(p)
			f.session.addBuffered(-n)
			f.uncredited += n
			credit := 0
			if f.uncredited >= f.creditAfter && !f.remoteEnded {
				credit, f.uncredited = f.uncredited, 0
				f.receiveWindow += credit
			}
			f.mutex.Unlock()
			if credit > 0 {
				f.session.send(TypeCredit, Credit{Stream: f.id, Bytes: uint32(credit)})
			}
			return n, nil
		case f.remoteEnded:
			f.mutex.Unlock()
			return 0, io.EOF
		}
		f.mutex.Unlock()
		select {
		case <-f.readable:
		case <-ctx.Done():
			return 0, contextError(ctx)
		}
	}
}

func (f *flow) write(ctx context.Context, p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		if ctx.Err() != nil {
			return total, contextError(ctx)
		}
		n, err := f.reserve(ctx, min(len(p), maxDataFrame))
		if err != nil {
			return total, err
		}
		if err := f.session.sendData(ctx, f, f.nextUrgency(n), p[:n]); err != nil {
			return total, f.writeError(err)
		}
		p, total = p[n:], total+n
	}
	return total, nil
}

// nextUrgency returns the urgency of the next data frame, which has n bytes.
func (f *flow) nextUrgency(n int) urgency {
	if !f.urgency.isLarge() {
		if f.sent += int32(n); f.sent > smallBytes {
			f.urgency = f.urgency.ofRest()
		}
	}
	return f.urgency
}

// writeError returns the failure of the stream, or err if it has not failed.
func (f *flow) writeError(err error) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failure != nil {
		return f.failure
	}
	return err
}

// reserve waits until the send window is open and takes up to limit bytes of it. The error is
// errWritesEnded if no more may be written and the stream has not failed.
func (f *flow) reserve(ctx context.Context, limit int) (int, error) {
	for {
		f.mutex.Lock()
		if f.failure != nil {
			defer f.mutex.Unlock()
			return 0, f.failure
		}
		if f.writesEnded {
			defer f.mutex.Unlock()
			return 0, errWritesEnded
		}
		if n := min(limit, f.sendWindow); n > 0 {
			f.sendWindow -= n
			f.mutex.Unlock()
			return n, nil
		}
		f.mutex.Unlock()
		select {
		case <-f.writable:
		case <-f.writesDone:
		case <-ctx.Done():
			return 0, contextError(ctx)
		}
	}
}

// contextError returns the cause of an ended context as an error of kind Late or
// Cancelled, or of the kind of the cause.
func contextError(ctx context.Context) error {
	cause := context.Cause(ctx)
	return therror.Wrap(therror.KindOf(cause), cause, "call ended")
}
