// Command bench runs the demo and the benchmarks of package thbench.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// parser collects the subcommands; each registers itself in its own file.
var parser = flags.NewNamedParser("turmerichaven-bench", flags.HelpFlag|flags.PassDoubleDash)

// add registers a subcommand with its short help text. It panics on a duplicate name.
func add(name, short string, command flags.Commander) {
	if _, err := parser.AddCommand(name, short, "", command); err != nil {
		panic(err)
	}
}

func main() {
	_, err := parser.Parse()
	if err == nil {
		return
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Println(err)
		return
	}
	fmt.Fprintln(os.Stderr, "turmerichaven-bench:", err)
	if f != nil {
		os.Exit(2)
	}
	os.Exit(1)
}
