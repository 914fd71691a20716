package thdaemon

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thhttp"
	"github.com/turmerichaven/turmerichaven/thsettings"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeaderSize = 64 << 10 // bytes
)

// serve opens the ingress, local, readiness and admin addresses and serves them in
// the background.
func (d *Daemon) serve(ctx context.Context) error {
	l := d.Settings.Listen
	if err := d.serveCalls(ctx, l.Ingress); err != nil {
		return err
	}
	if err := d.listen(ctx, l.Local, d.localHandler); err != nil {
		return err
	}
	if l.Ready.IsValid() {
		if err := d.listen(ctx, l.Ready, d.readinessHandler); err != nil {
			return err
		}
	}
	return d.listen(ctx, l.Admin, d.admin.Handler())
}

// serveCalls opens the ingress address. HTTP/2 connections are handed over to
// net/http.
func (d *Daemon) serveCalls(ctx context.Context, address netip.AddrPort) error {
	l, err := open(ctx, address)
	if err != nil {
		return err
	}
	http2Conns := &thhttp.ConnListener{Address: l.Addr()}
	d.http2Server = d.newServer(d.ingress)
	d.ingressServer.ConfigureHTTP2(d.http2Server)
	d.ingressServer.HTTP2 = http2Conns.Deliver
	d.serveInBackground(address, func() error { return d.http2Server.Serve(http2Conns) })
	d.serveInBackground(address, func() error { return d.ingressServer.Serve(l) })
	return nil
}

// newIngressServer returns the server of the ingress address, with the limits that apply
// without a configuration.
func (d *Daemon) newIngressServer() *thhttp.Server {
	return &thhttp.Server{
		Handler: d.ingress, Clock: d.Clock, Log: d.Log.Named("http"),
		Limits:  thhttp.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeader: maxHeaderSize},
		Bounds:  clientBounds(d.Settings.Clients, d.Settings.Memory.Limit, descriptorLimit()),
		OnLimit: func(l thhttp.Limit) { d.metrics.CountLimited(string(l)) },
	}
}

// Defaults of the bounds on clients, as parts of what the process may have. The rest is for the
// collector and the descriptors of other daemons, the store and the backend server.
const (
	clientMemoryFraction     = 4
	clientDescriptorFraction = 2
	// idleClientFraction is the part of the bytes that idle connections may take, so that the
	// others have room for requests.
	idleClientFraction = 3
)

// clientBounds returns the bounds on clients: those of the settings, or without them what
// follows from the limits of memory and of descriptors. Zero descriptors mean that the limit is
// unknown.
func clientBounds(s thsettings.ClientsSettings, memory, descriptors int) thhttp.Bounds {
	b := thhttp.Bounds{Connections: s.Connections, Bytes: int64(s.Bytes)}
	if b.Bytes == 0 {
		b.Bytes = int64(memory) / clientMemoryFraction
	}
	if b.Connections > 0 {
		return b
	}
	b.Connections = max(int(b.Bytes/thhttp.ConnectionCost/idleClientFraction), 1)
	if descriptors > 0 {
		b.Connections = max(min(b.Connections, descriptors/clientDescriptorFraction), 1)
	}
	return b
}

// descriptorLimit returns how many descriptors the process may have, zero if that is unknown.
func descriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return 0
	}
	return int(l.Cur)
}

// limitConnections names the limit of connections to the backend server in the metrics.
const limitConnections = "connections"

// setLimits applies the limits of the configuration to HTTP/1 callers, and that of the local
// service to the connections to its backend server. The settings may have a lower one.
func (d *Daemon) setLimits(t *thconfig.Tables) {
	if l := t.Limits; l != nil {
		d.ingressServer.SetLimits(thhttp.Limits{HeaderTimeout: l.Wait, IdleTimeout: l.Idle, MaxHeader: l.Header, MaxBody: l.Body})
	}
	connections := d.Settings.Server.Connections
	if s, found := t.Service(d.Settings.Server.Service); found && s.Connections > 0 {
		connections = min(connections, s.Connections)
	}
	d.transport.SetMaxConnections(connections)
}

func (d *Daemon) listen(ctx context.Context, address netip.AddrPort, h http.Handler) error {
	l, err := open(ctx, address)
	if err != nil {
		return err
	}
	s := d.newServer(h)
	d.serveInBackground(address, func() error { return s.Serve(l) })
	return nil
}

func open(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, therror.Wrap(therror.Bad, err, "listen on %s", address)
	}
	return l, nil
}

// newServer returns a server that Daemon.close closes.
func (d *Daemon) newServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderSize,
		Protocols: &protocols, ErrorLog: d.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	d.servers = append(d.servers, s)
	return s
}

// serveInBackground calls serve in a goroutine that Daemon.close waits for. An
// error other than http.ErrServerClosed stops the daemon.
func (d *Daemon) serveInBackground(address netip.AddrPort, serve func() error) {
	d.work.Go(func() {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			d.failed <- therror.Wrap(therror.Internal, err, "serve %s", address)
		}
	})
}
