package thmove

import (
	"context"
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

// Fleet is what a Mover needs of the membership.
type Fleet interface {
	Self() thwire.Member
	// Live returns the members that are alive or suspect, sorted by name.
	Live() []thwire.Member
	// First returns the first member in rendezvous order of the key.
	First(key string, members []thwire.Member) (thwire.Member, bool)
	Send(name string, t thwire.Type, m thwire.Message) error
	MergeFact(f thwire.MoveState)
	Facts() []thwire.MoveState
}

// Finisher commits the end of a move through the platform. It changes nothing
// and returns nil when the move is no longer running.
type Finisher interface {
	Finish(ctx context.Context, move thconfig.Move, state, reason string) error
}

// Intervals of the Mover's loop.
const (
	tickInterval = 250 * time.Millisecond
	lastEvery    = 8 // ticks between reports of the longest window
	// Above fewServers in both pools, targets report at every second tick. A server
	// costs the holder about 0.9 KB/s, of the 18 KB/s that a daemon may spend.
	fewServers       = 12
	finishTimeout    = 5 * time.Second
	minFinishBackoff = 500 * time.Millisecond
	maxFinishBackoff = 10 * time.Second
)

// Mover runs the moves on one daemon. Set the exported fields before Start.
type Mover struct {
	Fleet    Fleet
	Finisher Finisher
	Clock    clockwork.Clock
	Log      hclog.Logger

	view   atomic.Pointer[view]
	mu     sync.Mutex // guards ticks and reports, not the request path
	ticks  int
	cancel context.CancelFunc
	done   chan struct{}
	work   sync.WaitGroup
}

// view is what the request path reads.
type view struct {
	byRoute  map[string]*track // by the move's key
	byPool   map[string]*track // of moves without a route
	byMove   map[string]*track
	excluded map[string]bool   // backend servers that give no evidence
	zones    map[string]string // availability zone by server
	empty    map[string]bool   // moves whose new version has no backend server
	large    map[string]bool   // moves whose pools have more than fewServers
}

// Status describes a running move on this daemon.
type Status struct {
	Move      thconfig.Move
	Step      int
	Share     float64
	Bad       bool
	Suspended bool
	Late      bool
	Reason    string
}

// Start begins the Mover's loop; it ends with ctx or Stop.
func (m *Mover) Start(ctx context.Context) error {
	if m.Log == nil {
		m.Log = hclog.NewNullLogger()
	}
	m.Clock = thclock.Or(m.Clock)
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

// Stop ends the loop and waits for it.
func (m *Mover) Stop() {
	if m.cancel != nil {
		m.cancel()
		<-m.done
	}
}

// Done is closed when the loop has ended.
func (m *Mover) Done() <-chan struct{} { return m.done }

// Update takes the running moves of a new configuration or membership. Tracks
// of moves that still run keep their evidence.
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
		empty:    map[string]bool{},
		large:    map[string]bool{},
	}
	now := thclock.Or(m.Clock).Now()
	for _, move := range tables.Moves {
		if move.State != thconfig.MoveRunning {
			continue
		}
		var t *track
		if old != nil {
			t = old.byMove[move.Name]
		}
		if t == nil {
			t = &track{move: move, stepSince: now}
			if move.Span > 0 {
				t.move.Start, t.move.Deadline = now, now.Add(move.Span)
			}
		}
		next.byRoute[move.Key()] = t
		if move.Route == "" {
			next.byPool[move.From], next.byPool[move.To] = t, t
		}
		next.byMove[move.Name] = t
		to := countServers(tables, move.To, members)
		next.empty[move.Name] = to == 0
		next.large[move.Name] = to+countServers(tables, move.From, members) > fewServers
	}
	for _, s := range members {
		next.zones[s.Name] = s.Zone
		zone, known := tables.Zone(s.Zone)
		if known && zone.Out || s.State != thwire.MemberAlive {
			next.excluded[s.Name] = true
		}
	}
	m.view.Store(next)
	for _, f := range m.Fleet.Facts() {
		m.learn(next, f, now)
	}
}

