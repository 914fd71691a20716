package thproof

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

var (
	seed        = flag.Uint64("seed", 1, "seed of the faults")
	raced       = flag.Bool("raced", false, "builds the programs with the race detector")
	programPath string
	standinPath string
)

// moduleRoot is the module's root directory, which table paths are relative to.
const moduleRoot = ".."

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "thproof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if programPath, standinPath, err = thfleet.Build(context.Background(), dir, *raced); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// newFleet starts a platform without upstreams. All processes are killed when the test
// ends, and their logs are kept if it failed.
func newFleet(t *testing.T) *thfleet.Fleet {
	t.Helper()
	t.Logf("seed %d", *seed)
	dir, err := os.MkdirTemp("", "thproof-fleet")
	assert.NilError(t, err)
	f := &thfleet.Fleet{Dir: dir, Binary: programPath, Standin: standinPath, LogLevel: os.Getenv("TH_LEVEL")}
	t.Cleanup(func() {
		f.Kill()
		requireNoPanicOrRace(t, dir)
		if t.Failed() {
			t.Logf("logs are in %s", dir)
			return
		}
		os.RemoveAll(dir)
	})
	assert.NilError(t, f.Start())
	return f
}

// requireNoPanicOrRace fails the test when a process log reports a panic, a fatal error
// or a data race.
func requireNoPanicOrRace(t *testing.T, dir string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	assert.Check(t, err)
	for _, name := range logs {
		text, err := os.ReadFile(name)
		assert.Check(t, err)
		for _, marker := range []string{"DATA RACE", "panic: ", "fatal error: "} {
			assert.Check(t, !strings.Contains(string(text), marker), "%s contains %q", name, marker)
		}
	}
}

// deploy commits the tables of a deployment, starts its upstreams and waits until they
// are ready. Each call takes the backend servers the time in work.
func deploy(t *testing.T, d *thfleet.Deployment, work time.Duration) *thfleet.Fleet {
	t.Helper()
	f := newFleet(t)
	ctx := t.Context()
	_, err := f.Command(ctx, "apply", tablesFile(d))
	assert.NilError(t, err)
	assert.NilError(t, f.AddAll(d, work))
	assert.NilError(t, f.WaitReady(ctx))
	return f
}

func fleetIngresses(f *thfleet.Fleet) []string {
	var addresses []string
	for _, u := range f.Upstreams {
		addresses = append(addresses, u.Ingress())
	}
	return addresses
}

// callRecorder records calls; several generators may use it concurrently.
type callRecorder struct {
	mu  sync.Mutex
	all []thload.Call
}

func (c *callRecorder) add(call thload.Call) {
	c.mu.Lock()
	c.all = append(c.all, call)
	c.mu.Unlock()
}

// goodCount counts the calls with a complete response.
func (c *callRecorder) goodCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range c.all {
		if c.all[i].Succeeded() {
			n++
		}
	}
	return n
}

// failureKinds counts the failed calls by the result that the caller saw.
func (c *callRecorder) failureKinds() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	kinds := map[string]int{}
	for i := range c.all {
		if k := &c.all[i]; !k.Succeeded() {
			kinds[fmt.Sprintf("status=%d outcome=%q cut=%t wrong=%t dropped=%t error=%q", k.Status, k.Outcome, k.Cut, k.Wrong, k.Dropped, k.Error)]++
		}
	}
	return kinds
}

// requireAllGood fails the test when a call failed, and prints the kinds of failures.
func (c *callRecorder) requireAllGood(t *testing.T) {
	t.Helper()
	assert.Assert(t, len(c.all) > 0)
	kinds := c.failureKinds()
	assert.Assert(t, len(kinds) == 0, "%d calls: %v", len(c.all), kinds)
}

// serverRecords collects the request records of all started backend servers, from their journal
// files or, without journals, from their /record paths.
func serverRecords(t *testing.T, f *thfleet.Fleet) []thbackend.Record {
	t.Helper()
	var all []thbackend.Record
	for _, u := range f.Upstreams {
		if u.Server == nil {
			continue
		}
		if f.WriteJournals {
			file, err := os.Open(u.JournalPath())
			assert.NilError(t, err)
			r, err := thbackend.ReadJournal(file)
			file.Close()
			assert.NilError(t, err)
			all = append(all, r...)
			continue
		}
		response, err := http.Get("http://" + u.ServerAddress() + "/record")
		assert.NilError(t, err)
		r, err := thbackend.ReadRecords(response.Body)
		response.Body.Close()
		assert.NilError(t, err)
		all = append(all, r...)
	}
	return all
}

// requireMatchesRecords fails the test when the results that callers saw contradict the
// records of the backend servers.
func (c *callRecorder) requireMatchesRecords(t *testing.T, f *thfleet.Fleet) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := thcheck.Check(c.all, serverRecords(t, f))
	assert.Assert(t, len(violations) == 0, "%d violations, first: %v", len(violations), violations[:min(len(violations), 5)])
}

// traffic is a load generator that runs concurrently with a test.
type traffic struct {
	callRecorder
	cancel context.CancelFunc
	done   chan error
}

// startTraffic runs a generator until stop, for at most 2 minutes. The defaults for
// zero fields suit a busy route: all ingresses, 64 callers and a timeout of 5 s.
func startTraffic(t *testing.T, f *thfleet.Fleet, g *thload.Generator) *traffic {
	t.Helper()
	load := &traffic{done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	load.cancel = cancel
	if g.Targets == nil {
		g.Targets = fleetIngresses(f)
	}
	if g.Concurrency == 0 {
		g.Concurrency = 64
	}
	if g.Timeout == 0 {
		g.Timeout = 5 * time.Second
	}
	g.Duration = 2 * time.Minute
	g.Record = load.add
	go func() { load.done <- g.Run(ctx) }()
	t.Cleanup(cancel)
	return load
}

// stop ends the generator, waits for its calls in progress, and removes the calls that
// it dropped because all of its callers were busy.
func (r *traffic) stop(t *testing.T) {
	t.Helper()
	r.cancel()
	<-r.done
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = slices.DeleteFunc(r.all, func(c thload.Call) bool { return c.Dropped })
}

// warmUp sends 500 short calls a second for 2 s, so that the backend servers of a path
// admit full load afterwards. A fleet that has just started is cold and rejects part of
// a full load, as it should.
func warmUp(t *testing.T, f *thfleet.Fleet, path string) {
	t.Helper()
	g := &thload.Generator{Targets: fleetIngresses(f), Path: path, Rate: 500, Duration: 2 * time.Second, Concurrency: 8}
	assert.NilError(t, g.Run(t.Context()))
	for _, u := range f.Upstreams {
		s, err := u.Status(t.Context())
		assert.NilError(t, err)
		t.Logf("%s limit %d", u.Name, s.Self.Limit)
	}
}

// findUpstream returns the upstream with the name and fails the test if there is none.
func findUpstream(t *testing.T, f *thfleet.Fleet, name string) *thfleet.Upstream {
	t.Helper()
	for _, u := range f.Upstreams {
		if u.Name == name {
			return u
		}
	}
	t.Fatalf("no upstream %q", name)
	return nil
}
