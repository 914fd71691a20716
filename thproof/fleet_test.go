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
	seed    = flag.Uint64("seed", 1, "seed of the faults")
	raced   = flag.Bool("raced", false, "builds the programs with the race detector")
	binary  string
	standin string
)

// root is the module's root, where the sample tables are.
const root = ".."

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "thproof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if binary, standin, err = thfleet.Build(context.Background(), dir, *raced); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// fleet starts a platform without upstreams. All processes end with the test,
// and their logs are kept if it failed.
func fleet(t *testing.T) *thfleet.Fleet {
	t.Helper()
	t.Logf("seed %d", *seed)
	dir, err := os.MkdirTemp("", "thproof-fleet")
	assert.NilError(t, err)
	f := &thfleet.Fleet{Dir: dir, Binary: binary, Standin: standin, LogLevel: os.Getenv("TH_LEVEL")}
	t.Cleanup(func() {
		f.Kill()
		requireNoFault(t, dir)
		if t.Failed() {
			t.Logf("logs are in %s", dir)
			return
		}
		os.RemoveAll(dir)
	})
	assert.NilError(t, f.Start())
	return f
}

// requireNoFault fails the test when a process has panicked or raced.
func requireNoFault(t *testing.T, dir string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	assert.Check(t, err)
	for _, name := range logs {
		text, err := os.ReadFile(name)
		assert.Check(t, err)
		for _, sign := range []string{"DATA RACE", "panic: ", "fatal error: "} {
			assert.Check(t, !strings.Contains(string(text), sign), "%s contains %q", name, sign)
		}
	}
}

// deploy starts a deployment and commits its tables.
func deploy(t *testing.T, d *thfleet.Deployment, work time.Duration) *thfleet.Fleet {
	t.Helper()
	f := fleet(t)
	ctx := t.Context()
	_, err := f.Command(ctx, "apply", tablesOf(d))
	assert.NilError(t, err)
	assert.NilError(t, f.AddAll(d, work))
	assert.NilError(t, f.WaitReady(ctx))
	return f
}

func ingresses(f *thfleet.Fleet) []string {
	var all []string
	for _, u := range f.Upstreams {
		all = append(all, u.Ingress())
	}
	return all
}

// calls records the calls of several generators.
type calls struct {
	mu  sync.Mutex
	all []thload.Call
}

func (c *calls) add(k thload.Call) {
	c.mu.Lock()
	c.all = append(c.all, k)
	c.mu.Unlock()
}

// good counts the calls with a complete answer.
func (c *calls) good() int {
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

// kinds counts the calls that were not answered, by what the caller was told.
func (c *calls) kinds() map[string]int {
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

// requireAllGood fails the test with a sample of the calls that were not answered.
func (c *calls) requireAllGood(t *testing.T) {
	t.Helper()
	assert.Assert(t, len(c.all) > 0)
	kinds := c.kinds()
	assert.Assert(t, len(kinds) == 0, "%d calls: %v", len(c.all), kinds)
}

// records collects what all running backend servers have recorded.
func records(t *testing.T, f *thfleet.Fleet) []thbackend.Record {
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
		a, err := http.Get("http://" + u.ServerAddress() + "/record")
		assert.NilError(t, err)
		r, err := thbackend.ReadRecords(a.Body)
		a.Body.Close()
		assert.NilError(t, err)
		all = append(all, r...)
	}
	return all
}

// requireHeld fails the test when what callers were told differs from what
// backend servers recorded.
func (c *calls) requireHeld(t *testing.T, f *thfleet.Fleet) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	v := thcheck.Check(c.all, records(t, f))
	assert.Assert(t, len(v) == 0, "%d violations, first: %v", len(v), v[:min(len(v), 5)])
}

// traffic is a generator that runs beside a test.
type traffic struct {
	calls
	cancel context.CancelFunc
	done   chan error
}

// send starts a generator until stop. The defaults suit a busy route.
func send(t *testing.T, f *thfleet.Fleet, g *thload.Generator) *traffic {
	t.Helper()
	r := &traffic{done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	if g.Targets == nil {
		g.Targets = ingresses(f)
	}
	if g.Concurrency == 0 {
		g.Concurrency = 64
	}
	if g.Timeout == 0 {
		g.Timeout = 5 * time.Second
	}
	g.Duration = 2 * time.Minute
	g.Record = r.add
	go func() { r.done <- g.Run(ctx) }()
	t.Cleanup(cancel)
	return r
}

// stop ends the generator once its calls are answered. Calls that it was too
// busy to send are not counted.
func (r *traffic) stop(t *testing.T) {
	t.Helper()
	r.cancel()
	<-r.done
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = slices.DeleteFunc(r.all, func(c thload.Call) bool { return c.Dropped })
}

// warm sends short calls until the backend servers of a path bear full load.
// A fleet that has just started is cold, and its refusals under full load are right.
func warm(t *testing.T, f *thfleet.Fleet, path string) {
	t.Helper()
	g := &thload.Generator{Targets: ingresses(f), Path: path, Rate: 500, Duration: 2 * time.Second, Concurrency: 8}
	assert.NilError(t, g.Run(t.Context()))
	for _, u := range f.Upstreams {
		s, err := u.Status(t.Context())
		assert.NilError(t, err)
		t.Logf("%s limit %d", u.Name, s.Self.Limit)
	}
}

// upstream returns the upstream of that name.
func upstream(t *testing.T, f *thfleet.Fleet, name string) *thfleet.Upstream {
	t.Helper()
	for _, u := range f.Upstreams {
		if u.Name == name {
			return u
		}
	}
	t.Fatalf("no upstream %q", name)
	return nil
}