// countServers counts the live members with a backend server of the pool.
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

// Share returns the share of a route's traffic that goes to another pool.
// running is false while the route has no move.
func (m *Mover) Share(route string) (move, to string, share float64, running bool) {
	v := m.view.Load()
	if v == nil || len(v.byRoute) == 0 {
		return "", "", 0, false
	}
	t := v.byRoute[route]
	if t == nil {
		return "", "", 0, false
	}
	return t.move.Name, t.move.To, t.share(thclock.Or(m.Clock).Now()), true
}

// SharePool returns the same as Share for the move of a pool.
func (m *Mover) SharePool(pool string) (move, to string, share float64, running bool) {
	return m.Share(thconfig.PoolKey(pool))
}

// Observe counts the outcome of a call of a moving route as its ingress saw it.
// This evidence serves this daemon only. An empty kind means that the backend
// server answered with status.
func (m *Mover) Observe(move, pool, server string, kind therror.Kind, status int, latency time.Duration, load thwire.Load) {
	v := m.view.Load()
	if v == nil {
		return
	}
	t := v.byMove[move]
	if t == nil || v.excluded[server] {
		return
	}
	counts, failed := counted(kind, status)
	if !counts {
		return
	}
	now := thclock.Or(m.Clock).Now()
	t.cell(pool, server).observe(now, failed, timed(t, now, load.Cold), latency)
}

// Served counts the outcome of a call as the target saw it, beside its backend
// server. This evidence goes to the holder.
func (m *Mover) Served(route, pool string, kind therror.Kind, status int, latency time.Duration, cold bool) {
	v := m.view.Load()
	if v == nil {
		return
	}
	t := v.byRoute[route]
	if t == nil {
		t = v.byPool[pool]
	}
	if t == nil {
		return
	}
	c := t.servedCell(pool)
	counts, failed := counted(kind, status)
	if c == nil || !counts {
		return
	}
	now := thclock.Or(m.Clock).Now()
	c.observe(now, failed, timed(t, now, cold), latency)
}

// timed reports whether the latency of an answer counts.
func timed(t *track, now time.Time, cold bool) bool {
	return !cold || now.Sub(t.move.Start) > coldGrace
}

// HandleFact takes a fact that the membership has learned.
func (m *Mover) HandleFact(f thwire.MoveState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v := m.view.Load(); v != nil {
		m.learn(v, f, thclock.Or(m.Clock).Now())
	}
}

// learn merges a fact into the track of its move; m.mu is held.
func (m *Mover) learn(v *view, f thwire.MoveState, now time.Time) {
	t := v.byMove[f.Move]
	if t == nil {
		return
	}
	if step := int32(min(max(f.Step, 0), lastStep)); step > t.step.Load() {
		t.step.Store(step)
		t.stepSince = now
	}
	if f.Bad && !t.bad.Load() {
		t.bad.Store(true)
		t.reason = f.Reason
	}
}

// HandleReport takes a report from another daemon.
func (m *Mover) HandleReport(r thwire.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view.Load()
	if v == nil || v.byMove[r.Move] == nil {
		return
	}
	v.byMove[r.Move].reports.put(thclock.Or(m.Clock).Now(), r)
}

// Statuses describes the running moves.
func (m *Mover) Statuses() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view.Load()
	if v == nil {
		return nil
	}
	now := thclock.Or(m.Clock).Now()
	var all []Status
	for _, t := range v.byRoute {
		reason := t.reason
		if reason == "" && v.empty[t.move.Name] {
			reason = "no backend server in pool " + t.move.To
		}
		all = append(all, Status{
			Move:      t.move,
			Step:      int(t.step.Load()),
			Share:     t.share(now),
			Bad:       t.bad.Load(),
			Suspended: now.UnixNano() < t.suspended.Load(),
			Late:      now.After(t.move.Deadline),
			Reason:    reason,
		})
	}
	return all
}
