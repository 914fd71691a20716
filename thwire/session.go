package thwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/tinylib/msgp/msgp"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

// Limits of a session.
const (
	maxStreams        = 1024      // concurrent streams; further ones are rejected with kind Full
	maxBufferedBytes  = 128 << 20 // bytes received but not read, over all streams, without a BufferLimit
	maxStreamID       = 1 << 31   // a session whose stream numbers reach it is replaced
	sessionBufferSize = 16 << 10
)

// Session multiplexes calls over one TCP connection. The side that dialled opens the
// streams; the other side handles them.
type Session struct {
	conn          net.Conn
	clock         clockwork.Clock
	handler       func(*Incoming) // nil on the side that dialled
	out           *sendQueue
	limit         *BufferLimit // nil means maxBufferedBytes
	buffered      atomic.Int64 // bytes received but not read, over all streams
	lastRead      atomic.Int64 // thclock.Stamp of the last frame from the peer
	peerGoingAway atomic.Bool  // the peer accepts no new streams
	goingAway     atomic.Bool  // this side accepts no new streams
	started       time.Time    // of the session
	pinged        atomic.Int64 // ns from started to the first ping of answersPing without a frame since; zero without one
	silent        atomic.Bool  // the peer was silent for too long; no new streams are opened
	linkWait      atomic.Int64 // ns for which the peer's network link is busy, as it last stated; at most maxLinkSilence

	mutex           sync.Mutex
	streams         map[uint32]sessionStream
	unread          *Stream   // list of ended calls whose response may not have been read
	handlersRunning int       // handlers, including those of cancelled streams
	lastID          uint32    // highest stream number opened
	failure         error     // why the session ended; nil while it is alive
	idleSince       time.Time // when the last stream ended

	done    chan struct{}  // closed when the session fails
	workers sync.WaitGroup // handlers
	loops   sync.WaitGroup // readLoop, writeLoop and keepalive
	ended   chan struct{}  // closed when all goroutines have ended
}

// sessionStream is a Stream or an Incoming.
type sessionStream interface {
	base() *flow
	// sessionFailed ends the stream with err. Frames of the session's send queue beyond
	// the position taken were not written.
	sessionFailed(err error, taken uint64)
	// outlivesSilence reports whether the stream goes on while the peer is silent, since its
	// call can't be retried elsewhere: the peer may only have stopped for a moment.
	outlivesSilence() bool
	// endForSilence ends the stream with err and tells the peer.
	endForSilence(err error)
}

// ServeCalls starts a session that handles the calls that the peer opens on conn, from
// which Hello must have been read. Each call runs in a goroutine of its own. A nil limit
// limits the buffers of this session only.
func ServeCalls(conn net.Conn, handler func(*Incoming), limit *BufferLimit) *Session {
	return startSession(conn, handler, nil, limit)
}

// ServeCallsOnLink is like ServeCalls for a connection on a network link, which may be nil.
func ServeCallsOnLink(conn net.Conn, handler func(*Incoming), limit *BufferLimit, link *Link) *Session {
	return startSessionOnLink(conn, handler, nil, limit, link)
}

func startSession(conn net.Conn, handler func(*Incoming), clock clockwork.Clock, limit *BufferLimit) *Session {
	return startSessionOnLink(conn, handler, clock, limit, nil)
}

func startSessionOnLink(conn net.Conn, handler func(*Incoming), clock clockwork.Clock, limit *BufferLimit, link *Link) *Session {
	s := &Session{
		conn: conn, handler: handler, clock: thclock.OrSystem(clock), out: newSendQueue(), limit: limit,
		streams: make(map[uint32]sessionStream), done: make(chan struct{}), ended: make(chan struct{}),
	}
	if link.Known() {
		s.out.link = link
		limitUnsent(conn)
	}
	s.idleSince = s.clock.Now()
	s.started = s.idleSince
	s.lastRead.Store(thclock.Stamp(s.idleSince))
	if limit != nil {
		limit.add(s)
	}
	s.loops.Add(3)
	go s.readLoop()
	go s.writeLoop()
	go s.keepalive()
	go func() {
		s.loops.Wait()
		s.workers.Wait()
		if limit != nil {
			limit.remove(s)
		}
		close(s.ended)
	}()
	return s
}

