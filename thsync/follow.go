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
	"github.com/turmerichaven/turmerichaven/throute"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Source is a store in which operators write their orders themselves.
type Source interface {
	// Next returns the orders: at once the first time, later when they have
	// changed, or nil after the wait without a change.
	Next(ctx context.Context, wait time.Duration) (*thconfig.DesiredState, error)
	// Again makes Next read everything.
	Again()
}

// Times of a Follower.
const (
	// followWait is how long the source may hold a question for changes; a
	// connection that has gone silent is found by its keep-alive probes.
	followWait    = 25 * time.Second
	followBackoff = 50 * time.Millisecond // after the first failure, doubled up to followRetry
	followRetry   = time.Second           // a change must be in force within two seconds
	followTick    = 250 * time.Millisecond
	// followFar is the time for a change to reach a reader of the own zone, before
	// a daemon that does not read the source asks another zone: bytes between
	// zones are priced. Readers learn of the change within two followTicks.
	followFar = 600 * time.Millisecond
	// followFetch is the time before another member is asked for the same version.
	// A member sends maxShared to 20 others within it over a link of 10 Mbit/s.
	followFetch = 500 * time.Millisecond
	// followPause is the part of Apply between a change and the next question.
	// Changes in quick succession then cost one call for several. The rest of Apply
	// is for the way from the readers to the other daemons.
	followPause = 0.4
	// blindAfter is the number of questions without an answer after which others
	// take over reading, and blindTime the time until this daemon may read again.
	blindAfter = 2
	blindTime  = 10 * time.Second
	// followApply is Apply where it is not set.
	followApply = 2 * time.Second
)

// Follower holds the snapshot in effect on a daemon whose configuration lies in
// a Source. A few daemons follow the source, so that the calls to it grow neither
// with the fleet nor with its zones; each daemon reads it once after its start, and takes
// newer tables from other daemons, which also keeps one current that is cut off
// from the source. Set the exported fields and call Watch and Prepare before
// Start; start it before the Peers, since it sets their handlers.
type Follower struct {
	Source Source
	Peers  Peers
	Clock  clockwork.Clock
	Log    hclog.Logger
	// Apply is the time within which a change has to be in effect; zero means 2 s.
	// A daemon that follows the source reads each change in that time, and asks
	// other daemons only for versions that it has not found until then.
	Apply time.Duration

	current    atomic.Pointer[Snapshot]
	status     atomic.Pointer[Status]
	duty       atomic.Pointer[duty]
	lost       atomic.Bool   // the source did not answer the last question
	blindSince atomic.Int64  // when others took over reading, ns since 1970; zero if they did not
	once       atomic.Bool   // the source is to be read once, also by a daemon that is no reader
	called     chan struct{} // wakes follow when this daemon has become a reader
	newer      chan struct{} // wakes follow when another daemon holds a newer version
	watchers   []func(*Snapshot)
	preparers  []func(*Snapshot)

	mutex   sync.Mutex // serialises swaps
	latest  *thconfig.DesiredState
	config  thconfig.Config // last valid one
	lastErr error
	behind  time.Time // since when another daemon is known to hold a newer version than
	held    uint64    // this one
	asked   time.Time
	steps   steps
	whole   bool            // the next question is for all routes
	parts   thconfig.Tables // tables that arrive in several batches
	from    string          // their sender

	cancel context.CancelFunc
	group  sync.WaitGroup
	done   chan struct{}
}

// Start begins to follow the source.
func (f *Follower) Start(ctx context.Context) error {
	if f.Source == nil || f.Peers == nil {
		return therror.New(therror.Bad, "a follower needs a source and peers")
	}
	f.Clock = thclock.Or(f.Clock)
	if f.Log == nil {
		f.Log = hclog.NewNullLogger()
	}
	if f.Apply == 0 {
		f.Apply = followApply
	}
	f.Peers.Handle(thwire.TypeFetch, f.handleFetch)
	f.Peers.Handle(thwire.TypeBatch, f.handleBatch)
	f.Peers.Handle(thwire.TypeKnownVersion, f.handleKnown)
	ctx, f.cancel = context.WithCancel(ctx)
	f.done = make(chan struct{})
	f.called, f.newer = make(chan struct{}, 1), make(chan struct{}, 1)
	f.group.Go(func() { f.follow(ctx) })
	f.group.Go(func() { f.compare(ctx) })
	go func() {
		f.group.Wait()
		close(f.done)
	}()
	return nil
}

