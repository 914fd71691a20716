package thcommand

import (
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thsettings"
)

type statusCommand struct{ session *session }

// Execute prints the status of the fleet as seen by the daemon at --admin. A version
// alarm is an error.
func (c *statusCommand) Execute([]string) error {
	s := c.session
	status, err := s.fetchStatus()
	if err != nil {
		return err
	}
	if err := s.printResult(status, func() { s.printStatus(&status) }); err != nil {
		return err
	}
	return alarmError(&status)
}

func (s *session) printStatus(status *thadmin.Status) {
	s.printf(s.Out, "daemon    %s in zone %s, region %s, %s\n", status.Self.Name, status.Self.Zone, status.Self.Region, readinessText(status))
	s.printf(s.Out, "version   %d, highest known %d, digest %.16s\n", status.Config.Version, status.Config.Known, status.Config.Digest)
	if status.Config.Alarm != "" {
		s.printf(s.Out, "alarm     %s\n", status.Config.Alarm)
	}
	if status.Config.Error != "" {
		s.printf(s.Out, "error     %s\n", status.Config.Error)
	}
	for _, held := range status.Fleet.Versions {
		s.printf(s.Out, "held      version %d by %d daemons\n", held.Version, held.Daemons)
	}
	if len(status.Fleet.Lagging) > 0 {
		s.printf(s.Out, "lagging   %s\n", strings.Join(status.Fleet.Lagging, ", "))
	}
	s.printf(s.Out, "platform  %s%s\n\n", choose(status.Platform.Open, "unavailable", "available"), choose(status.Platform.Error != "", ": "+status.Platform.Error, ""))
	rows := make([][]any, 0, len(status.Members))
	for _, m := range status.Members {
		service, version, state := "", "", ""
		if m.Server != nil {
			service, version, state = m.Server.Service, m.Server.Version, m.Server.State+choose(m.Server.Ejected, " (ejected)", "")
		}
		rows = append(rows, []any{m.Name, m.Zone, m.State, m.Version, service, version, state})
	}
	s.printTable("DAEMON ZONE STATE HELD SERVICE VERSION SERVER", rows)
	if len(status.Zones) > 0 {
		s.printf(s.Out, "\n")
		s.printZones(status.Zones)
	}
	if len(status.Moves) > 0 {
		s.printf(s.Out, "\n")
		s.printMoves(status.Moves, true)
	}
	for _, duty := range status.Duties {
		s.printf(s.Out, "\nduty      %s: holder %s, token %d, heard of %.1f s ago; here %d windows reported, %d due, %d late\n",
			duty.Name, choose(duty.Holder != "", duty.Holder, "unknown"), duty.Token, duty.Age, duty.Reported, duty.Due, duty.Late)
	}
	if status.Accounts != nil {
		s.printf(s.Out, "\n")
		s.printAccounts(status.Accounts)
	}
}

// printAccounts prints the accounts that have made calls at the daemon.
func (s *session) printAccounts(a *thadmin.AccountsStatus) {
	s.printf(s.Out, "accounts  %d, %d calls without the key of one\n", a.Count, a.Unauthorized)
	var rows [][]any
	for _, e := range a.Entries {
		if e.Served+e.Rejected+e.Failed > 0 {
			rows = append(rows, []any{e.Name, e.Served, e.Rejected, e.Failed})
		}
	}
	s.printTable("ACCOUNT SERVED REJECTED FAILED", rows)
}

func readinessText(status *thadmin.Status) string {
	if status.Self.Ready {
		return "ready"
	}
	return "not ready: " + strings.Join(status.Self.Reasons, "; ")
}

type recoverCommand struct {
	editor
	Above uint64 `long:"above" value-name:"VERSION" description:"Version to exceed, when no daemon can be asked"`
}

// Execute commits the store's current tables unchanged, at a version above the
// fleet's. If the tables contradict their digest, it prints a warning and commits
// them with a correct digest.
func (c *recoverCommand) Execute([]string) error {
	above := c.Above
	if c.session.options.Admin.IsValid() {
		status, err := c.session.fetchStatus()
		if err != nil {
			return err
		}
		above = max(above, highestVersion(&status))
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

// Execute loads the settings and runs the daemon until the context ends. SIGHUP is caught
// before, since its default action would end the process.
func (c *daemonCommand) Execute([]string) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	v, err := c.session.loadSettings(thsettings.RoleDaemon)
	if err != nil {
		return err
	}
	return RunDaemon(c.session.ctx, v, c.session.options.Settings, reloads)
}

type settingsCheck struct {
	session  *session
	Argument struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
	Role string `long:"role" choice:"daemon" choice:"command" default:"daemon" description:"Who uses the file: a daemon needs more keys than the operator commands"`
}

// Execute validates a settings file, by default that of --settings.
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

// Execute prints the sample settings file.
func (c *settingsSample) Execute([]string) error {
	c.session.printf(c.session.Out, "%s", thsettings.Sample)
	return nil
}

type settingsMarkdown struct{ session *session }

// Execute prints the reference of all settings in Markdown.
func (c *settingsMarkdown) Execute([]string) error {
	c.session.printf(c.session.Out, "%s", thsettings.Markdown)
	return nil
}

type versionCommand struct{ session *session }

// Execute prints the versions of the program and of Go.
func (c *versionCommand) Execute([]string) error {
	s := c.session
	return s.printResult(struct {
		Version string `json:"version"`
		Go      string `json:"go"`
	}{Version, runtime.Version()}, func() {
		s.printf(s.Out, "turmerichaven %s %s\n", Version, runtime.Version())
	})
}
