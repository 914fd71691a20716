// Package thbackend is a stand-in for a backend server in tests and benchmarks. It
// rejects requests above its slots, records its requests, and injects faults on demand.
package thbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
)

const (
	announceInterval  = time.Second
	shutdownTimeout   = 30 * time.Second
	readHeaderTimeout = 10 * time.Second
)

// Backend is a backend server and the http.Handler of its requests. Set its exported
// fields before Start; as a plain handler it needs no Start.
type Backend struct {
	Name     string // server name in records; the address when empty
	Service  string
	Version  string
	Slots    int    // maximum of concurrent requests; 20 when zero
	Listen   string // listening address; 127.0.0.1:0 when empty
	Daemon   string // the daemon's local address, which receives announcements; none when empty
	Announce string // announced address; the listening address when empty
	Ingress  string // ingress address that /chain requests call

	ProcessingTime time.Duration // processing time of a request
	ConnectTime    time.Duration // delay after accepting a connection
	ProbeTime      time.Duration // delay of a probe
	WarmupRequests int           // requests that a cold server needs to become warm; always warm when zero

	ExtraAge    time.Duration // added to the announced age
	JournalPath string        // file to which each record is appended when it changes; none when empty

	Clock clockwork.Clock
	Log   hclog.Logger

	active     atomic.Int64
	warmupDone atomic.Int64 // requests completed since the server was last cold
	fault      atomic.Pointer[activeFault]
	draining   atomic.Bool
	journal    journal

	started  time.Time
	address  netip.AddrPort
	server   *http.Server
	cancel   context.CancelFunc
	stopOnce sync.Once
	initOnce sync.Once
	done     chan struct{}
}

// Start listens, and serves and announces the server in the background until Stop.
// The end of ctx stops only the announcements.
func (b *Backend) Start(ctx context.Context) error {
	b.init()
	if b.JournalPath != "" {
		f, err := os.OpenFile(b.JournalPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return therror.Wrap(therror.Bad, err, "journal")
		}
		b.journal.file = f // stays open until the process exits
	}
	listen := b.Listen
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", listen)
	if err != nil {
		return therror.Wrap(therror.Down, err, "backend server")
	}
	b.address, err = netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return therror.Wrap(therror.Internal, err, "listener address")
	}
	b.started = b.clock().Now()
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: readHeaderTimeout}
	ctx, b.cancel = context.WithCancel(ctx)
	go func() {
		defer close(b.done)
		var all sync.WaitGroup
		all.Go(func() { _ = b.server.Serve(&slowListener{l, b}) })
		if b.Daemon != "" {
			all.Go(func() { b.announceLoop(ctx) })
		}
		all.Wait()
	}()
	return nil
}

func (b *Backend) init() { b.initOnce.Do(func() { b.done = make(chan struct{}) }) }

// Stop drains the server, waits for its requests and then closes it. Requests that are
// in progress after shutdownTimeout are aborted.
func (b *Backend) Stop() {
	if b.server == nil {
		return
	}
	b.stopOnce.Do(func() {
		b.drain()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if b.server.Shutdown(ctx) != nil {
			_ = b.server.Close()
		}
		b.cancel()
	})
	<-b.done
}

// Done returns a channel that is closed when the server has stopped.
func (b *Backend) Done() <-chan struct{} {
	b.init()
	return b.done
}

// Address returns the listening address; it is valid after Start.
func (b *Backend) Address() netip.AddrPort { return b.address }

func (b *Backend) announcedAddress() string {
	if b.Announce != "" {
		return b.Announce
	}
	return b.address.String()
}

func (b *Backend) clock() clockwork.Clock { return thclock.OrSystem(b.Clock) }

func (b *Backend) slots() int64 {
	if b.Slots == 0 {
		return 20
	}
	return int64(b.Slots)
}

func (b *Backend) name() string {
	if b.Name == "" {
		return b.address.String()
	}
	return b.Name
}

// slowListener delays each accepted connection, and so the next Accept, by ConnectTime.
type slowListener struct {
	net.Listener
	backend *Backend
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.backend.ConnectTime > 0 {
		l.backend.clock().Sleep(l.backend.ConnectTime)
	}
	return c, err
}

func (b *Backend) announceLoop(ctx context.Context) {
	ticker := b.clock().NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if !b.draining.Load() {
			b.announce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (b *Backend) announce(ctx context.Context) {
	body, err := json.Marshal(map[string]any{
		"service": b.Service, "version": b.Version, "address": b.announcedAddress(),
		"slots": b.slots(), "health": "/health", "load": "/load",
		"age": (b.ExtraAge + b.clock().Since(b.started)).Seconds(),
	})
	if err == nil {
		err = b.post(ctx, "/announce", body)
	}
	if err != nil && b.Log != nil && ctx.Err() == nil {
		b.Log.Warn("announcement failed", "daemon", b.Daemon, "error", err)
	}
}

// post sends a JSON body to the daemon's local address.
func (b *Backend) post(ctx context.Context, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Daemon+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	if err := response.Body.Close(); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return therror.New(therror.Refused, "the daemon answered %d", response.StatusCode)
	}
	return nil
}

// drain notifies the daemon that the server leaves. Requests are still served.
func (b *Backend) drain() {
	if b.draining.Swap(true) || b.Daemon == "" {
		return
	}
	body := fmt.Appendf(nil, `{"address":%q}`, b.announcedAddress())
	if err := b.post(context.Background(), "/leave", body); err != nil && b.Log != nil {
		b.Log.Warn("leave notification failed", "daemon", b.Daemon, "error", err)
	}
}
