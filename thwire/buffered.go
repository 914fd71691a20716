package thwire

import (
	"sync"
	"sync/atomic"

	"github.com/turmerichaven/turmerichaven/therror"
)

// backPressureFraction is the fraction of a BufferLimit above which further calls have
// smallWindow: it leaves room for the windows of the calls that are in progress.
const backPressureFraction = 2

// BufferLimit limits the bytes that all sessions of a process have received but not read. A
// peer may open many streams and send as much as the window of each allows, and many callers may
// read their responses slowly. When the limit is exceeded, the session with the most buffered
// bytes ends if the peer opened its streams, so that one faulty peer does not take the memory of
// the calls of others. If it is a session of calls to a peer, those calls end that have held
// many bytes for the longest time.
type BufferLimit struct {
	Bytes int64 // must be positive

	total atomic.Int64 // buffered bytes of all sessions

	mutex    sync.Mutex
	sessions map[*Session]struct{}
}

func (b *BufferLimit) add(s *Session) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.sessions == nil {
		b.sessions = map[*Session]struct{}{}
	}
	b.sessions[s] = struct{}{}
}

func (b *BufferLimit) remove(s *Session) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.sessions, s)
}

// isNear reports whether further calls should hold less.
func (b *BufferLimit) isNear() bool {
	return b != nil && b.total.Load() > b.Bytes/backPressureFraction
}

// check ends calls or a session if the limit is exceeded after a frame of session s. The error
// is of kind Full if s has to end.
func (b *BufferLimit) check(s *Session) error {
	for b.total.Load() > b.Bytes {
		largest := b.largest()
		if largest == nil {
			return nil
		}
		if largest.handler == nil {
			if largest.endSlowCall(b.Bytes) {
				continue
			}
			return nil // its bytes belong to calls that are ending
		}
		err := therror.New(therror.Full, "more than %d bytes buffered, of which %d of this session", b.Bytes, largest.buffered.Load())
		if largest == s {
			return err
		}
		largest.fail(err)
		return nil
	}
	return nil
}

// largest returns the session with the most buffered bytes, nil without one.
func (b *BufferLimit) largest() *Session {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var largest *Session
	most := int64(0)
	for s := range b.sessions {
		if n := s.buffered.Load(); n > most {
			largest, most = s, n
		}
	}
	return largest
}

// addBuffered counts bytes that were received, or read if n is negative.
func (s *Session) addBuffered(n int) {
	s.buffered.Add(int64(n))
	if s.limit != nil {
		s.limit.total.Add(int64(n))
	}
}

// endSlowCall ends a call of which many received bytes are not read: the oldest of those with
// at least half as many as the call with the most. It returns false if there is none.
func (s *Session) endSlowCall(limit int64) bool {
	s.mutex.Lock()
	most := 0
	s.eachCall(func(st *Stream) { most = max(most, st.unreadBytes()) })
	var slow *Stream
	s.eachCall(func(st *Stream) {
		if n := st.unreadBytes(); n > 0 && 2*n >= most && (slow == nil || st.id < slow.id) {
			slow = st
		}
	})
	if slow == nil {
		s.mutex.Unlock()
		return false
	}
	_, open := s.streams[slow.id]
	s.delete(slow.id)
	s.unlink(slow)
	s.mutex.Unlock()
	slow.fail(therror.New(therror.Broken, "caller reads too slowly, and more than %d bytes are buffered for all", limit))
	if open {
		_ = s.sendFrame(&slow.flow, control, TypeCancel, Cancel{Stream: slow.id, Kind: string(therror.Cancelled)}, false)
	}
	return true
}

// eachCall calls f with the calls in progress, and with those that have ended and may have
// unread bytes. The mutex is held.
func (s *Session) eachCall(f func(*Stream)) {
	for _, st := range s.streams {
		if c, ok := st.(*Stream); ok {
			f(c)
		}
	}
	for st := s.unread; st != nil; st = st.next {
		f(st)
	}
}

// removeEnded removes a call that has ended, and keeps it in the list of those that may have
// unread bytes until unlink.
func (s *Session) removeEnded(st *Stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delete(st.id)
	if st.released {
		return
	}
	st.linked, st.next = true, s.unread
	if st.next != nil {
		st.next.previous = st
	}
	s.unread = st
}

// forget removes a call that its caller has given up or finished.
func (s *Session) forget(st *Stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unlink(st)
	s.delete(st.id)
}

// unlink removes a call from the list of those that may have unread bytes, for good. The mutex
// is held.
func (s *Session) unlink(st *Stream) {
	st.released = true
	if !st.linked {
		return
	}
	st.linked = false
	if st.previous != nil {
		st.previous.next = st.next
	} else {
		s.unread = st.next
	}
	if st.next != nil {
		st.next.previous = st.previous
	}
	st.previous, st.next = nil, nil
}

// unreadBytes returns the number of bytes received but not read.
func (f *flow) unreadBytes() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.received.Len()
}
