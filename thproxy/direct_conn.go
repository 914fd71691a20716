package thproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/therror"
)

// lateResetTimeout is how long after the end of a connection a reset may still follow while a
// request is sent, see endError.
const lateResetTimeout = 100 * time.Millisecond

// pastDeadline is a write deadline that interrupts a blocked write.
var pastDeadline = time.Unix(1, 0) //nolint:forbidigo // not a duration

// directConn is a connection that carries at most one request at a time.
type directConn struct {
	net.Conn
	address    string
	reader     *bufio.Reader
	expires    time.Time // not reused from then on
	mismatched bool      // carried a response to another request

	clock       clockwork.Clock
	bodyWritten chan struct{} // closed at the end of streamBody; nil if it does not run
	writeMutex  sync.Mutex    // held while writing
	writeError  error         // of the first write that failed
}

// Read reads from the connection. It returns io.EOF only if the server has ended it in order.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// Write writes to the connection and keeps the first error for failedWrite.
func (c *directConn) Write(p []byte) (int, error) {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeError == nil {
		c.writeError = err
	}
	return n, err
}

// failedWrite waits for a write in progress and returns the error of the first write that failed.
func (c *directConn) failedWrite() error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	return c.writeError
}

// endError returns the error of a read that has met the end of the connection: io.EOF if the
// server has ended it in order, and otherwise the error by which it broke.
//
// The kernel reports a reset only once, so after a write that got it the read sees an end. And
// a server that closes a connection with a request still on its way resets it at once or, if
// it has read all bytes that have arrived, at the next ones: the reset follows the end.
func (c *directConn) endError() error {
	if c.bodyWritten != nil {
		timeout := c.clock.NewTimer(lateResetTimeout)
		defer timeout.Stop()
		select {
		case <-c.bodyWritten:
		case <-timeout.Chan():
			_ = c.SetWriteDeadline(pastDeadline) // interrupts a write in progress
		}
	}
	err := c.failedWrite()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		err = socketError(c.Conn)
	}
	if err != nil {
		return therror.Wrap(therror.Broken, err, "connection broke while the request was sent")
	}
	return io.EOF
}

// socketError returns the error of a connection that no read or write has reported yet.
func socketError(conn net.Conn) error {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	number := 0
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		number, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if err = errors.Join(err, optionErr); err != nil || number == 0 {
		return err
	}
	return syscall.Errno(number)
}

// isIdle reports whether a connection is open and has no unread input.
func (c *directConn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && noInput
}
