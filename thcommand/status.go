package thcommand

import (
	"runtime"
	"strings"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thsettings"
)

type statusCommand struct{ session *session }

// Execute shows the live state.
func (c *statusCommand) Execute([]string) error {
	s := c.session
	v, err := s.status()
	if err != nil {
		return err
	}
	if err := s.show(v, func() { s.fleet(&v) }); err != nil {
		return err
	}
	return alarm(&v)
}

func (s *session) fleet(v *thadmin.Status) {
	s.print(s.Out, "daemon    %s in zone %s, region %s, %s\n", v.Self.Name, v.Self.Zone, v.Self.Region, readiness(v))
	s.print(s.Out, "version   %d, highest known %d, digest %.16s\n", v.Config.Version, v.Config.Known, v.Config.Digest)
	if v.Config.Alarm != "" {
		s.print(s.Out, "alarm     %s\n", v.Config.Alarm)
	}
	if v.Config.Error != "" {
		s.print(s.Out, "error     %s\n", v.Config.Error)
	}
	for _, x := range v.Fleet.Versions {
		s.print(s.Out, "held      version %d by %d daemons\n", x.Version, x.Daemons)
	}
	if len(v.Fleet.Lagging) > 0 {
		s.print(s.Out, "lagging   %s\n", strings.Join(v.Fleet.Lagging, ", "))
	}
	s.print(s.Out, "platform  %s%s\n\n", word(v.Platform.Open, "unavailable", "available"), word(v.Platform.Error != "", ": "+v.Platform.Error, ""))
	rows := make([][]any, 0, len(v.Members))
	for _, m := range v.Members {
		service, version, state := "", "", ""
		if m.Server != nil {
			service, version, state = m.Server.Service, m.Server.Version, m.Server.State+word(m.Server.Ejected, " (ejected)", "")
		}
		rows = append(rows, []any{m.Name, m.Zone, m.State, m.Version, service, version, state})
	}
	s.table("DAEMON ZONE STATE HELD SERVICE VERSION SERVER", rows)
	if len(v.Zones) > 0 {
		s.print(s.Out, "\n")
		s.zones(v.Zones)
	}
	if len(v.Moves) > 0 {
		s.print(s.Out, "\n")
		s.moves(v.Moves, true)
	}
}

func readiness(v *thadmin.Status) string {
	if v.Self.Ready {
		return "ready"
	}
	return "not ready: " + strings.Join(v.Self.Reasons, "; ")
}

type recoverCommand struct {
	editor
	Above uint64 `long:"above" value-name:"VERSION" description:"Version to exceed, when no daemon can be asked"`
}

// Execute commits the present tables above the fleet's version.
func (c *recoverCommand) Execute([]string) error {
	above := c.Above
	if c.session.shared.Admin.IsValid() {
		v, err := c.session.status()
		if err != nil {
			return err
		}
		above = max(above, fleetVersion(&v))
	}
	if above == 0 {
		return therror.New(therror.Bad, "needs --admin ADDRESS of a daemon or --above VERSION")
	}
	store, err := c.session.store()
	if err != nil {
		return err
	}
	if _, _, err := store.Load(c.session.ctx); therror.Is(err, therror.Diverged) {
		c.repair = true
		c.session.print(c.session.Err, "turmerichaven: %v; the tables are committed as they are: compare them with your table file afterwards (`turmerichaven diff`)\n", err)
	}
	return c.commit(above, func(thconfig.Tables) ([]thconfig.Edit, error) { return []thconfig.Edit{}, nil })
}

type daemonCommand struct{ session *session }

// Execute runs the daemon.
func (c *daemonCommand) Execute([]string) error {
	v, err := c.session.settings(thsettings.RoleDaemon)
	if err != nil {
		return err
	}
	return RunDaemon(c.session.ctx, v, c.session.shared.Settings)
}

type settingsCheck struct {
	session  *session
	Argument struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
	Role string `long:"role" choice:"daemon" choice:"command" default:"daemon" description:"Who uses the file: a daemon needs more keys than the operator commands"`
}

// Execute checks a settings file.
func (c *settingsCheck) Execute([]string) error {
	s := c.session
	if c.Argument.File != "" {
		s.shared.Settings = c.Argument.File
	}
	if _, err := s.settings(thsettings.Role(c.Role)); err != nil {
		return err
	}
	return s.show(map[string]string{"file": s.shared.Settings, "result": "valid"}, func() {
		s.print(s.Out, "%s: valid\n", s.shared.Settings)
	})
}

type settingsSample struct{ session *session }

// Execute prints the sample.
func (c *settingsSample) Execute([]string) error {
	c.session.print(c.session.Out, "%s", thsettings.Sample)
	return nil
}

type settingsMarkdown struct{ session *session }

// Execute prints the reference.
func (c *settingsMarkdown) Execute([]string) error {
	c.session.print(c.session.Out, "%s", thsettings.Markdown)
	return nil
}

type versionCommand struct{ session *session }

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	s := c.session
	return s.show(struct {
		Version string `json:"version"`
		Go      string `json:"go"`
	}{Version, runtime.Version()}, func() {
		s.print(s.Out, "turmerichaven %s %s\n", Version, runtime.Version())
	})
}
