// Package thcommand implements the command line of the program: the daemon and the
// operator commands.
package thcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"golang.org/x/term"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thsettings"
)

// Version is the version of the program. It may be set at link time.
var Version = "development"

// Program runs one command line. Out and Err must be set.
type Program struct {
	Out, Err io.Writer
	Clock    clockwork.Clock // nil means the system clock
	Settings string          // default of --settings
	Author   string          // default of --author
}

// Main runs a command line with the process's output and environment and returns
// the exit code. args doesn't include the program name.
func Main(ctx context.Context, args []string) int {
	p := &Program{
		Out: os.Stdout, Err: os.Stderr,
		Settings: os.Getenv("TURMERICHAVEN_SETTINGS"), Author: os.Getenv("USER"),
	}
	return p.Run(ctx, args)
}

// LaggingError reports a committed version that is not in effect on all live
// daemons when --wait expires.
type LaggingError struct {
	Version uint64
	Daemons []string
}

// Error returns a message with the version and the lagging daemons.
func (e *LaggingError) Error() string {
	return fmt.Sprintf("version %d is committed but not in effect on %d daemons: %s",
		e.Version, len(e.Daemons), strings.Join(e.Daemons, ", "))
}

// Run runs a command and returns its exit code. The help text of the program and
// section 11 of the design list the exit codes.
func (p *Program) Run(ctx context.Context, args []string) int {
	err := p.run(ctx, args)
	var usageErr *flags.Error
	var lagging *LaggingError
	switch {
	case err == nil:
		return therror.ExitSuccess
	case errors.As(err, &usageErr) && usageErr.Type == flags.ErrHelp:
		p.printf(p.Out, "%s\n", usageErr.Message)
		return therror.ExitSuccess
	case errors.As(err, &usageErr):
		p.printf(p.Err, "turmerichaven: %s\n", usageErr.Message)
		return therror.ResponseTo(therror.Bad).ExitCode
	case errors.As(err, &lagging):
		p.printf(p.Err, "turmerichaven: %v\n", err)
		return therror.ExitLagging
	}
	p.printf(p.Err, "turmerichaven: %v\n", err)
	return therror.ResponseTo(therror.KindOf(err)).ExitCode
}

// printf ignores write errors, because there is no other place to report them.
func (p *Program) printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

func (p *Program) run(ctx context.Context, args []string) error {
	s := &session{Program: p, clock: thclock.OrSystem(p.Clock), ctx: ctx}
	s.options.Settings, s.options.Output = p.Settings, outputText
	parser := flags.NewNamedParser("turmerichaven", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Distributes service mesh configuration and proxies the mesh's calls"
	parser.LongDescription = "Operator commands read the platform section of a settings file (--settings). " +
		"Live state comes from the admin address of any daemon (--admin).\n\n" +
		"Exit codes: 0 done, 1 internal error, 2 usage or bad input, 3 refused, 4 conflict, 5 outcome unknown, " +
		"6 try later, 7 call failed, 8 version alarm, 9 committed but not in effect everywhere before --wait expired."
	if _, err := parser.AddGroup("Common options", "", &s.options); err != nil {
		return err
	}
	if err := addCommands(parser, s); err != nil {
		return err
	}
	parser.CommandHandler = func(c flags.Commander, extra []string) error {
		if c == nil {
			return nil
		}
		if len(extra) > 0 {
			return therror.New(therror.Bad, "unexpected argument %q", extra[0])
		}
		return c.Execute(nil)
	}
	_, err := parser.ParseArgs(args)
	return err
}

const (
	outputText = "text"
	outputJSON = "json"
)

// commonOptions are the options of all commands.
type commonOptions struct {
	Settings string  `long:"settings" short:"s" value-name:"FILE" description:"Settings file; TURMERICHAVEN_SETTINGS in the environment sets the default"`
	Admin    address `long:"admin" short:"a" value-name:"ADDRESS" description:"Admin address of any daemon, IP number and port"`
	Output   string  `long:"output" short:"o" choice:"text" choice:"json" description:"Output format"`
}

// address is an option value with an IP address and a port.
type address struct{ netip.AddrPort }

// UnmarshalFlag parses the value of an option; port 0 is an error.
func (a *address) UnmarshalFlag(v string) (err error) {
	if a.AddrPort, err = netip.ParseAddrPort(v); err != nil || a.Port() == 0 {
		return fmt.Errorf("%q is not an IP number and a port", v)
	}
	return nil
}

// session is the state that the commands of a run share.
type session struct {
	*Program
	options commonOptions
	clock   clockwork.Clock
	ctx     context.Context //nolint:containedctx // go-flags passes no context to commands
}

// isTerminal reports whether w is a terminal. Progress is only printed to terminals.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// loadSettings reads the settings file of --settings.
func (s *session) loadSettings(role thsettings.Role) (thsettings.Settings, error) {
	if s.options.Settings == "" {
		return thsettings.Settings{}, therror.New(therror.Bad, "no settings file: use --settings FILE or TURMERICHAVEN_SETTINGS")
	}
	return thsettings.Load(s.options.Settings, role)
}

// openStore opens the store of the platform in the settings.
func (s *session) openStore() (Store, error) {
	v, err := s.loadSettings(thsettings.RoleCommand)
	if err != nil {
		return nil, err
	}
	return OpenStore(v)
}

// command describes a command of the parser. options has its options and, unless it
// only has subcommands, implements flags.Commander.
type command struct {
	name, short, long string
	options           any
	subcommands       []command
}

func addCommands(p *flags.Parser, s *session) error {
	for _, c := range commands(s) {
		if err := addCommand(p.Command, c); err != nil {
			return err
		}
	}
	return nil
}

// addCommand adds a command and its subcommands to parent.
func addCommand(parent *flags.Command, c command) error {
	if c.options == nil {
		c.options = &struct{}{}
	}
	added, err := parent.AddCommand(c.name, c.short, c.long, c.options)
	if err != nil {
		return err
	}
	for _, sub := range c.subcommands {
		if err := addCommand(added, sub); err != nil {
			return err
		}
	}
	return nil
}
