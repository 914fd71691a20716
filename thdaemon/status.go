package thdaemon

import (
	"context"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thaccount"
	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thmetric"
	"github.com/turmerichaven/turmerichaven/thplatform"
	"github.com/turmerichaven/turmerichaven/thsettings"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// notReadyReasons returns why the daemon accepts no calls; empty when it is ready.
func (d *Daemon) notReadyReasons() []string {
	var reasons []string
	if !d.replica.Ready() {
		reasons = append(reasons, "no current configuration yet")
	}
	if !d.hasJoinedFleet() {
		reasons = append(reasons, "no other daemon found yet")
	}
	if d.draining.Load() {
		reasons = append(reasons, "daemon is stopping")
	}
	return reasons
}

// joinTimeout is how long a daemon waits for other members before it accepts calls
// without them.
const joinTimeout = 3 * time.Second

// hasJoinedFleet reports whether the daemon has found another member with a backend
// server, or has waited for joinTimeout. Before that a starting daemon would reject
// calls to services whose backend servers it has not discovered yet.
func (d *Daemon) hasJoinedFleet() bool {
	if d.fleetJoined.Load() || d.Settings.Platform.Kind != thsettings.KindRows {
		return true
	}
	servers := 0
	if v := d.node.View(); v != nil {
		for _, m := range v.Members {
			if m.State == thwire.MemberAlive && m.Server != nil && m.Name != d.Settings.Daemon.Name {
				servers++
			}
		}
	}
	if servers == 0 && d.Clock.Since(d.started) < joinTimeout {
		return false
	}
	d.fleetJoined.Store(true)
	return true
}

// status returns the response body of /status.
func (d *Daemon) status() thadmin.Status {
	reasons := d.notReadyReasons() // read before the version, so that a ready daemon reports a version
	held := d.replica.Status()
	load := d.gate.Load("")
	s := thadmin.Status{
		Self: thadmin.SelfStatus{
			Name: d.Settings.Daemon.Name, Zone: d.Settings.Daemon.Zone, Region: d.Settings.Daemon.Region,
			Started: d.started, Ready: len(reasons) == 0, Reasons: reasons,
			Limit: load.Limit, Active: load.Active, Queued: load.Queued,
		},
		Config: thadmin.ConfigStatus{
			Version: held.Version, Digest: hex.EncodeToString(held.Digest), Known: held.Highest,
			Alarm: string(held.Alarm), Error: held.Error,
		},
		Platform: thadmin.PlatformStatus{Open: d.platform.table.Stats().Breaker == thplatform.BreakerOpen},
	}
	for _, e := range d.crashes.Quarantine() {
		s.Quarantine = append(s.Quarantine, thadmin.QuarantineEntry(e))
	}
	if u := d.usage.status(); u != nil {
		s.Duties = append(s.Duties, *u)
	}
	view := d.node.View()
	if view == nil {
		return s
	}
	ejected := d.ejected()
	for _, m := range view.Members {
		s.Members = append(s.Members, memberEntry(m, view, ejected))
	}
	if snapshot := d.replica.Current(); snapshot != nil {
		for _, z := range snapshot.Tables.Zones {
			s.Zones = append(s.Zones, thadmin.ZoneEntry{Name: z.Name, Out: z.Out, Changed: z.Changed})
		}
		s.Accounts = d.accountsStatus(snapshot.Accounts)
		s.Moves = d.moveEntries(&snapshot.Tables, view)
		s.Pools = d.poolEntries(&snapshot.Tables)
	}
	s.Summarise()
	return s
}

// maxListedAccounts is the maximum number of accounts in the response of /status.
const maxListedAccounts = 200

// accountsStatus returns the status of the accounts, nil if requests need no key.
func (d *Daemon) accountsStatus(t *thaccount.Table) *thadmin.AccountsStatus {
	if t == nil {
		return nil
	}
	s := &thadmin.AccountsStatus{Count: t.Len(), Unauthorized: d.accountStats.Unauthorized()}
	for _, e := range d.accountStats.List(t, maxListedAccounts) {
		s.Entries = append(s.Entries, thadmin.AccountEntry(e))
	}
	return s
}

func (d *Daemon) ejected() map[string]bool {
	ejected := map[string]bool{}
	for _, b := range d.balancer.Servers() {
		if b.Ejected > 0 {
			ejected[b.Name] = true
		}
	}
	return ejected
}

func memberEntry(m thwire.Member, view *thmember.View, ejected map[string]bool) thadmin.MemberEntry {
	states := map[int]string{
		thwire.MemberAlive: thadmin.StateAlive, thwire.MemberSuspect: thadmin.StateSuspect,
		thwire.MemberLeaving: thadmin.StateLeaving, thwire.MemberDead: thadmin.StateDead,
	}
	e := thadmin.MemberEntry{
		Name: m.Name, Zone: m.Zone, Region: m.Region, State: states[m.State],
		Version: view.Held[m.Name].Version, Admin: m.Admin.String(),
	}
	if m.Server != nil {
		e.Server = &thadmin.ServerEntry{
			Service: m.Server.Service, Version: m.Server.Version, Slots: m.Server.Slots,
			State: m.Server.State, Ejected: ejected[m.Name],
		}
	}
	return e
}

// moveEntries lists the moves of the configuration, sorted by name, with this
// daemon's view of the running ones.
func (d *Daemon) moveEntries(t *thconfig.Tables, view *thmember.View) []thadmin.MoveEntry {
	entries := map[string]thadmin.MoveEntry{}
	for _, m := range t.Moves {
		entries[m.Name] = thadmin.MoveEntry{
			Name: m.Name, Route: m.Route, From: m.From, To: m.To, State: m.State, Reason: m.Reason,
			Start: m.Start, Deadline: m.Deadline,
		}
	}
	for _, r := range d.mover.Statuses() {
		e := entries[r.Move.Name]
		e.Share, e.Step, e.Late = r.Share, r.Step, r.Overdue
		if r.Reason != "" {
			e.Reason = r.Reason
		}
		if r.End != "" {
			e.State = r.End
		}
		if first := thmember.Rendezvous("move/"+r.Move.Name, view.Alive(), 1); len(first) > 0 {
			e.Holder = first[0].Name
		}
		entries[r.Move.Name] = e
	}
	all := make([]thadmin.MoveEntry, 0, len(entries))
	for _, e := range entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b thadmin.MoveEntry) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (d *Daemon) poolEntries(t *thconfig.Tables) []thadmin.PoolEntry {
	counts := map[string]int{}
	for _, b := range d.balancer.Servers() {
		counts[b.Pool]++
	}
	entries := make([]thadmin.PoolEntry, 0, len(t.Pools))
	for _, p := range t.Pools {
		entries = append(entries, thadmin.PoolEntry{Name: p.Name, Servers: counts[p.Name]})
	}
	return entries
}

// countPlatformRequest records one attempt of a platform request in the metrics.
func (d *Daemon) countPlatformRequest(write bool, kind therror.Kind, elapsed time.Duration) {
	operation := thmetric.Read
	if write {
		operation = thmetric.Write
	}
	d.metrics.ObservePlatformRequest(operation, kind, elapsed)
}

// exportMetrics copies the state of the components to the metrics every
// metricsInterval, and renews the announcement when a configuration alarm is
// raised.
func (d *Daemon) exportMetrics(ctx context.Context) {
	ticker := d.Clock.NewTicker(metricsInterval)
	defer ticker.Stop()
	var bytesIn, bytesOut uint64
	var laggingSince time.Time
	var alarm therror.Kind
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		held := d.replica.Status()
		d.metrics.SetVersions(held.Version, held.Highest)
		laggingSince = d.exportLag(held.Version >= held.Highest, laggingSince)
		d.metrics.SetVersionAlarm(held.Alarm != "")
		if held.Alarm != alarm && held.Alarm != "" {
			d.announcer.renewNow()
		}
		alarm = held.Alarm
		d.metrics.SetReady(len(d.notReadyReasons()) == 0)
		d.metrics.SetBreakerOpen(d.platform.table.Stats().Breaker == thplatform.BreakerOpen)
		load := d.gate.Load("")
		d.metrics.SetAdmission(load.Limit, load.Active, load.Queued)
		i, o := d.node.Bytes()
		d.metrics.AddControlBytes(int(i-bytesIn), int(o-bytesOut))
		bytesIn, bytesOut = i, o
		d.metrics.SetCrashRequests(d.crashes.Counts())
		d.exportMembers()
		d.exportMoves()
		d.usage.export(d.metrics)
	}
}

// exportLag sets the version lag. It returns since when this daemon has been
// behind the highest known version, or zero.
func (d *Daemon) exportLag(current bool, laggingSince time.Time) time.Time {
	if current {
		d.metrics.SetVersionLag(0)
		return time.Time{}
	}
	now := d.Clock.Now()
	if laggingSince.IsZero() {
		laggingSince = now
	}
	d.metrics.SetVersionLag(now.Sub(laggingSince))
	return laggingSince
}

func (d *Daemon) exportMembers() {
	view := d.node.View()
	if view == nil {
		return
	}
	var counts [thwire.MemberDead + 1]int
	for _, m := range view.Members {
		counts[m.State]++
	}
	d.metrics.SetMembers(counts[thwire.MemberAlive], counts[thwire.MemberSuspect],
		counts[thwire.MemberLeaving], counts[thwire.MemberDead])
}

func (d *Daemon) exportMoves() {
	running, overdue := 0, 0
	for _, m := range d.mover.Statuses() {
		running++
		if m.Overdue {
			overdue++
		}
	}
	d.metrics.SetMoves(running, overdue)
}
