// Command standin runs stand-ins for the systems around the mesh: the platform, backend
// servers, and callers that generate load.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// parser collects the subcommands; each registers itself in its own file.
var parser = flags.NewNamedParser("turmerichaven-standin", flags.Default)

// add registers a subcommand with its short help text. It panics on a duplicate name.
func add(name, short string, command flags.Commander) {
	if _, err := parser.AddCommand(name, short, "", command); err != nil {
		panic(err)
	}
}

func main() {
	_, err := parser.Parse()
	var f *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
	case errors.As(err, &f):
		os.Exit(2)
	default:
		os.Exit(1)
	}
}
