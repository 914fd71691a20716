// Package thcommand holds the subcommands of the program.
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

// Version is the version of the program, set at link time.
var Version = "development"

// Program is one run of the program. Out and Err must be set.
type Program struct {
	Out, Err io.Writer
	Clock    clockwork.Clock // nil means the real clock
	Settings string          // default of --settings
	Author   string          // default of --author
}

// Main runs the program with the process's arguments and returns its exit code.
func Main(ctx context.Context, args []string) int {
	p := &Program{
		Out: os.Stdout, Err: os.Stderr,
		Settings: os.Getenv("TURMERICHAVEN_SETTINGS"), Author: os.Getenv("USER"),
	}
	return p.Run(ctx, args)
}

// LaggingError reports a commit that is not yet in effect everywhere.
type LaggingError struct {
	Version uint64
	Daemons []string
}

// Error names the version and the daemons.
func (e *LaggingError) Error() string {
	return fmt.Sprintf("version %d is committed but not in effect on %d daemons: %s",
		e.Version, len(e.Daemons), strings.Join(e.Daemons, ", "))
}

// Run runs one subcommand and returns the exit code of section 11 of the design.
func (p *Program) Run(ctx context.Context, args []string) int {
	err := p.run(ctx, args)
	var help *flags.Error
	var lagging *LaggingError
	switch {
	case err == nil:
		return therror.ExitDone
	case errors.As(err, &help) && help.Type == flags.ErrHelp:
		p.printf(p.Out, "%s\n", help.Message)
		return therror.ExitDone
	case errors.As(err, &help):
		p.printf(p.Err, "turmerichaven: %s\n", help.Message)
		return therror.AnswerTo(therror.Bad).Exit
	case errors.As(err, &lagging):
		p.printf(p.Err, "turmerichaven: %v\n", err)
		return therror.ExitLagging
	}
	p.printf(p.Err, "turmerichaven: %v\n", err)
	return therror.AnswerTo(therror.KindOf(err)).Exit
}

// printf ignores write errors: there is no other place to report them.
func (p *Program) printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

func (p *Program) run(ctx context.Context, args []string) error {
	s := &session{Program: p, clock: thclock.Or(p.Clock), ctx: ctx}
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
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if c == nil {
			return nil
		}
		if len(rest) > 0 {
			return therror.New(therror.Bad, "unexpected argument %q", rest[0])
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

type commonOptions struct {
	Settings string  `long:"settings" short:"s" value-name:"FILE" description:"Settings file; TURMERICHAVEN_SETTINGS in the environment sets the default"`
	Admin    address `long:"admin" short:"a" value-name:"ADDRESS" description:"Admin address of any daemon, IP number and port"`
	Output   string  `long:"output" short:"o" choice:"text" choice:"json" description:"Output format"`
}

// address is an option that takes an IP number and a port.
type address struct{ netip.AddrPort }

// UnmarshalFlag parses the option's value.
func (a *address) UnmarshalFlag(v string) (err error) {
	if a.AddrPort, err = netip.ParseAddrPort(v); err != nil || a.Port() == 0 {
		return fmt.Errorf("%q is not an IP number and a port", v)
	}
	return nil
}

// session is what the subcommands of one run share.
type session struct {
	*Program
	options commonOptions
	clock   clockwork.Clock
	ctx     context.Context //nolint:containedctx // go-flags passes no context to commands
}

// isTerminal reports whether w is a terminal, where progress is shown.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

func (s *session) loadSettings(role thsettings.Role) (thsettings.Settings, error) {
	if s.options.Settings == "" {
		return thsettings.Settings{}, therror.New(therror.Bad, "no settings file: use --settings FILE or TURMERICHAVEN_SETTINGS")
	}
	return thsettings.Load(s.options.Settings, role)
}

func (s *session) openStore() (Store, error) {
	v, err := s.loadSettings(thsettings.RoleCommand)
	if err != nil {
		return nil, err
	}
	return OpenStore(v)
}

type command struct {
	name, short, long string
	data              any
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

func addCommand(parent *flags.Command, c command) error {
	if c.data == nil {
		c.data = &struct{}{}
	}
	n, err := parent.AddCommand(c.name, c.short, c.long, c.data)
	if err != nil {
		return err
	}
	for _, x := range c.subcommands {
		if err := addCommand(n, x); err != nil {
			return err
		}
	}
	return nil
}
