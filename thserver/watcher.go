// Package thserver learns of the backend server beside a daemon: it takes the
// server's announcements and probes it.
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
	announceInterval       = time.Second // between announcements and between probes
	maxMissedAnnouncements = 3           // announcements until a failed probe means gone
	// maxStartingTime bounds the time in which a health endpoint that never reports
	// success keeps a server in the state starting.
	maxStartingTime = 10 * time.Second
	probeTimeout    = 500 * time.Millisecond
)

// ProbeResult is what the health and load endpoints report. It may be stale or wrong.
type ProbeResult struct {
	Healthy bool
	Load    int  // calls in progress
	HasLoad bool // the load endpoint answered
}

// Watcher keeps the record of the backend server. It is the http.Handler of
// /announce and /leave on the daemon's local address.
type Watcher struct {
	Clock          clockwork.Clock
	Log            hclog.Logger
	LocalAddresses []netip.Addr  // the machine's addresses that a server may announce besides loopback
	Client         *http.Client  // for probes; nil means one that follows no redirects
	Timeout        time.Duration // of a probe, 500 ms when zero

	mutex   sync.Mutex
	current *registration
	// replacedAddress is the address of the server before the current one. Its further
	// announcements are ignored while the current one announces itself.
	replacedAddress netip.AddrPort
	watchers        []func(thwire.Server, netip.AddrPort, bool)
	probeWatchers   []func(ProbeResult)

	// notifyMutex serialises callbacks, so that they see changes in order.
	notifyMutex sync.Mutex

	initOnce sync.Once
	cancel   context.CancelFunc
	done     chan struct{}
}

type registration struct {
	announcement
	address     netip.AddrPort
	state       string
	firstSeen   time.Time
	lastSeen    time.Time
	connRefused bool // the last probe found no process; the next announcement is a restart's
}

func (r *registration) server() thwire.Server {
	return thwire.Server{Service: r.Service, Version: r.Version, Slots: r.Slots, State: r.state}
}

// Watch adds a callback for each change of the server; gone is set when the
// server has disappeared. Call it before Start.
func (w *Watcher) Watch(f func(s thwire.Server, address netip.AddrPort, gone bool)) {
	w.watchers = append(w.watchers, f)
}

// WatchProbes adds a callback for each probe's result. Call it before Start.
func (w *Watcher) WatchProbes(f func(ProbeResult)) { w.probeWatchers = append(w.probeWatchers, f) }

// Server returns the current server, if any.
func (w *Watcher) Server() (thwire.Server, netip.AddrPort, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.current == nil {
		return thwire.Server{}, netip.AddrPort{}, false
	}
	return w.current.server(), w.current.address, true
}

// Start begins the probes.
func (w *Watcher) Start(ctx context.Context) error {
	w.init()
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
	return nil
}

func (w *Watcher) init() { w.initOnce.Do(func() { w.done = make(chan struct{}) }) }

// Stop ends the probes and waits for them.
func (w *Watcher) Stop() {
	if w.cancel == nil {
		return
	}
	w.cancel()
	<-w.done
}

// Done is closed when the probes have ended.
func (w *Watcher) Done() <-chan struct{} {
	w.init()
	return w.done
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	ticker := thclock.Or(w.Clock).NewTicker(announceInterval)
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

// checkServer probes the server once and drops it when announcements and probe both fail.
func (w *Watcher) checkServer(ctx context.Context) {
	w.mutex.Lock()
	r := w.current
	var copied registration
	if r != nil {
		copied = *r
	}
	w.mutex.Unlock()
	if r == nil {
		return
	}
	p := w.probe(ctx, &copied)
	if ctx.Err() != nil {
		return
	}
	w.update(func() *registration {
		now := thclock.Or(w.Clock).Now()
		c := w.current
		if c == nil || c.address != copied.address {
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

// update replaces the record and reports what differs.
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

// isLocal reports whether the address belongs to this machine, as far as the settings say.
func (w *Watcher) isLocal(a netip.Addr) bool {
	a = a.Unmap()
	return a.IsLoopback() || slices.Contains(w.LocalAddresses, a)
}
