// Package thdaemon assembles the daemon from its components, and shuts it down
// without interrupting calls in progress.
package thdaemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thaccount"
	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thadmit"
	"github.com/turmerichaven/turmerichaven/thbalance"
	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thcrash"
	"github.com/turmerichaven/turmerichaven/thhttp"
	"github.com/turmerichaven/turmerichaven/thlog"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thmetric"
	"github.com/turmerichaven/turmerichaven/thmove"
	"github.com/turmerichaven/turmerichaven/thonce"
	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/thproxy"
	"github.com/turmerichaven/turmerichaven/thserver"
	"github.com/turmerichaven/turmerichaven/thsettings"
	"github.com/turmerichaven/turmerichaven/thsync"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	metricsInterval = time.Second
	logFlushTimeout = time.Second // for writing buffered log lines at exit
	// bufferFraction is the fraction of the memory limit that unread bytes of calls may take.
	// Their buffers have up to twice the size, and so has the heap until it is collected.
	bufferFraction = 8
)

// Daemon is one daemon. Set the exported fields before Run.
type Daemon struct {
	Settings     thsettings.Settings
	SettingsFile string // read again on a signal of Reloads; empty without a file
	Reloads      <-chan os.Signal
	Clock        clockwork.Clock
	Log          hclog.Logger

	started      time.Time
	platform     *platform
	node         *thmember.Node
	replica      configReplica
	mover        *thmove.Mover
	balancer     *thbalance.Balancer
	gate         thproxy.Gate
	claimGuard   *thonce.Guard // nil without idempotency keys
	background   backgroundTask
	localHandler http.Handler // serves the backend server's announcements or heartbeats
	// readinessHandler serves the readiness address, if one is set.
	readinessHandler http.Handler
	admin            thadmin.Admin
	closers          []func() // called by close
	transport        *thproxy.DirectTransport
	target           *thproxy.Target
	ingress          *thproxy.Ingress
	metrics          *thmetric.Metrics
	dialer           *thwire.Dialer
	link             *thwire.Link // network link of this instance
	listener         *thwire.Listener
	announcer        *announcer
	servers          []*http.Server
	ingressServer    *thhttp.Server // ingress for HTTP/1 callers
	http2Server      *http.Server   // ingress for HTTP/2 callers
	sessions         sessions
	updater          updater
	crashes          *thcrash.Tracker
	crashStore       *crashStore
	departed         departedInstances
	accountStats     thaccount.Stats
	usage            *usage      // nil without reports of usage
	fleetJoined      atomic.Bool // members were found, or joinTimeout has passed
	draining         atomic.Bool
	stopsAt          atomic.Int64 // thclock.Stamp of when a stopping daemon ends; zero until the signal
	endsAt           atomic.Int64 // thclock.Stamp of when a stopping daemon ends; zero until the end of the notice
	zoneOut          atomic.Bool
	failed           chan error
	work             sync.WaitGroup
}

// configReplica holds the daemon's copy of the configuration: a *thsync.Replica or
// a *thsync.Follower.
type configReplica interface {
	Start(ctx context.Context) error
	Stop()
	Current() *thsync.Snapshot
	Ready() bool
	Status() thsync.Status
	Watch(f func(*thsync.Snapshot))
	Prepare(f func(*thsync.Snapshot))
}

// backgroundTask runs beside the other components: it tracks the local backend server, or
// writes to a restored store.
type backgroundTask interface {
	Start(ctx context.Context) error
	Stop()
}

// Run runs a daemon until ctx ends, then stops it gracefully. The settings were
// read from file, which is read again on each signal of reloads.
func Run(ctx context.Context, s thsettings.Settings, file string, reloads <-chan os.Signal) error {
	tuneMemory(s.Memory)
	out := &thlog.Writer{Out: os.Stdout}
	defer out.Close(logFlushTimeout)
	log := hclog.New(&hclog.LoggerOptions{Name: "turmerichaven", Level: hclog.LevelFromString(s.Log.Level), Output: out})
	d := &Daemon{Settings: s, Log: log.With("daemon", s.Daemon.Name, "zone", s.Daemon.Zone)}
	d.SettingsFile, d.Reloads = file, reloads
	return d.Run(ctx)
}

// Run runs the daemon until ctx ends, then stops it gracefully. It returns the
// error of a component that could not start or that failed.
func (d *Daemon) Run(ctx context.Context) error {
	d.Clock = thclock.OrSystem(d.Clock)
	if d.Log == nil {
		d.Log = hclog.NewNullLogger()
	}
	d.started = d.Clock.Now()
	reloadCtx, cancelReload := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelReload()
	go d.watchReloads(reloadCtx)
	d.failed = make(chan error, 8)
	d.build()
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := d.start(componentsCtx); err != nil {
		cancel()
		d.close()
		return err
	}
	d.Log.Info("daemon started", "ingress", d.Settings.Listen.Ingress, "peer", d.Settings.Listen.Peer,
		"local", d.Settings.Listen.Local, "admin", d.Settings.Listen.Admin)
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failed:
		d.Log.Error("component of the daemon failed", "error", err)
	}
	d.stop(componentsCtx)
	cancel()
	d.close()
	d.Log.Info("daemon stopped")
	return err
}