// Stop ends the follower; the current snapshot stays available.
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

// Watch adds a function that is called in order after each swap.
func (f *Follower) Watch(w func(*Snapshot)) { f.watchers = append(f.watchers, w) }

// Prepare adds a function that is called in order before each swap.
func (f *Follower) Prepare(p func(*Snapshot)) { f.preparers = append(f.preparers, p) }

// Status returns the state of the follower.
func (f *Follower) Status() Status {
	if s := f.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

// OnDuty reports whether this daemon reads the source for the others.
func (f *Follower) OnDuty() bool { return f.part().reader }

// part returns this daemon's part, computed once for each view.
func (f *Follower) part() *duty {
	v := f.Peers.View()
	if d := f.duty.Load(); d != nil && d.view == v {
		return d
	}
	self := f.Peers.Self()
	d := newDuty(v, &self)
	f.duty.Store(d)
	return d
}

// await returns when a question to the source is due: at once on a reader, and
// on a daemon that has no tables yet. It reports whether it had to wait.
func (f *Follower) await(ctx context.Context) bool {
	waited := false
	for f.Ready() && !f.OnDuty() && !f.once.Swap(false) && ctx.Err() == nil {
		waited = true
		select {
		case <-f.called:
		case <-ctx.Done():
		}
	}
	return waited
}

// follow asks the source for changes, one question at a time.
func (f *Follower) follow(ctx context.Context) {
	backoff, lost, seen, failures := followBackoff, time.Time{}, uint64(0), 0
	for ctx.Err() == nil {
		if f.await(ctx) {
			// What was missed may be long; what holds now is short.
			f.Source.Again()
			f.Log.Info("reading the configuration source", "version", f.version(), "duty", f.OnDuty())
		}
		o, err := f.Source.Next(ctx, followWait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if lost.IsZero() {
				lost = f.Clock.Now()
				f.Log.Warn("configuration source lost", "version", f.version(), "error", err)
			}
			f.lost.Store(true)
			failures++
			if failures >= blindAfter {
				f.blind(true)
			}
			f.Source.Again()
			f.sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, followRetry)
			continue
		case !lost.IsZero():
			f.Log.Info("configuration source back", "version", f.version(), "after", f.Clock.Since(lost))
			lost = time.Time{}
		}
		f.lost.Store(false)
		f.blind(false)
		backoff, failures = followBackoff, 0
		if o != nil {
			f.take(o)
			if o.Version > seen {
				seen = o.Version
				// Further changes often follow. One read then replaces them all. It also
				// finds out that the source has gone meanwhile, which a question that may
				// stay open for followWait does not.
				f.pause(ctx)
				f.Source.Again()
			}
		}
	}
}

// pause lets further changes follow, until another reader has found one: the
// readers of all zones then read it together.
func (f *Follower) pause(ctx context.Context) {
	select {
	case <-f.newer: // of a version that has been read meanwhile
	default:
	}
	t := f.Clock.NewTimer(time.Duration(followPause * float64(f.Apply)))
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-f.newer:
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

func (f *Follower) version() uint64 {
	if s := f.current.Load(); s != nil {
		return s.Tables.Version
	}
	return 0
}

// take puts orders of the source in effect. A configuration that is invalid or
// older than the one in effect is left out; the other orders hold.
func (f *Follower) take(o *thconfig.DesiredState) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if o.Config.Revision == 0 && o.ConfigErr == nil && f.config.Revision == 0 {
		f.Log.Info("no configuration yet", "version", o.Version)
		return
	}
	err := o.ConfigErr
	if err == nil {
		err = o.Config.Validate()
	}
	if err == nil && o.Config.Revision < f.config.Revision {
		err = therror.New(therror.Older, "configuration %d is older than %d", o.Config.Revision, f.config.Revision)
	}
	f.lastErr = err
	if err != nil {
		f.Log.Error("configuration refused", "version", o.Version, "number", o.Config.Revision, "kept", f.config.Revision, "error", err)
		if f.config.Revision == 0 {
			return
		}
		kept := *o
		kept.Config, kept.ConfigErr = f.config, nil
		o = &kept
	}
	f.config, f.latest = o.Config, o
	f.swap(o.Tables(), "source")
}

