package thsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thaccount"
	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/throute"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Intervals and limits of a Follower.
const (
	initialRetryDelay = 50 * time.Millisecond // after the first failure; doubles up to maxRetryDelay
	maxRetryDelay     = time.Second           // a change must be in effect within two seconds
	compareInterval   = 250 * time.Millisecond
	// behindInterval is the compareInterval of a daemon that lacks a version.
	behindInterval = 100 * time.Millisecond
	// startFetchTimeout is how long a daemon that starts waits for the tables of another
	// one before it takes orders of a source that has come back from a copy.
	startFetchTimeout = time.Second
	// changePauseFraction is the fraction of Apply for which a reader pauses between a
	// change and the next request, so that one call returns several changes in quick
	// succession. The rest of Apply is for the distribution from the readers to the
	// other daemons.
	changePauseFraction = 0.4
	// maxSourceFailures is the number of consecutive failed requests after which other
	// daemons take over reading, and readerCooldown the time until this daemon is a
	// candidate again.
	maxSourceFailures = 2
	readerCooldown    = 10 * time.Second
	// defaultApply is the value of Follower.Apply if it is zero.
	defaultApply = 2 * time.Second
)

// Follower holds this daemon's copy of the configuration of a Source and keeps it
// current. Only a few daemons, the readers, follow the source, so that the number
// of calls to it depends neither on the size of the fleet nor on its zones. Every
// daemon reads the source once after its start and fetches newer tables from other
// daemons, also while it is disconnected from the source. Set the exported fields
// and call Watch and Prepare before Start. Start it before the Peers, since it
// registers their handlers.
type Follower struct {
	Source Source
	Peers  Peers
	Clock  clockwork.Clock
	Log    hclog.Logger
	// Apply is the time within which a change has to be in effect; zero means 2 s.
	// A reader reads each change within that time, and asks other daemons only for
	// versions that it has not read by then.
	Apply time.Duration

	current           atomic.Pointer[Snapshot]
	status            atomic.Pointer[Status]
	cachedRole        atomic.Pointer[role]
	settledGeneration uint64        // generation of the source of which orders may take effect; used by readSource only
	sourceLost        atomic.Bool   // the last request to the source failed
	needsPeerTables   atomic.Bool   // this daemon starts and waits for the tables of another one
	replacedSince     atomic.Int64  // thclock.Stamp of when other daemons took over reading; zero if they have not
	cutOff            atomic.Bool   // no member answers from which this daemon would learn of changes
	readOnce          atomic.Bool   // read the source once even if this daemon is not a reader
	wakeReader        chan struct{} // wakes readSource when this daemon is a reader or has to read once
	newerVersion      chan struct{} // ends awaitMoreChanges when another daemon holds a newer version
	poll              longPoll      // the request to the source that is in progress
	firstContactDue   time.Time     // until then a daemon that has started may still find the others
	contactObserved   time.Time     // of the last observeContact
	watchers          []func(*Snapshot)
	preparers         []func(*Snapshot)
	intN              func(int) int // chooses a member; nil means rand.IntN

	mutex        sync.Mutex // serialises swaps and guards the fields up to partialBytes
	lastErr      error
	backlog      backlog // versions that other daemons hold and this one does not
	behindLogged uint64  // first missing version of the last line about being behind
	unanswered   []fetch // requests to other daemons without a reply, oldest first
	lastFetch    time.Time
	fetchBase    uint64 // version in effect at lastFetch
	swaps        swapRecords
	fetchAll     bool            // the next fetch requests all routes
	partial      thconfig.Tables // tables received so far, when they arrive in several batches
	partialFrom  string          // sender of partial
	partialBytes int             // encoded size of partial

	cancel context.CancelFunc
	wg     sync.WaitGroup
	done   chan struct{}
}

// Start registers the message handlers and starts to follow the source. The error
// is of kind Bad if Source or Peers is nil.
func (f *Follower) Start(ctx context.Context) error {
	if f.Source == nil || f.Peers == nil {
		return therror.New(therror.Bad, "Source and Peers of a follower must be set")
	}
	f.init()
	ctx, f.cancel = context.WithCancel(ctx)
	f.done = make(chan struct{})
	f.wg.Go(func() { f.readSource(ctx) })
	f.wg.Go(func() { f.compareWithPeers(ctx) })
	go func() {
		f.wg.Wait()
		close(f.done)
	}()
	return nil
}

