// Package thconfig defines the configuration (routes, pools, availability zones
// and moves), the edits that change it, and its validation.
package thconfig

import (
	"slices"
	"time"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file schema.go -o schema_gen.go -tests=false -io=false

//msgp:limit arrays:16384 maps:64

// Tables is the complete configuration at one version. Each slice is sorted by
// name. Callers must not modify it: Apply returns a copy.
type Tables struct {
	Version uint64  `msg:"version"`
	Routes  []Route `msg:"routes"`
	Pools   []Pool  `msg:"pools"`
	Zones   []Zone  `msg:"zones"`
	Moves   []Move  `msg:"moves"`

	Limits   *Limits   `msg:"limits,omitempty"`   // nil means the limits of the daemon's settings
	Services []Service `msg:"services,omitempty"` // may lack services that pools name
	Revision uint64    `msg:"revision,omitempty"` // that operators assigned to the configuration; zero if they assign none

	// Keyed means that requests need the key of an account, except on anonymous routes. It is
	// separate from Accounts, so that the removal of the last account doesn't open the routes.
	Keyed    bool      `msg:"keyed,omitempty"`
	Accounts []Account `msg:"accounts,omitempty"`
}

// KeyHash is the hash of a key of an account: the first half of its SHA-256. The tables hold
// hashes, so that no copy, message or log of them tells a key.
type KeyHash [16]byte

// Account is a client account.
type Account struct {
	Name     string    `msg:"name"`
	Keys     []KeyHash `msg:"keys"`               // sorted
	Priority int       `msg:"priority,omitempty"` // goes before that of the route; 0 is the highest
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	Header int           `msg:"header"` // maximum size of a request's header in bytes
	Body   int64         `msg:"body"`   // maximum size of a request's body in bytes
	Wait   time.Duration `msg:"wait"`   // timeout for receiving the header
	Idle   time.Duration `msg:"idle"`   // idle timeout of a connection
}

// Service describes the backend servers of a service.
type Service struct {
	Name        string        `msg:"name"`
	Health      string        `msg:"health"`      // path of the health check
	Connections int           `msg:"connections"` // maximum connections to one backend server from all callers
	Cold        time.Duration `msg:"cold"`        // how long a backend server counts as cold after its start
	Rate        float64       `msg:"rate"`        // rate limit of a cold backend server in requests per second
}

// Route sends the calls that match its host, path prefix and method to a pool.
type Route struct {
	Name    string        `msg:"name"`
	Host    string        `msg:"host,omitempty"`   // empty matches any host
	Path    string        `msg:"path"`             // prefix, begins with a slash
	Method  string        `msg:"method,omitempty"` // empty matches any method
	Pool    string        `msg:"pool"`
	Class   string        `msg:"class,omitempty"` // customer class, a label of the latency histograms
	Repeat  string        `msg:"repeat"`          // RepeatSafe or RepeatOnce
	Timeout time.Duration `msg:"timeout"`         // deadline of a call
	Retry   int           `msg:"retry"`           // retry budget in percent of first attempts

	Split    []WeightedPool `msg:"split,omitempty"`    // pools by weight; replaces Pool if not empty
	Priority int            `msg:"priority,omitempty"` // 0 is the highest
	Target   time.Duration  `msg:"target,omitempty"`   // latency objective; zero means none
	Attempts int            `msg:"attempts,omitempty"` // maximum backend servers that one call is sent to; zero means the daemon's default

	Anonymous bool `msg:"anonymous,omitempty"` // requests need no key, in tables that are Keyed
}

// WeightedPool is a pool of a route with a traffic split and its weight.
type WeightedPool struct {
	Pool   string `msg:"pool"`
	Weight int    `msg:"weight"`
}

// Pool selects backend servers by service and backend version.
type Pool struct {
	Name    string `msg:"name"`
	Service string `msg:"service"`
	Version string `msg:"version"`
	Floor   int    `msg:"floor"` // minimum percentage of servers that outlier ejection leaves in use

	// Except lists the versions that a pool without Version excludes, sorted. Such a pool
	// otherwise contains the backend servers of all versions.
	Except []string `msg:"except,omitempty"`

	// Current is the version that the latest completed rollout has brought into service,
	// empty if none is known. It is not in Except.
	Current string `msg:"current,omitempty"`
}

// Zone is an availability zone that an operator has taken out of service at least once.
type Zone struct {
	Name    string    `msg:"name"`
	Out     bool      `msg:"out"`
	Changed time.Time `msg:"changed"` // time of the last change of Out
}

// Move shifts the traffic of a route from one pool to another before a deadline.
// A move without Route shifts the traffic of all routes to the pool From.
type Move struct {
	Name     string    `msg:"name"`
	Route    string    `msg:"route"`
	From     string    `msg:"from"`
	To       string    `msg:"to"`
	Start    time.Time `msg:"start"`
	Deadline time.Time `msg:"deadline"`
	State    string    `msg:"state"` // MoveRunning, MoveDone, MoveReverted or MoveCancelled
	Reason   string    `msg:"reason,omitempty"`

	// Span is the time from start to deadline of a move that has no Start and
	// Deadline. Each daemon then counts from the time when it first sees the move.
	Span time.Duration `msg:"span,omitempty"`

	// Order is the version of the rollout's order, as returned by StoreVersion; zero for a
	// move that is no rollout.
	Order uint64 `msg:"order,omitempty"`
}

// Matches reports whether backend servers of a service and version belong to the pool.
func (p *Pool) Matches(service, version string) bool {
	return p.Service == service && (p.Version == version || p.Version == "" && !slices.Contains(p.Except, version))
}

// Change is a committed transaction that turns the tables at version Base into
// those at Version.
type Change struct {
	Version uint64      `msg:"version"`
	Base    uint64      `msg:"base"`
	Request string      `msg:"request"` // id of the operator's request
	Author  string      `msg:"author,omitempty"`
	Time    time.Time   `msg:"time"`
	Edits   EditRecords `msg:"edits"`
	Digest  []byte      `msg:"digest"` // SHA-256 of the tables at Version
}

// EditRecord is the encoded form of an Edit. Kind selects the field that is used.
type EditRecord struct {
	Kind  string `msg:"kind"`
	Name  string `msg:"name,omitempty"`
	Route *Route `msg:"route"`
	Pool  *Pool  `msg:"pool"`
	Zone  *Zone  `msg:"zone"`
	Move  *Move  `msg:"move"`
}

// Key identifies the traffic that a move shifts: the route, or the pool From if
// the move has no route. No route has a name of the form of PoolKey.
func (m *Move) Key() string {
	if m.Route != "" {
		return m.Route
	}
	return PoolKey(m.From)
}

// PoolKey returns the Key of the moves that shift all traffic of a pool.
func PoolKey(pool string) string { return "pool/" + pool }
