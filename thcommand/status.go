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
	v, err := s.fetchStatus()
	if err != nil {
		return err
	}
	if err := s.printResult(v, func() { s.printStatus(&v) }); err != nil {
		return err
	}
	return alarmError(&v)
}

func (s *session) printStatus(v *thadmin.Status) {
	s.printf(s.Out, "daemon    %s in zone %s, region %s, %s\n", v.Self.Name, v.Self.Zone, v.Self.Region, readiness(v))
	s.printf(s.Out, "version   %d, highest known %d, digest %.16s\n", v.Config.Version, v.Config.Known, v.Config.Digest)
	if v.Config.Alarm != "" {
		s.printf(s.Out, "alarm     %s\n", v.Config.Alarm)
	}
	if v.Config.Error != "" {
		s.printf(s.Out, "error     %s\n", v.Config.Error)
	}
	for _, x := range v.Fleet.Versions {
		s.printf(s.Out, "held      version %d by %d daemons\n", x.Version, x.Daemons)
	}
	if len(v.Fleet.Lagging) > 0 {
		s.printf(s.Out, "lagging   %s\n", strings.Join(v.Fleet.Lagging, ", "))
	}
	s.printf(s.Out, "platform  %s%s\n\n", choose(v.Platform.Open, "unavailable", "available"), choose(v.Platform.Error != "", ": "+v.Platform.Error, ""))
	rows := make([][]any, 0, len(v.Members))
	for _, m := range v.Members {
		service, version, state := "", "", ""
		if m.Server != nil {
			service, version, state = m.Server.Service, m.Server.Version, m.Server.State+choose(m.Server.Ejected, " (ejected)", "")
		}
		rows = append(rows, []any{m.Name, m.Zone, m.State, m.Version, service, version, state})
	}
	s.printTable("DAEMON ZONE STATE HELD SERVICE VERSION SERVER", rows)
	if len(v.Zones) > 0 {
		s.printf(s.Out, "\n")
		s.printZones(v.Zones)
	}
	if len(v.Moves) > 0 {
		s.printf(s.Out, "\n")
		s.printMoves(v.Moves, true)
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
	if c.session.options.Admin.IsValid() {
		v, err := c.session.fetchStatus()
		if err != nil {
			return err
		}
		above = max(above, highestVersion(&v))
	}
	if above == 0 {
		return therror.New(therror.Bad, "needs --admin ADDRESS of a daemon or --above VERSION")
	}
	store, err := c.session.openStore()
	if err != nil {
		return err
	}
	if _, _, err := store.Load(c.session.ctx); therror.Is(err, therror.Diverged) {
		c.repair = true
		c.session.printf(c.session.Err, "turmerichaven: %v; the tables are committed as they are: compare them with your table file afterwards (`turmerichaven diff`)\n", err)
	}
	return c.commit(above, func(thconfig.Tables) ([]thconfig.Edit, error) { return []thconfig.Edit{}, nil })
}

type daemonCommand struct{ session *session }

// Execute runs the daemon.
func (c *daemonCommand) Execute([]string) error {
	v, err := c.session.loadSettings(thsettings.RoleDaemon)
	if err != nil {
		return err
	}
	return RunDaemon(c.session.ctx, v, c.session.options.Settings)
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
		s.options.Settings = c.Argument.File
	}
	if _, err := s.loadSettings(thsettings.Role(c.Role)); err != nil {
		return err
	}
	return s.printResult(map[string]string{"file": s.options.Settings, "result": "valid"}, func() {
		s.printf(s.Out, "%s: valid\n", s.options.Settings)
	})
}

type settingsSample struct{ session *session }

// Execute prints the sample.
func (c *settingsSample) Execute([]string) error {
	c.session.printf(c.session.Out, "%s", thsettings.Sample)
	return nil
}

type settingsMarkdown struct{ session *session }

// Execute prints the reference.
func (c *settingsMarkdown) Execute([]string) error {
	c.session.printf(c.session.Out, "%s", thsettings.Markdown)
	return nil
}

type versionCommand struct{ session *session }

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	s := c.session
	return s.printResult(struct {
		Version string `json:"version"`
		Go      string `json:"go"`
	}{Version, runtime.Version()}, func() {
		s.printf(s.Out, "turmerichaven %s %s\n", Version, runtime.Version())
	})
}
