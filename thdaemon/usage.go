package thdaemon

import (
	"context"
	"time"

	rowplatform "github.com/turmerichaven/turmerichaven/platform"
	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thlease"
	"github.com/turmerichaven/turmerichaven/thmetric"
	"github.com/turmerichaven/turmerichaven/thusage"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// dutyUsage names the duty of reporting usage.
const dutyUsage = "usage"

// yieldTimeout is how long a stopping daemon waits for the release of its duty.
const yieldTimeout = time.Second

// usage counts the requests of client accounts and reports them to the platform.
type usage struct {
	*thusage.Reporter
}

// buildUsage builds the reports of usage, if the settings have an address for them.
func (d *Daemon) buildUsage() {
	s := d.Settings.Usage
	if !s.Api.IsValid() {
		return
	}
	lease := &thlease.Lease{
		Name: d.Settings.Daemon.Name, Duration: s.Lease, Store: d.platform.rows.Duty(dutyUsage),
		Rank: d.usageRank, Clock: d.Clock, Log: d.Log.Named("lease").With("duty", dutyUsage),
	}
	counter := &thusage.Counter{}
	d.usage = &usage{Reporter: &thusage.Reporter{
		Name: d.Settings.Daemon.Name, Window: s.Window, Late: s.Late, Counter: counter, Lease: lease,
		API: &rowplatform.UsageAPI{Address: s.Api}, Send: d.node.Send,
		Members: func() []thwire.Member { return d.node.View().Alive() }, Clock: d.Clock, Log: d.Log.Named("usage"),
	}}
	d.target.OnBegin = counter.Began
	d.node.Handle(thwire.TypeUsageCounts, d.usage.HandleCounts)
	d.node.Handle(thwire.TypeUsageReply, d.usage.HandleReply)
}

// usageRank returns the position of this daemon among those that may take over the duty;
// negative if it may not, as while it stops.
func (d *Daemon) usageRank() int {
	v := d.node.View()
	if v == nil || d.draining.Load() {
		return -1
	}
	return thusage.Rank(v.Alive(), d.Settings.Daemon.Name)
}

// start starts the reports, and the election of the daemon that sends them.
func (u *usage) start(ctx context.Context) error {
	if u == nil {
		return nil
	}
	if err := u.Start(ctx); err != nil {
		return err
	}
	return u.Lease.Start(ctx)
}

// yield passes the duty on before the daemon stops.
func (u *usage) yield(ctx context.Context, d time.Duration) {
	if u == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	u.Lease.Yield(ctx, d)
}

// stop sends the last counts and ends the reports.
func (u *usage) stop() {
	if u == nil {
		return
	}
	u.Stop()
	u.Lease.Stop()
}

// export copies the state of the duty to the metrics.
func (u *usage) export(m *thmetric.Metrics) {
	if u == nil {
		return
	}
	s := u.Status()
	_, holds := u.Lease.Held()
	m.SetUsage(holds, s.Token, s.Reported, s.Due, s.Late)
}

// status returns the state of the duty as this daemon knows it; nil without reports.
func (u *usage) status() *thadmin.DutyStatus {
	if u == nil {
		return nil
	}
	s := u.Status()
	return &thadmin.DutyStatus{
		Name: dutyUsage, Holder: s.Holder, Token: s.Token, Age: s.Age.Seconds(), Reported: s.Reported, Due: s.Due, Late: s.Late,
	}
}