func (d *Daemon) build() {
	s := d.Settings
	d.metrics = &thmetric.Metrics{}
	d.platform = openPlatform(s, d.Clock, d.Log.Named("platform"))
	for _, g := range []*thplatform.Guard{&d.platform.table.Guard, &d.platform.objects.Guard} {
		g.Observe = d.countPlatformRequest
	}
	self := thwire.Member{
		Name: s.Daemon.Name, Zone: s.Daemon.Zone, Region: s.Daemon.Region,
		Peer: s.Listen.Peer, Ingress: s.Listen.Ingress, Admin: s.Listen.Admin,
	}
	if s.Listen.Announce.IsValid() {
		self.Peer = s.Listen.Announce
	}
	d.node = &thmember.Node{Member: self, Clock: d.Clock, Log: d.Log.Named("member")}
	d.admin = thadmin.Admin{Gatherer: d.metrics.Registry(), Ready: d.notReadyReasons, Status: d.status, Log: d.Log.Named("admin")}
	d.mover = &thmove.Mover{
		Membership: membership{d.node}, Exposure: thmove.ExposureLimit{Share: s.Move.Exposure, Slack: s.Move.Slack},
		Clock: d.Clock, Log: d.Log.Named("move"),
	}
	d.balancer = &thbalance.Balancer{Self: self, Clock: d.Clock, Log: d.Log.Named("balance"), SpillThreshold: s.Limits.Spill, AutoZones: s.Limits.Zones == thsettings.ZonesAuto, ZoneCost: s.Limits.Cost, ByTime: s.Limits.Choice == thsettings.ChoiceTime}
	d.announcer = &announcer{
		store: d.platform.Store, spread: s.Peers.Spread, singleStart: s.Platform.Kind == thsettings.KindRows && s.Daemon.Bootstrap != "true",
		node: d.node, clock: d.Clock, log: d.Log.Named("announce"), renew: make(chan struct{}, 1),
	}
	d.buildCalls()
	if s.Platform.Kind == thsettings.KindRows {
		d.buildRows()
	} else {
		d.buildTables()
	}
	d.target.Gate = d.gate
	d.listener = &thwire.Listener{
		Address: s.Listen.Peer,
		Control: func(c net.Conn, h thwire.Hello) { d.node.Serve(c, &h) },
		Call:    func(c net.Conn, _ thwire.Hello) { d.sessions.serve(c, d.target, d.dialer.Buffers, d.link) },
		Log:     d.Log.Named("wire"),
	}
	d.subscribe()
}

// buildTables builds the components for a platform of kind tables.
func (d *Daemon) buildTables() {
	s := d.Settings
	replica := &thsync.Replica{Platform: d.platform, Peers: d.node, Clock: d.Clock, Log: d.Log.Named("sync"), StartupSpread: s.Peers.Spread}
	admission := &thadmit.Gate{Clock: d.Clock, MaxWait: s.Limits.Wait}
	watcher := &thserver.Watcher{Clock: d.Clock, Log: d.Log.Named("server"), LocalAddresses: []netip.Addr{s.Listen.Local.Addr()}}
	d.replica, d.gate, d.background, d.localHandler = replica, gate{admission}, watcher, watcher
	d.admin.Poke, d.admin.ReceiveChange = replica.Poke, replica.Offer
	d.mover.EndCommitter = moveCommitter{d.platform.Store, d.metrics}
	d.claimGuard = &thonce.Guard{Store: d.platform.Store, Clock: d.Clock, Rate: float64(s.Limits.Claims)}
	d.target.Guard, d.target.Server = d.claimGuard, watcher.Server
	watcher.Watch(func(s thwire.Server, address netip.AddrPort, gone bool) {
		if gone {
			d.Log.Warn("local backend server is gone", "address", address)
			admission.SetServer(nil)
			d.node.SetServer(nil)
			return
		}
		s.Slots = min(s.Slots, d.Settings.Server.Slots)
		admission.SetServer(&s)
		d.node.SetServer(&s)
	})
	watcher.WatchProbes(func(h thserver.ProbeResult) {
		if h.HasLoad {
			admission.SetReportedLoad(h.Load)
		}
	})
}

