package thhttp

import (
	"io"
	"net/http"
	"time"
)

// Limits are the limits on clients. Zero fields mean the defaults.
type Limits struct {
	HeaderTimeout time.Duration // for reading a request head; 10 s when zero
	IdleTimeout   time.Duration // for a connection between requests; 2 min when zero
	MaxHeader     int           // bytes of the request line and the header with their line ends; 64 KiB when zero
	MaxBody       int64         // bytes of a request body; no limit when zero
}

// Limit names a limit that has ended a request or connection.
type Limit string

// Values of Limit.
const (
	LimitHeader        Limit = "header"
	LimitBody          Limit = "body"
	LimitHeaderTimeout Limit = "header_timeout"
	LimitIdleTimeout   Limit = "idle_timeout"
	LimitConnections   Limit = "client_connections" // Bounds.Connections
	LimitBytes         Limit = "client_bytes"       // Bounds.Bytes
)

// SetLimits replaces the limits. They apply to requests that begin afterwards, and to the idle
// time of a connection from its next response on.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// currentLimits returns the limits in effect, with the defaults.
func (s *Server) currentLimits() Limits {
	l := s.Limits
	if set := s.limits.Load(); set != nil {
		l = *set
	}
	l.HeaderTimeout = durationOrDefault(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = durationOrDefault(l.IdleTimeout, defaultIdleTimeout)
	l.MaxHeader = intOrDefault(l.MaxHeader, defaultMaxHeader)
	return l
}

// countLimit calls OnLimit.
func (s *Server) countLimit(l Limit) {
	if s.OnLimit != nil {
		s.OnLimit(l)
	}
}

// limitedBody is a body of unknown length with a limit. Unlike http.MaxBytesReader it leaves
// the connection alone. Reads beyond the limit return an *http.MaxBytesError.
type limitedBody struct {
	io.ReadCloser

	server *Server
	limit  int64
	left   int64
}

// Read reads up to one byte beyond the limit, which tells a body that has just the limit from
// a longer one.
func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) <= b.left {
		b.left -= int64(n)
		return n, err
	}
	n, b.left = int(b.left), 0
	b.server.countLimit(LimitBody)
	return n, &http.MaxBytesError{Limit: b.limit}
}
