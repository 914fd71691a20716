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

// versionRecorder keeps the history of the versions that all daemons show.
type versionRecorder struct {
	mu      sync.Mutex
	history []thcheck.Held
}

// recordVersions reads /status of every daemon of the fleet, of each in a loop of its
// own, until the test ends.
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
					r.add(thcheck.Held{Daemon: u.Name, Time: time.Now(), Version: s.Config.Version, Digest: s.Config.Digest, Ready: s.Self.Ready})
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

func (r *versionRecorder) add(h thcheck.Held) {
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

func (r *versionRecorder) observations() []thcheck.Held {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.history)
}

// requireConsistent fails the test when a daemon went back, when daemons differ
// in a version, or when a version in effect is not a valid one of the change log.
func (r *versionRecorder) requireConsistent(t *testing.T, f *thfleet.Fleet) {
	t.Helper()
	h := r.observations()
	assert.Assert(t, len(h) > 0)
	v := append(thcheck.Versions(h), thcheck.Digests(h)...)
	v = append(v, thcheck.Log(thconfig.Tables{}, readChangeLog(t, f), h)...)
	assert.Assert(t, len(v) == 0, "%d violations, first: %v", len(v), v[:min(len(v), 5)])
	t.Logf("%d observations without a violation", len(h))
}

// requireConsistentWithoutLog is requireConsistent for a table whose log has been replaced.
func (r *versionRecorder) requireConsistentWithoutLog(t *testing.T) {
	t.Helper()
	h := r.observations()
	v := append(thcheck.Versions(h), thcheck.Digests(h)...)
	assert.Assert(t, len(v) == 0, "%d violations, first: %v", len(v), v[:min(len(v), 5)])
	t.Logf("%d observations without a violation", len(h))
}

// openStore opens the configuration store as the operator commands do.
func openStore(t *testing.T, f *thfleet.Fleet) *thstore.Store {
	t.Helper()
	s, err := thsettings.Load(f.Dir+"/operator.ini", thsettings.RoleCommand)
	assert.NilError(t, err)
	return thdaemon.OpenStore(s, nil, nil)
}

func readChangeLog(t *testing.T, f *thfleet.Fleet) []thconfig.Change {
	t.Helper()
	store := openStore(t, f)
	var all []thconfig.Change
	for after := uint64(0); ; after = all[len(all)-1].Version {
		page, err := store.Changes(t.Context(), after, 256)
		assert.NilError(t, err)
		if all = append(all, page...); len(page) == 0 {
			return all
		}
	}
}

// commandResult is the answer of an edit command.
type commandResult struct {
	Version uint64 `json:"version"`
	Request string `json:"request"`
	Held    bool   `json:"held"`
	Earlier bool   `json:"earlier"`
	exitCode    int
	output    string
}

// runEdit runs an edit command with JSON output and reads its answer.
func runEdit(t *testing.T, f *thfleet.Fleet, args ...string) commandResult {
	t.Helper()
	out, code, err := f.Commander(t.Context(), append([]string{"--output", "json"}, args...)...)
	assert.NilError(t, err)
	return parseResult(out, code)
}

// parseResult reads the answer of an edit command with JSON output.
func parseResult(out string, code int) commandResult {
	o := commandResult{exitCode: code, output: out}
	// A warning may come before or after the JSON.
	if i := strings.IndexByte(out, '{'); i >= 0 {
		_ = json.NewDecoder(strings.NewReader(out[i:])).Decode(&o)
	}
	return o
}

// setPool commits a pool that no route uses, with a backend version that differs each time.
func setPool(t *testing.T, f *thfleet.Fleet, admin *thfleet.Upstream, n int, more ...string) commandResult {
	t.Helper()
	args := []string{"pool", "set", "spare", "--service", "spare", "--version", fmt.Sprint(n)}
	if admin != nil {
		args = append([]string{"--admin", admin.Admin()}, args...)
	}
	return runEdit(t, f, append(args, more...)...)
}

// killDaemons ends the daemons at once.
func killDaemons(all ...*thfleet.Upstream) {
	for _, u := range all {
		_ = u.Daemon.Signal(syscall.SIGKILL)
	}
	for _, u := range all {
		<-u.Daemon.Done()
	}
}

// startDaemons starts the daemons and waits until all accept calls.
func startDaemons(t *testing.T, limit time.Duration, all ...*thfleet.Upstream) {
	t.Helper()
	for _, u := range all {
		assert.NilError(t, u.StartDaemon())
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	for _, u := range all {
		assert.NilError(t, u.Wait(ctx, "ready", isReady))
	}
}

// isReady holds for a daemon that accepts calls.
func isReady(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Self.Ready }