// swap puts tables in effect that are newer than those in effect. The mutex is held.
func (f *Follower) swap(t thconfig.Tables, from string) {
	if s := f.current.Load(); s != nil && t.Version <= s.Tables.Version {
		return
	}
	r, err := throute.CompilePrefixes(t)
	if err != nil {
		f.lastErr = err
		f.Log.Error("configuration refused", "version", t.Version, "from", from, "error", err)
		return
	}
	s := &Snapshot{Tables: t, Digest: thconfig.Digest(t), Router: r}
	if old := f.current.Load(); old != nil {
		f.steps.add(old.Tables, t)
	}
	for _, p := range f.preparers {
		p(s)
	}
	f.current.Store(s)
	f.whole = false
	f.Log.Info("configuration in effect", "version", t.Version, "from", from, "routes", len(t.Routes), "moves", len(t.Moves))
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

// compare asks another daemon for its tables where it holds newer ones, and
// wakes follow when this daemon has become a reader.
func (f *Follower) compare(ctx context.Context) {
	t := f.Clock.NewTicker(followTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		f.regain()
		if f.OnDuty() {
			wake(f.called)
		}
		if to := f.ahead(); to != "" {
			if err := f.Peers.Send(to, thwire.TypeFetch, f.question()); err != nil {
				f.Log.Debug("tables not asked for", "peer", to, "error", err)
			}
		}
	}
}

// blind tells the fleet whether the source answers this daemon, so that others
// read it in its place.
func (f *Follower) blind(lost bool) {
	if !lost {
		f.blindSince.Store(0)
		f.Peers.SetBlind(false)
		return
	}
	if f.blindSince.CompareAndSwap(0, f.Clock.Now().UnixNano()) {
		f.Log.Warn("others read the configuration source in place of this daemon", "version", f.version())
		f.Peers.SetBlind(true)
	}
}

// regain makes a daemon that the source did not answer a candidate again after a while.
func (f *Follower) regain() {
	since := f.blindSince.Load()
	if since != 0 && f.Clock.Now().UnixNano()-since >= int64(blindTime) && f.blindSince.CompareAndSwap(since, 0) {
		f.Peers.SetBlind(false)
	}
}

// wake signals on a channel with room for one signal.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ahead returns a random live member that holds a newer version, empty without
// one or while a question is open. A member of the own zone is asked at once, and
// any other after a while; one that follows the source asks only for what it has
// not read in time.
func (f *Follower) ahead() string {
	v := f.Peers.View()
	if v == nil {
		return ""
	}
	own, zone := f.version(), f.Peers.Self().Zone
	var near, newer []string
	for _, m := range v.Members {
		h, found := v.Held[m.Name]
		if !found || m.State != thwire.MemberAlive || h.Version <= own {
			continue
		}
		newer = append(newer, m.Name)
		if m.Zone == zone {
			near = append(near, m.Name)
		}
	}
	part := f.part()
	reads := part.reader && !f.lost.Load()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.Clock.Now()
	if len(newer) == 0 {
		f.behind = time.Time{}
		return ""
	}
	if f.behind.IsZero() || f.held != own {
		f.behind, f.held = now, own
		wake(f.newer)
	}
	if now.Sub(f.asked) < followFetch {
		return ""
	}
	switch late := now.Sub(f.behind); {
	case reads && late < f.Apply, own == 0 && late < followFar:
		return ""
	case len(near) > 0:
		newer = near
	case !reads && !part.head && late < followFar:
		return ""
	}
	f.asked = now
	return newer[rand.IntN(len(newer))]
}
