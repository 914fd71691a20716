package thmove

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Membership provides the members of the fleet and communication with them.
type Membership interface {
	Self() thwire.Member
	// Live returns the members that are alive or suspect, sorted by name.
	Live() []thwire.Member
	// First returns the first member in the rendezvous order of the key, and false
	// without members.
	First(key string, members []thwire.Member) (thwire.Member, bool)
	Send(name string, t thwire.Type, m thwire.Message) error
	// MergeMoveState merges a state update of a move and floods it to all daemons.
	MergeMoveState(u thwire.MoveState)
	// MoveStates returns the known state updates of all moves.
	MoveStates() []thwire.MoveState
}

// EndCommitter commits the end of a move through the platform. A move that has ended
// keeps its end: CommitEnd then changes nothing and returns that end. It returns an empty
// end if the move no longer exists.
type EndCommitter interface {
	CommitEnd(ctx context.Context, move thconfig.Move, state, reason string) (end string, err error)
}

// StartCommitter commits that a move runs, for daemons that start when its order has been
// replaced, and whether the backend servers of the pool To were the only ones when it was
// ordered. The error is of kind Conflict if the order has been replaced.
type StartCommitter interface {
	CommitStart(ctx context.Context, move thconfig.Move, inService bool) error
}

const (
	tickInterval       = 250 * time.Millisecond // interval of the Mover's loop
	longestWindowTicks = 8                      // ticks between reports of the longest window
	// reportTime is the time in which a new coordinator gets the reports of all windows. The
	// other daemons send them when they have learned of it.
	reportTime = 3 * tickInterval
	// With more than smallMoveServers servers in both pools together, targets report at
	// every second tick. The reports of a server cost the coordinator about 0.9 KB/s, of
	// the 18 KB/s allowed for a daemon.
	smallMoveServers = 12
	// commitInterval is the time between attempts to commit the end of a move. An attempt
	// doesn't wait for the one before, which may get no response if the platform was away
	// when it began. Only the coordinator makes them.
	commitInterval = time.Second
	commitTimeout  = 5 * time.Second // of one attempt

	// startCommitInterval is the time between attempts to commit the start of a move, and the
	// timeout of one.
	startCommitInterval = 2 * time.Second
	evidenceLogInterval = time.Second

	// completionReserve is the time before the deadline that is left for committing the
	// end of a move: a tick, and some time for operators to see it.
	completionReserve = 750 * time.Millisecond
)

// Mover runs the moves on one daemon. Set the exported fields before Start; nil is
// valid for Clock and Log.
type Mover struct {
	Membership     Membership
	EndCommitter   EndCommitter
	StartCommitter StartCommitter // nil if the order of a move is kept until its end
	Exposure       ExposureLimit
	// IsReader reports whether this daemon reads orders from where operators write them,
	// and so learns of moves before the others; nil means no.
	IsReader func() bool
	Clock    clockwork.Clock
	Log      hclog.Logger

	view   atomic.Pointer[view]
	mu     sync.Mutex // guards ticks and the tracks; the request path doesn't lock it
	ticks  int
	cancel context.CancelFunc
	done   chan struct{}
	work   sync.WaitGroup // goroutines that send reports, publish updates and finish moves
}

// view is the immutable set of running moves that the request path reads.
type view struct {
	byRoute  map[string]*track // by the move's key
	byPool   map[string]*track // moves without a route, by both pools
	byMove   map[string]*track // by the move's name
	excluded map[string]bool   // backend servers whose calls aren't counted
	zones    map[string]string // availability zone by server
	servers  map[string]int    // by move: alive backend servers of the new version
	large    map[string]bool   // moves whose pools have more than smallMoveServers
}

// Status describes a running move on this daemon.
type Status struct {
	Move      thconfig.Move
	Step      int
	Share     float64 // current traffic share of the new version on this daemon
	Bad       bool    // the coordinator found the new version bad
	Suspended bool    // this daemon temporarily sends no calls to the new version
	Overdue   bool    // the deadline has passed
	End       string  // committed final state, empty while the move is running
	Reason    string  // why the new version is bad, or why the move waits
}

