package thhttp

import (
	"net"
	"sync"
	"time"
)

// preface begins an HTTP/2 connection.
const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// ConnListener is a listener whose connections come from the HTTP2 function of a
// Server, for the http.Server that serves them. Set Address before use.
type ConnListener struct {
	Address net.Addr

	once  sync.Once
	end   sync.Once
	given chan net.Conn
	done  chan struct{}
}

func (h *ConnListener) init() {
	h.once.Do(func() { h.given, h.done = make(chan net.Conn), make(chan struct{}) })
}

// Deliver hands a connection over; one that comes after Close is closed.
func (h *ConnListener) Deliver(c net.Conn) {
	h.init()
	select {
	case h.given <- c:
	case <-h.done:
		_ = c.Close()
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (h *ConnListener) Accept() (net.Conn, error) {
	h.init()
	select {
	case c := <-h.given:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (h *ConnListener) Close() error {
	h.init()
	h.end.Do(func() { close(h.done) })
	return nil
}

// Addr returns Address.
func (h *ConnListener) Addr() net.Addr { return h.Address }

// handOn gives a connection that speaks HTTP/2 away.
func (c *connection) handOn() bool {
	start, err := c.reader.Peek(len(preface))
	if err != nil || string(start) != preface || c.hasQueue() {
		return false
	}
	ahead, _ := c.reader.Peek(c.reader.Buffered())
	rest := append(append([]byte(nil), ahead...), c.source.ahead...)
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mutex.Lock()
	c.hijacked = true
	c.mutex.Unlock()
	c.server.HTTP2(&handed{Conn: c.conn, ahead: rest})
	return true
}

// handed is a connection of which some bytes have been read.
type handed struct {
	net.Conn
	ahead []byte
}

// Read returns the bytes read before, then those of the connection.
func (h *handed) Read(p []byte) (int, error) {
	if len(h.ahead) > 0 {
		n := copy(p, h.ahead)
		h.ahead = h.ahead[n:]
		return n, nil
	}
	return h.Conn.Read(p)
}
