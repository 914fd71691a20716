package thhttp

import (
	"net"
	"sync"
)

// Handover is a listener whose connections come from the HTTP2 function of a
// Server, for the http.Server that serves them. Set Address before use.
type Handover struct {
	Address net.Addr

	once  sync.Once
	end   sync.Once
	given chan net.Conn
	done  chan struct{}
}

func (h *Handover) init() {
	h.once.Do(func() { h.given, h.done = make(chan net.Conn), make(chan struct{}) })
}

// Give hands a connection over; one that comes after Close is closed.
func (h *Handover) Give(c net.Conn) {
	h.init()
	select {
	case h.given <- c:
	case <-h.done:
		_ = c.Close()
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (h *Handover) Accept() (net.Conn, error) {
	h.init()
	select {
	case c := <-h.given:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (h *Handover) Close() error {
	h.init()
	h.end.Do(func() { close(h.done) })
	return nil
}

// Addr returns Address.
func (h *Handover) Addr() net.Addr { return h.Address }
