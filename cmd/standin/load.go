package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/turmerichaven/turmerichaven/thload"
)

func init() {
	add("load", "Send calls at a fixed rate and record each", &loadCommand{})
}

// loadCommand sends calls until its time is over or it receives SIGTERM or SIGINT.
// Meanwhile it serves the results per second at /seconds.
type loadCommand struct {
	Listen  string        `long:"listen" value-name:"ADDRESS" default:"127.0.0.1:0" description:"IP address and port of /seconds"`
	Name    string        `long:"name" value-name:"NAME" description:"prefix of request ids; random when empty"`
	Target  []string      `long:"target" value-name:"ADDRESS" required:"true" description:"ingress; may be repeated"`
	Host    string        `long:"host" value-name:"NAME" description:"Host header"`
	Method  string        `long:"method" value-name:"METHOD" default:"GET" description:"HTTP method"`
	Path    string        `long:"path" value-name:"PATH" default:"/" description:"path with query"`
	Rate    float64       `long:"rate" value-name:"N" default:"100" description:"calls per second"`
	Time    time.Duration `long:"time" value-name:"DURATION" description:"how long to send; zero is until stopped"`
	Callers int           `long:"callers" value-name:"N" default:"64" description:"calls at once"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"10s" description:"deadline of a try"`
	Once    bool          `long:"once" description:"the route's calls may run at most once"`
	Keyed   bool          `long:"keyed" description:"send an Idempotency-Key"`
	Repeats int           `long:"repeats" value-name:"N" description:"further tries after the outcome unknown; needs --keyed"`
	HTTP2   bool          `long:"http2" description:"HTTP/2 without TLS"`
	Parts   int           `long:"parts" value-name:"N" default:"1" description:"parts that an answer has"`
	Output  string        `long:"output" value-name:"FILE" description:"records as JSON lines; none when empty"`
}

// Execute sends the calls. It prints the address of /seconds first and a summary line at
// the end.
func (c *loadCommand) Execute([]string) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	g := &thload.Generator{
		Name: c.Name, Targets: c.Target, Host: c.Host, Method: c.Method, Path: c.Path, Rate: c.Rate, Duration: c.Time,
		Concurrency: c.Callers, Timeout: c.Timeout, NonIdempotent: c.Once, IdempotencyKeys: c.Keyed, MaxRetries: c.Repeats, Parts: c.Parts, HTTP2: c.HTTP2,
	}
	if c.Output != "" {
		done, opened := record(g, c.Output)
		if opened != nil {
			return opened
		}
		defer func() { err = errors.Join(err, done()) }()
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: results(g), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	defer func() { err = errors.Join(err, server.Close()) }()
	fmt.Printf("listening address=%s\n", listener.Addr())
	if err := g.Run(ctx); err != nil {
		return err
	}
	summarize(g)
	return nil
}

// record writes each call to a file as a JSON line. The returned function flushes and
// closes the file, and returns all errors of the writes.
func record(g *thload.Generator, name string) (func() error, error) {
	file, err := os.Create(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	out := bufio.NewWriter(file)
	encoder := json.NewEncoder(out)
	var errs error
	g.Record = func(c thload.Call) {
		mutex.Lock()
		defer mutex.Unlock()
		errs = errors.Join(errs, encoder.Encode(c))
	}
	return func() error {
		mutex.Lock()
		defer mutex.Unlock()
		return errors.Join(errs, out.Flush(), file.Close())
	}, nil
}

// results returns the handler of /seconds.
func results(g *thload.Generator) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /seconds", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.StatsBySecond())
	})
	return mux
}

// summarize prints the counts and latencies of all calls on one line.
func summarize(g *thload.Generator) {
	calls, good, refused := 0, 0, 0
	for _, s := range g.StatsBySecond() {
		calls, good, refused = calls+s.Calls, good+s.Good, refused+s.Refused
	}
	h := g.Histogram(time.Time{}, time.Time{})
	micros := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	fmt.Printf("done calls=%d good=%d refused=%d p50=%s p99=%s max=%s\n", calls, good, refused, micros(50), micros(99), micros(100))
}
