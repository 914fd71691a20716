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
	Next(ctx context.Context, wait time.Duration) (*thconfig.Orders, error)
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
	followFetch   = time.Second // before another member is asked for the same version
	// followPause is the part of Apply between a change and the next question.
	// Changes in quick succession then cost one call for several.
	followPause = 0.6
	// followApply is Apply where it is not set.
	followApply = 2 * time.Second
)

// Follower holds the snapshot in effect on a daemon whose configuration lies in
// a Source. It follows the source itself, and takes newer tables from other
// daemons, so that one that is cut off from the source stays current. Set the
// exported fields and call Watch and Prepare before Start; start it before the
// Peers, since it sets their handlers.
type Follower struct {
	Source Source
	Peers  Peers
	Clock  clockwork.Clock
	Log    hclog.Logger
	// Apply is the time within which a change has to be in effect; zero means 2 s.
	// A daemon that reaches the source reads each change in that time, and asks
	// other daemons only for versions that it has not found until then.
	Apply time.Duration

	current   atomic.Pointer[Snapshot]
	status    atomic.Pointer[Status]
	watchers  []func(*Snapshot)
	preparers []func(*Snapshot)

	mutex   sync.Mutex // serialises swaps
	latest  *thconfig.Orders
	config  thconfig.Config // last valid one
	lastErr error
	behind  time.Time // since when another daemon is known to hold a newer version than
	held    uint64    // this one
	asked   time.Time
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
	ctx, f.cancel = context.WithCancel(ctx)
	f.done = make(chan struct{})
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

// follow asks the source for changes, one question at a time.
func (f *Follower) follow(ctx context.Context) {
	backoff, lost, seen := followBackoff, time.Time{}, uint64(0)
	for ctx.Err() == nil {
		o, err := f.Source.Next(ctx, followWait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if lost.IsZero() {
				lost = f.Clock.Now()
				f.Log.Warn("configuration source lost", "version", f.version(), "error", err)
			}
			// What was missed may be long; what holds now is short.
			f.Source.Again()
			f.sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, followRetry)
			continue
		case !lost.IsZero():
			f.Log.Info("configuration source back", "version", f.version(), "after", f.Clock.Since(lost))
			lost = time.Time{}
		}
		backoff = followBackoff
		if o != nil {
			f.take(o)
			if o.Version > seen {
				seen = o.Version
				// Further changes often follow. One read then replaces them all.
				f.sleep(ctx, time.Duration(followPause*float64(f.Apply)))
				f.Source.Again()
			}
		}
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
func (f *Follower) take(o *thconfig.Orders) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if o.Config.Number == 0 && o.Fault == nil && f.config.Number == 0 {
		f.Log.Info("no configuration yet", "version", o.Version)
		return
	}
	err := o.Fault
	if err == nil {
		err = o.Config.Check()
	}
	if err == nil && o.Config.Number < f.config.Number {
		err = therror.New(therror.Older, "configuration %d is older than %d", o.Config.Number, f.config.Number)
	}
	f.lastErr = err
	if err != nil {
		f.Log.Error("configuration refused", "version", o.Version, "number", o.Config.Number, "kept", f.config.Number, "error", err)
		if f.config.Number == 0 {
			return
		}
		kept := *o
		kept.Config, kept.Fault = f.config, nil
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
	for _, p := range f.preparers {
		p(s)
	}
	f.current.Store(s)
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

// compare asks another daemon for its tables where it holds newer ones for some time.
func (f *Follower) compare(ctx context.Context) {
	t := f.Clock.NewTicker(followTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		if to := f.ahead(); to != "" {
			if err := f.Peers.Send(to, thwire.TypeFetch, &thwire.Fetch{From: f.version()}); err != nil {
				f.Log.Debug("tables not asked for", "peer", to, "error", err)
			}
		}
	}
}

// ahead returns a random live member that has held a newer version for a while,
// empty without one or while a question is open.
func (f *Follower) ahead() string {
	v := f.Peers.View()
	if v == nil {
		return ""
	}
	own := f.version()
	var newer []string
	for _, m := range v.Members {
		if h, found := v.Held[m.Name]; found && m.State == thwire.MemberAlive && h.Version > own {
			newer = append(newer, m.Name)
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.Clock.Now()
	if len(newer) == 0 {
		f.behind = time.Time{}
		return ""
	}
	if f.behind.IsZero() || f.held != own {
		f.behind, f.held = now, own
	}
	if now.Sub(f.behind) < f.Apply || now.Sub(f.asked) < followFetch {
		return ""
	}
	f.asked = now
	return newer[rand.IntN(len(newer))]
}

func (f *Follower) handleFetch(from string, payload []byte) {
	var m thwire.Fetch
	if err := thwire.Decode(payload, &m); err != nil {
		f.Log.Warn("malformed message", "peer", from, "error", err)
		return
	}
	s := f.current.Load()
	if s == nil || s.Tables.Version <= m.From {
		return
	}
	for _, b := range batches(s) {
		if err := f.Peers.Send(from, thwire.TypeBatch, b); err != nil {
			f.Log.Debug("tables not sent", "peer", from, "error", err)
			return
		}
	}
}

// batches returns the tables in parts that fit a frame each. Each part has the
// version; the last one has the digest.
func batches(s *Snapshot) []*thwire.Batch {
	rest := s.Tables
	var list []*thwire.Batch
	for {
		part := rest
		part.Routes = nil
		size := part.Msgsize()
		n := 0
		for n < len(rest.Routes) && size < maxPart {
			size += rest.Routes[n].Msgsize()
			n++
		}
		part.Routes = rest.Routes[:n]
		rest = thconfig.Tables{Version: rest.Version, Routes: rest.Routes[n:]}
		list = append(list, &thwire.Batch{Tables: &part})
		if len(rest.Routes) == 0 {
			list[len(list)-1].Digest = s.Digest
			return list
		}
	}
}

func (f *Follower) handleBatch(from string, payload []byte) {
	var m thwire.Batch
	if err := thwire.Decode(payload, &m); err != nil || m.Tables == nil {
		f.Log.Warn("malformed message", "peer", from, "error", err)
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if from != f.from || f.parts.Version != m.Tables.Version {
		f.parts, f.from = *m.Tables, from
	} else {
		f.parts.Routes = append(f.parts.Routes, m.Tables.Routes...)
	}
	if len(m.Digest) == 0 { // further parts follow
		return
	}
	t := f.parts
	f.parts, f.from = thconfig.Tables{}, ""
	if d := thconfig.Digest(t); string(d) != string(m.Digest) {
		f.Log.Warn("tables with a wrong digest", "peer", from, "version", t.Version)
		return
	}
	f.swap(t, from)
}
