package thhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
)

const readBuffer = 4 << 10 // bytes

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

var errHeadTooLong = errors.New("head of the request is too long")

// source reads from a connection. It holds no buffer while nothing has arrived,
// notices that the caller has left while requests wait to be read, and bounds
// the head of a request.
type source struct {
	conn  net.Conn
	ahead []byte // bytes received before they were asked for
	left  int    // bytes that may be read until the end of the head; negative for any number
	first [1]byte
}

// Read reads what was received ahead, then from the connection.
func (s *source) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, errHeadTooLong
	}
	if s.left > 0 && len(p) > s.left {
		p = p[:s.left]
	}
	var n int
	var err error
	if len(s.ahead) > 0 {
		n = copy(p, s.ahead)
		s.ahead = s.ahead[n:]
		if len(s.ahead) == 0 {
			s.ahead = nil
		}
	} else {
		n, err = s.conn.Read(p)
	}
	if s.left > 0 {
		s.left -= n
	}
	return n, err
}

// wait returns when a byte has arrived.
func (s *source) wait() error {
	if len(s.ahead) > 0 {
		return nil
	}
	n, err := s.conn.Read(s.first[:])
	if n == 1 {
		s.ahead = s.first[:]
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// fill receives up to limit bytes ahead. It returns nil when there is no room.
func (s *source) fill(limit int) error {
	for len(s.ahead) < limit {
		if cap(s.ahead) < limit {
			s.ahead = append(make([]byte, 0, limit), s.ahead...)
		}
		n, err := s.conn.Read(s.ahead[len(s.ahead):limit])
		s.ahead = s.ahead[:len(s.ahead)+n]
		if err != nil {
			return err
		}
	}
	return nil
}
