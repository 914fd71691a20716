package thwire

import (
	"context"
	"slices"
	"sync"
)

// Limits of the send queue of a session, in bytes.
const (
	softQueueLimit = 1 << 20  // writers of data frames block above it
	hardQueueLimit = 16 << 20 // the session is closed above it, as the peer doesn't read

	// softLargeLimit is the part of the soft limit that frames of large bodies may take, so that
	// small bodies find room beside them.
	softLargeLimit = softQueueLimit / 2

	// maxWrite bounds what is written at once while frames wait, to one data frame: a more urgent
	// frame waits for at most that, which takes 26 ms at 10 Mbit/s.
	maxWrite = lengthSize + typeSize + streamSize + maxDataFrame

	freeBuffers   = 3              // unused buffers that are kept
	maxFreeBuffer = softLargeLimit // capacity

	// laneShare is the number of bytes from other lanes after which a lane with waiting frames
	// may send a write, so that each gets at least a ninth of the link.
	laneShare = 8 * maxWrite
)

// sendQueue collects the outgoing frames of a session in lanes of different urgency. A single
// goroutine writes the accumulated frames with few system calls. The frames of a stream are
// written in the order in which they were added.
type sendQueue struct {
	mutex   sync.Mutex
	lanes   [laneCount]lane
	pending int       // bytes in all lanes
	waiters []*sender // writers in addBelowSoftLimit, in the order of their arrival
	free    [freeBuffers][]byte
	busy    []byte        // the buffer of the write in progress, if it is no longer that of a lane
	mixed   []byte        // the write in progress, if it has frames of several lanes
	wake    chan struct{} // wakes the writer
	closed  bool
	link    *Link // counts the bytes; may be nil
}

// sender is the place of a stream in the send queue. The mutex of the queue guards it.
type sender struct {
	position uint64  // in its lane, after the latest frame
	lane     urgency // of the latest frame
	wanted   urgency // of the frame for which it waits
	waiting  bool    // it is one of the waiters
	// room is signalled when the sender ceases to be one of the waiters. It has a buffer of
	// one, and other signals are allowed.
	room chan struct{}
}

func newSendQueue() *sendQueue { return &sendQueue{wake: make(chan struct{}, 1)} }

// add appends frames with encode to the lane u and returns the position after them in the lane.
// With the sender of a stream, they are not written before its earlier frames: they are added
// to the lane of those if it is less urgent and they still wait. It returns false if the queue
// is closed or exceeds its hard limit. With later set, the frames don't wake the writer: they
// wait for the next call without it.
func (q *sendQueue) add(u urgency, s *sender, encode func([]byte) ([]byte, error), later bool) (uint64, bool, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.append(u, s, encode, later)
}

// append is add for a caller that holds the mutex.
func (q *sendQueue) append(u urgency, s *sender, encode func([]byte) ([]byte, error), later bool) (uint64, bool, error) {
	if q.closed || q.pending > hardQueueLimit {
		return 0, false, nil
	}
	behind := s != nil && s.lane != u && s.position > q.lanes[s.lane].taken
	if behind && s.lane > u {
		u, behind = s.lane, false
	}
	l := &q.lanes[u]
	if l.frames == nil {
		l.frames = q.buffer()
	}
	before := len(l.frames)
	b, err := encode(l.frames)
	if err != nil {
		return l.queued, true, err
	}
	if behind {
		l.barriers = append(l.barriers, barrier{position: l.queued, lane: s.lane, after: s.position})
	}
	n := len(b) - before
	l.frames = b
	l.queued += uint64(n)
	q.pending += n
	q.link.Add(n, u.isLarge())
	if s != nil {
		s.lane, s.position = u, l.queued
	}
	if !later {
		signal(q.wake)
	}
	return l.queued, true, nil
}

