package thhttp

import (
	"net"
	"sync"
	"time"
)

// http2Preface is the client connection preface of HTTP/2.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// ConnListener is a net.Listener that returns the connections passed to Deliver. It
// connects the HTTP2 function of a Server with an http.Server that serves HTTP/2.
// Set Address before use.
type ConnListener struct {
	Address net.Addr

	initOnce  sync.Once
	closeOnce sync.Once
	conns     chan net.Conn
	done      chan struct{}
}

func (l *ConnListener) init() {
	l.initOnce.Do(func() { l.conns, l.done = make(chan net.Conn), make(chan struct{}) })
}

// Deliver passes a connection to Accept and waits until it is accepted. After Close
// it closes the connection instead.
func (l *ConnListener) Deliver(c net.Conn) {
	l.init()
	select {
	case l.conns <- c:
	case <-l.done:
		_ = c.Close()
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *ConnListener) Accept() (net.Conn, error) {
	l.init()
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed. It doesn't close accepted connections.
func (l *ConnListener) Close() error {
	l.init()
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

// Addr returns Address, as net.Listener requires.
func (l *ConnListener) Addr() net.Addr { return l.Address }

// passToHTTP2 passes the connection to HTTP2 if the client speaks HTTP/2 and no
// earlier request is in progress. It reports whether it did.
func (c *connection) passToHTTP2() bool {
	start, err := c.reader.Peek(len(http2Preface))
	if err != nil || string(start) != http2Preface || c.hasQueue() {
		return false
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	h := &http2Conn{Conn: c.conn, account: &c.account, buffered: append(append([]byte(nil), buffered...), c.input.buffered...)}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mutex.Lock()
	c.hijacked, c.passedOn = true, true
	c.mutex.Unlock()
	c.account.setOwner(h)
	c.reader.Reset(nil) // the connection stays in memory with its account
	readers.Put(c.reader)
	c.reader = nil
	c.account.add(http2ConnectionCost)
	c.server.HTTP2(h)
	return true
}
