package thdaemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	hosted "github.com/turmerichaven/turmerichaven/platform"
	"github.com/turmerichaven/turmerichaven/thadmit"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thproxy"
	"github.com/turmerichaven/turmerichaven/thserver"
	"github.com/turmerichaven/turmerichaven/thsync"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// buildRows builds the parts for a platform of kind rows: operators write the
// configuration to its store, and the backend server sends heartbeats.
func (d *Daemon) buildRows() {
	s := d.Settings
	follower := &thsync.Follower{
		Source: &hosted.OperatorSource{Store: d.platform.rows}, Peers: d.node, Clock: d.Clock, Log: d.Log.Named("sync"), Apply: s.Platform.Apply,
	}
	d.announcer.isReader = follower.IsReader
	d.dialer.Sessions = 1
	registry := &thserver.Registry{
		Service: s.Server.Service, Address: s.Server.Address, Clock: d.Clock, Log: d.Log.Named("server"),
	}
	scheduler := &thadmit.Scheduler{Clock: d.Clock}
	d.replica, d.gate, d.serverMonitor = follower, schedulerGate{scheduler}, noopMonitor{}
	d.localHandler, d.readinessHandler = hosted.HeartbeatHandler(d.heartbeatHandler(registry)), hosted.ReadinessHandler(d.notReadyReasons)
	d.mover.Finisher = rolloutReporter{d.platform.rows}
	d.target.Headers, d.transport.Headers = hosted.Headers(), hosted.Headers()
	d.target.Server = func() (thwire.Server, netip.AddrPort, bool) {
		e := registry.Current()
		if e == nil {
			return thwire.Server{}, netip.AddrPort{}, false
		}
		return *e.Server(d.Clock.Now()), e.Address, true
	}
	activeCalls := &thproxy.ActiveCalls{}
	d.ingress.ActiveCalls, d.target.ActiveCalls = activeCalls, activeCalls
	d.ingress.Headers, d.ingress.LocalService = hosted.Headers(), s.Server.Service
	d.ingress.RetryBudget = &thproxy.SharedRetryBudget{
		Ratio: s.Budget.Ratio, Slack: s.Budget.Slack, Window: s.Budget.Window, Clock: d.Clock,
		Daemons: func() int { return len(d.node.View().Alive()) },
	}
	local := &localServer{Daemon: d, registry: registry, scheduler: scheduler}
	registry.Watch(local.update)
	d.replica.Watch(func(*thsync.Snapshot) {
		if e := registry.Current(); e != nil {
			local.update(e)
		}
	})
}

// Limits of the store calls that a heartbeat waits for; its sender gives up
// after a second.
const (
	departureReadTimeout  = 300 * time.Millisecond
	departureWriteTimeout = 700 * time.Millisecond
)

// heartbeatHandler returns the function that takes heartbeats. The end of an instance is
// recorded in the store before it is acknowledged, and looked up before the
// first heartbeat after a start is taken: one that was sent before the end may
// still arrive. Neither waits for a store that does not answer.
func (d *Daemon) heartbeatHandler(registry *thserver.Registry) func(thserver.Beat) error {
	var mutex sync.Mutex // guards recorded, and lets one look-up run
	recorded := ""
	return func(b thserver.Beat) error {
		mutex.Lock()
		defer mutex.Unlock()
		if registry.Current() == nil && d.Settings.Daemon.Bootstrap != "true" && !b.Gone && !b.Leaving {
			d.lookUpDeparture(registry, b.Instance)
		}
		if err := registry.Take(b); err != nil {
			return err
		}
		if e := registry.Current(); e != nil && e.Instance == b.Instance && (e.Leaving || e.Gone) && recorded != b.Instance {
			recorded = b.Instance
			ctx, cancel := context.WithTimeout(context.Background(), departureWriteTimeout)
			defer cancel()
			if err := d.platform.RecordDeparture(ctx, e.Instance, e.Born); err != nil {
				d.Log.Warn("end of an instance not recorded", "instance", e.Instance, "error", err)
			}
		}
		return nil
	}
}

func (d *Daemon) lookUpDeparture(registry *thserver.Registry, instance string) {
	ctx, cancel := context.WithTimeout(context.Background(), departureReadTimeout)
	defer cancel()
	startTime, found, err := d.platform.Departure(ctx, instance)
	if err != nil {
		d.Log.Warn("earlier end of an instance not looked up", "instance", instance, "error", err)
	}
	if found {
		registry.Bind(instance, startTime)
	}
}

// localServer tells the other parts of the backend server beside the daemon.
type localServer struct {
	*Daemon

	registry  *thserver.Registry
	scheduler *thadmit.Scheduler
	mutex     sync.Mutex // guards instance and serialises changes
	instance  string
}

// coldRateFraction is the part used of what a cold backend server may get above its
// stated rate. The rest is for calls that reach it bunched with later ones.
const coldRateFraction = 0.5

// update tells of a heartbeat or a new configuration.
func (b *localServer) update(e *thserver.Entry) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if e.Instance != b.instance {
		b.instance = e.Instance
		b.scheduler.Restarted()
	}
	rate := 0.0
	if s := b.replica.Current(); s != nil {
		service, _ := s.Tables.Service(e.Service)
		rate = service.Rate * (1 + coldRateFraction*(b.Settings.Server.Cold-1))
	}
	server := e.Server(b.Clock.Now())
	b.scheduler.SetServer(e.Slots, e.Leaving || e.Gone, e.ColdUntil, rate)
	if self := b.node.Self(); self.Server == nil || *self.Server != *server {
		b.node.SetServer(server)
	}
}

// noopMonitor is a backend part without work of its own.
type noopMonitor struct{}

// Start does nothing.
func (noopMonitor) Start(context.Context) error { return nil }

// Stop does nothing.
func (noopMonitor) Stop() {}

// schedulerGate lets the target use a Scheduler.
type schedulerGate struct{ *thadmit.Scheduler }

// Enter waits for a place.
func (s schedulerGate) Enter(ctx context.Context, o *thwire.Open) (thproxy.Pass, error) {
	a, err := s.Scheduler.Enter(ctx, o)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// rolloutReporter writes the end of a move to the store.
type rolloutReporter struct{ store *hosted.Store }

// Finish reports the state of a rollout.
func (r rolloutReporter) Finish(ctx context.Context, move thconfig.Move, state, _ string) error {
	rollout, ok := thconfig.RolloutOf(move, state)
	if !ok {
		return therror.New(therror.Internal, "move %q is no rollout", move.Name)
	}
	return r.store.ReportRollout(ctx, rollout)
}