// Start starts the Mover's loop, which runs until ctx ends or Stop is called.
func (m *Mover) Start(ctx context.Context) error {
	if m.Log == nil {
		m.Log = hclog.NewNullLogger()
	}
	m.Clock = thclock.OrSystem(m.Clock)
	ctx, m.cancel = context.WithCancel(ctx)
	m.done = make(chan struct{})
	ticker := m.Clock.NewTicker(tickInterval)
	go func() {
		defer close(m.done)
		defer m.work.Wait()
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
				m.tick(ctx)
			}
		}
	}()
	return nil
}

// Stop ends the loop and waits until it and its goroutines have ended. It does nothing
// before Start.
func (m *Mover) Stop() {
	if m.cancel != nil {
		m.cancel()
		<-m.done
	}
}

// Done returns a channel that is closed when the loop has ended; nil before Start.
func (m *Mover) Done() <-chan struct{} { return m.done }

// Update sets the running moves from a new configuration or membership. Moves that are
// still running keep their state and statistics.
func (m *Mover) Update(tables *thconfig.Tables, members []thwire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.view.Load()
	next := &view{
		byRoute:  map[string]*track{},
		byPool:   map[string]*track{},
		byMove:   map[string]*track{},
		excluded: map[string]bool{},
		zones:    map[string]string{},
		servers:  map[string]int{},
		large:    map[string]bool{},
	}
	now := thclock.OrSystem(m.Clock).Now()
	for _, move := range tables.Moves {
		if move.State != thconfig.MoveRunning {
			continue
		}
		var t *track
		if old != nil {
			t = old.byMove[move.Name]
		}
		isNew := t == nil
		if isNew {
			t = newTrack(move, now)
		}
		if t.move.Order != move.Order { // a store that has come back from a copy gives it another version
			t.move.Order, t.startCommitted = move.Order, false
		}
		next.byRoute[move.Key()] = t
		if move.Route == "" {
			next.byPool[move.From], next.byPool[move.To] = t, t
		}
		next.byMove[move.Name] = t
		to := countServers(tables, move.To, members)
		next.servers[move.Name] = to
		next.large[move.Name] = to+countServers(tables, move.From, members) > smallMoveServers
		t.observeServers(to > 0 && !hasServer(tables, move.From, members), isNew && old != nil)
	}
	for _, s := range members {
		next.zones[s.Name] = s.Zone
		zone, known := tables.Zone(s.Zone)
		if known && zone.Out || s.State != thwire.MemberAlive {
			next.excluded[s.Name] = true
		}
	}
	m.view.Store(next)
	for _, u := range m.Membership.MoveStates() {
		m.applyUpdate(next, u, now)
	}
}

// countServers returns the number of alive members with a backend server of the pool.
func countServers(tables *thconfig.Tables, pool string, members []thwire.Member) int {
	p, _ := tables.Pool(pool)
	n := 0
	for _, m := range members {
		s := m.Server
		if m.State == thwire.MemberAlive && s != nil && p.Matches(s.Service, s.Version) {
			n++
		}
	}
	return n
}

// hasServer reports whether a member that is not dead has a backend server of the pool.
func hasServer(tables *thconfig.Tables, pool string, members []thwire.Member) bool {
	p, _ := tables.Pool(pool)
	return slices.ContainsFunc(members, func(m thwire.Member) bool {
		return m.State != thwire.MemberDead && m.Server != nil && p.Matches(m.Server.Service, m.Server.Version)
	})
}

// Share returns the name of the route's running move, the pool that it sends traffic to
// and that pool's traffic share, 0 to 1. running is false if the route has no move.
func (m *Mover) Share(route string) (move, to string, share float64, running bool) {
	v := m.view.Load()
	if v == nil || len(v.byRoute) == 0 {
		return "", "", 0, false
	}
	t := v.byRoute[route]
	if t == nil {
		return "", "", 0, false
	}
	return t.move.Name, t.move.To, t.share(thclock.OrSystem(m.Clock).Now()), true
}

