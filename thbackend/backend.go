// Package thbackend is a stand-in of a backend server for tests and benchmarks.
// It limits itself to its slots, records what it runs, and misbehaves on demand.
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

// Backend is a backend server. It is also the http.Handler of its requests.
type Backend struct {
	Name     string // in records; the address when empty
	Service  string
	Version  string
	Slots    int    // requests at once, 20 when zero
	Listen   string // 127.0.0.1:0 when empty
	Daemon   string // local address of the daemon, for announcements; empty announces nothing
	Announce string // address that is announced; the listening one when empty
	Ingress  string // ingress address of the daemon, for chains

	ProcessingTime time.Duration // time of a request
	ConnectTime    time.Duration // cost of a new connection
	ProbeTime      time.Duration // cost of a probe
	WarmupRequests int           // requests until a cold server is warm; zero is always warm

	ExtraAge    time.Duration // added to the age that is announced
	JournalPath string        // file to which records are appended as they arise; none when empty

	Clock clockwork.Clock
	Log   hclog.Logger

	active     atomic.Int64
	warmupDone atomic.Int64 // requests done since the server was last cold
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

// Start listens, serves and announces the server.
func (b *Backend) Start(ctx context.Context) error {
	b.init()
	if b.JournalPath != "" {
		f, err := os.OpenFile(b.JournalPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return therror.Wrap(therror.Bad, err, "journal")
		}
		b.journal.file = f // closed with the process
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

// Stop drains the server and ends it once its requests are complete.
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

// Done is closed when the server has ended.
func (b *Backend) Done() <-chan struct{} {
	b.init()
	return b.done
}

// Address returns the listening address after Start.
func (b *Backend) Address() netip.AddrPort { return b.address }

func (b *Backend) announcedAddress() string {
	if b.Announce != "" {
		return b.Announce
	}
	return b.address.String()
}

func (b *Backend) clock() clockwork.Clock { return thclock.Or(b.Clock) }

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

// slowListener spends the cost of a connection before it accepts the next one.
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

// drain tells the daemon that the server leaves; requests are still served.
func (b *Backend) drain() {
	if b.draining.Swap(true) || b.Daemon == "" {
		return
	}
	body := fmt.Appendf(nil, `{"address":%q}`, b.announcedAddress())
	if err := b.post(context.Background(), "/leave", body); err != nil && b.Log != nil {
		b.Log.Warn("leave failed", "daemon", b.Daemon, "error", err)
	}
}
