// Package thhttp serves HTTP/1.1 connections on which callers send requests
// ahead: the requests of one connection are served side by side, and their
// answers go back in the order of the requests.
package thhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Limits of a Server whose fields are zero.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10 // bytes of a request's head
	maxAhead      = 16       // requests of one connection that are read and not answered
)

// Bounds of the pause after a failed accept, as without free descriptors.
const (
	acceptPauseMin = 5 * time.Millisecond
	acceptPauseMax = time.Second
)

// Server serves connections. Set the exported fields before Serve.
//
// The http.ResponseWriter of a request supports Flush, Hijack, the deadlines of
// http.ResponseController, and Begin. Its request's context ends when the caller
// leaves, which an end of the caller's sending side is taken for.
type Server struct {
	Handler http.Handler
	// HTTP2 takes the connections of callers that speak HTTP/2 with prior
	// knowledge; nil refuses them.
	HTTP2         func(net.Conn)
	HeaderTimeout time.Duration // for the head of a request; 10 s when zero
	IdleTimeout   time.Duration // between requests; 2 min when zero
	MaxHeader     int           // bytes of a request's head; 64 KiB when zero
	MaxAhead      int           // requests of a connection in progress at once; 16 when zero
	Clock         clockwork.Clock
	Log           hclog.Logger

	mutex       sync.Mutex
	listeners   map[net.Listener]struct{}
	connections map[*connection]struct{}
	draining    bool // connections end with their next answer
	stopped     bool // no connection is accepted
	closed      bool
	empty       chan struct{} // closed when a stopping server has no connection left
}

// Serve accepts connections until Shutdown or Close, and then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	if !s.track(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	pause := time.Duration(0)
	for {
		n, err := l.Accept()
		if err != nil {
			if s.stopping() {
				return http.ErrServerClosed
			}
			var temporary interface{ Temporary() bool }
			if !errors.As(err, &temporary) || !temporary.Temporary() {
				return err
			}
			pause = min(max(2*pause, acceptPauseMin), acceptPauseMax)
			s.log().Warn("connection not accepted", "error", err, "pause", pause)
			thclock.OrSystem(s.Clock).Sleep(pause)
			continue
		}
		pause = 0
		c := newConnection(s, n)
		if !s.add(c) {
			_ = n.Close()
			continue
		}
		go c.run()
	}
}

func (s *Server) track(l net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.closed {
		return false
	}
	if s.listeners == nil {
		s.listeners = map[net.Listener]struct{}{}
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) add(c *connection) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	if s.connections == nil {
		s.connections = map[*connection]struct{}{}
	}
	s.connections[c] = struct{}{}
	c.draining = s.draining
	return true
}

func (s *Server) remove(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
	if s.empty != nil && len(s.connections) == 0 {
		close(s.empty)
		s.empty = nil
	}
}

func (s *Server) stopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopped || s.closed
}

// Drain lets each connection end with its next answer that no request follows.
// Connections are still accepted.
func (s *Server) Drain() {
	for _, c := range s.drain(false) {
		c.drain(false)
	}
}

// Shutdown accepts no more connections, closes the idle ones and waits until the
// others have answered what they have read.
func (s *Server) Shutdown(ctx context.Context) error {
	all := s.drain(true)
	s.mutex.Lock()
	if len(s.connections) > 0 && s.empty == nil {
		s.empty = make(chan struct{})
	}
	empty := s.empty
	s.mutex.Unlock()
	for _, c := range all {
		c.drain(true)
	}
	if empty == nil {
		return nil
	}
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain returns the connections; with stop, the listeners are closed before.
func (s *Server) drain(stop bool) []*connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	if stop {
		s.stopped = true
		for l := range s.listeners {
			_ = l.Close()
		}
	}
	all := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		all = append(all, c)
	}
	return all
}

// Close breaks all connections.
func (s *Server) Close() error {
	all := s.drain(true)
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	for _, c := range all {
		c.leave()
	}
	return nil
}

func (s *Server) log() hclog.Logger {
	if s.Log == nil {
		return hclog.NewNullLogger()
	}
	return s.Log
}

func orDuration(d, standard time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return standard
}

func orInt(n, standard int) int {
	if n > 0 {
		return n
	}
	return standard
}
