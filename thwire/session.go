package thwire

import (
	"bufio"
	"context"
	"encoding/binary"
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

// Bounds of a session.
const (
	maxStreams    = 1024      // streams in progress; more are refused as Full
	maxBuffered   = 128 << 20 // bytes received and not read, over all streams
	lastStream    = 1 << 31   // a session that has opened as many is replaced
	sessionBuffer = 16 << 10
	pingEvery     = 500 * time.Millisecond
	// silence of a peer with streams in progress after which it counts as frozen:
	// it has had pingEvery to answer a ping, and a safe call with the usual
	// deadline of 2 s still has time for another server
	silenceLimit = 900 * time.Millisecond
)

// Session carries many calls over one TCP connection. The side that dialled
// opens streams; the other side handles them.
type Session struct {
	conn     net.Conn
	clock    clockwork.Clock
	handler  func(*Incoming) // nil on the side that dialled
	out      *queue
	buffered atomic.Int64
	lastRead atomic.Int64 // time of the last byte from the peer, in ns since 1970
	goneAway atomic.Bool  // the peer takes no new streams
	going    atomic.Bool  // this side takes no new streams

	mutex    sync.Mutex
	streams  map[uint32]receiver
	running  int    // handlers, those of cancelled streams included
	last     uint32 // highest stream number opened
	failure  error
	idleFrom time.Time // since when there are no streams

	done    chan struct{}
	workers sync.WaitGroup
	loops   sync.WaitGroup
	ended   chan struct{}
}

// receiver is a stream of either side.
type receiver interface {
	base() *flow
	broken(err error, handed uint64)
}

// ServeCalls handles the calls that the peer opens on conn, after its Hello
// has been read. Each call runs in a goroutine of its own.
func ServeCalls(conn net.Conn, handler func(*Incoming)) *Session {
	return startSession(conn, handler, nil)
}

func startSession(conn net.Conn, handler func(*Incoming), clock clockwork.Clock) *Session {
	s := &Session{
		conn: conn, handler: handler, clock: thclock.OrSystem(clock), out: newQueue(),
		streams: make(map[uint32]receiver), done: make(chan struct{}), ended: make(chan struct{}),
	}
	s.idleFrom = s.clock.Now()
	s.lastRead.Store(s.idleFrom.UnixNano())
	s.loops.Add(3)
	go s.readLoop()
	go s.writeLoop()
	go s.watch()
	go func() {
		s.loops.Wait()
		s.workers.Wait()
		close(s.ended)
	}()
	return s
}

// Done is closed when all goroutines of the session have ended.
func (s *Session) Done() <-chan struct{} { return s.ended }

// GoAway tells the peer to open no further streams; streams in progress finish.
func (s *Session) GoAway(reason string) {
	s.going.Store(true)
	s.send(TypeGoAway, GoAway{Reason: reason})
}

// Active returns the number of streams in progress.
func (s *Session) Active() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.streams)
}

// Close breaks the session and waits for its goroutines.
func (s *Session) Close() {
	s.fail(therror.New(therror.Broken, "session closed"))
	<-s.ended
}

func (s *Session) alive() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure == nil
}

// spent reports whether the stream numbers of the session run out.
func (s *Session) spent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.last >= lastStream
}

// fail ends the session and all its streams.
func (s *Session) fail(err error) { s.failIf(err, func() bool { return true }) }

// failIf ends the session where test, which runs under the lock, agrees.
func (s *Session) failIf(err error, test func() bool) bool {
	s.mutex.Lock()
	if s.failure != nil || !test() {
		defer s.mutex.Unlock()
		return s.failure != nil
	}
	s.failure = err
	streams := s.streams
	s.streams = make(map[uint32]receiver)
	s.mutex.Unlock()
	handed := s.out.close()
	close(s.done)
	_ = s.conn.Close()
	for _, r := range streams {
		r.broken(err, handed)
	}
	return true
}

func (s *Session) remove(id uint32) {
	s.mutex.Lock()
	delete(s.streams, id)
	if len(s.streams) == 0 {
		s.idleFrom = s.clock.Now()
	}
	s.mutex.Unlock()
}