// SharePool is like Share for the running move of a pool.
func (m *Mover) SharePool(pool string) (move, to string, share float64, running bool) {
	return m.Share(thconfig.PoolKey(pool))
}

// LoadTest reports whether a load test of a move runs, and the position among the servers of
// the new version, 0 to 1, from which on they get the calls. Calls that are spread evenly load
// each server as little as usual, so a version that fails at a higher load would pass.
func (m *Mover) LoadTest(move string) (position float64, running bool) {
	v := m.view.Load()
	if v == nil || v.byMove[move] == nil {
		return 0, false
	}
	turn, running := v.byMove[move].currentStep().loadTestTurn(thclock.OrSystem(m.Clock).Now())
	return float64(turn) / loadTestTurns, running
}

// Observe counts the outcome of a call of a moving route at its ingress. These counts
// are used only on this daemon. An empty kind means that the backend server responded
// with status.
func (m *Mover) Observe(move, pool, server string, kind therror.Kind, status int, latency time.Duration, load thwire.Load) {
	v := m.view.Load()
	if v == nil {
		return
	}
	t := v.byMove[move]
	if t == nil || v.excluded[server] {
		return
	}
	relevant, failed := classify(kind, status)
	if !relevant {
		return
	}
	now := thclock.OrSystem(m.Clock).Now()
	t.ingressCounter(pool, server).observe(now, failed, countsLatency(t, now, load.Cold), latency)
}

// countsLatency reports whether the latency of a response counts: it is ignored for
// cold servers during coldGrace.
func countsLatency(t *track, now time.Time, cold bool) bool {
	return !cold || now.Sub(t.move.Start) > coldGrace
}

// HandleMoveState handles a state update of a move that the membership has received.
func (m *Mover) HandleMoveState(u thwire.MoveState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v := m.view.Load(); v != nil {
		m.applyUpdate(v, u, thclock.OrSystem(m.Clock).Now())
	}
}

// applyUpdate merges a state update into the track of its move: the step never
// decreases, bad is never reset, and the first end is kept. m.mu is held.
func (m *Mover) applyUpdate(v *view, u thwire.MoveState, now time.Time) {
	t := v.byMove[u.Move]
	if t == nil {
		return
	}
	if step := min(max(u.Step, 0), lastStep); step > t.currentStep().number {
		t.step.Store(&moveStep{number: step, since: now, lasts: u.Lasts, calls: u.Calls, sentBefore: t.served[1].currentTotals().sent})
	}
	if u.Bad && !t.bad.Load() {
		t.bad.Store(true)
		t.reason = u.Reason
	}
	if u.End != "" {
		t.end.CompareAndSwap(nil, &u.End)
	}
}

// HandleReport stores a report from another daemon; reports about unknown moves are
// ignored.
func (m *Mover) HandleReport(r thwire.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view.Load()
	if v == nil || v.byMove[r.Move] == nil {
		return
	}
	v.byMove[r.Move].putReport(thclock.OrSystem(m.Clock).Now(), r)
}

// Statuses returns the status of all running moves, in no particular order.
func (m *Mover) Statuses() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view.Load()
	if v == nil {
		return nil
	}
	now := thclock.OrSystem(m.Clock).Now()
	var all []Status
	for _, t := range v.byRoute {
		reason := t.reason
		if reason == "" && v.servers[t.move.Name] == 0 {
			reason = "no backend server in pool " + t.move.To
		}
		all = append(all, Status{
			Move:      t.move,
			Step:      t.currentStep().number,
			Share:     t.share(now),
			Bad:       t.bad.Load(),
			Suspended: t.isSuspended(now),
			Overdue:   t.end.Load() == nil && now.After(t.schedule.deadline),
			End:       t.committedEnd(),
			Reason:    reason,
		})
	}
	return all
}
