package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/turmerichaven/turmerichaven/thbench"
)

func init() {
	add("demo", "Show both deployments: a change, a move and a zone", &demo{})
	add("capacity", "Print the slopes that docs/CAPACITY.md is worked out from", &capacity{})
	add("latency", "Print what the mesh adds to a single call", &latency{})
	add("measure", "Print the report of docs/MEASUREMENTS.md", &measure{})
}

// programs holds the options that all subcommands share.
type programs struct {
	Bin  string `long:"bin" value-name:"DIRECTORY" default:"bin" description:"directory with turmerichaven and turmerichaven-standin"`
	Keep bool   `long:"keep" description:"keep settings and logs of the processes"`
}

// bench returns a Bench with the programs in the --bin directory.
func (p *programs) bench() *thbench.Bench {
	return &thbench.Bench{
		Binary: filepath.Join(p.Bin, "turmerichaven"), Standin: filepath.Join(p.Bin, "turmerichaven-standin"),
		Out: os.Stdout, Notes: os.Stderr, Keep: p.Keep,
	}
}

// signalContext returns a context that is cancelled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

type demo struct{ programs }

// Execute runs the demo and prints its progress to standard output.
func (d *demo) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	b := d.bench()
	b.Notes = os.Stdout
	return b.Demo(ctx)
}

type measure struct{ programs }

// Execute prints the report; progress goes to standard error.
func (m *measure) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	return m.bench().Measure(ctx)
}

type capacity struct {
	programs
	Daemons []int `long:"daemons" value-name:"NUMBER" description:"measure only fleets of this size, without the latency (50, 100 or 200; may be repeated)"`
}

// Execute prints the tables; progress goes to standard error.
func (c *capacity) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	return c.bench().Capacity(ctx, c.Daemons...)
}

type latency struct {
	programs
	Rounds int      `long:"rounds" default:"8" description:"rounds, each with 2.5 s for every way of a call"`
	Other  []string `long:"other" value-name:"FILE" description:"another turmerichaven, measured in turn in the same rounds; may be given more than once"`
}

// Execute prints the tables; progress goes to standard error.
func (l *latency) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	return l.bench().Latency(ctx, l.Rounds, l.Other...)
}
