package thhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
)

const readBufferSize = 4 << 10 // bytes

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

var errHeadTooLong = errors.New("head of the request is too long")

// connReader reads from a connection. It holds no buffer while the connection is
// idle, reads ahead to detect a disconnect behind unread requests, and limits the
// size of a request head.
type connReader struct {
	conn       net.Conn
	buffered   []byte // bytes read ahead
	headBudget int    // bytes that may still be read for the head; negative for no limit
	taken      int64  // bytes returned by Read
	firstByte  [1]byte
}

// Read returns the bytes read ahead, then those of the connection. It returns
// errHeadTooLong when headBudget is used up.
func (r *connReader) Read(p []byte) (int, error) {
	if r.headBudget == 0 {
		return 0, errHeadTooLong
	}
	if r.headBudget > 0 && len(p) > r.headBudget {
		p = p[:r.headBudget]
	}
	var n int
	var err error
	if len(r.buffered) > 0 {
		n = copy(p, r.buffered)
		r.buffered = r.buffered[n:]
		if len(r.buffered) == 0 {
			r.buffered = nil
		}
	} else {
		n, err = r.conn.Read(p)
	}
	if r.headBudget > 0 {
		r.headBudget -= n
	}
	r.taken += int64(n)
	return n, err
}

// waitForInput returns nil when a byte has arrived.
func (r *connReader) waitForInput() error {
	if len(r.buffered) > 0 {
		return nil
	}
	n, err := r.conn.Read(r.firstByte[:])
	if n == 1 {
		r.buffered = r.firstByte[:]
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// readAhead buffers input. It returns nil when limit bytes are buffered, and otherwise
// the read error, such as the deadline or a disconnect.
func (r *connReader) readAhead(limit int) error {
	for len(r.buffered) < limit {
		if cap(r.buffered) < limit {
			r.buffered = append(make([]byte, 0, limit), r.buffered...)
		}
		n, err := r.conn.Read(r.buffered[len(r.buffered):limit])
		r.buffered = r.buffered[:len(r.buffered)+n]
		if err != nil {
			return err
		}
	}
	return nil
}
