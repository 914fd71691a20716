// Package thhttp is an HTTP/1.1 server that handles the pipelined requests of a
// connection concurrently and writes the responses in the order of the requests.
package thhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Defaults for the fields of a Server and its Limits that are zero.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultMaxHeader     = 64 << 10
	defaultMaxPipelined  = 16 // requests of a connection in progress at once
)

// Bounds of the exponential backoff after a failed accept, as when the process is out
// of file descriptors.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Server is an HTTP/1.1 server. Set the exported fields before Serve.
//
// The http.ResponseWriter of a request supports Flush, Hijack, the deadlines of
// http.ResponseController, and Begin. The context of a request is cancelled when the
// client disconnects; a client that closes only its sending side counts as
// disconnected.
type Server struct {
	Handler http.Handler
	// HTTP2 takes over the connections of clients that speak HTTP/2 with prior
	// knowledge; nil rejects them.
	HTTP2        func(net.Conn)
	Limits       Limits      // until SetLimits is called
	Bounds       Bounds      // on all connections together
	OnLimit      func(Limit) // called for each request or connection that a limit ends; may be nil
	MaxPipelined int         // requests of a connection in progress at once; 16 when zero
	Clock        clockwork.Clock
	Log          hclog.Logger

	limits  atomic.Pointer[Limits] // nil until SetLimits is called
	clients clientTable

	mutex       sync.Mutex
	listeners   map[net.Listener]struct{}
	connections map[*connection]struct{}
	draining    bool          // connections close after their next response
	stopped     bool          // no connection is accepted any more
	closed      bool          // Close was called
	allClosed   chan struct{} // closed when Shutdown has no connection left to wait for
}

// Serve accepts connections until Shutdown or Close, and then returns
// http.ErrServerClosed. Any other error is a permanent one of the listener.
func (s *Server) Serve(l net.Listener) error {
	if !s.trackListener(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	backoff := time.Duration(0)
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
			backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
			s.log().Warn("failed to accept a connection; retrying after a pause", "error", err, "pause", backoff)
			thclock.OrSystem(s.Clock).Sleep(backoff)
			continue
		}
		backoff = 0
		c := newConnection(s, n)
		if !s.admit(&c.account, c) {
			_ = n.Close() // nothing was read, so no request has run
			continue
		}
		if !s.add(c) {
			c.account.leave()
			_ = n.Close()
			continue
		}
		go c.run()
	}
}

func (s *Server) trackListener(l net.Listener) bool {
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
	if s.allClosed != nil && len(s.connections) == 0 {
		close(s.allClosed)
		s.allClosed = nil
	}
}

func (s *Server) stopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopped || s.closed
}

// Drain closes each connection after its next response without a queued request
// behind it. New connections are still accepted.
func (s *Server) Drain() {
	for _, c := range s.startDrain(false) {
		c.drain(false)
	}
}

// Shutdown stops accepting connections, closes the idle ones and waits until the
// others have answered the requests that were read. It returns the error of ctx if
// that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	connections := s.startDrain(true)
	s.mutex.Lock()
	if len(s.connections) > 0 && s.allClosed == nil {
		s.allClosed = make(chan struct{})
	}
	allClosed := s.allClosed
	s.mutex.Unlock()
	for _, c := range connections {
		c.drain(true)
	}
	if allClosed == nil {
		return nil
	}
	select {
	case <-allClosed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startDrain marks the server as draining and returns its connections. With stop set,
// it also closes the listeners.
func (s *Server) startDrain(stop bool) []*connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	if stop {
		s.stopped = true
		for l := range s.listeners {
			_ = l.Close()
		}
	}
	connections := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		connections = append(connections, c)
	}
	return connections
}

// Close closes the listeners and all connections without waiting for responses.
func (s *Server) Close() error {
	connections := s.startDrain(true)
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	for _, c := range connections {
		c.abort()
	}
	return nil
}

func (s *Server) log() hclog.Logger {
	if s.Log == nil {
		return hclog.NewNullLogger()
	}
	return s.Log
}

func durationOrDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func intOrDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
