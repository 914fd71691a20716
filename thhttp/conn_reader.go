package thhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
)

const readBufferSize = 4 << 10 // bytes

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// errOverloaded rejects a request that has not run.
var errOverloaded = errors.New("connections of clients hold too much memory")

var errHeadTooLong = errors.New("head of the request is too long")

// connReader reads from a connection. It holds no buffer while the connection is
// idle, reads ahead to detect a disconnect behind unread requests, and limits the
// size of a request head.
type connReader struct {
	conn       net.Conn
	account    *account
	buffered   []byte // bytes read ahead
	headBudget int    // bytes that may still be read for the head; negative for no limit
	headBytes  int    // bytes read for the head
	headCost   int64  // estimated memory of the head so far
	headHeld   int64  // part of headCost that is in the account
	aheadHeld  int64  // bytes in the account for buffered
	overloaded bool   // the head was given up, because of Bounds.Bytes
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
			r.dropBuffer()
		}
	} else {
		n, err = r.conn.Read(p)
	}
	r.taken += int64(n)
	if r.headBudget > 0 {
		r.headBudget -= n
		if !r.countHead(p[:n]) {
			r.overloaded = true
			return 0, errOverloaded
		}
	}
	return n, err
}

// countHead adds a part of a head to the account once the head exceeds a buffer, and returns
// false if there is no memory for it.
func (r *connReader) countHead(p []byte) bool {
	r.headBytes += len(p)
	r.headCost += int64(len(p) + fieldCost*bytes.Count(p, []byte{'\n'}))
	if r.headBytes <= readBufferSize {
		return true
	}
	change := r.headCost - r.headHeld
	r.headHeld = r.headCost
	return r.account.reserve(change)
}

// endHead ends the counting of a head. It returns the bytes that are in the account for it, which
// the caller has to replace.
func (r *connReader) endHead() int64 {
	held := r.headHeld
	r.headBytes, r.headCost, r.headHeld = 0, 0, 0
	return held
}

// dropBuffer drops the bytes read ahead.
func (r *connReader) dropBuffer() {
	r.buffered = nil
	r.account.add(-r.aheadHeld)
	r.aheadHeld = 0
}

// release removes what the account holds for the reader.
func (r *connReader) release() {
	r.dropBuffer()
	r.account.add(-r.endHead())
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

// readAhead buffers input. It returns nil when maxReadAhead bytes are buffered or there is no
// memory for more, and otherwise the read error, such as the deadline or a disconnect.
func (r *connReader) readAhead() error {
	for len(r.buffered) < maxReadAhead {
		if len(r.buffered) == cap(r.buffered) || r.aheadHeld == 0 {
			size := min(max(2*len(r.buffered), readBufferSize), maxReadAhead)
			change := int64(size) - r.aheadHeld
			if !r.account.add(change) {
				r.account.add(-change)
				return nil
			}
			r.aheadHeld += change
			r.buffered = append(make([]byte, 0, size), r.buffered...)
		}
		n, err := r.conn.Read(r.buffered[len(r.buffered):cap(r.buffered)])
		r.buffered = r.buffered[:len(r.buffered)+n]
		if err != nil {
			return err
		}
	}
	return nil
}