// init sets the defaults and registers the message handlers.
func (f *Follower) init() {
	f.Clock = thclock.OrSystem(f.Clock)
	if f.Log == nil {
		f.Log = hclog.NewNullLogger()
	}
	if f.Apply == 0 {
		f.Apply = defaultApply
	}
	f.firstContactDue = f.Clock.Now().Add(f.Apply)
	f.wakeReader, f.newerVersion = make(chan struct{}, 1), make(chan struct{}, 1)
	f.Peers.Handle(thwire.TypeFetch, f.handleFetch)
	f.Peers.Handle(thwire.TypeBatch, f.handleBatch)
	f.Peers.Handle(thwire.TypeKnownVersion, f.handleKnown)
}

// Stop ends all goroutines and waits for them. Current still returns the last
// snapshot.
func (f *Follower) Stop() {
	if f.cancel != nil {
		f.cancel()
		<-f.done
	}
}

// Done is closed when all goroutines have ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Current returns the snapshot in effect, nil before the first.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Ready reports whether a snapshot is in effect.
func (f *Follower) Ready() bool { return f.current.Load() != nil }

// Watch registers a function that is called after each change of the snapshot in
// effect. Functions are called in the order of registration.
func (f *Follower) Watch(w func(*Snapshot)) { f.watchers = append(f.watchers, w) }

// Prepare registers a function that is called before a snapshot takes effect.
// Functions are called in the order of registration.
func (f *Follower) Prepare(p func(*Snapshot)) { f.preparers = append(f.preparers, p) }

// Status returns the state as of the last change of the snapshot, with the highest
// version that is known now. It is zero before the first snapshot.
func (f *Follower) Status() Status {
	s := f.status.Load()
	if s == nil {
		return Status{}
	}
	now := *s
	now.Highest = max(now.Version, f.newestKnown())
	return now
}

// IsReader reports whether this daemon follows the source for the fleet.
func (f *Follower) IsReader() bool { return f.role().reader }

// role returns this daemon's role, cached for each membership view.
func (f *Follower) role() *role {
	v := f.Peers.View()
	if r := f.cachedRole.Load(); r != nil && r.view == v {
		return r
	}
	self := f.Peers.Self()
	r := newRole(v, &self)
	f.cachedRole.Store(r)
	return r
}

// awaitReader blocks until this daemon has to read the source. It returns
// immediately on a reader and before the first snapshot, and reports whether it
// waited.
func (f *Follower) awaitReader(ctx context.Context) bool {
	waited := false
	for f.Ready() && !f.mayRead() && !f.readOnce.Swap(false) && ctx.Err() == nil {
		waited = true
		select {
		case <-f.wakeReader:
		case <-ctx.Done():
		}
	}
	return waited
}

// readSource requests changes from the source until ctx ends, one request at a time.
func (f *Follower) readSource(ctx context.Context) {
	backoff, lostSince, lastSeen, failures, lastKind := initialRetryDelay, time.Time{}, uint64(0), 0, therror.Kind("")
	responded := f.Clock.Now() // when the last request ended
	for ctx.Err() == nil {
		if f.awaitReader(ctx) {
			// The changes missed meanwhile may be longer than the current orders.
			f.resetSource()
			f.Log.Info("reading the configuration source", "version", thconfig.VersionText(f.version()), "duty", f.IsReader())
		}
		pause := f.Clock.Since(responded)
		requested := f.Clock.Now()
		wait := f.pollWait()
		pollCtx := f.poll.begin(ctx, requested, wait)
		o, err := f.Source.Next(pollCtx, wait, f.responseTimeout(failures))
		responded = f.Clock.Now()
		switch lost := f.poll.end(err == nil); {
		case ctx.Err() != nil:
			return
		case err != nil && lost != "":
			f.Log.Warn("request for changes abandoned", "version", thconfig.VersionText(f.version()), "after", responded.Sub(requested), "reason", lost)
			f.resetSource()
			continue
		case err != nil:
			if lostSince.IsZero() {
				lostSince = f.Clock.Now()
			}
			if kind := therror.KindOf(err); kind != lastKind {
				lastKind = kind
				f.Log.Warn("configuration source lost", "version", thconfig.VersionText(f.version()), "since", f.Clock.Since(lostSince), "kind", kind, "error", err)
			}
			f.sourceLost.Store(true)
			failures++
			if failures >= maxSourceFailures {
				f.setDisconnected(true)
			}
			f.resetSource()
			f.sleep(ctx, retryDelay(backoff, responded.Sub(requested)))
			backoff = min(2*backoff, maxRetryDelay)
			continue
		case !lostSince.IsZero():
			f.Log.Info("configuration source available again", "version", thconfig.VersionText(f.version()), "after", f.Clock.Since(lostSince))
			lostSince, lastKind = time.Time{}, ""
		}
		f.sourceLost.Store(false)
		f.setDisconnected(false)
		backoff, failures = initialRetryDelay, 0
		if o != nil {
			if !f.Ready() && thconfig.Generation(o.Version) > 0 {
				f.awaitPeerTables(ctx)
			}
			settled := f.isSettled(o)
			if settled {
				f.applyOrders(o, pause)
			}
			if o.Version > lastSeen || !settled {
				lastSeen = o.Version
				// More changes often follow, and one full read then returns them all. It also
				// detects that the source has become unavailable, which a long poll of up to
				// longPollWait does not.
				f.awaitMoreChanges(ctx)
				f.resetSource()
			}
		}
	}
}

