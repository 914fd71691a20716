// Package thsync distributes configuration versions between daemons. Each daemon
// keeps a copy of the version in effect and updates it by polling the platform,
// by changes that other daemons push, by fetching missed changes, and by recovery
// from peers after a restart.
package thsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thaccount"
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
	// Accounts finds the account of a key; nil if requests need no key.
	Accounts *thaccount.Table
}

// Peers is the part of *thmember.Node that a Replica and a Follower use.
type Peers interface {
	Self() thwire.Member
	View() *thmember.View
	SendAll(t thwire.Type, m thwire.Message, except string)
	Send(name string, t thwire.Type, m thwire.Message) error
	Neighbours() []string
	HeardWithin(d time.Duration) []string
	SetHeld(version uint64, digest []byte)
	SetSourceDisconnected(disconnected bool)
	Handle(t thwire.Type, h thmember.Handler)
}

// Platform is the part of *thstore.Store that a Replica uses.
type Platform interface {
	Head(ctx context.Context) (thstore.Head, error)
	Load(ctx context.Context) (thconfig.Tables, []byte, error)
	Restore(ctx context.Context) (thconfig.Tables, []byte, error)
	Changes(ctx context.Context, after uint64, limit int) ([]thconfig.Change, error)
	PutSnapshot(ctx context.Context, t thconfig.Tables) error
}

// Status is the state of a Replica or a Follower, as shown to operators.
type Status struct {
	Version uint64       // in effect
	Digest  []byte       // of Version
	Highest uint64       // highest version that this daemon has learned of, not necessarily in effect
	Floor   uint64       // lowest version with which the recovery gate passes
	Ready   bool         // the recovery gate has passed
	Polling bool         // this daemon polls the platform for its zone
	Alarm   therror.Kind // Older, Diverged or empty
	Error   string       // last error; empty after the next success
}

const (
	tickInterval = 50 * time.Millisecond
	// firstReadSpread is the interval over which daemons that start together
	// distribute their first reads at random.
	firstReadSpread = time.Second
	eventQueueSize  = 256
)

// Replica holds this daemon's copy of the configuration of a Platform and keeps it
// current. Set the exported fields and call Watch and Prepare before Start. Start
// it before the Peers, since it registers their handlers.
type Replica struct {
	Platform Platform
	Peers    Peers
	Clock    clockwork.Clock
	Log      hclog.Logger
	Seed     uint64 // of the jitter; zero means a random seed
	// StartupSpread is the time within which daemons that start together discover
	// each other. A daemon that has discovered no other reads the platform itself
	// afterwards.
	StartupSpread time.Duration

	current   atomic.Pointer[Snapshot]
	status    atomic.Pointer[Status]
	ready     atomic.Bool
	watchers  []func(*Snapshot)
	preparers []func(*Snapshot)
	events    chan func() // run by the loop
	poke      chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	done      chan struct{}
	startRead func(func()) // starts a platform read; tests replace it

	// Only the loop accesses the fields below.
	random   *rand.Rand
	versions versions
	poller   poller
	gate     gate
	repair   repair
	alarm    therror.Kind
	lastErr  error
}

// Start registers the message handlers and starts the loop. It returns before a
// version is in effect; see Ready. The error is of kind Bad if Platform or Peers
// is nil.
func (r *Replica) Start(ctx context.Context) error {
	if r.Platform == nil || r.Peers == nil {
		return therror.New(therror.Bad, "Platform and Peers of a replica must be set")
	}
	r.init(ctx)
	r.Peers.Handle(thwire.TypeDelta, r.handleDelta)
	r.Peers.Handle(thwire.TypeKnownVersion, r.handleKnown)
	r.Peers.Handle(thwire.TypeFetch, r.handleFetch)
	r.Peers.Handle(thwire.TypeBatch, r.handleBatch)
	r.Peers.Handle(thwire.TypeConfigHeadRequest, r.handleAsk)
	r.Peers.Handle(thwire.TypeConfigHead, r.handleRead)
	r.wg.Add(1)
	go r.loop()
	return nil
}

