package thwire

import (
	"sync"

	"github.com/turmerichaven/turmerichaven/therror"
)

// minCheckedFraction is the fraction of the limit that a session must have buffered for its
// frames to be checked against the limit.
const minCheckedFraction = 64

// BufferLimit limits the bytes that all sessions of a process have received but not read. A
// peer may open many streams and send as much as the window of each allows. The session with
// the most buffered bytes ends when the limit is exceeded, so that one faulty peer does not
// take the memory of the calls of others.
type BufferLimit struct {
	Bytes int64 // must be positive

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

// check ends the session with the most buffered bytes if the limit is exceeded after a frame
// of a session. The error is of kind Full if that is the session itself.
func (b *BufferLimit) check(s *Session) error {
	if s.buffered.Load() < b.Bytes/minCheckedFraction {
		return nil
	}
	largest := b.largestAbove()
	if largest == nil {
		return nil
	}
	err := therror.New(therror.Full, "more than %d bytes buffered, of which %d of this session", b.Bytes, largest.buffered.Load())
	if largest == s {
		return err
	}
	largest.fail(err)
	return nil
}

// largestAbove returns the session with the most buffered bytes, nil within the limit.
func (b *BufferLimit) largestAbove() *Session {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var largest *Session
	total, most := int64(0), int64(0)
	for s := range b.sessions {
		n := s.buffered.Load()
		total += n
		if n > most {
			largest, most = s, n
		}
	}
	if total <= b.Bytes {
		return nil
	}
	return largest
}