// Done returns a channel that is closed when all goroutines of the session have ended.
func (s *Session) Done() <-chan struct{} { return s.ended }

// GoAway tells the peer to open no further streams; streams in progress finish.
func (s *Session) GoAway(reason string) {
	s.goingAway.Store(true)
	s.send(TypeGoAway, GoAway{Reason: reason})
}

// Active returns the number of streams in progress.
func (s *Session) Active() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.streams)
}

// Close ends the session with its streams and waits for its goroutines.
func (s *Session) Close() {
	s.fail(therror.New(therror.Broken, "session closed"))
	<-s.ended
}

func (s *Session) alive() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure == nil
}

// streamIDsExhausted reports whether the session must be replaced because its stream
// numbers are used up.
func (s *Session) streamIDsExhausted() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastID >= maxStreamID
}

// fail ends the session and all its streams. Only the first error counts.
func (s *Session) fail(err error) { s.failIf(err, func() bool { return true }) }

// failIf ends the session if condition, which is called with the mutex held, is true. It
// reports whether the session has ended.
func (s *Session) failIf(err error, condition func() bool) bool {
	s.mutex.Lock()
	if s.failure != nil || !condition() {
		defer s.mutex.Unlock()
		return s.failure != nil
	}
	s.failure = err
	streams := s.streams
	s.streams = make(map[uint32]sessionStream)
	s.mutex.Unlock()
	taken := s.out.close()
	close(s.done)
	_ = s.conn.Close()
	for _, st := range streams {
		st.sessionFailed(err, taken)
	}
	return true
}

func (s *Session) remove(id uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delete(id)
}

// delete is remove for a caller that holds the mutex.
func (s *Session) delete(id uint32) {
	before := len(s.streams)
	delete(s.streams, id)
	if before > 0 && len(s.streams) == 0 {
		s.idleSince = s.clock.Now()
	}
}

// handlerReturned decrements the number of running handlers.
func (s *Session) handlerReturned() {
	s.mutex.Lock()
	s.handlersRunning--
	s.mutex.Unlock()
}

func (s *Session) stream(id uint32) sessionStream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.streams[id]
}

// send queues a control frame that belongs to no stream, or may overtake the frames of its stream.
func (s *Session) send(t Type, m msgp.Marshaler) {
	_, ok, err := s.out.add(control, nil, func(b []byte) ([]byte, error) { return AppendFrame(b, t, m) }, false)
	s.checkQueued(ok, err)
}

// sendLater queues a control frame like send, which is written together with the next frame.
func (s *Session) sendLater(t Type, m msgp.Marshaler) {
	_, ok, err := s.out.add(control, nil, func(b []byte) ([]byte, error) { return AppendFrame(b, t, m) }, true)
	s.checkQueued(ok, err)
}

// sendFrame queues a frame of a stream. With later set, it is written together with the next one.
func (s *Session) sendFrame(f *flow, u urgency, t Type, m msgp.Marshaler, later bool) error {
	_, ok, err := s.out.add(u, &f.sender, func(b []byte) ([]byte, error) { return AppendFrame(b, t, m) }, later)
	s.checkQueued(ok, err)
	return err
}

func (s *Session) sendRequestEnd(f *flow) {
	_, ok, err := s.out.add(control, &f.sender, func(b []byte) ([]byte, error) { return AppendRaw(b, TypeRequestEnd, f.id, nil) }, false)
	s.checkQueued(ok, err)
}

// sendData queues a data frame of a stream once the send queue has room for it. The error is
// that of an ended ctx, or errWritesEnded if no more may be written to the stream.
func (s *Session) sendData(ctx context.Context, f *flow, u urgency, data []byte) error {
	ok, err := s.out.addBelowSoftLimit(ctx, f.writesDone, u, &f.sender, func(b []byte) ([]byte, error) { return AppendRaw(b, f.dataType, f.id, data) })
	switch {
	case errors.Is(err, errWritesEnded):
		return err
	case err != nil && ctx.Err() != nil:
		return contextError(ctx)
	}
	s.checkQueued(ok, err)
	return nil
}

