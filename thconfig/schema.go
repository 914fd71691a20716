// Package thconfig holds the configuration: routes, pools, availability zones
// and moves, the edits that change them, and their validation.
package thconfig

import "time"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file schema.go -o schema_gen.go -tests=false -io=false

//msgp:limit arrays:16384 maps:64

// Tables is the complete configuration at one version. Each slice is sorted by
// name. Treat it as immutable: Apply returns a new one.
type Tables struct {
	Version uint64  `msg:"version"`
	Routes  []Route `msg:"routes"`
	Pools   []Pool  `msg:"pools"`
	Zones   []Zone  `msg:"zones"`
	Moves   []Move  `msg:"moves"`

	Limits   *Limits   `msg:"limits,omitempty"`   // nil leaves the daemon's own limits in force
	Services []Service `msg:"services,omitempty"` // sorted by name; a service may be missing
}

// Limits bounds what callers may send.
type Limits struct {
	Header int           `msg:"header"` // bytes of a request's header
	Body   int64         `msg:"body"`   // bytes of a request's body
	Wait   time.Duration `msg:"wait"`   // time to send the header
	Idle   time.Duration `msg:"idle"`   // time that a connection may stay idle
}

// Service describes the backend servers of a service.
type Service struct {
	Name        string        `msg:"name"`
	Health      string        `msg:"health"`      // path of the health check
	Connections int           `msg:"connections"` // accepted by one backend server from all callers
	Cold        time.Duration `msg:"cold"`        // how long a backend server stays cold after its start
	Rate        float64       `msg:"rate"`        // requests a second that a cold backend server bears
}

// Route sends the calls that match host, path prefix and method to a pool.
type Route struct {
	Name    string        `msg:"name"`
	Host    string        `msg:"host,omitempty"`   // empty matches any host
	Path    string        `msg:"path"`             // prefix, begins with a slash
	Method  string        `msg:"method,omitempty"` // empty matches any method
	Pool    string        `msg:"pool"`
	Class   string        `msg:"class,omitempty"` // label of the customer's histograms
	Repeat  string        `msg:"repeat"`          // RepeatSafe or RepeatOnce
	Timeout time.Duration `msg:"timeout"`         // deadline of a call
	Retry   int           `msg:"retry"`           // retry budget in percent of first tries

	Split    []WeightedPool `msg:"split,omitempty"`    // pools by weight in place of Pool
	Priority int            `msg:"priority,omitempty"` // 0 is the most urgent
	Target   time.Duration  `msg:"target,omitempty"`   // latency objective; zero without one
	Attempts int            `msg:"attempts,omitempty"` // backend servers that one call may reach; zero means the daemon's default
}

// WeightedPool is one pool of a split route.
type WeightedPool struct {
	Pool   string `msg:"pool"`
	Weight int    `msg:"weight"`
}

// Pool selects backend servers by service and backend version.
type Pool struct {
	Name    string `msg:"name"`
	Service string `msg:"service"`
	Version string `msg:"version"`
	Floor   int    `msg:"floor"` // percentage of servers that ejection leaves in use

	// Except is a version that does not belong to a pool without Version, which
	// otherwise holds the backend servers of every version.
	Except string `msg:"except,omitempty"`
}

// Zone is an availability zone that an operator has taken out at least once.
type Zone struct {
	Name    string    `msg:"name"`
	Out     bool      `msg:"out"`
	Changed time.Time `msg:"changed"` // when it went out or came back
}

// Move shifts the traffic of a route from one pool to another by a deadline. A
// move without Route shifts the traffic of all routes to the pool From.
type Move struct {
	Name     string    `msg:"name"`
	Route    string    `msg:"route"`
	From     string    `msg:"from"`
	To       string    `msg:"to"`
	Start    time.Time `msg:"start"`
	Deadline time.Time `msg:"deadline"`
	State    string    `msg:"state"` // MoveRunning, MoveDone, MoveReverted or MoveCancelled
	Reason   string    `msg:"reason,omitempty"`

	// Span is the time from start to deadline of a move whose operator gives no
	// times of day. Each daemon then counts from when it first sees the move.
	Span time.Duration `msg:"span,omitempty"`
}

// Matches reports whether the pool holds the backend servers of a service version.
func (p *Pool) Matches(service, version string) bool {
	return p.Service == service && (p.Version == version || p.Version == "" && (p.Except == "" || p.Except != version))
}

// Change is one committed step from version Base to Version.
type Change struct {
	Version uint64      `msg:"version"`
	Base    uint64      `msg:"base"`
	Request string      `msg:"request"` // id of the operator's request
	Author  string      `msg:"author,omitempty"`
	Time    time.Time   `msg:"time"`
	Edits   EditRecords `msg:"edits"`
	Digest  []byte      `msg:"digest"` // of the tables at Version
}

// EditRecord is the encoded form of an Edit: Kind says which field counts.
type EditRecord struct {
	Kind  string `msg:"kind"`
	Name  string `msg:"name,omitempty"`
	Route *Route `msg:"route"`
	Pool  *Pool  `msg:"pool"`
	Zone  *Zone  `msg:"zone"`
	Move  *Move  `msg:"move"`
}

// Key names what a move shifts: its route, or the pool From of a move without
// one. No route has the name of a pool's key.
func (m *Move) Key() string {
	if m.Route != "" {
		return m.Route
	}
	return PoolKey(m.From)
}

// PoolKey is the Key of the moves of a pool.
func PoolKey(pool string) string { return "pool/" + pool }
