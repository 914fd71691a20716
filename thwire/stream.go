package thwire

import (
	"context"
	"io"
	"math"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Stream is the calling side of a call. One goroutine may read the response while
// another one writes the request.
type Stream struct {
	flow
	ctx        context.Context
	once       bool   // the call must not be made again
	openOffset uint64 // position after the Open frame in the send queue of the session
	head       *Head
	end        *End
	load       *Load

	// Guarded by the mutex of the session:
	previous, next *Stream // in Session.unread
	linked         bool    // it is in Session.unread
	released       bool    // it is no longer to be put there
}

func (s *Stream) base() *flow { return &s.flow }

// sessionFailed ends the stream with its session. The call has certainly not run, kind
// Down, if its Open frame was never taken from the send queue.
func (s *Stream) sessionFailed(err error, taken uint64) {
	k := therror.Broken
	if s.openOffset > taken {
		k = therror.Down
	}
	s.fail(therror.Wrap(k, err, "session broke"))
}

// outlivesSilence is true for calls that must not be made again, and for responses of which
// the caller may have got a part.
func (s *Stream) outlivesSilence() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.once || s.head != nil
}

func (s *Stream) endForSilence(err error) {
	s.sessionFailed(err, math.MaxUint64)
	_ = s.session.sendFrame(&s.flow, control, TypeCancel, Cancel{Stream: s.id, Kind: string(therror.Cancelled)}, false)
}

func (s *Stream) handleHead(h *Head) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.head != nil {
		return therror.New(therror.Frame, "stream %d: second head", s.id)
	}
	s.head = h
	signal(s.readable)
	return nil
}

func (s *Stream) handleEnd(e *End) error {
	s.mutex.Lock()
	if s.head == nil {
		s.mutex.Unlock()
		return therror.New(therror.Frame, "stream %d: end without head", s.id)
	}
	s.end, s.load, s.remoteEnded = e, &e.Load, true
	s.endWrites()
	s.mutex.Unlock()
	s.session.adoptLinkWait(&e.Load)
	s.session.removeEnded(s)
	signal(s.readable)
	return nil
}

func (s *Stream) handleRefuse(r *Refuse) {
	k := therror.Kind(r.Kind)
	if !therror.IsKnown(k) {
		k = therror.Internal
	}
	s.mutex.Lock()
	s.load = &r.Load
	if s.head != nil && therror.ResponseTo(k).NotRun {
		k = therror.Broken // the response had started, so the call has run
	}
	s.mutex.Unlock()
	s.session.adoptLinkWait(&r.Load)
	s.session.remove(s.id)
	s.fail(therror.New(k, "%s", r.Message).WithRetryAfter(time.Duration(r.Retry)))
}

// Write sends bytes of the request body. It blocks while the send window is closed, and
// returns io.ErrClosedPipe after the end of the response.
func (s *Stream) Write(p []byte) (int, error) {
	if s.finished() {
		return 0, io.ErrClosedPipe
	}
	return s.write(s.ctx, p)
}

// CloseWrite ends the request body.
func (s *Stream) CloseWrite() error {
	if !s.finished() {
		s.session.sendRequestEnd(&s.flow)
	}
	return nil
}

func (s *Stream) finished() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.end != nil || s.failure != nil
}

// Head waits for the head of the response.
func (s *Stream) Head(ctx context.Context) (Head, error) {
	for {
		s.mutex.Lock()
		h, err := s.head, s.failure
		s.mutex.Unlock()
		if err != nil {
			return Head{}, err
		}
		if h != nil {
			signal(s.readable) // the signal may have announced data as well as the head
			return *h, nil
		}
		select {
		case <-s.readable:
		case <-ctx.Done():
			return Head{}, contextError(ctx)
		}
	}
}

// Read reads the response body. It returns io.EOF only after a complete response.
func (s *Stream) Read(p []byte) (int, error) { return s.read(s.ctx, p) }

// Ready reports whether Read would not block.
func (s *Stream) Ready() bool { return s.ready() }

// Trailer returns the trailer of the response, nil before its end.
func (s *Stream) Trailer() []Header {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.end == nil {
		return nil
	}
	return s.end.Trailer
}

// Load returns the load of the target, which is sent with the end of the response. It
// returns false before.
func (s *Stream) Load() (Load, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.load == nil {
		return Load{}, false
	}
	return *s.load, true
}

// Cancel cancels the call with the kind k. After the end of the response it only frees
// the buffered data.
func (s *Stream) Cancel(k therror.Kind) {
	if s.finished() {
		s.discard()
		s.session.forget(s)
		return
	}
	s.session.forget(s)
	s.fail(therror.New(k, "call cancelled"))
	_ = s.session.sendFrame(&s.flow, control, TypeCancel, Cancel{Stream: s.id, Kind: string(k)}, false)
}
