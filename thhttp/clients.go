package thhttp

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Bounds are bounds on all client connections of a server together. Zero fields mean none.
type Bounds struct {
	Connections int
	Bytes       int64 // estimated memory for heads, input read ahead, kept bodies and responses that wait
}

// ConnectionCost is the estimated memory of an idle connection in bytes. BenchmarkIdleConnection
// measures 4.7 KB, that of the client included.
const ConnectionCost = 8 << 10

// Estimated costs in bytes, of which Bounds.Bytes limits the sum.
const (
	requestCost = 16 << 10 // of a request in progress beside its head: stacks and buffers of the call
	fieldCost   = 128      // of a header field beside its bytes: entries of the map and of the slice of values
	maxKeptBody = 64 << 10 // of a body that a handler may keep for a retry
)

// accountUnit is the unit in which accounts add to the sum of all, in bytes, so that small
// changes don't touch the sum.
const accountUnit = 4 << 10

// minHoldingAge is the least age with which a connection is ranked, so that one that takes much at
// once ranks above one that has held little for some seconds.
const minHoldingAge = time.Second

// boundLogInterval is the least time between two log lines about a bound.
const boundLogInterval = 10 * time.Second

// clientTable holds the accounts of all client connections, those passed to HTTP2 included.
type clientTable struct {
	held atomic.Int64 // sum of all accounts, each rounded up to accountUnit

	mutex   sync.Mutex
	members []*account
	evicted int // members that were evicted and have not ended yet

	logMutex sync.Mutex
	logged   map[Limit]*boundLog
}

// boundLog is what was logged about a bound.
type boundLog struct {
	last  time.Time
	ended int // connections and requests since then
}

// evictor closes a connection unless one of its requests may be at a backend server.
type evictor interface{ evict() bool }

// account is what a client connection holds.
type account struct {
	server  *Server
	held    atomic.Int64 // bytes
	since   atomic.Int64 // thclock.Stamp of the last complete response, or of the accept
	running atomic.Int32 // requests that may be at a backend server, without a response head yet

	owner   evictor // guarded by the mutex of the table, as the fields below
	index   int     // in the members of the table
	evicted bool
}

// admit adds a connection to the table. If that exceeds the bound, it closes another one, and
// returns false if none can be closed.
func (s *Server) admit(a *account, owner evictor) bool {
	now := thclock.OrSystem(s.Clock).Now()
	a.server, a.owner = s, owner
	a.since.Store(thclock.Stamp(now))
	t := &s.clients
	t.mutex.Lock()
	atBound := s.Bounds.Connections > 0 && len(t.members)-t.evicted >= s.Bounds.Connections
	admitted := !atBound || t.evictOne(now, false, nil)
	if admitted {
		a.index = len(t.members)
		t.members = append(t.members, a)
	}
	t.mutex.Unlock()
	if atBound {
		s.reportBound(LimitConnections, 1)
	}
	if admitted {
		a.count(ConnectionCost) // what follows makes room: this connection would be the one to close
	}
	return admitted
}

// leave removes a connection from the table when it has ended. Its requests that are still in
// progress stay in the sum.
func (a *account) leave() {
	if a.server == nil {
		return
	}
	t := &a.server.clients
	t.mutex.Lock()
	last := t.members[len(t.members)-1]
	t.members[a.index], last.index = last, a.index
	t.members[len(t.members)-1] = nil
	t.members = t.members[:len(t.members)-1]
	if a.evicted {
		t.evicted--
	}
	t.mutex.Unlock()
	a.add(-ConnectionCost)
}

// setOwner replaces the evictor of a connection.
func (a *account) setOwner(owner evictor) {
	if a.server == nil {
		return
	}
	a.server.clients.mutex.Lock()
	defer a.server.clients.mutex.Unlock()
	a.owner = owner
}

// add adds n bytes to the account. If the sum then exceeds the bound it closes connections, maybe
// this one, and returns false if that is not enough. The mutex of the connection must not be held
// unless n is negative.
func (a *account) add(n int64) bool { return !a.count(n) || a.server.makeRoom(nil) }

// reserve is add for a request that has not begun. It also returns false, in place of closing this
// connection, if that is the one to close: the caller has to reject the request.
func (a *account) reserve(n int64) bool { return !a.count(n) || a.server.makeRoom(a) }