// isSettled reports whether orders may take effect. A store that has come back from a
// copy lacks the latest orders until the operators have written them again: the first
// read of a generation that is new to the fleet does not count.
func (f *Follower) isSettled(o *thconfig.DesiredState) bool {
	generation, known := thconfig.Generation(o.Version), f.newestKnown()
	if known == 0 || generation <= thconfig.Generation(known) || generation == f.settledGeneration {
		return true
	}
	f.settledGeneration = generation
	f.Log.Warn("configuration source has come back from a copy", "generation", generation, "version", thconfig.VersionText(o.Version),
		"number", o.Config.Revision, "kept", thconfig.VersionText(f.version()))
	return false
}

// awaitPeerTables waits until a daemon that starts has fetched the tables of another one.
// They have the names and ends of rollouts that a source which has come back from a copy
// lacks. It returns early if the other daemons start too, and after startFetchTimeout.
func (f *Follower) awaitPeerTables(ctx context.Context) {
	f.needsPeerTables.Store(true)
	defer f.needsPeerTables.Store(false)
	for end, fleetStarts := f.Clock.Now().Add(startFetchTimeout), false; !f.Ready() && ctx.Err() == nil && f.Clock.Now().Before(end); {
		// The members are known shortly before the versions that they hold.
		v := f.Peers.View()
		startsNow := v != nil && len(v.Alive()) > 1 && f.newestKnown() == 0
		if startsNow && fleetStarts {
			return
		}
		fleetStarts = startsNow
		f.sleep(ctx, compareInterval)
	}
}

// newestKnown returns the newest version that is known to be in effect at a daemon, zero
// if none is.
func (f *Follower) newestKnown() uint64 {
	newest := f.version()
	if v := f.Peers.View(); v != nil {
		for _, h := range v.Held {
			newest = max(newest, h.Version)
		}
	}
	return newest
}

// awaitMoreChanges pauses after a change so that the next read returns several. It
// ends early when another daemon holds a newer version, so that the readers of all
// zones read it at the same time.
func (f *Follower) awaitMoreChanges(ctx context.Context) {
	select {
	case <-f.newerVersion: // discard a signal for a version that has been read since
	default:
	}
	t := f.Clock.NewTimer(time.Duration(changePauseFraction * float64(f.Apply)))
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-f.newerVersion:
	case <-ctx.Done():
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	t := f.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-ctx.Done():
	}
}

// version returns the version in effect, zero before the first.
func (f *Follower) version() uint64 {
	if s := f.current.Load(); s != nil {
		return s.Tables.Version
	}
	return 0
}

// applyOrders puts orders of the source in effect, which this daemon has not asked for
// changes during pause. If their configuration is invalid or older than the one in
// effect, the latter is kept and the other orders apply.
func (f *Follower) applyOrders(o *thconfig.DesiredState, pause time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var kept thconfig.Config
	if s := f.current.Load(); s != nil {
		kept = s.Tables.Config()
		continued := *o // the orders belong to the source
		continued.Rollouts = slices.Clone(o.Rollouts)
		continued.ContinueRollouts(&s.Tables)
		o = &continued
	}
	if o.Config.Revision == 0 && o.ConfigErr == nil && kept.Revision == 0 {
		f.Log.Info("no configuration yet", "version", thconfig.VersionText(o.Version))
		return
	}
	err := o.ConfigErr
	if err == nil {
		err = o.Config.Validate()
	}
	if err == nil && o.Config.Revision < kept.Revision {
		err = therror.New(therror.Older, "configuration %d is older than %d", o.Config.Revision, kept.Revision)
	}
	f.lastErr = err
	if err != nil {
		f.Log.Error("configuration refused", "version", thconfig.VersionText(o.Version), "number", o.Config.Revision, "kept", kept.Revision, "error", err)
		if kept.Revision == 0 {
			return
		}
		valid := *o
		valid.Config, valid.ConfigErr = kept, nil
		o = &valid
	}
	f.swap(o.Tables(), "source", "pause", pause)
}