// buildCalls builds the components on the request path.
func (d *Daemon) buildCalls() {
	d.link = &thwire.Link{Speed: d.Settings.Server.Link, Clock: d.Clock}
	d.dialer = &thwire.Dialer{Clock: d.Clock, Buffers: &thwire.BufferLimit{Bytes: int64(d.Settings.Memory.Limit) / bufferFraction}, Hello: func() thwire.Hello {
		self := d.node.Member
		return thwire.Hello{
			Protocol: thwire.Protocol, Kind: thwire.KindCall,
			Name: self.Name, Zone: self.Zone, Region: self.Region,
		}
	}}
	d.dialer.Link = d.link
	d.transport = &thproxy.DirectTransport{Clock: d.Clock, OnConnectionLimit: func() { d.metrics.CountLimited(limitConnections) }}
	d.transport.SetMaxConnections(d.Settings.Server.Connections)
	d.closers = append(d.closers, d.transport.CloseIdle)
	d.target = &thproxy.Target{
		Transport: d.transport,
		Closed:    d.rejectsCalls,
		Pool:      d.pool,
		OnDispatch: func(route, pool string, cold bool) (thproxy.CallObserver, bool) {
			return d.mover.BeginServed(route, pool, cold)
		},
		Downloads: &thproxy.Downloads{Link: d.link, Clock: d.Clock},
		OnCrash:   d.metrics.CountServerCrash, Clock: d.Clock, Log: d.Log.Named("target"),
	}
	d.ingress = &thproxy.Ingress{
		Self: d.Settings.Daemon.Name, Router: d.router, Mover: d.mover,
		Balancer: balancer{d.balancer}, Dialer: d.dialer, Local: d.target, Ready: func() bool { return d.replica.Ready() },
		Metrics: metrics{d.metrics}, Clock: d.Clock, Log: d.Log.Named("ingress"), TimeLeft: d.timeLeft, EndsIn: d.endsIn, Link: d.link,
	}
	d.ingressServer = d.newIngressServer()
	d.crashStore = &crashStore{Daemon: d, waiting: make(chan thwire.CrashRecord, maxWaitingCrashRecords)}
	d.crashes = &thcrash.Tracker{
		Publish: d.node.MergeCrashRecord, Persist: d.crashStore.offer, Clock: d.Clock, Log: d.Log.Named("crash"),
	}
	d.node.WatchCrashRecords(d.crashes.Update)
	d.ingress.Crashes, d.target.Crashes = d.crashes, d.crashes
	d.admin.Release = d.crashes.Release
}

// rejectsCalls reports whether the target rejects new calls. It does so without a
// configuration, because the limits of the backend server are unknown then.
func (d *Daemon) rejectsCalls() bool {
	return d.draining.Load() || d.zoneOut.Load() || d.replica.Current() == nil
}

// pool returns a pool of the tables in effect and their version.
func (d *Daemon) pool(name string) (pool *thconfig.Pool, version uint64, found bool) {
	s := d.replica.Current()
	if s == nil {
		return nil, 0, false
	}
	p, found := s.Tables.Pool(name)
	return &p, s.Tables.Version, found
}

// subscribe connects the components that depend on each other's changes.
func (d *Daemon) subscribe() {
	var mu sync.Mutex // guards pools
	var pools usablePools
	d.updater = updater{clock: d.Clock, rebuild: func() {
		mu.Lock()
		defer mu.Unlock()
		v := d.node.View()
		if v == nil {
			return
		}
		members := d.correctMembers(v.Members)
		if pools.tables != nil {
			d.balancer.Update(pools.tables, members)
		}
		if s := d.replica.Current(); s != nil {
			d.mover.Update(&s.Tables, members)
		}
	}}
	// The pools of a version must be usable before its routes are in effect.
	d.replica.Prepare(func(s *thsync.Snapshot) {
		mu.Lock()
		pools.setTables(&s.Tables, d.Clock.Now())
		mu.Unlock()
		d.updater.runNow()
	})
	d.replica.Watch(func(s *thsync.Snapshot) {
		d.setLimits(&s.Tables)
		zone, found := s.Tables.Zone(d.Settings.Daemon.Zone)
		if out := found && zone.Out; d.zoneOut.Swap(out) != out {
			d.Log.Info("zone of this daemon changed", "out", out, "version", thconfig.VersionText(s.Tables.Version))
		}
		d.node.KeepMoveStates(func(move string) bool {
			m, found := s.Tables.Move(move)
			return found && m.State == thconfig.MoveRunning
		})
		d.updater.runNow()
	})
	previous := map[string]thwire.Member{}
	d.node.Watch(func(v *thmember.View) {
		next := make(map[string]thwire.Member, len(v.Members))
		for _, m := range v.Members {
			next[m.Name] = m
			if hasRecovered(previous[m.Name], m) {
				d.dialer.PeerRestarted(m.Peer)
			}
		}
		previous = next
		d.updater.schedule()
	})
	d.node.WatchMoveStates(d.mover.HandleMoveState)
	d.node.Handle(thwire.TypeReport, func(from string, payload []byte) {
		var r thwire.Report
		if err := thwire.Decode(payload, &r); err != nil {
			d.Log.Warn("ignoring malformed move report", "from", from, "error", err)
			return
		}
		d.mover.HandleReport(r)
	})
}

func (d *Daemon) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.replica.Start, d.node.Start, d.mover.Start, d.background.Start, d.usage.start, d.listener.Start, d.serve,
	}
	for _, s := range steps {
		if err := s(ctx); err != nil {
			return err
		}
	}
	d.node.Join(d.Settings.Peers.Seeds...)
	d.announcer.start(ctx)
	d.work.Go(func() { d.exportMetrics(ctx) })
	d.work.Go(func() { d.crashStore.run(ctx) })
	return nil
}
