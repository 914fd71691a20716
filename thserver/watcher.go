// Package thserver registers the local backend server of a daemon, by its announcements
// or heartbeats, and probes its health and load.
package thserver

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	announceInterval       = time.Second // of announcements and of probes
	maxMissedAnnouncements = 3           // number from which a failed probe removes the server
	// maxStartingTime is how long a server stays in the state starting if its health
	// endpoint never reports success.
	maxStartingTime = 10 * time.Second
	probeTimeout    = 500 * time.Millisecond
)

// ProbeResult is what the health and load endpoints reported. It may be stale or wrong.
type ProbeResult struct {
	Healthy bool
	Load    int  // calls in progress, if HasLoad is set
	HasLoad bool // the load endpoint gave a valid response
}

// Watcher tracks the local backend server by its announcements and by probes. It is the
// http.Handler of /announce and /leave on the daemon's local address. Set the exported
// fields before use.
type Watcher struct {
	Clock          clockwork.Clock // nil means the real clock
	Log            hclog.Logger    // nil discards all lines
	LocalAddresses []netip.Addr    // addresses of this machine that a server may announce besides loopback
	Client         *http.Client    // for probes; nil means one that does not follow redirects
	Timeout        time.Duration   // of a probe; zero means 500 ms

	mutex   sync.Mutex // guards current and replacedAddress
	current *registration
	// replacedAddress is the address of the server that the current one has replaced.
	// Announcements from it are ignored while the current server announces itself.
	replacedAddress netip.AddrPort
	watchers        []func(thwire.Server, netip.AddrPort, bool)
	probeWatchers   []func(ProbeResult)

	// notifyMutex serialises callbacks, so that they see changes in order.
	notifyMutex sync.Mutex

	initOnce sync.Once
	cancel   context.CancelFunc
	done     chan struct{}
}

// registration is the state of an announced server. Embedded is its last announcement.
type registration struct {
	announcement
	address     netip.AddrPort // parsed Address of the announcement
	state       string         // one of the states of a thwire.Server
	firstSeen   time.Time      // first announcement of this process
	lastSeen    time.Time      // last announcement
	connRefused bool           // at the last probe; an announcement with no higher age is then that of a new process
}

func (r *registration) server() thwire.Server {
	return thwire.Server{Service: r.Service, Version: r.Version, Slots: r.Slots, State: r.state}
}

// Watch adds a callback for each change of the server; gone reports that the server
// has been removed. Call it before Start.
func (w *Watcher) Watch(f func(s thwire.Server, address netip.AddrPort, gone bool)) {
	w.watchers = append(w.watchers, f)
}

// WatchProbes adds a callback for the result of each probe. Call it before Start.
func (w *Watcher) WatchProbes(f func(ProbeResult)) { w.probeWatchers = append(w.probeWatchers, f) }

// Server returns the current server with its address, and false if there is none.
func (w *Watcher) Server() (thwire.Server, netip.AddrPort, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.current == nil {
		return thwire.Server{}, netip.AddrPort{}, false
	}
	return w.current.server(), w.current.address, true
}

// Start starts the probes in the background until ctx ends or Stop is called. It
// always returns nil.
func (w *Watcher) Start(ctx context.Context) error {
	w.init()
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
	return nil
}

func (w *Watcher) init() { w.initOnce.Do(func() { w.done = make(chan struct{}) }) }

// Stop stops the probes and waits for one in progress. It has no effect before Start.
func (w *Watcher) Stop() {
	if w.cancel == nil {
		return
	}
	w.cancel()
	<-w.done
}

// Done returns a channel that is closed once the probes have stopped. It may be called
// before Start.
func (w *Watcher) Done() <-chan struct{} {
	w.init()
	return w.done
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	ticker := thclock.OrSystem(w.Clock).NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			w.checkServer(ctx)
		}
	}
}

// checkServer probes the server once. It removes the server if the probe fails and
// maxMissedAnnouncements are missing, and makes a starting server ready if it is healthy
// or maxStartingTime has passed.
func (w *Watcher) checkServer(ctx context.Context) {
	w.mutex.Lock()
	r := w.current
	var probed registration
	if r != nil {
		probed = *r
	}
	w.mutex.Unlock()
	if r == nil {
		return
	}
	p := w.probe(ctx, &probed)
	if ctx.Err() != nil {
		return
	}
	w.update(func() *registration {
		now := thclock.OrSystem(w.Clock).Now()
		c := w.current
		if c == nil || c.address != probed.address {
			return c
		}
		if !p.reached && now.Sub(c.lastSeen) >= maxMissedAnnouncements*announceInterval {
			return nil
		}
		n := *c
		n.connRefused = p.connRefused
		if c.state == thwire.ServerStarting && (p.result.Healthy || now.Sub(c.firstSeen) >= maxStartingTime) {
			n.state = thwire.ServerReady
		}
		return &n
	})
	for _, f := range w.probeWatchers {
		f(p.result)
	}
}

// update replaces the current registration with the result of f, which runs under the
// mutex, and calls the watchers if the server or its address has changed.
func (w *Watcher) update(f func() *registration) {
	w.notifyMutex.Lock()
	defer w.notifyMutex.Unlock()
	w.mutex.Lock()
	old := w.current
	n := f()
	w.current = n
	w.mutex.Unlock()
	switch {
	case n == nil && old != nil:
		w.log().Info("backend server is gone", "address", old.address)
		w.notifyWatchers(old, true)
	case n != nil && (old == nil || old.server() != n.server() || old.address != n.address):
		w.log().Info("backend server changed", "address", n.address, "service", n.Service, "version", n.Version, "state", n.state)
		w.notifyWatchers(n, false)
	}
}

// notifyWatchers calls the watchers. The caller holds notifyMutex.
func (w *Watcher) notifyWatchers(r *registration, gone bool) {
	for _, f := range w.watchers {
		f(r.server(), r.address, gone)
	}
}

func (w *Watcher) log() hclog.Logger {
	if w.Log == nil {
		return hclog.NewNullLogger()
	}
	return w.Log
}

// isLocal reports whether the address is loopback or one of LocalAddresses.
func (w *Watcher) isLocal(a netip.Addr) bool {
	a = a.Unmap()
	return a.IsLoopback() || slices.Contains(w.LocalAddresses, a)
}
