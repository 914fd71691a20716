package thdaemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	rowplatform "github.com/turmerichaven/turmerichaven/platform"
	"github.com/turmerichaven/turmerichaven/thadmit"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thproxy"
	"github.com/turmerichaven/turmerichaven/thserver"
	"github.com/turmerichaven/turmerichaven/thsync"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// buildRows builds the components for a platform of kind rows: operators write the
// configuration to the platform's store, and the backend server sends heartbeats.
func (d *Daemon) buildRows() {
	s := d.Settings
	follower := &thsync.Follower{
		Source: &rowplatform.OperatorSource{Store: d.platform.rows}, Peers: d.node, Clock: d.Clock, Log: d.Log.Named("sync"), Apply: s.Platform.Apply,
	}
	d.announcer.isReader = follower.IsReader
	d.dialer.Sessions = 1
	registry := &thserver.Registry{
		Service: s.Server.Service, Address: s.Server.Address, Clock: d.Clock, Log: d.Log.Named("server"),
	}
	scheduler := &thadmit.Scheduler{Clock: d.Clock}
	departures := &departureRecorder{Daemon: d, registry: registry}
	reporter := rolloutReporter{d.platform.rows, follower}
	restored := &restoredStore{
		Daemon: d, departures: departures, ends: reporter, stopped: make(chan struct{}),
	}
	// The backend server sends heartbeats by itself and needs no monitor.
	d.replica, d.gate, d.background = follower, schedulerGate{scheduler}, restored
	d.localHandler, d.readinessHandler = rowplatform.HeartbeatHandler(departures.handleHeartbeat, d.countRejectedMessage), rowplatform.ReadinessHandler(d.notReadyReasons)
	d.mover.EndCommitter, d.mover.StartCommitter, d.mover.IsReader = reporter, reporter, follower.IsReader
	d.target.Headers, d.transport.Headers = rowplatform.Headers(), rowplatform.Headers()
	d.target.Server = func() (thwire.Server, netip.AddrPort, bool) {
		e := registry.Current()
		if e == nil {
			return thwire.Server{}, netip.AddrPort{}, false
		}
		return *e.Server(d.Clock.Now()), e.Address, true
	}
	activeCalls := &thproxy.ActiveCalls{}
	d.ingress.ActiveCalls, d.target.ActiveCalls = activeCalls, activeCalls
	d.ingress.Headers, d.ingress.LocalService = rowplatform.Headers(), s.Server.Service
	d.ingress.Accounts, d.ingress.AccountStats = d.accounts, &d.accountStats
	d.metrics.ExportAccounts(&d.accountStats, d.accounts)
	d.ingress.OnLeaving = d.observeLeaving
	d.ingress.RetryBudget = &thproxy.SharedRetryBudget{
		Ratio: s.Budget.Ratio, Slack: s.Budget.Slack, Window: s.Budget.Window, Clock: d.Clock,
		Daemons: func() int { return len(d.node.View().Alive()) },
	}
	d.replica.Watch(restored.update)
	local := &localServer{Daemon: d, registry: registry, scheduler: scheduler, departures: departures}
	registry.Watch(local.update)
	d.target.OnReport = local.handleReport
	d.target.OnLoadReport = func(r thproxy.LoadReport) { scheduler.SetSlowdown(r.Slowdown) }
	d.node.Handle(thwire.TypeDeparture, departures.handleMessage)
	d.node.Handle(thwire.TypeServerLimit, local.handleNeighbourLimit)
	d.node.Greeting = d.greeting
	d.replica.Watch(func(*thsync.Snapshot) {
		if e := registry.Current(); e != nil {
			local.update(e)
		}
	})
	d.buildUsage()
}

// localServer passes changes of the local backend server to the scheduler and the
// membership.
type localServer struct {
	*Daemon

	registry       *thserver.Registry
	scheduler      *thadmit.Scheduler
	departures     *departureRecorder
	mutex          sync.Mutex // guards the fields below and serialises changes
	instance       string
	startTime      time.Time // of the instance
	limitLog       limitLog
	neighbourLimit thwire.ServerLimit // lowest limit that neighbours know of an instance
}

// coldRateFraction is the fraction of the additional rate allowed to a cold backend
// server, above its stated rate, that is admitted. The rest is headroom for calls
// that reach the server in a burst with later calls.
const coldRateFraction = 0.5

// update applies the state of the backend server after a heartbeat or a new
// configuration.
func (l *localServer) update(e *thserver.Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if e.Instance != l.instance || !e.StartTime.Equal(l.startTime) {
		l.instance, l.startTime = e.Instance, e.StartTime
		l.scheduler.ResetPacing()
		l.adoptNeighbourLimit()
	}
	rate := 0.0
	if s := l.replica.Current(); s != nil {
		service, _ := s.Tables.Service(e.Service)
		rate = service.Rate * (1 + coldRateFraction*(l.Settings.Server.Cold-1))
	}
	server := e.Server(l.Clock.Now())
	l.scheduler.SetServer(e.Slots, e.Leaving || e.Deregistered, e.ColdUntil, rate)
	if self := l.node.Self(); self.Server == nil || *self.Server != *server {
		l.node.SetServer(server)
	}
}

// schedulerGate adapts a Scheduler to the target.
type schedulerGate struct{ *thadmit.Scheduler }

// Enter waits until the call is admitted or rejected.
func (s schedulerGate) Enter(ctx context.Context, o *thwire.Open) (thproxy.Pass, error) {
	a, err := s.Scheduler.Enter(ctx, o)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// rolloutReporter writes the states of moves to the platform's store.
type rolloutReporter struct {
	store   *rowplatform.Store
	replica configReplica
}

// CommitEnd reports the final state of a rollout and returns the one that is stored. The
// error is of kind Internal for a move that does not belong to a rollout.
func (r rolloutReporter) CommitEnd(ctx context.Context, move thconfig.Move, state, _ string) (string, error) {
	rollout, err := r.rollout(move, state)
	if err != nil {
		return "", err
	}
	return r.store.ReportRollout(ctx, rollout)
}

// CommitStart reports that a rollout runs. Daemons that start after a later order then know
// that its version was not completed. The version stays in service if it was there before.
func (r rolloutReporter) CommitStart(ctx context.Context, move thconfig.Move, inService bool) error {
	rollout, err := r.rollout(move, thconfig.MoveRunning)
	if err != nil {
		return err
	}
	if inService {
		rollout.Current = rollout.Target
	}
	_, err = r.store.ReportRollout(ctx, rollout)
	return err
}

// rollout returns the rollout of a move with the versions that its service excludes here.
func (r rolloutReporter) rollout(move thconfig.Move, state string) (thconfig.Rollout, error) {
	rollout, ok := thconfig.RolloutFromMove(move, state)
	if !ok {
		return thconfig.Rollout{}, therror.New(therror.Internal, "move %q is not a rollout", move.Name)
	}
	if s := r.replica.Current(); s != nil {
		p, _ := s.Tables.Pool(rollout.Service)
		rollout.Excluded, rollout.Current = p.Except, p.Current
	}
	return rollout, nil
}