func (s *Session) checkQueued(ok bool, err error) {
	if !ok {
		s.fail(therror.New(therror.Broken, "peer reads too slowly or session is closed"))
	}
	if err != nil {
		s.fail(err)
	}
}

func (s *Session) writeLoop() {
	defer s.loops.Done()
	for {
		select {
		case <-s.out.wake:
		case <-s.done:
			return
		}
		for b := s.out.take(); len(b) > 0; b = s.out.take() {
			if _, err := s.conn.Write(b); err != nil {
				s.fail(therror.Wrap(therror.Broken, err, "write to peer"))
				return
			}
		}
	}
}

func (s *Session) readLoop() {
	defer s.loops.Done()
	r := bufio.NewReaderSize(s.conn, sessionBufferSize)
	var buffer []byte
	for {
		t, payload, err := readFrame(r, &buffer)
		if err == nil {
			s.lastRead.Store(thclock.Stamp(s.clock.Now()))
			s.pinged.Store(0)
			err = s.dispatch(t, payload)
		}
		if err == nil {
			err = s.checkBuffered()
		}
		if errors.Is(err, io.EOF) {
			// Streams return this error, and a wrapped io.EOF could be taken for the end
			// of a response.
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			s.fail(therror.Wrap(therror.Broken, err, "session"))
			return
		}
		if cap(buffer) > 4*maxDataFrame {
			buffer = nil // don't keep the memory of a rare large frame
		}
	}
}

// checkBuffered returns an error of kind Full if this session has too many bytes buffered.
func (s *Session) checkBuffered() error {
	if s.limit != nil {
		return s.limit.check(s)
	}
	if s.buffered.Load() > maxBufferedBytes {
		return therror.New(therror.Full, "more than %d bytes buffered", maxBufferedBytes)
	}
	return nil
}

func (s *Session) dispatch(t Type, payload []byte) error {
	switch t {
	case TypeRequestBody, TypeResponseBody, TypeRequestEnd:
		return s.handleData(t, payload)
	case TypeOpen:
		return s.handleOpen(payload)
	case TypeHead, TypeEnd, TypeRefuse:
		return s.handleResponse(t, payload)
	case TypeCancel:
		var c Cancel
		if err := Decode(payload, &c); err != nil {
			return err
		}
		if in, ok := s.stream(c.Stream).(*Incoming); ok {
			in.cancelledByPeer(therror.Kind(c.Kind))
		}
	case TypeCredit:
		var c Credit
		if err := Decode(payload, &c); err != nil {
			return err
		}
		if st := s.stream(c.Stream); st != nil {
			st.base().addCredit(c.Bytes)
		}
	case TypeGoAway:
		s.peerGoingAway.Store(true)
	case TypePing:
		var p Ping
		if err := Decode(payload, &p); err != nil {
			return err
		}
		s.send(TypePong, Pong(p))
	case TypePong:
	case TypeHello:
		var h Hello
		if err := Decode(payload, &h); err != nil {
			return err
		}
		if h.Protocol != Protocol {
			return therror.New(therror.Frame, "peer speaks protocol %d", h.Protocol)
		}
	default:
		return therror.New(therror.Frame, "frame type %d in a call session", t)
	}
	return nil
}

// handleData passes a raw frame to its stream. Frames for unknown and finished streams
// are ignored.
func (s *Session) handleData(t Type, payload []byte) error {
	id, data, err := SplitRaw(payload)
	if err != nil {
		return err
	}
	if (t == TypeResponseBody) != (s.handler == nil) {
		return therror.New(therror.Frame, "frame type %d from the wrong side", t)
	}
	st := s.stream(id)
	switch {
	case st == nil:
		return nil
	case t == TypeRequestEnd:
		st.base().finish()
		return nil
	}
	return st.base().deliver(data)
}

