package thproof

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thdaemon"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thsettings"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// versionRecorder keeps the history of the versions that the daemons report.
type versionRecorder struct {
	mu      sync.Mutex
	history []thcheck.VersionObservation
}

// recordVersions polls /status of every daemon of the fleet until the test ends, with
// one goroutine per daemon.
func recordVersions(t *testing.T, f *thfleet.Fleet) *versionRecorder {
	t.Helper()
	r := &versionRecorder{}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, u := range f.Upstreams {
		group.Add(1)
		go func() {
			defer group.Done()
			for ctx.Err() == nil {
				if s, err := u.Status(ctx); err == nil {
					r.add(thcheck.VersionObservation{Daemon: u.Name, Time: time.Now(), Version: s.Config.Version, Digest: s.Config.Digest, Ready: s.Self.Ready})
				}
				select {
				case <-ctx.Done():
				case <-time.After(10 * time.Millisecond):
				}
			}
		}()
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return r
}

func (r *versionRecorder) add(h thcheck.VersionObservation) {
	r.mu.Lock()
	r.history = append(r.history, h)
	r.mu.Unlock()
}

// waitReady waits until the last process of each daemon has been recorded as ready.
func (r *versionRecorder) waitReady(t *testing.T, f *thfleet.Fleet, lifetimes map[string][]lifetime) {
	t.Helper()
	waitUntil(t, "all daemons recorded as ready", func() bool {
		seen := map[string]bool{}
		for _, h := range r.observations() {
			last := lifetimes[h.Daemon][len(lifetimes[h.Daemon])-1]
			if h.Ready && h.Time.After(last.from) {
				seen[h.Daemon] = true
			}
		}
		return len(seen) == len(f.Upstreams)
	})
}

func (r *versionRecorder) observations() []thcheck.VersionObservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.history)
}

// requireConsistent fails the test when a daemon went back to an older version, when
// daemons differ in the content of a version, or when a version in effect is not a valid
// one of the change log.
func (r *versionRecorder) requireConsistent(t *testing.T, f *thfleet.Fleet) {
	t.Helper()
	history := r.observations()
	assert.Assert(t, len(history) > 0)
	violations := append(thcheck.CheckVersions(history), thcheck.CheckDigests(history)...)
	violations = append(violations, thcheck.CheckChangeLog(thconfig.Tables{}, readChangeLog(t, f), history)...)
	assert.Assert(t, len(violations) == 0, "%d violations, first: %v", len(violations), violations[:min(len(violations), 5)])
	t.Logf("%d observations without a violation", len(history))
}

// requireConsistentWithoutLog is requireConsistent without the comparison with the
// change log, for a table whose log has been replaced.
func (r *versionRecorder) requireConsistentWithoutLog(t *testing.T) {
	t.Helper()
	history := r.observations()
	violations := append(thcheck.CheckVersions(history), thcheck.CheckDigests(history)...)
	assert.Assert(t, len(violations) == 0, "%d violations, first: %v", len(violations), violations[:min(len(violations), 5)])
	t.Logf("%d observations without a violation", len(history))
}

// openStore opens the configuration store as the operator commands do.
func openStore(t *testing.T, f *thfleet.Fleet) *thstore.Store {
	t.Helper()
	s, err := thsettings.Load(f.Dir+"/operator.ini", thsettings.RoleCommand)
	assert.NilError(t, err)
	return thdaemon.OpenStore(s, nil, nil)
}

// readChangeLog reads all changes in the store, 256 a page.
func readChangeLog(t *testing.T, f *thfleet.Fleet) []thconfig.Change {
	t.Helper()
	store := openStore(t, f)
	var changes []thconfig.Change
	for after := uint64(0); ; after = changes[len(changes)-1].Version {
		page, err := store.Changes(t.Context(), after, 256)
		assert.NilError(t, err)
		if changes = append(changes, page...); len(page) == 0 {
			return changes
		}
	}
}

// commandResult is the JSON output of an edit command, with its exit code and full output.
type commandResult struct {
	Version  uint64 `json:"version"`
	Request  string `json:"request"`
	Held     bool   `json:"held"`
	Earlier  bool   `json:"earlier"`
	exitCode int
	output   string
}

// runEdit runs an edit command with JSON output and parses its result.
func runEdit(t *testing.T, f *thfleet.Fleet, args ...string) commandResult {
	t.Helper()
	out, code, err := f.RunCommand(t.Context(), append([]string{"--output", "json"}, args...)...)
	assert.NilError(t, err)
	return parseResult(out, code)
}

// parseResult parses the output of an edit command that ran with --output json.
func parseResult(output string, exitCode int) commandResult {
	o := commandResult{exitCode: exitCode, output: output}
	// Warnings may precede or follow the JSON.
	if i := strings.IndexByte(output, '{'); i >= 0 {
		_ = json.NewDecoder(strings.NewReader(output[i:])).Decode(&o)
	}
	return o
}

// setPool commits a pool that no route uses. A backend version that differs from the
// last one makes a new version of the tables. A nil admin runs the command without
// --admin.
func setPool(t *testing.T, f *thfleet.Fleet, admin *thfleet.Upstream, backendVersion int, more ...string) commandResult {
	t.Helper()
	args := []string{"pool", "set", "spare", "--service", "spare", "--version", fmt.Sprint(backendVersion)}
	if admin != nil {
		args = append([]string{"--admin", admin.Admin()}, args...)
	}
	return runEdit(t, f, append(args, more...)...)
}

// killDaemons sends SIGKILL to all daemons and then waits for their processes to end.
func killDaemons(upstreams ...*thfleet.Upstream) {
	for _, u := range upstreams {
		_ = u.Daemon.Signal(syscall.SIGKILL)
	}
	for _, u := range upstreams {
		<-u.Daemon.Done()
	}
}

// startDaemons starts the daemons and waits until all of them accept calls.
func startDaemons(t *testing.T, limit time.Duration, upstreams ...*thfleet.Upstream) {
	t.Helper()
	for _, u := range upstreams {
		assert.NilError(t, u.StartDaemon())
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	for _, u := range upstreams {
		assert.NilError(t, u.Wait(ctx, "ready", isReady))
	}
}

// isReady reports whether the daemon accepts calls.
func isReady(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Self.Ready }