// count adds n bytes to the account, and reports whether they make the sum exceed the bound.
func (a *account) count(n int64) bool {
	if n == 0 || a.server == nil {
		return false
	}
	held := a.held.Add(n)
	change := roundUp(held) - roundUp(held-n)
	if change == 0 {
		return false
	}
	total := a.server.clients.held.Add(change)
	return change > 0 && a.server.exceedsBytes(total)
}

func roundUp(n int64) int64 { return (n + accountUnit - 1) / accountUnit * accountUnit }

func (s *Server) exceedsBytes(n int64) bool { return s.Bounds.Bytes > 0 && n > s.Bounds.Bytes }

// isFull reports whether connections hold more than the bound.
func (a *account) isFull() bool {
	return a.server != nil && a.server.exceedsBytes(a.server.clients.held.Load())
}

// makeRoom closes connections until the others are within the bound of bytes. It returns false if
// that is not possible, or if the one to close is spared.
func (s *Server) makeRoom(spared *account) bool {
	now := thclock.OrSystem(s.Clock).Now()
	t := &s.clients
	t.mutex.Lock()
	closed, enough := 0, true
	for enough && s.exceedsBytes(t.held.Load()-t.releasing()) {
		if enough = t.evictOne(now, true, spared); enough {
			closed++
		}
	}
	t.mutex.Unlock()
	if closed > 0 {
		s.reportBound(LimitBytes, closed)
	}
	return enough
}

// releasing returns the bytes of evicted connections that have not ended yet. The mutex is held.
func (t *clientTable) releasing() int64 {
	if t.evicted == 0 {
		return 0
	}
	n := int64(0)
	for _, a := range t.members {
		if a.evicted {
			n += roundUp(a.held.Load())
		}
	}
	return n
}

// evictOne closes the connection that has held the most for the longest time and has no request
// at a backend server. With large set, only those that hold at least the average are considered:
// to close many idle connections would release little. It returns false if there is none, or if it
// is spared. The mutex is held.
func (t *clientTable) evictOne(now time.Time, large bool, spared *account) bool {
	for {
		a := t.choose(now, large)
		if a == nil || a == spared {
			return false
		}
		if a.owner.evict() { // fails if a request has begun meanwhile
			a.evicted = true
			t.evicted++
			return true
		}
	}
}

// choose returns the account that evictOne closes, nil if there is none. The mutex is held.
func (t *clientTable) choose(now time.Time, large bool) *account {
	least := int64(0)
	if large {
		sum, count := int64(0), int64(0)
		for _, a := range t.members {
			if a.isEvictable() {
				sum += a.held.Load()
				count++
			}
		}
		if count > 0 {
			least = sum / count
		}
	}
	var chosen *account
	most := 0.0
	for _, a := range t.members {
		held := a.held.Load()
		if held < least || !a.isEvictable() {
			continue
		}
		age := max(thclock.Since(a.since.Load(), now), minHoldingAge)
		if score := float64(held) * age.Seconds(); chosen == nil || score > most {
			chosen, most = a, score
		}
	}
	return chosen
}

func (a *account) isEvictable() bool { return !a.evicted && a.running.Load() == 0 }

// reportBound counts connections or requests that a bound has ended, and logs them at most once
// in boundLogInterval.
func (s *Server) reportBound(l Limit, n int) {
	for range n {
		s.countLimit(l)
	}
	now := thclock.OrSystem(s.Clock).Now()
	t := &s.clients
	t.logMutex.Lock()
	if t.logged == nil {
		t.logged = map[Limit]*boundLog{}
	}
	b := t.logged[l]
	if b == nil {
		b = &boundLog{}
		t.logged[l] = b
	}
	b.ended += n
	ended := b.ended
	due := b.last.IsZero() || now.Sub(b.last) >= boundLogInterval
	if due {
		b.last, b.ended = now, 0
	}
	t.logMutex.Unlock()
	if !due {
		return
	}
	t.mutex.Lock()
	connections := len(t.members) - t.evicted
	t.mutex.Unlock()
	s.log().Warn("clients exceed a bound; connections closed or requests rejected", "bound", l, "ended", ended,
		"connections", connections, "bytes", t.held.Load())
}
