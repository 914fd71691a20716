package thwire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

// KindDirect opens a control connection for single messages: the acceptor does not
// treat it as a neighbour and floods nothing over it.
const KindDirect = "direct"

const (
	// maxQueuedBytes limits the send queue of a connection to four frames of the maximum
	// size, so that a peer that doesn't read uses little memory.
	maxQueuedBytes = 4 * MaxFrame
	// writeTimeout bounds a write: the connection is closed if the peer doesn't accept
	// the bytes in time.
	writeTimeout   = 10 * time.Second
	readBufferSize = 4 << 10  // bytes; control frames are mostly small
	maxKeptBuffer  = 64 << 10 // bytes; larger buffers are not reused
)

// Conn is a framed connection. Send may be called from any goroutine, Read from a
// single one. Create it with NewConn.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	buffer []byte // for payloads, reused by Read

	mu            sync.Mutex
	pending       []byte // encoded frames that the writer has not taken yet
	closed        bool
	closeWhenSent bool // close after the pending bytes were written
	wake          chan struct{}
	done          chan struct{}

	in, out atomic.Uint64 // bytes received and sent
}

// NewConn returns a framed connection over c and starts its writer.
func NewConn(c net.Conn) *Conn {
	f := &Conn{conn: c, wake: make(chan struct{}, 1), done: make(chan struct{})}
	f.reader = bufio.NewReaderSize(countingConn{c, &f.in}, readBufferSize)
	go f.writeLoop()
	return f
}

type countingConn struct {
	net.Conn
	count *atomic.Uint64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.Add(uint64(n))
	return n, err
}

// Send queues a frame without blocking. The error is of kind Full if the queue is
// full, Broken if the connection is closed and Frame if the message is too large.
func (f *Conn) Send(t Type, m Message) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.closeWhenSent {
		return therror.New(therror.Broken, "connection is closed")
	}
	if len(f.pending) >= maxQueuedBytes {
		return therror.New(therror.Full, "send queue of %d bytes is full", maxQueuedBytes)
	}
	b, err := AppendFrame(f.pending, t, m)
	if err != nil {
		return err
	}
	f.pending = b
	f.signal()
	return nil
}

func (f *Conn) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes all queued frames with a single call, so that the frames queued
// during a write are batched into the next one.
func (f *Conn) writeLoop() {
	defer close(f.done)
	defer func() { _ = f.conn.Close() }()
	var spare []byte
	for range f.wake {
		f.mu.Lock()
		b := f.pending
		f.pending = spare[:0]
		closed, closeWhenSent := f.closed, f.closeWhenSent
		f.mu.Unlock()
		if closed {
			return
		}
		if len(b) > 0 && !f.writeAll(b) {
			f.Close()
			return
		}
		if closeWhenSent {
			f.Close()
			return
		}
		spare = b
		if cap(spare) > maxKeptBuffer {
			spare = nil
		}
	}
}

func (f *Conn) writeAll(b []byte) bool {
	timer := time.AfterFunc(writeTimeout, func() { _ = f.conn.Close() })
	n, err := f.conn.Write(b)
	timer.Stop()
	f.out.Add(uint64(n))
	return err == nil
}

// Read returns the next frame. The payload is valid until the next call. The error is
// of kind Frame for a malformed frame, and io.EOF at the end of the stream.
func (f *Conn) Read() (Type, []byte, error) {
	t, payload, buffer, err := ReadFrame(f.reader, f.buffer)
	f.buffer = buffer
	if cap(buffer) > maxKeptBuffer {
		f.buffer = nil // don't keep the memory of a rare large frame
	}
	return t, payload, err
}

// Bytes returns the number of bytes received and sent so far.
func (f *Conn) Bytes() (in, out uint64) { return f.in.Load(), f.out.Load() }

// Close closes the connection immediately and drops the queued frames.
func (f *Conn) Close() {
	f.mu.Lock()
	f.closed = true
	f.pending = nil
	f.signal()
	f.mu.Unlock()
	_ = f.conn.Close()
}

// CloseAfterFlush closes the connection after the queued frames were written. It
// returns at once.
func (f *Conn) CloseAfterFlush() {
	f.mu.Lock()
	f.closeWhenSent = true
	f.signal()
	f.mu.Unlock()
}

// Done returns a channel that is closed when the writer has stopped.
func (f *Conn) Done() <-chan struct{} { return f.done }

// Dial connects to a peer and sends Hello. An error is of kind Down: nothing else was
// sent.
func Dial(ctx context.Context, peer netip.AddrPort, h Hello) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, therror.Wrap(therror.Down, err, "dial peer %s", peer)
	}
	if err := WriteHello(c, h); err != nil {
		_ = c.Close()
		return nil, therror.Wrap(therror.Down, err, "send hello to peer %s", peer)
	}
	return c, nil
}

// WriteHello writes h with the current protocol version.
func WriteHello(c net.Conn, h Hello) error {
	h.Protocol = Protocol
	b, err := AppendFrame(nil, TypeHello, &h)
	if err != nil {
		return err
	}
	_, err = c.Write(b)
	return err
}

// ReadHello reads and checks the first frame of a connection, and no byte beyond it. It
// closes the connection if ctx ends first.
func ReadHello(ctx context.Context, c net.Conn) (Hello, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	var length [lengthSize]byte
	if _, err := io.ReadFull(c, length[:]); err != nil {
		return Hello{}, err
	}
	if n := binary.BigEndian.Uint32(length[:]); n > maxHello {
		return Hello{}, therror.New(therror.Frame, "first frame of %d bytes exceeds the limit of %d", n, maxHello)
	}
	t, payload, _, err := ReadFrame(io.MultiReader(bytes.NewReader(length[:]), c), nil)
	if err != nil {
		return Hello{}, err
	}
	var h Hello
	if t != TypeHello {
		return h, therror.New(therror.Frame, "first frame has type %d, not Hello", t)
	}
	if err := Decode(payload, &h); err != nil {
		return h, err
	}
	if h.Protocol != Protocol {
		return h, therror.New(therror.Frame, "peer %q speaks protocol %d, not %d", h.Name, h.Protocol, Protocol)
	}
	return h, nil
}
