package thcommand

import (
	"context"
	"time"

	"github.com/turmerichaven/turmerichaven/platform"
	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thini"
	"github.com/turmerichaven/turmerichaven/thsettings"
)

// readTimeout limits the read of the configuration in force.
const readTimeout = 5 * time.Second

// checkCommand checks a configuration of a platform of kind rows before it is sent.
type checkCommand struct {
	session  *session
	Argument fileArgument `positional-args:"yes"`
	Against  string       `long:"against" value-name:"FILE" description:"Configuration to compare with, in place of the one in the store"`
	Alone    bool         `long:"alone" description:"Compare with nothing, and read no store"`
}

// checkView is the result of a check.
type checkView struct {
	Version  uint64   `json:"version"`
	Warnings []string `json:"warnings"`
	Against  uint64   `json:"against,omitempty"` // version of the configuration that it was compared with
	Changes  []string `json:"changes,omitempty"`
}

// Execute reports the errors of the configuration as an error, and prints the warnings and the
// differences.
func (c *checkCommand) Execute([]string) error {
	s := c.session
	next, err := loadConfig(c.Argument.File)
	if err != nil {
		return err
	}
	if err := next.Validate(); err != nil {
		return err
	}
	view := checkView{Version: next.Revision, Warnings: next.Lint()}
	if !c.Alone {
		old, err := c.inForce()
		if err != nil {
			return err
		}
		view.Against, view.Changes = old.Revision, thconfig.CompareConfigs(&old, &next)
		if next.Revision <= old.Revision {
			view.Warnings = append(view.Warnings, "the version is not above the one in force, so daemons ignore the configuration")
		}
	}
	return s.printResult(view, func() { s.printCheck(&view) })
}

// inForce returns the configuration to compare with.
func (c *checkCommand) inForce() (thconfig.Config, error) {
	if c.Against != "" {
		return loadConfig(c.Against)
	}
	v, err := c.session.loadSettings(thsettings.RoleCommand)
	if err != nil {
		return thconfig.Config{}, err
	}
	if v.Platform.Kind != thsettings.KindRows {
		return thconfig.Config{}, therror.New(therror.Bad, "the settings are not of a platform of kind %s; use diff", thsettings.KindRows)
	}
	ctx, cancel := context.WithTimeout(c.session.ctx, readTimeout)
	defer cancel()
	return platform.Open(v.Platform.Store, thclock.OrSystem(c.session.clock).Now).ReadConfig(ctx)
}

func (s *session) printCheck(v *checkView) {
	s.printf(s.Out, "version %d: no errors, %d warnings\n", v.Version, len(v.Warnings))
	for _, w := range v.Warnings {
		s.printf(s.Out, "warning: %s\n", w)
	}
	if v.Against == 0 {
		return
	}
	s.printf(s.Out, "# against version %d: %d changes\n", v.Against, len(v.Changes))
	for _, c := range v.Changes {
		s.printf(s.Out, "%s\n", c)
	}
}

// loadConfig reads and decodes a configuration file.
func loadConfig(file string) (thconfig.Config, error) {
	body, err := thini.ReadFile(file)
	if err != nil {
		return thconfig.Config{}, err
	}
	return platform.DecodeConfig(body)
}
