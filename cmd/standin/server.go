package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/turmerichaven/turmerichaven/thbackend"
)

func init() {
	add("server", "Serve as a backend server", &serverCommand{})
}

// serverCommand runs the stand-in of a backend server until SIGTERM or SIGINT.
type serverCommand struct {
	Name     string        `long:"name" value-name:"NAME" description:"name in records; the address when empty"`
	Service  string        `long:"service" value-name:"NAME" default:"page" description:"service that is announced"`
	Version  string        `long:"backend-version" value-name:"NAME" default:"v1" description:"version that is announced"`
	Slots    int           `long:"slots" value-name:"N" default:"20" description:"requests at once"`
	Listen   string        `long:"listen" value-name:"ADDRESS" default:"127.0.0.1:0" description:"IP address and port"`
	Daemon   string        `long:"daemon" value-name:"ADDRESS" description:"local address of the daemon; empty announces nothing"`
	Announce string        `long:"announce" value-name:"ADDRESS" description:"address that is announced in place of the listening one"`
	Ingress  string        `long:"ingress" value-name:"ADDRESS" description:"ingress of the daemon, for chains"`
	Work     time.Duration `long:"work" value-name:"DURATION" default:"2ms" description:"time of a request"`
	Connect  time.Duration `long:"connect" value-name:"DURATION" default:"1ms" description:"cost of a new connection"`
	Probe    time.Duration `long:"probe" value-name:"DURATION" default:"5ms" description:"cost of a probe"`
	Cold     int           `long:"cold" value-name:"N" description:"requests until a cold server is warm"`
	Age      time.Duration `long:"age" value-name:"DURATION" description:"added to the age that is announced"`
	Journal  string        `long:"journal" value-name:"FILE" description:"file to which records are appended as they arise"`
}

// Execute starts the server, prints its address, and stops it on a signal. It also
// returns if the server ends by itself.
func (c *serverCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	b := &thbackend.Backend{
		Name: c.Name, Service: c.Service, Version: c.Version, Slots: c.Slots, Listen: c.Listen, Daemon: c.Daemon,
		Ingress: c.Ingress, Announce: c.Announce, ProcessingTime: c.Work, ConnectTime: c.Connect, ProbeTime: c.Probe, WarmupRequests: c.Cold, JournalPath: c.Journal, ExtraAge: c.Age,
		Log: hclog.New(&hclog.LoggerOptions{Name: "server", Output: os.Stderr}),
	}
	// The server must not stop when ctx is cancelled: Stop completes the requests in
	// progress first.
	if err := b.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	fmt.Printf("listening address=%s\n", b.Address())
	select {
	case <-ctx.Done():
	case <-b.Done():
	}
	b.Stop()
	return nil
}
