// Package thsync holds the configuration version in effect on a daemon and
// keeps it current: polling, push between daemons, repair and recovery.
package thsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/throute"
	"github.com/turmerichaven/turmerichaven/thstore"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Snapshot is one complete, validated configuration version. It is immutable.
type Snapshot struct {
	Tables thconfig.Tables
	Digest []byte
	Router *throute.Router
}

// Peers is the part of *thmember.Node that the holder uses.
type Peers interface {
	Self() thwire.Member
	View() *thmember.View
	SendAll(t thwire.Type, m thwire.Message, except string)
	Send(name string, t thwire.Type, m thwire.Message) error
	Neighbours() []string
	SetHeld(version uint64, digest []byte)
	SetBlind(blind bool)
	Handle(t thwire.Type, h thmember.Handler)
}

// Platform is the part of *thstore.Store that the holder uses.
type Platform interface {
	Head(ctx context.Context) (thstore.Head, error)
	Load(ctx context.Context) (thconfig.Tables, []byte, error)
	Restore(ctx context.Context) (thconfig.Tables, []byte, error)
	Changes(ctx context.Context, after uint64, limit int) ([]thconfig.Change, error)
	PutSnapshot(ctx context.Context, t thconfig.Tables) error
}

// Status is what operators see of a holder.
type Status struct {
	Version uint64       // in effect
	Digest  []byte       // of Version
	Highest uint64       // highest version known here, not necessarily in effect
	Floor   uint64       // version that the recovery gate waits for
	Ready   bool         // the recovery gate has passed
	Polling bool         // this daemon polls the platform for its zone
	Alarm   therror.Kind // Older, Diverged or empty
	Error   string       // last error; empty after the next success
}

const (
	tickEvery = 50 * time.Millisecond
	// startSpread spreads the first reads of pollers that start together.
	startSpread = time.Second
	inboxSize   = 256
)

// Holder holds the snapshot in effect. Set the exported fields and call Watch
// before Start. Start it before the Peers, since it sets their handlers.
type Holder struct {
	Platform Platform
	Peers    Peers
	Clock    clockwork.Clock
	Log      hclog.Logger
	Seed     uint64 // of the jitter; 0 means a random seed
	// Spread is the time over which daemons that start together find each other;
	// those that find no other read the platform themselves after it.
	Spread time.Duration

	current   atomic.Pointer[Snapshot]
	status    atomic.Pointer[Status]
	ready     atomic.Bool
	watchers  []func(*Snapshot)
	preparers []func(*Snapshot)
	events    chan func() // run by the loop
	poke      chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	group     sync.WaitGroup
	done      chan struct{}
	run       func(func()) // starts a platform read; tests run it at once

	// Owned by the loop.
	random   *rand.Rand
	versions versions
	poller   poller
	gate     gate
	repair   repair
	alarm    therror.Kind
	lastErr  error
}

// Start begins to hold versions. It returns before the first version is there: see Ready.
func (h *Holder) Start(ctx context.Context) error {
	if h.Platform == nil || h.Peers == nil {
		return therror.New(therror.Bad, "a holder needs a platform and peers")
	}
	h.prepare(ctx)
	h.Peers.Handle(thwire.TypeDelta, h.handleDelta)
	h.Peers.Handle(thwire.TypeKnown, h.handleKnown)
	h.Peers.Handle(thwire.TypeFetch, h.handleFetch)
	h.Peers.Handle(thwire.TypeBatch, h.handleBatch)
	h.Peers.Handle(thwire.TypeAsk, h.handleAsk)
	h.Peers.Handle(thwire.TypeRead, h.handleRead)
	h.group.Add(1)
	go h.loop()
	return nil
}

func (h *Holder) prepare(ctx context.Context) {
	h.Clock = thclock.OrSystem(h.Clock)
	if h.Log == nil {
		h.Log = hclog.NewNullLogger()
	}
	if h.Seed == 0 {
		h.Seed = rand.Uint64()
	}
	h.random = rand.New(rand.NewPCG(h.Seed, 1))
	h.events = make(chan func(), inboxSize)
	h.poke = make(chan struct{}, 1)
	h.done = make(chan struct{})
	h.ctx, h.cancel = context.WithCancel(ctx)
	if h.run == nil {
		h.run = h.spawn
	}
	now := h.Clock.Now()
	h.gate.started = now
	h.startShare(now)
	h.poller.next = now.Add(time.Duration(h.random.Int64N(int64(startSpread))))
	h.report()
}

// Stop ends the holder; the current snapshot stays available.
func (h *Holder) Stop() {
	if h.cancel == nil {
		return
	}
	h.cancel()
	<-h.done
}

// Done is closed when all goroutines have ended.
func (h *Holder) Done() <-chan struct{} { return h.done }

// Current returns the snapshot in effect, nil before the first; it costs one atomic load.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Watch adds a function that is called in order after each swap.
func (h *Holder) Watch(f func(*Snapshot)) { h.watchers = append(h.watchers, f) }

// Prepare adds a function that is called in order before each swap, so that
// what the routes of a version reference is usable when they take effect.
func (h *Holder) Prepare(f func(*Snapshot)) { h.preparers = append(h.preparers, f) }

// Ready reports whether the recovery gate has passed and a version is in effect.
func (h *Holder) Ready() bool { return h.ready.Load() }

// Status returns the state of the holder.
func (h *Holder) Status() Status {
	if s := h.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

// Poke makes the holder read the head now, whether or not it polls.
func (h *Holder) Poke() {
	select {
	case h.poke <- struct{}{}:
	default:
	}
}

func (h *Holder) loop() {
	defer close(h.done)
	defer h.group.Wait() // platform reads end with the context
	defer h.group.Done()
	tick := h.Clock.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case f := <-h.events:
			f()
		case <-h.poke:
			h.poller.next = time.Time{}
			h.poller.poked = true
			h.tick(h.Clock.Now())
		case <-tick.Chan():
			h.tick(h.Clock.Now())
		}
		h.report()
	}
}

// post hands work to the loop.
func (h *Holder) post(f func()) {
	select {
	case h.events <- f:
	case <-h.ctx.Done():
	}
}

func (h *Holder) spawn(f func()) {
	h.group.Add(1)
	go func() {
		defer h.group.Done()
		f()
	}()
}

// tick does the work that is due.
func (h *Holder) tick(now time.Time) {
	h.applyDue(now)
	h.poll(now)
	h.ask(now)
	h.gossip(now)
	h.pass(now)
}

func (h *Holder) report() {
	s := &Status{
		Highest: h.versions.latest.Tables.Version, Floor: h.floor(), Ready: h.ready.Load(),
		Polling: h.poller.duty, Alarm: h.alarm,
	}
	s.Highest = max(s.Highest, s.Floor)
	if c := h.current.Load(); c != nil {
		s.Version, s.Digest = c.Tables.Version, c.Digest
	}
	if h.lastErr != nil {
		s.Error = h.lastErr.Error()
	}
	h.status.Store(s)
}

// fail records an error for the status and logs it once.
func (h *Holder) fail(err error) {
	if h.lastErr == nil || h.lastErr.Error() != err.Error() {
		h.Log.Warn("configuration update failed", "version", h.versions.latest.Tables.Version, "error", err)
	}
	h.lastErr = err
}

// raise sets an alarm. A daemon that does not poll reads the head to confirm it.
func (h *Holder) raise(k therror.Kind, err error) {
	if h.alarm != k {
		h.Log.Error("configuration alarm", "alarm", string(k), "error", err)
	}
	h.alarm = k
	h.lastErr = err
	h.poller.poked = true
}