// leave counts a handler that has returned.
func (s *Session) leave() {
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
}

func (s *Session) find(id uint32) receiver {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.streams[id]
}

func (s *Session) send(t Type, m msgp.Marshaler) {
	_, ok, err := s.out.add(func(b []byte) ([]byte, error) { return AppendFrame(b, t, m) }, false)
	s.check(ok, err)
}

// sendLater queues a frame that goes out with the next one.
func (s *Session) sendLater(t Type, m msgp.Marshaler) error {
	_, ok, err := s.out.add(func(b []byte) ([]byte, error) { return AppendFrame(b, t, m) }, true)
	s.check(ok, err)
	return err
}

func (s *Session) sendRaw(t Type, id uint32, data []byte) {
	_, ok, err := s.out.add(func(b []byte) ([]byte, error) { return AppendRaw(b, t, id, data) }, false)
	s.check(ok, err)
}

func (s *Session) check(ok bool, err error) {
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

// watch pings a silent peer while streams are in progress.
func (s *Session) watch() {
	defer s.loops.Done()
	t := s.clock.NewTicker(pingEvery)
	defer t.Stop()
	waiting := false // streams were in progress at the previous tick too
	for number := uint64(1); ; number++ {
		select {
		case <-t.Chan():
		case <-s.done:
			return
		}
		if s.Active() == 0 {
			waiting = false
			continue
		}
		now := s.clock.Now()
		if !waiting { // the silence of an idle session does not count
			s.lastRead.Store(max(s.lastRead.Load(), now.UnixNano()))
			waiting = true
		}
		silence := now.Sub(time.Unix(0, s.lastRead.Load()))
		if silence > silenceLimit {
			s.fail(therror.New(therror.Broken, "peer silent for %s", silence))
			return
		}
		if silence > pingEvery/2 {
			s.send(TypePing, Ping{Number: number})
		}
	}
}

func (s *Session) readLoop() {
	defer s.loops.Done()
	r := bufio.NewReaderSize(s.conn, sessionBuffer)
	var buffer []byte
	for {
		t, payload, err := readFrame(r, &buffer)
		if err == nil {
			s.lastRead.Store(s.clock.Now().UnixNano())
			err = s.dispatch(t, payload)
		}
		if err == nil && s.buffered.Load() > maxBuffered {
			err = therror.New(therror.Full, "more than %d bytes buffered", maxBuffered)
		}
		if errors.Is(err, io.EOF) {
			// Streams report this error, and io.EOF in it would pass for the end of
			// an answer.
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			s.fail(therror.Wrap(therror.Broken, err, "session"))
			return
		}
		if cap(buffer) > 4*maxPart {
			buffer = nil // a single large frame does not keep its memory
		}
	}
}

// readFrame is ReadFrame without an allocation: the payload lies in the
// buffer of r where it fits.
func readFrame(r *bufio.Reader, buffer *[]byte) (Type, []byte, error) {
	head, err := r.Peek(lengthSize + typeSize)
	if err != nil {
		if len(head) > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	n, t := binary.BigEndian.Uint32(head), Type(head[lengthSize])
	if n < typeSize || n > MaxFrame {
		return 0, nil, therror.New(therror.Frame, "frame length %d is not between %d and %d", n, typeSize, MaxFrame)
	}
	_, _ = r.Discard(len(head))
	size := int(n - typeSize)
	if size <= r.Size() {
		payload, err := r.Peek(size)
		if err != nil {
			return 0, nil, err
		}
		_, _ = r.Discard(size)
		return t, payload, nil
	}
	if cap(*buffer) < size {
		*buffer = make([]byte, size)
	}
	payload := (*buffer)[:size]
	_, err = io.ReadFull(r, payload)
	return t, payload, err
}

func (s *Session) dispatch(t Type, payload []byte) error {
	switch t {
	case TypeBody, TypePart, TypeBodyEnd:
		return s.data(t, payload)
	case TypeOpen:
		return s.accept(payload)
	case TypeHead, TypeEnd, TypeRefuse:
		return s.answer(t, payload)
	case TypeCancel:
		var c Cancel
		if err := Decode(payload, &c); err != nil {
			return err
		}
		if in, ok := s.find(c.Stream).(*Incoming); ok {
			in.cancelled(therror.Kind(c.Kind))
		}
	case TypeCredit:
		var c Credit
		if err := Decode(payload, &c); err != nil {
			return err
		}
		if r := s.find(c.Stream); r != nil {
			r.base().pay(c.Bytes)
		}
	case TypeGoAway:
		s.goneAway.Store(true)
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

// data passes a raw frame to its stream; unknown and finished streams are ignored.
func (s *Session) data(t Type, payload []byte) error {
	id, data, err := SplitRaw(payload)
	if err != nil {
		return err
	}
	if (t == TypePart) != (s.handler == nil) {
		return therror.New(therror.Frame, "frame type %d from the wrong side", t)
	}
	r := s.find(id)
	switch {
	case r == nil:
		return nil
	case t == TypeBodyEnd:
		r.base().finish()
		return nil
	}
	return r.base().deliver(data)
}

func (s *Session) accept(payload []byte) error {
	if s.handler == nil {
		return therror.New(therror.Frame, "open from the side that was dialled")
	}
	in := &Incoming{}
	if err := Decode(payload, &in.open); err != nil {
		return err
	}
	id := in.open.Stream
	in.init(s, id, TypePart)
	s.mutex.Lock()
	if err := s.failure; err != nil {
		s.mutex.Unlock()
		return err
	}
	if id <= s.last {
		s.mutex.Unlock()
		return therror.New(therror.Frame, "stream %d opened after stream %d", id, s.last)
	}
	s.last = id
	refusal := therror.Kind("")
	switch {
	case s.going.Load():
		refusal = therror.Leaving
	case s.running >= maxStreams:
		// Streams that a peer opens and cancels in a loop count until their
		// handlers have returned.
		refusal = therror.Full
	default:
		s.running++
		s.streams[id] = in
		s.workers.Add(1)
	}
	s.mutex.Unlock()
	if refusal != "" {
		s.send(TypeRefuse, &Refuse{Stream: id, Kind: string(refusal), Message: "session takes no more streams"})
		return nil
	}
	in.start()
	go in.run(s.handler)
	return nil
}

// answer passes a frame of the answer to its stream.
func (s *Session) answer(t Type, payload []byte) error {
	if s.handler != nil {
		return therror.New(therror.Frame, "frame type %d from the wrong side", t)
	}
	switch t {
	case TypeHead:
		h := &Head{}
		if err := Decode(payload, h); err != nil {
			return err
		}
		if st, ok := s.find(h.Stream).(*Stream); ok {
			return st.gotHead(h)
		}
	case TypeEnd:
		e := &End{}
		if err := Decode(payload, e); err != nil {
			return err
		}
		if st, ok := s.find(e.Stream).(*Stream); ok {
			return st.gotEnd(e)
		}
	default:
		r := &Refuse{}
		if err := Decode(payload, r); err != nil {
			return err
		}
		if st, ok := s.find(r.Stream).(*Stream); ok {
			st.gotRefuse(r)
		}
	}
	return nil
}

// open starts a stream; an error means that nothing was sent.
func (s *Session) open(ctx context.Context, o *Open) (*Stream, error) {
	st := &Stream{ctx: ctx}
	s.mutex.Lock()
	if s.failure != nil {
		defer s.mutex.Unlock()
		return nil, therror.Wrap(therror.Down, s.failure, "session")
	}
	if len(s.streams) >= maxStreams {
		s.mutex.Unlock()
		return nil, therror.New(therror.Full, "%d streams in progress", maxStreams)
	}
	s.last++
	o.Stream = s.last
	st.init(s, s.last, TypeBody)
	s.streams[s.last] = st
	// The frame is queued under the lock so that stream numbers rise on the wire.
	end, ok, err := s.out.add(func(b []byte) ([]byte, error) { return AppendFrame(b, TypeOpen, o) }, false)
	st.openEnd = end
	if err != nil || !ok {
		delete(s.streams, s.last)
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
