// Package thbench implements the demo and the benchmarks. It starts deployments of
// real processes on one machine, sends load to them, and measures the figures for
// which the design sets goals.
package thbench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thbackend"
	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thfleet"
)

// clock is the system clock, because the measured processes use it too.
var clock = thclock.OrSystem(nil)

// Bench runs the demo and the measurements. The current directory must be the root
// of the module, because deployments name their tables relative to it.
type Bench struct {
	Binary  string    // path of turmerichaven
	Standin string    // path of turmerichaven-standin
	Out     io.Writer // report
	Notes   io.Writer // progress; nil prints none
	Keep    bool      // keep settings and logs of the processes

	out     sync.Mutex // guards writes to Out and Notes, and started
	started time.Time  // time of the first note
}

func (b *Bench) print(format string, args ...any) {
	b.out.Lock()
	defer b.out.Unlock()
	_, _ = fmt.Fprintf(b.Out, format, args...)
}

// note prints a progress line with the time since the first one.
func (b *Bench) note(format string, args ...any) {
	if b.Notes == nil {
		return
	}
	b.out.Lock()
	defer b.out.Unlock()
	if b.started.IsZero() {
		b.started = clock.Now()
	}
	_, _ = fmt.Fprintf(b.Notes, "%6.1fs %s\n", clock.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// system is the system under test: a running fleet and its deployment, which is nil for
// fleets that startPlatform started.
type system struct {
	*thfleet.Fleet
	bench       *Bench
	deployment  *thfleet.Deployment
	activations activations
	routes      loadRoutes
	checks      checkResult
	closed      bool
}

// loadRoutes are the routes of a deployment to which the load is sent.
type loadRoutes struct {
	readPath, readRoute, readPool, readService string // GET, idempotent
	writePath                                  string // POST, non-idempotent
}

func routesOf(d *thfleet.Deployment) loadRoutes {
	if d.Name == thfleet.Ikaze.Name {
		return loadRoutes{"/catalogue", "catalogue", "vitrine", "vitrine", "/orders"}
	}
	return loadRoutes{"/slots", "slots", "slotboard", "slotboard", "/bookings"}
}

// startPlatform starts a fleet with a platform and no upstreams.
func (b *Bench) startPlatform() (*system, error) {
	dir, err := os.MkdirTemp("", "thbench")
	if err != nil {
		return nil, therror.Wrap(therror.Internal, err, "directory for logs")
	}
	s := &system{Fleet: &thfleet.Fleet{Dir: dir, Binary: b.Binary, Standin: b.Standin}, bench: b}
	if err := s.Start(); err != nil {
		s.kill()
		return nil, err
	}
	return s, nil
}

// deploy starts a deployment, commits its tables, and waits until all daemons are ready.
// work is the service time of the backend servers.
func (b *Bench) deploy(ctx context.Context, d *thfleet.Deployment, work time.Duration) (*system, error) {
	s, err := b.startPlatform()
	if err != nil {
		return nil, err
	}
	s.deployment, s.routes = d, routesOf(d)
	if _, err := s.Command(ctx, "apply", filepath.FromSlash(d.TablesFile)); err != nil {
		s.kill()
		return nil, err
	}
	if err := s.AddAll(d, work); err != nil {
		s.kill()
		return nil, err
	}
	if err := s.WaitReady(ctx); err != nil {
		s.kill()
		return nil, err
	}
	return s, nil
}

// stop stops all processes gracefully and kills those that fail to stop. It returns
// their errors.
func (s *system) stop() error {
	err := s.Stop()
	s.kill()
	return err
}

// kill kills the remaining processes and removes the logs unless Bench.Keep is set.
// Further calls do nothing.
func (s *system) kill() {
	if s.closed {
		return
	}
	s.closed = true
	s.Kill()
	if s.bench.Keep {
		s.bench.note("logs are in %s", s.Dir)
		return
	}
	_ = os.RemoveAll(s.Dir)
}

// ingresses returns the ingress address of each daemon.
func (s *system) ingresses() []string {
	all := make([]string, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		all = append(all, u.Ingress())
	}
	return all
}

// change is a committed configuration change.
type change struct {
	version uint64
	started time.Time // start of the command
	ended   time.Time // end of the command
}

// commit runs an operator command that changes the configuration and notifies one daemon.
func (s *system) commit(ctx context.Context, args ...string) (change, error) {
	return s.commitWith(ctx, true, args...)
}

// commitWith is like commit. Without poke it omits --admin, so that daemons find the
// change only by polling.
func (s *system) commitWith(ctx context.Context, poke bool, args ...string) (change, error) {
	options := []string{"--output", "json"}
	if poke {
		options = append(options, "--admin", s.Upstreams[0].Admin())
	}
	c := change{started: clock.Now()}
	out, err := s.Command(ctx, append(options, args...)...)
	c.ended = clock.Now()
	if err != nil {
		return c, err
	}
	var r struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		return c, therror.Wrap(therror.Internal, err, "output of the command: %s", out)
	}
	c.version = r.Version
	return c, nil
}

// awaitConvergence waits until a change is in effect on every daemon and returns the
// time since the start of its command. It fails with kind Late after limit.
func (s *system) awaitConvergence(ctx context.Context, c change, limit time.Duration) (time.Duration, error) {
	times, lacking, err := s.activations.await(ctx, s.Upstreams, c.version, limit)
	if err != nil {
		return 0, err
	}
	if len(lacking) > 0 {
		return 0, therror.New(therror.Late, "version %d is not in effect on %v after %s", c.version, lacking, limit)
	}
	return latest(times).Sub(c.started), nil
}

// moveName returns the name of the move of a route that change c started.
func moveName(route string, c change) string { return fmt.Sprintf("%s-%d", route, c.version) }

// move returns the state of a move on one daemon.
func (s *system) move(ctx context.Context, u *thfleet.Upstream, name string) (thadmin.MoveEntry, error) {
	v, err := u.Status(ctx)
	if err != nil {
		return thadmin.MoveEntry{}, err
	}
	for _, m := range v.Moves {
		if m.Name == name {
			return m, nil
		}
	}
	return thadmin.MoveEntry{}, therror.New(therror.Absent, "%s has no move %s", u.Name, name)
}

// records fetches the records of all backend servers. On errors it returns the records of
// the servers that responded.
func (s *system) records(ctx context.Context) ([]thbackend.Record, error) {
	var all []thbackend.Record
	var errs error
	for _, u := range s.Upstreams {
		if u.Server == nil {
			continue
		}
		body, err := get(ctx, "http://"+u.ServerAddress()+"/record")
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		r, err := thbackend.ReadRecords(body)
		_ = body.Close()
		errs = errors.Join(errs, err)
		all = append(all, r...)
	}
	return all, errs
}

// get returns the body of a response with status 200; other statuses are errors. The
// caller closes the body.
func get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, therror.New(therror.Broken, "%s: %s", url, response.Status)
	}
	return response.Body, nil
}
