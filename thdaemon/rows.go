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
		Source: &hosted.Operator{Store: d.platform.rows}, Peers: d.node, Clock: d.Clock, Log: d.Log.Named("sync"), Apply: s.Platform.Apply,
	}
	d.announce.duty = follower.OnDuty
	d.dialer.Sessions = 1
	registry := &thserver.Registry{
		Service: s.Server.Service, Address: s.Server.Address, Clock: d.Clock, Log: d.Log.Named("server"),
	}
	scheduler := &thadmit.Scheduler{Clock: d.Clock}
	d.holder, d.gate, d.server = follower, schedule{scheduler}, idle{}
	d.local, d.readiness = hosted.Control(d.taker(registry)), hosted.Readiness(d.reasons)
	d.mover.Finisher = reporter{d.platform.rows}
	d.target.Headers, d.direct.Headers = hosted.Headers(), hosted.Headers()
	d.target.Server = func() (thwire.Server, netip.AddrPort, bool) {
		e := registry.Current()
		if e == nil {
			return thwire.Server{}, netip.AddrPort{}, false
		}
		return *e.Server(d.Clock.Now()), e.Address, true
	}
	runs := &thproxy.ActiveCalls{}
	d.ingress.ActiveCalls, d.target.ActiveCalls = runs, runs
	d.ingress.Headers, d.ingress.LocalService = hosted.Headers(), s.Server.Service
	d.ingress.RetryBudget = &thproxy.SharedRetryBudget{
		Ratio: s.Budget.Ratio, Slack: s.Budget.Slack, Window: s.Budget.Window, Clock: d.Clock,
		Daemons: func() int { return len(d.node.View().Alive()) },
	}
	b := &beside{Daemon: d, registry: registry, scheduler: scheduler}
	registry.Watch(b.changed)
	d.holder.Watch(func(*thsync.Snapshot) {
		if e := registry.Current(); e != nil {
			b.changed(e)
		}
	})
}

// Limits of the store calls that a heartbeat waits for; its sender gives up
// after a second.
const (
	leftTimeout  = 300 * time.Millisecond
	leaveTimeout = 700 * time.Millisecond
)

// taker returns the function that takes heartbeats. The end of an instance is
// recorded in the store before it is acknowledged, and looked up before the
// first heartbeat after a start is taken: one that was sent before the end may
// still arrive. Neither waits for a store that does not answer.
func (d *Daemon) taker(registry *thserver.Registry) func(thserver.Beat) error {
	var mutex sync.Mutex // guards recorded, and lets one look-up run
	recorded := ""
	return func(b thserver.Beat) error {
		mutex.Lock()
		defer mutex.Unlock()
		if registry.Current() == nil && d.Settings.Daemon.Bootstrap != "true" && !b.Gone && !b.Leaving {
			d.lookUp(registry, b.Instance)
		}
		if err := registry.Take(b); err != nil {
			return err
		}
		if e := registry.Current(); e != nil && e.Instance == b.Instance && (e.Leaving || e.Gone) && recorded != b.Instance {
			recorded = b.Instance
			ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			defer cancel()
			if err := d.platform.Leave(ctx, e.Instance, e.Born); err != nil {
				d.Log.Warn("end of an instance not recorded", "instance", e.Instance, "error", err)
			}
		}
		return nil
	}
}

func (d *Daemon) lookUp(registry *thserver.Registry, instance string) {
	ctx, cancel := context.WithTimeout(context.Background(), leftTimeout)
	defer cancel()
	born, found, err := d.platform.Left(ctx, instance)
	if err != nil {
		d.Log.Warn("earlier end of an instance not looked up", "instance", instance, "error", err)
	}
	if found {
		registry.Bind(instance, born)
	}
}

// beside tells the other parts of the backend server beside the daemon.
type beside struct {
	*Daemon

	registry  *thserver.Registry
	scheduler *thadmit.Scheduler
	mutex     sync.Mutex // guards instance and serialises changes
	instance  string
}

// coldShare is the part used of what a cold backend server may get above its
// stated rate. The rest is for calls that reach it bunched with later ones.
const coldShare = 0.5

// changed tells of a heartbeat or a new configuration.
func (b *beside) changed(e *thserver.Entry) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if e.Instance != b.instance {
		b.instance = e.Instance
		b.scheduler.Restarted()
	}
	rate := 0.0
	if s := b.holder.Current(); s != nil {
		service, _ := s.Tables.Service(e.Service)
		rate = service.Rate * (1 + coldShare*(b.Settings.Server.Cold-1))
	}
	server := e.Server(b.Clock.Now())
	b.scheduler.SetServer(e.Slots, e.Leaving || e.Gone, e.ColdUntil, rate)
	if self := b.node.Self(); self.Server == nil || *self.Server != *server {
		b.node.SetServer(server)
	}
}

// idle is a backend part without work of its own.
type idle struct{}

// Start does nothing.
func (idle) Start(context.Context) error { return nil }

// Stop does nothing.
func (idle) Stop() {}

// schedule lets the target use a Scheduler.
type schedule struct{ *thadmit.Scheduler }

// Enter waits for a place.
func (s schedule) Enter(ctx context.Context, o *thwire.Open) (thproxy.Pass, error) {
	a, err := s.Scheduler.Enter(ctx, o)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// reporter writes the end of a move to the store.
type reporter struct{ store *hosted.Store }

// Finish reports the state of a rollout.
func (r reporter) Finish(ctx context.Context, move thconfig.Move, state, _ string) error {
	rollout, ok := thconfig.RolloutFromMove(move, state)
	if !ok {
		return therror.New(therror.Internal, "move %q is no rollout", move.Name)
	}
	return r.store.Report(ctx, rollout)
}