func (r *Replica) init(ctx context.Context) {
	r.Clock = thclock.OrSystem(r.Clock)
	if r.Log == nil {
		r.Log = hclog.NewNullLogger()
	}
	if r.Seed == 0 {
		r.Seed = rand.Uint64()
	}
	r.random = rand.New(rand.NewPCG(r.Seed, 1))
	r.events = make(chan func(), eventQueueSize)
	r.poke = make(chan struct{}, 1)
	r.done = make(chan struct{})
	r.ctx, r.cancel = context.WithCancel(ctx)
	if r.startRead == nil {
		r.startRead = r.startGoroutine
	}
	now := r.Clock.Now()
	r.gate.started = now
	r.scheduleOwnReads(now)
	r.poller.nextRead = now.Add(time.Duration(r.random.Int64N(int64(firstReadSpread))))
	r.publishStatus()
}

// Stop ends all goroutines and waits for them. Current still returns the last
// snapshot.
func (r *Replica) Stop() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	<-r.done
}

// Done is closed when all goroutines have ended.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Current returns the snapshot in effect, nil before the first. It is a single
// atomic load.
func (r *Replica) Current() *Snapshot { return r.current.Load() }

// Watch registers a function that is called after each change of the snapshot in
// effect. Functions are called in the order of registration.
func (r *Replica) Watch(f func(*Snapshot)) { r.watchers = append(r.watchers, f) }

// Prepare registers a function that is called before a snapshot takes effect, so
// that the pools that its routes reference are ready by then. Functions are called
// in the order of registration.
func (r *Replica) Prepare(f func(*Snapshot)) { r.preparers = append(r.preparers, f) }

// Ready reports whether the recovery gate has passed and a version is in effect.
func (r *Replica) Ready() bool { return r.ready.Load() }

// Status returns the last published state; it is zero before Start.
func (r *Replica) Status() Status {
	if s := r.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

// Poke triggers an immediate read of the head, also on a daemon that does not poll.
func (r *Replica) Poke() {
	select {
	case r.poke <- struct{}{}:
	default:
	}
}

func (r *Replica) loop() {
	defer close(r.done)
	defer r.wg.Wait() // cancelling the context ends platform reads
	defer r.wg.Done()
	tick := r.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.events:
			f()
		case <-r.poke:
			r.poller.nextRead = time.Time{}
			r.poller.readOnce = true
			r.tick(r.Clock.Now())
		case <-tick.Chan():
			r.tick(r.Clock.Now())
		}
		r.publishStatus()
	}
}

// post queues a function for the loop. It drops the function after Stop.
func (r *Replica) post(f func()) {
	select {
	case r.events <- f:
	case <-r.ctx.Done():
	}
}

func (r *Replica) startGoroutine(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// tick runs the periodic work whose time has come.
func (r *Replica) tick(now time.Time) {
	r.applyDue(now)
	r.poll(now)
	r.askPeers(now)
	r.gossip(now)
	r.tryPassGate(now)
}

func (r *Replica) publishStatus() {
	s := &Status{
		Highest: r.versions.latest.Tables.Version, Floor: r.floor(), Ready: r.ready.Load(),
		Polling: r.poller.active, Alarm: r.alarm,
	}
	s.Highest = max(s.Highest, s.Floor)
	if c := r.current.Load(); c != nil {
		s.Version, s.Digest = c.Tables.Version, c.Digest
	}
	if r.lastErr != nil {
		s.Error = r.lastErr.Error()
	}
	r.status.Store(s)
}

// recordError stores an error for the status and logs it unless it repeats the
// previous one.
func (r *Replica) recordError(err error) {
	if r.lastErr == nil || r.lastErr.Error() != err.Error() {
		r.Log.Warn("configuration update failed", "version", r.versions.latest.Tables.Version, "error", err)
	}
	r.lastErr = err
}

// raiseAlarm sets an alarm and triggers a read of the head that confirms it, also
// on a daemon that does not poll.
func (r *Replica) raiseAlarm(k therror.Kind, err error) {
	if r.alarm != k {
		r.Log.Error("configuration alarm", "alarm", string(k), "error", err)
	}
	r.alarm = k
	r.lastErr = err
	r.poller.readOnce = true
}
