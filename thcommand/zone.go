package thcommand

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

type zoneArgument struct {
	Zone string `positional-arg-name:"ZONE" required:"yes"`
}

type zoneOut struct {
	editor
	Argument zoneArgument `positional-args:"yes"`
	Force    bool         `long:"force" description:"Take the zone out even if it is unknown or a pool would have no server left"`
}

// Execute commits that a zone is out of service. With --admin, a risk found by
// zoneRisks is an error, or a warning with --force.
func (c *zoneOut) Execute([]string) error {
	s := c.session
	var live *thadmin.Status
	if s.options.Admin.IsValid() {
		v, err := s.fetchStatus()
		switch {
		case err == nil:
			live = &v
		case !c.Force:
			return err
		}
	}
	now := s.clock.Now().UTC().Truncate(time.Millisecond)
	return c.commit(0, func(t thconfig.Tables) ([]thconfig.Edit, error) {
		if z, found := t.Zone(c.Argument.Zone); found && z.Out {
			return nil, therror.New(therror.Refused, "zone %q is already out since %s", z.Name, z.Changed.UTC().Format(time.RFC3339))
		}
		if live != nil {
			if reasons := zoneRisks(t, live, c.Argument.Zone); len(reasons) > 0 {
				if !c.Force {
					return nil, therror.New(therror.Refused, "%s; use --force to take zone %q out all the same", strings.Join(reasons, "; "), c.Argument.Zone)
				}
				s.printf(s.Err, "turmerichaven: warning: %s\n", strings.Join(reasons, "; "))
			}
		}
		return []thconfig.Edit{thconfig.SetZone{Zone: thconfig.Zone{Name: c.Argument.Zone, Out: true, Changed: now}}}, nil
	})
}

// zoneRisks returns the reasons why taking a zone out of service may be a mistake:
// no daemon runs in it, or a pool that has backend servers would have none left.
func zoneRisks(t thconfig.Tables, status *thadmin.Status, zone string) []string {
	var reasons []string
	if !slices.ContainsFunc(status.Members, func(m thadmin.MemberEntry) bool { return m.Zone == zone }) {
		reasons = append(reasons, fmt.Sprintf("no daemon runs in zone %q", zone))
	}
	for _, p := range t.Pools {
		before, after := 0, 0
		for _, m := range status.Members {
			if !servesPool(m, p) {
				continue
			}
			if z, _ := t.Zone(m.Zone); z.Out {
				continue
			}
			before++
			if m.Zone != zone {
				after++
			}
		}
		if before > 0 && after == 0 {
			reasons = append(reasons, fmt.Sprintf("pool %q would have no server left", p.Name))
		}
	}
	return reasons
}

// servesPool reports whether the daemon is alive and has a backend server of the
// pool that accepts new calls.
func servesPool(m thadmin.MemberEntry, p thconfig.Pool) bool {
	return m.State == thadmin.StateAlive && m.Server != nil && m.Server.State != thwire.ServerLeaving &&
		m.Server.Service == p.Service && m.Server.Version == p.Version
}

type zoneIn struct {
	editor
	Argument zoneArgument `positional-args:"yes"`
}

// Execute commits that a zone is back in service.
func (c *zoneIn) Execute([]string) error {
	now := c.session.clock.Now().UTC().Truncate(time.Millisecond)
	return c.commit(0, func(t thconfig.Tables) ([]thconfig.Edit, error) {
		z, found := t.Zone(c.Argument.Zone)
		if !found {
			return nil, therror.New(therror.Absent, "zone %q was never taken out", c.Argument.Zone)
		}
		if !z.Out {
			return nil, therror.New(therror.Refused, "zone %q is in service since %s", z.Name, z.Changed.UTC().Format(time.RFC3339))
		}
		return []thconfig.Edit{thconfig.SetZone{Zone: thconfig.Zone{Name: z.Name, Changed: now}}}, nil
	})
}

type zoneList struct{ session *session }

// Execute prints the zones of the tables and, with --admin, the zones of daemons.
func (c *zoneList) Execute([]string) error {
	s := c.session
	t, err := s.loadTables()
	if err != nil {
		return err
	}
	list := make([]thadmin.ZoneEntry, 0, len(t.Zones))
	for _, z := range t.Zones {
		list = append(list, thadmin.ZoneEntry(z))
	}
	if s.options.Admin.IsValid() {
		v, err := s.fetchStatus()
		if err != nil {
			return err
		}
		for _, m := range v.Members {
			if !slices.ContainsFunc(list, func(z thadmin.ZoneEntry) bool { return z.Name == m.Zone }) {
				list = append(list, thadmin.ZoneEntry{Name: m.Zone})
			}
		}
	}
	slices.SortFunc(list, func(a, b thadmin.ZoneEntry) int { return strings.Compare(a.Name, b.Name) })
	return s.printResult(listing{Version: t.Version, Zones: list}, func() { s.printZones(list) })
}

func (s *session) printZones(list []thadmin.ZoneEntry) {
	rows := make([][]any, 0, len(list))
	for _, z := range list {
		rows = append(rows, []any{z.Name, choose(z.Out, "out", "in"), z.Changed})
	}
	s.printTable("ZONE STATE CHANGED", rows)
}
