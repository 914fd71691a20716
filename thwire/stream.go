package thwire

import (
	"context"
	"io"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Stream is a call as the side that opened it sees it. One goroutine reads
// the answer while another may write the request.
type Stream struct {
	flow
	ctx     context.Context
	openEnd uint64 // position after the Open frame in the queue of the session
	head    *Head
	end     *End
	load    *Load
}

func (s *Stream) base() *flow { return &s.flow }

// broken ends the stream with its session. The call certainly was not handed
// over when no byte of its Open frame was given to the connection.
func (s *Stream) broken(err error, handed uint64) {
	k := therror.Broken
	if s.openEnd > handed {
		k = therror.Down
	}
	s.fail(therror.Wrap(k, err, "session broke"))
}

func (s *Stream) gotHead(h *Head) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.head != nil {
		return therror.New(therror.Frame, "stream %d: second head", s.id)
	}
	s.head = h
	signal(s.readable)
	return nil
}

func (s *Stream) gotEnd(e *End) error {
	s.mutex.Lock()
	if s.head == nil {
		s.mutex.Unlock()
		return therror.New(therror.Frame, "stream %d: end without head", s.id)
	}
	s.end, s.load, s.ended = e, &e.Load, true
	s.mutex.Unlock()
	s.session.remove(s.id)
	signal(s.readable)
	signal(s.writable)
	return nil
}

func (s *Stream) gotRefuse(r *Refuse) {
	k := therror.Kind(r.Kind)
	if !therror.IsKnown(k) {
		k = therror.Internal
	}
	s.mutex.Lock()
	s.load = &r.Load
	if s.head != nil && therror.ResponseTo(k).NotRun {
		k = therror.Broken // an answer had begun, so the call has run
	}
	s.mutex.Unlock()
	s.session.remove(s.id)
	s.fail(therror.New(k, "%s", r.Message).WithRetryAfter(time.Duration(r.Retry)))
}

// Write sends bytes of the request. It waits for credit.
func (s *Stream) Write(p []byte) (int, error) {
	if s.finished() {
		return 0, io.ErrClosedPipe
	}
	return s.write(s.ctx, p)
}

// CloseWrite ends the request.
func (s *Stream) CloseWrite() error {
	if !s.finished() {
		s.session.sendRaw(TypeBodyEnd, s.id, nil)
	}
	return nil
}

func (s *Stream) finished() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.end != nil || s.failure != nil
}

// Head waits for the head of the answer.
func (s *Stream) Head(ctx context.Context) (Head, error) {
	for {
		s.mutex.Lock()
		h, err := s.head, s.failure
		s.mutex.Unlock()
		if err != nil {
			return Head{}, err
		}
		if h != nil {
			signal(s.readable) // a part may have been signalled together with the head
			return *h, nil
		}
		select {
		case <-s.readable:
		case <-ctx.Done():
			return Head{}, contextError(ctx)
		}
	}
}

// Read returns bytes of the answer; io.EOF comes only after the whole answer.
func (s *Stream) Read(p []byte) (int, error) { return s.read(s.ctx, p) }

// Ready reports whether Read would return at once.
func (s *Stream) Ready() bool { return s.ready() }

// Trailer returns the trailer after Read has returned io.EOF.
func (s *Stream) Trailer() []Header {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.end == nil {
		return nil
	}
	return s.end.Trailer
}

// Load returns the load of the target, which comes with the end of the answer.
func (s *Stream) Load() (Load, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.load == nil {
		return Load{}, false
	}
	return *s.load, true
}

// Cancel gives the call up. It does nothing after the end of the answer.
func (s *Stream) Cancel(k therror.Kind) {
	if s.finished() {
		s.discard()
		return
	}
	s.session.remove(s.id)
	s.fail(therror.New(k, "call cancelled"))
	s.session.send(TypeCancel, Cancel{Stream: s.id, Kind: string(k)})
}
