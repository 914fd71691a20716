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

// KindDirect opens a control connection for single messages: the acceptor does
// not count it as a neighbour and floods nothing over it.
const KindDirect = "direct"

const (
	// maxQueued bounds the bytes queued on a connection: four frames of the
	// largest size, so that a peer that does not read costs little memory.
	maxQueued = 4 * MaxFrame
	// writeTimeout ends a connection whose peer accepts no bytes.
	writeTimeout = 10 * time.Second
	readBuffer   = 4 << 10 // bytes; control frames are mostly small
	keepBuffer   = 64 << 10
)

// Conn is a framed connection. Send may be called from any goroutine, Read
// from one. Create it with NewConn.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	buffer []byte // of Read

	mu      sync.Mutex
	pending []byte // encoded frames not yet handed to the writer
	closed  bool
	ending  bool // close after the pending bytes
	wake    chan struct{}
	done    chan struct{}

	in, out atomic.Uint64
}

// NewConn returns a framed connection over c and starts its writer.
func NewConn(c net.Conn) *Conn {
	f := &Conn{net: c, wake: make(chan struct{}, 1), done: make(chan struct{})}
	f.reader = bufio.NewReaderSize(counter{c, &f.in}, readBuffer)
	go f.write()
	return f
}

type counter struct {
	net.Conn
	n *atomic.Uint64
}

// Read implements io.Reader.
func (c counter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(uint64(n))
	return n, err
}

// Send queues a frame. It never waits for the peer: the error is of kind Full
// when the queue is full, Broken after the connection has closed and Frame for
// a message above the limit.
func (f *Conn) Send(t Type, m Message) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.ending {
		return therror.New(therror.Broken, "connection is closed")
	}
	if len(f.pending) >= maxQueued {
		return therror.New(therror.Full, "send queue of %d bytes is full", maxQueued)
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

// write sends everything queued in one call, so that frames queued during a
// write share the next one.
func (f *Conn) write() {
	defer close(f.done)
	defer func() { _ = f.net.Close() }()
	var spare []byte
	for range f.wake {
		f.mu.Lock()
		b := f.pending
		f.pending = spare[:0]
		closed, ending := f.closed, f.ending
		f.mu.Unlock()
		if closed {
			return
		}
		if len(b) > 0 && !f.flush(b) {
			f.Close()
			return
		}
		if ending {
			f.Close()
			return
		}
		spare = b
		if cap(spare) > keepBuffer {
			spare = nil
		}
	}
}

func (f *Conn) flush(b []byte) bool {
	stop := time.AfterFunc(writeTimeout, func() { _ = f.net.Close() })
	n, err := f.net.Write(b)
	stop.Stop()
	f.out.Add(uint64(n))
	return err == nil
}

// Read returns the next frame; the payload is valid until the next call. A
// malformed frame gives kind Frame, the end of the stream io.EOF.
func (f *Conn) Read() (Type, []byte, error) {
	t, payload, buffer, err := ReadFrame(f.reader, f.buffer)
	f.buffer = buffer
	if cap(buffer) > keepBuffer {
		f.buffer = nil // a rare large frame does not stay allocated
	}
	return t, payload, err
}

// Bytes returns the bytes received and sent so far.
func (f *Conn) Bytes() (in, out uint64) { return f.in.Load(), f.out.Load() }

// Close closes the connection at once; queued frames are lost.
func (f *Conn) Close() {
	f.mu.Lock()
	f.closed = true
	f.pending = nil
	f.signal()
	f.mu.Unlock()
	_ = f.net.Close()
}

// CloseAfterFlush closes the connection after the queued frames have been sent.
func (f *Conn) CloseAfterFlush() {
	f.mu.Lock()
	f.ending = true
	f.signal()
	f.mu.Unlock()
}

// Done is closed when the writer has ended.
func (f *Conn) Done() <-chan struct{} { return f.done }

// Dial connects to a peer and sends Hello. The error is of kind Down: nothing
// else was sent.
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

// WriteHello writes a Hello with the current protocol version.
func WriteHello(c net.Conn, h Hello) error {
	h.Protocol = Protocol
	b, err := AppendFrame(nil, TypeHello, &h)
	if err != nil {
		return err
	}
	_, err = c.Write(b)
	return err
}

// ReadHello reads and checks the first frame of a connection. It reads no byte
// beyond it. Closing ctx closes the connection.
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