// swap puts tables in effect if they are newer than those in effect, and logs the
// fields with them. The caller holds the mutex.
func (f *Follower) swap(t thconfig.Tables, from string, fields ...any) {
	if s := f.current.Load(); s != nil {
		switch {
		case t.Version <= s.Tables.Version:
			return
		case t.Revision < s.Tables.Revision:
			// Of a daemon that has started with a source that had come back from a copy.
			f.Log.Error("configuration refused", "version", thconfig.VersionText(t.Version), "from", from, "number", t.Revision, "kept", s.Tables.Revision)
			return
		}
	}
	r, err := throute.CompilePrefixes(t)
	if err != nil {
		f.lastErr = err
		f.Log.Error("configuration refused", "version", thconfig.VersionText(t.Version), "from", from, "error", err)
		return
	}
	s := &Snapshot{Tables: t, Digest: thconfig.Digest(t), Router: r, Accounts: thaccount.Compile(&t)}
	if old := f.current.Load(); old != nil {
		f.swaps.add(old.Tables, t)
	}
	for _, p := range f.preparers {
		p(s)
	}
	f.current.Store(s)
	f.fetchAll = false
	if since := f.backlog.remove(t.Version); !since.IsZero() {
		fields = append(fields, "known", f.Clock.Since(since))
	}
	f.Log.Info("configuration in effect", append([]any{"version", thconfig.VersionText(t.Version), "from", from, "routes", len(t.Routes), "accounts", len(t.Accounts), "moves", len(t.Moves)}, fields...)...)
	f.Peers.SetHeld(t.Version, s.Digest)
	n := Status{Version: t.Version, Digest: s.Digest, Highest: t.Version, Ready: true, Polling: true}
	if f.lastErr != nil {
		n.Error = f.lastErr.Error()
	}
	f.status.Store(&n)
	for _, w := range f.watchers {
		w(s)
	}
}

// compareWithPeers periodically requests tables from a daemon that holds newer ones,
// and wakes readSource while this daemon is a reader.
func (f *Follower) compareWithPeers(ctx context.Context) {
	t := f.Clock.NewTimer(compareInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		t.Reset(f.nextComparison())
		f.endCooldown()
		f.observeContact()
		if f.mayRead() {
			signal(f.wakeReader)
		}
		f.compareOnce()
		f.checkPoll()
	}
}

// nextComparison returns the time until the next comparison.
func (f *Follower) nextComparison() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.backlog) > 0 {
		return behindInterval
	}
	return compareInterval
}

// compareOnce requests tables from a daemon that holds newer ones, if one is to be asked
// now.
func (f *Follower) compareOnce() {
	f.logBehind()
	to := f.peerToFetchFrom()
	if to == "" {
		return
	}
	if err := f.Peers.Send(to, thwire.TypeFetch, f.fetchRequest()); err != nil {
		f.Log.Debug("tables not requested", "peer", to, "error", err)
	}
}

// setDisconnected announces to the fleet whether this daemon is disconnected from
// the source, so that other daemons read it instead.
func (f *Follower) setDisconnected(disconnected bool) {
	if !disconnected {
		f.replacedSince.Store(0)
		f.Peers.SetSourceDisconnected(false)
		return
	}
	if f.replacedSince.CompareAndSwap(0, thclock.Stamp(f.Clock.Now())) {
		f.Log.Warn("others read the configuration source in place of this daemon", "version", thconfig.VersionText(f.version()))
		f.Peers.SetSourceDisconnected(true)
	}
}

// endCooldown makes this daemon a candidate for reading again readerCooldown after
// other daemons have taken over.
func (f *Follower) endCooldown() {
	since := f.replacedSince.Load()
	if since != 0 && thclock.Since(since, f.Clock.Now()) >= readerCooldown && f.replacedSince.CompareAndSwap(since, 0) {
		f.Peers.SetSourceDisconnected(false)
	}
}

// signal sends on a channel of capacity 1, unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
