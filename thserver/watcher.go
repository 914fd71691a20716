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
	interval = time.Second // between announcements and between probes
	missed   = 3           // announcements until a failed probe means gone
	// startingMax bounds the time in which a health endpoint that never reports
	// success keeps a server in the state starting.
	startingMax  = 10 * time.Second
	probeTimeout = 500 * time.Millisecond
)

// Hint is what the health and load endpoints report. It may be stale or wrong.
type Hint struct {
	Healthy bool
	Load    int  // calls in progress
	HasLoad bool // the load endpoint answered
}

// Watcher keeps the record of the backend server. It is the http.Handler of
// /announce and /leave on the daemon's local address.
type Watcher struct {
	Clock   clockwork.Clock
	Log     hclog.Logger
	Own     []netip.Addr  // the machine's addresses that a server may announce besides loopback
	Client  *http.Client  // for probes; nil means one that follows no redirects
	Timeout time.Duration // of a probe, 500 ms when zero

	mutex   sync.Mutex
	current *record
	// replaced is the address of the server before the current one. Its further
	// announcements are ignored while the current one announces itself.
	replaced netip.AddrPort
	watch    []func(thwire.Server, netip.AddrPort, bool)
	hints    []func(Hint)

	// notify serialises callbacks, so that they see changes in order.
	notify sync.Mutex

	begin  sync.Once
	cancel context.CancelFunc
	done   chan struct{}
}

type record struct {
	announcement
	address netip.AddrPort
	state   string
	first   time.Time
	last    time.Time
	refused bool // the last probe found no process; the next announcement is a restart's
}

func (r *record) server() thwire.Server {
	return thwire.Server{Service: r.Service, Version: r.Version, Slots: r.Slots, State: r.state}
}

// Watch adds a callback for each change of the server; gone is set when the
// server has disappeared. Call it before Start.
func (w *Watcher) Watch(f func(s thwire.Server, address netip.AddrPort, gone bool)) {
	w.watch = append(w.watch, f)
}

// WatchHints adds a callback for each probe's result. Call it before Start.
func (w *Watcher) WatchHints(f func(Hint)) { w.hints = append(w.hints, f) }

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

func (w *Watcher) init() { w.begin.Do(func() { w.done = make(chan struct{}) }) }

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
	ticker := thclock.OrSystem(w.Clock).NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			w.check(ctx)
		}
	}
}

// check probes the server once and drops it when announcements and probe both fail.
func (w *Watcher) check(ctx context.Context) {
	w.mutex.Lock()
	r := w.current
	var copied record
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
	w.change(func() *record {
		now := thclock.OrSystem(w.Clock).Now()
		c := w.current
		if c == nil || c.address != copied.address {
			return c
		}
		if !p.reached && now.Sub(c.last) >= missed*interval {
			return nil
		}
		n := *c
		n.refused = p.refused
		if c.state == thwire.ServerStarting && (p.hint.Healthy || now.Sub(c.first) >= startingMax) {
			n.state = thwire.ServerReady
		}
		return &n
	})
	for _, f := range w.hints {
		f(p.hint)
	}
}

// change replaces the record and reports what differs.
func (w *Watcher) change(f func() *record) {
	w.notify.Lock()
	defer w.notify.Unlock()
	w.mutex.Lock()
	old := w.current
	n := f()
	w.current = n
	w.mutex.Unlock()
	switch {
	case n == nil && old != nil:
		w.log().Info("backend server is gone", "address", old.address)
		w.tell(old, true)
	case n != nil && (old == nil || old.server() != n.server() || old.address != n.address):
		w.log().Info("backend server changed", "address", n.address, "service", n.Service, "version", n.Version, "state", n.state)
		w.tell(n, false)
	}
}

func (w *Watcher) tell(r *record, gone bool) {
	for _, f := range w.watch {
		f(r.server(), r.address, gone)
	}
}

func (w *Watcher) log() hclog.Logger {
	if w.Log == nil {
		return hclog.NewNullLogger()
	}
	return w.Log
}

// own reports whether the address belongs to this machine, as far as the settings say.
func (w *Watcher) own(a netip.Addr) bool {
	a = a.Unmap()
	return a.IsLoopback() || slices.Contains(w.Own, a)
}