// handleOpen starts the handler of a new stream, or rejects the stream.
func (s *Session) handleOpen(payload []byte) error {
	if s.handler == nil {
		return therror.New(therror.Frame, "open from the side that was dialled")
	}
	in := &Incoming{}
	if err := Decode(payload, &in.open); err != nil {
		return err
	}
	id := in.open.Stream
	in.init(s, id, TypeResponseBody)
	in.arrived = s.lastRead.Load()
	if w := in.open.Window; w > 0 && w < initialWindow {
		in.sendWindow, in.maxWindow = int(w), int(w)
	}
	// The session may fail as soon as it knows of the call, which cancels the context.
	in.initContext()
	s.mutex.Lock()
	if err := s.failure; err != nil {
		s.mutex.Unlock()
		in.cancel()
		return err
	}
	if id <= s.lastID {
		s.mutex.Unlock()
		in.cancel()
		return therror.New(therror.Frame, "stream %d opened after stream %d", id, s.lastID)
	}
	s.lastID = id
	rejection := therror.Kind("")
	switch {
	case s.goingAway.Load():
		rejection = therror.Leaving
	case s.handlersRunning >= maxStreams:
		// Cancelled streams count until their handlers have returned, so a peer that
		// opens and cancels streams in a loop is limited too.
		rejection = therror.Full
	default:
		s.handlersRunning++
		s.streams[id] = in
		s.workers.Add(1)
	}
	s.mutex.Unlock()
	if rejection != "" {
		in.cancel()
		s.send(TypeRefuse, &Refuse{Stream: id, Kind: string(rejection), Message: "session takes no more streams"})
		return nil
	}
	go in.run(s.handler)
	return nil
}

// handleResponse passes a frame of a response to its stream.
func (s *Session) handleResponse(t Type, payload []byte) error {
	if s.handler != nil {
		return therror.New(therror.Frame, "frame type %d from the wrong side", t)
	}
	switch t {
	case TypeHead:
		h := &Head{}
		if err := Decode(payload, h); err != nil {
			return err
		}
		if st, ok := s.stream(h.Stream).(*Stream); ok {
			return st.handleHead(h)
		}
	case TypeEnd:
		e := &End{}
		if err := Decode(payload, e); err != nil {
			return err
		}
		if st, ok := s.stream(e.Stream).(*Stream); ok {
			return st.handleEnd(e)
		}
	default:
		r := &Refuse{}
		if err := Decode(payload, r); err != nil {
			return err
		}
		if st, ok := s.stream(r.Stream).(*Stream); ok {
			st.handleRefuse(r)
		}
	}
	return nil
}

// open starts a stream. An error means that nothing was sent.
func (s *Session) open(ctx context.Context, o *Open) (*Stream, error) {
	st := &Stream{ctx: ctx, once: o.Once}
	s.mutex.Lock()
	if s.failure != nil {
		defer s.mutex.Unlock()
		return nil, therror.Wrap(therror.Down, s.failure, "session")
	}
	if len(s.streams) >= maxStreams {
		s.mutex.Unlock()
		return nil, therror.New(therror.Full, "%d streams in progress", maxStreams)
	}
	s.lastID++
	o.Stream = s.lastID
	st.init(s, s.lastID, TypeRequestBody)
	if s.limit.isNear() {
		// An older peer ignores it, so that more data is no error.
		o.Window, st.creditAfter = smallWindow, smallWindow/2
	}
	s.streams[s.lastID] = st
	// The frame is queued with the mutex held so that stream numbers increase on the wire.
	offset, ok, err := s.out.add(control, &st.sender, func(b []byte) ([]byte, error) { return AppendFrame(b, TypeOpen, o) }, false)
	st.openOffset = offset
	if err != nil || !ok {
		delete(s.streams, s.lastID)
	}
	s.mutex.Unlock()
	if err != nil {
		return nil, therror.Wrap(therror.Bad, err, "request header too large")
	}
	if !ok {
		return nil, therror.New(therror.Down, "session to the peer is closing")
	}
	return st, nil
}