// addBelowSoftLimit appends frames like add once the queue is within its soft limit. Writers
// that wait for that are admitted in the order of their arrival. The error is the cause of ctx
// if that ends first, or errWritesEnded if writesDone is closed first.
func (q *sendQueue) addBelowSoftLimit(ctx context.Context, writesDone <-chan struct{}, u urgency, s *sender, encode func([]byte) ([]byte, error)) (bool, error) {
	waited := false
	for {
		q.mutex.Lock()
		if !s.waiting && (q.closed || q.hasRoom(u, 0) && (waited || !q.hasWaiter(u))) {
			defer q.mutex.Unlock()
			_, ok, err := q.append(u, s, encode, false)
			return ok, err
		}
		if !s.waiting {
			s.waiting, s.wanted = true, u
			if waited { // others have taken the room
				q.waiters = slices.Insert(q.waiters, 0, s)
			} else {
				q.waiters = append(q.waiters, s)
			}
			waited = true
		}
		q.mutex.Unlock()
		var err error
		select {
		case <-s.room:
			continue
		case <-writesDone:
			err = errWritesEnded
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
		q.leave(s)
		return true, err
	}
}

// leave removes a sender that no longer waits. If it had been admitted, the next one is.
func (q *sendQueue) leave(s *sender) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !s.waiting {
		q.admitWaiters()
		return
	}
	s.waiting = false
	if i := slices.Index(q.waiters, s); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// hasWaiter reports whether a sender waits to add frames of large bodies, or of other ones.
func (q *sendQueue) hasWaiter(u urgency) bool {
	for _, s := range q.waiters {
		if s.wanted.isLarge() == u.isLarge() {
			return true
		}
	}
	return false
}

// hasRoom reports whether a data frame may be added to the lane u after further bytes have been
// added. The mutex is held.
func (q *sendQueue) hasRoom(u urgency, further int) bool {
	if u.isLarge() && q.lanes[largeUrgent].waiting()+q.lanes[large].waiting()+further > softLargeLimit {
		return false
	}
	return q.pending+further <= softQueueLimit
}

// admitWaiters admits as many waiters as there is room for. The mutex is held.
func (q *sendQueue) admitWaiters() {
	if len(q.waiters) == 0 {
		return
	}
	rest, admitted := q.waiters[:0], 0
	for _, s := range q.waiters {
		if !q.closed && !q.hasRoom(s.wanted, admitted) {
			rest = append(rest, s)
			continue
		}
		admitted += maxWrite
		s.waiting = false
		signal(s.room)
	}
	clear(q.waiters[len(rest):])
	q.waiters = rest
}

// take returns the frames to be written next, none if no frame waits. The caller writes them
// before it calls take again, which reuses their memory.
func (q *sendQueue) take() []byte {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.release(q.busy)
	q.busy = nil
	if q.pending == 0 {
		return nil
	}
	b := q.takeLane(q.next(), maxWrite)
	if len(b) < maxWrite && q.pending > 0 {
		b = q.takeMore(b)
	}
	q.admitWaiters()
	return b
}

// takeMore adds the frames of further lanes to b, which is less than a full write.
func (q *sendQueue) takeMore(b []byte) []byte {
	copied := false
	for u := range laneCount {
		l := &q.lanes[u]
		if l.waiting() == 0 || q.held(l) || len(b)+l.frameSize() > maxWrite {
			continue
		}
		if !copied {
			q.mixed, copied = append(q.mixed[:0], b...), true
			q.release(q.busy)
			q.busy = nil
			b = q.mixed
		}
		b = append(b, q.takeLane(u, maxWrite-len(b))...)
		q.release(q.busy)
		q.busy = nil
	}
	if copied {
		q.mixed = b
	}
	return b
}

// next returns the lane from which the next write is taken: the most urgent one with frames,
// unless another one has been skipped for its share. Frames must wait. The mutex is held.
func (q *sendQueue) next() urgency {
	first := laneCount
	for u := range q.lanes {
		l := &q.lanes[u]
		if l.waiting() == 0 || q.held(l) {
			continue
		}
		if l.skipped >= laneShare {
			return urgency(u)
		}
		if first == laneCount {
			first = urgency(u)
		}
	}
	// The most urgent lane with frames is never held, since what holds a lane waits in a
	// more urgent one.
	return first
}

// held reports whether the next frame of l must wait for a frame of a more urgent lane.
func (q *sendQueue) held(l *lane) bool {
	for len(l.barriers) > 0 && l.barriers[0].position <= l.taken {
		if b := l.barriers[0]; q.lanes[b.lane].taken < b.after {
			return true
		}
		l.barriers = l.barriers[:copy(l.barriers, l.barriers[1:])]
	}
	return false
}

// takeLane takes whole frames of a lane, at least one and otherwise up to limit bytes. The
// other lanes with frames count them as skipped.
func (q *sendQueue) takeLane(u urgency, limit int) []byte {
	l := &q.lanes[u]
	b := l.take(limit)
	q.pending -= len(b)
	for i := range q.lanes {
		if other := &q.lanes[i]; urgency(i) != u && other.waiting() > 0 {
			other.skipped += len(b)
		}
	}
	if l.waiting() == 0 {
		q.busy, l.frames, l.start = l.frames, nil, 0
	}
	return b
}

// buffer returns a buffer for the frames of a lane, nil if none is free.
func (q *sendQueue) buffer() []byte {
	for i, b := range q.free {
		if b != nil {
			q.free[i] = nil
			return b
		}
	}
	return nil
}

// release keeps a buffer for further frames, but not the memory of a burst.
func (q *sendQueue) release(b []byte) {
	if b == nil || cap(b) > maxFreeBuffer {
		return
	}
	for i := range q.free {
		if q.free[i] == nil {
			q.free[i] = b[:0]
			return
		}
	}
}

// close drops the pending frames and returns the position in the lane of control frames up to
// which frames may have reached the peer.
func (q *sendQueue) close() uint64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	taken := q.lanes[control].taken
	for i := range q.lanes {
		q.lanes[i] = lane{}
	}
	q.pending, q.free = 0, [freeBuffers][]byte{}
	q.admitWaiters()
	return taken
}
