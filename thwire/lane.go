package thwire

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// smallBytes is the size up to which a body is small: half a data frame, whose transfer takes
// 13 ms at 10 Mbit/s.
const smallBytes = maxDataFrame / 2

// urgency selects the lane of a frame in the send queue. Lower ones are sent first.
type urgency uint8

const (
	control     urgency = iota // control frames, and the beginning of requests
	urgent                     // small responses
	normal                     // small responses that are not urgent
	largeUrgent                // the same for large responses, and the rest of large requests
	large
	laneCount
)

// IsLarge reports whether a body of this size is sent after small ones.
func IsLarge(bytes int64) bool { return bytes > smallBytes }

func (u urgency) isLarge() bool { return u >= largeUrgent }

// ofRest returns the urgency of the rest of a body that turns out to be large.
func (u urgency) ofRest() urgency {
	switch u {
	case control, urgent:
		return largeUrgent
	case normal:
		return large
	}
	return u
}

// responseUrgency returns the urgency of the response to a call that arrived some time ago. A
// response is urgent if its objective can still be met, and it has the highest priority or has
// used more than half of the time that was left on arrival.
func responseUrgency(o *Open, age time.Duration, length int64) urgency {
	late := o.Late || o.Goal > 0 && age >= time.Duration(o.Goal)
	isUrgent := !late && (o.Priority == 0 || age > time.Duration(o.Goal)/2 && o.Goal > 0)
	u := normal
	if isUrgent {
		u = urgent
	}
	if IsLarge(length) && o.Method != http.MethodHead {
		return u.ofRest()
	}
	return u
}

// age returns the time since the call arrived; zero if the call has no objective.
func (i *Incoming) age() time.Duration {
	if i.open.Goal <= 0 {
		return 0
	}
	return time.Duration(thclock.Stamp(i.session.clock.Now()) - i.arrived)
}

// lane is the queue of the frames of one urgency.
type lane struct {
	frames   []byte // encoded frames; those before start are taken
	start    int
	queued   uint64 // total number of bytes appended
	taken    uint64 // total number of bytes taken for writing
	skipped  int    // bytes taken from other lanes while frames waited here
	barriers []barrier
}

// barrier holds the frames of a lane from position on until another lane has been taken up to
// position after. It keeps the order of a stream that moves to a less urgent lane.
type barrier struct {
	position uint64
	lane     urgency // more urgent than the lane of the barrier
	after    uint64
}

// waiting returns the number of bytes that are not taken.
func (l *lane) waiting() int { return len(l.frames) - l.start }

// frameSize returns the size of the next frame. A frame must wait.
func (l *lane) frameSize() int {
	return lengthSize + int(binary.BigEndian.Uint32(l.frames[l.start:]))
}

// take returns whole frames, at least one and otherwise up to limit bytes, and none beyond the
// next barrier. They are valid until the next call.
func (l *lane) take(limit int) []byte {
	// The taken frames are no longer in use. Moving the others when they are fewer bounds
	// the memory at twice the waiting bytes, and the cost at one copy of each byte.
	if l.start > l.waiting() {
		l.frames, l.start = l.frames[:copy(l.frames, l.frames[l.start:])], 0
	}
	if len(l.barriers) > 0 {
		limit = min(limit, int(l.barriers[0].position-l.taken))
	}
	begin := l.start
	if l.waiting() <= limit {
		l.start = len(l.frames)
	} else {
		for l.start += l.frameSize(); l.waiting() > 0 && l.start-begin+l.frameSize() <= limit; {
			l.start += l.frameSize()
		}
	}
	b := l.frames[begin:l.start]
	l.taken += uint64(len(b))
	l.skipped = 0
	return b
}
