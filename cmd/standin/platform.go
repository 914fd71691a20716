package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

const (
	headerTimeout = 10 * time.Second
	stopTimeout   = 5 * time.Second
)

func init() {
	add("platform", "Serve a table service (DynamoDB JSON API) and an object store (S3 API)", &platformCommand{})
}

// platformCommand serves the stand-in of the platform until SIGTERM or SIGINT.
type platformCommand struct {
	Listen string `long:"listen" value-name:"ADDRESS" default:"127.0.0.1:0" description:"IP address and port"`
}

// Execute prints the address once the listener accepts connections, and serves. Requests
// in progress have stopTimeout to complete after the signal.
func (c *platformCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: &thstandin.Platform{}, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	fmt.Printf("listening address=%s\n", listener.Addr())
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := server.Shutdown(limit); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
