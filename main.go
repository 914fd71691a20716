// Command turmerichaven distributes the configuration of a service mesh and proxies its calls.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/turmerichaven/turmerichaven/thcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := thcommand.Main(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
