package thwire

import (
	"context"
	"sync"
)

// Limits of the send queue of a session, in bytes.
const (
	softQueueLimit = 1 << 20  // writers of data frames block above it
	hardQueueLimit = 16 << 20 // the session is closed above it, as the peer doesn't read
)

// sendQueue collects the outgoing frames of a session. A single goroutine writes all
// accumulated frames with one system call.
type sendQueue struct {
	mutex   sync.Mutex
	pending []byte
	spare   []byte
	queued  uint64        // total number of bytes appended
	taken   uint64        // total number of bytes taken for writing
	drained chan struct{} // closed by the next take; nil if nobody waits
	wake    chan struct{} // wakes the writer
	closed  bool
}

func newSendQueue() *sendQueue { return &sendQueue{wake: make(chan struct{}, 1)} }

// add appends frames with encode and returns the position after them. It returns false
// if the queue is closed or exceeds its hard limit. With later set, the frames don't wake
// the writer: they wait for the next call without it.
func (q *sendQueue) add(encode func([]byte) ([]byte, error), later bool) (uint64, bool, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.append(encode, later)
}

// append is add for a caller that holds the mutex.
func (q *sendQueue) append(encode func([]byte) ([]byte, error), later bool) (uint64, bool, error) {
	if q.closed || len(q.pending) > hardQueueLimit {
		return q.queued, false, nil
	}
	before := len(q.pending)
	b, err := encode(q.pending)
	if err != nil {
		return q.queued, true, err
	}
	q.pending = b
	q.queued += uint64(len(b) - before)
	if !later {
		signal(q.wake)
	}
	return q.queued, true, nil
}

// addBelowSoftLimit appends frames like add once the queue is within its soft limit. The
// writers that wait for that are woken together, so each one checks the limit again before it
// appends: all of them at once would exceed the hard limit. The error is the cause of ctx if
// that ends first, or errWritesEnded if writesDone is closed first.
func (q *sendQueue) addBelowSoftLimit(ctx context.Context, writesDone <-chan struct{}, encode func([]byte) ([]byte, error)) (bool, error) {
	for {
		q.mutex.Lock()
		if q.closed || len(q.pending) <= softQueueLimit {
			defer q.mutex.Unlock()
			_, ok, err := q.append(encode, false)
			return ok, err
		}
		if q.drained == nil {
			q.drained = make(chan struct{})
		}
		c := q.drained
		q.mutex.Unlock()
		select {
		case <-c:
		case <-writesDone:
			return true, errWritesEnded
		case <-ctx.Done():
			return true, context.Cause(ctx)
		}
	}
}

// take returns all pending frames. The caller writes them before it calls take again,
// which reuses their memory.
func (q *sendQueue) take() []byte {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	b := q.pending
	q.pending, q.spare = q.spare[:0], b
	if cap(b) > softQueueLimit {
		q.spare = nil // don't keep the memory of a burst
	}
	q.taken += uint64(len(b))
	q.wakeWaiters()
	return b
}

// wakeWaiters wakes the writers in addBelowSoftLimit. The mutex is held.
func (q *sendQueue) wakeWaiters() {
	if q.drained != nil {
		close(q.drained)
		q.drained = nil
	}
}

// close drops the pending frames and returns the position up to which frames may have
// reached the peer.
func (q *sendQueue) close() uint64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	q.pending = nil
	q.wakeWaiters()
	return q.taken
}
