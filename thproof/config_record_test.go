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

// recorder keeps the history of the versions that all daemons show.
type recorder struct {
	mu      sync.Mutex
	history []thcheck.VersionObservation
}

// record reads /status of every daemon of the fleet, of each in a loop of its
// own, until the test ends.
func record(t *testing.T, f *thfleet.Fleet) *recorder {
	t.Helper()
	r := &recorder{}
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

func (r *recorder) add(h thcheck.VersionObservation) {
	r.mu.Lock()
	r.history = append(r.history, h)
	r.mu.Unlock()
}

// waitReady waits until the last process of each daemon has been recorded as ready.
func (r *recorder) waitReady(t *testing.T, f *thfleet.Fleet, lives map[string][]life) {
	t.Helper()
	until(t, "all daemons recorded as ready", func() bool {
		seen := map[string]bool{}
		for _, h := range r.all() {
			last := lives[h.Daemon][len(lives[h.Daemon])-1]
			if h.Ready && h.Time.After(last.from) {
				seen[h.Daemon] = true
			}
		}
		return len(seen) == len(f.Upstreams)
	})
}

func (r *recorder) all() []thcheck.VersionObservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.history)
}

// requireConsistent fails the test when a daemon went back, when daemons differ
// in a version, or when a version in effect is not a valid one of the change log.
func (r *recorder) requireConsistent(t *testing.T, f *thfleet.Fleet) {
	t.Helper()
	h := r.all()
	assert.Assert(t, len(h) > 0)
	v := append(thcheck.CheckVersions(h), thcheck.CheckDigests(h)...)
	v = append(v, thcheck.CheckChangeLog(thconfig.Tables{}, changeLog(t, f), h)...)
	assert.Assert(t, len(v) == 0, "%d violations, first: %v", len(v), v[:min(len(v), 5)])
	t.Logf("%d observations without a violation", len(h))
}

// requireForward is requireConsistent for a table whose log has been replaced.
func (r *recorder) requireForward(t *testing.T) {
	t.Helper()
	h := r.all()
	v := append(thcheck.CheckVersions(h), thcheck.CheckDigests(h)...)
	assert.Assert(t, len(v) == 0, "%d violations, first: %v", len(v), v[:min(len(v), 5)])
	t.Logf("%d observations without a violation", len(h))
}

// storeOf opens the configuration store as the operator commands do.
func storeOf(t *testing.T, f *thfleet.Fleet) *thstore.Store {
	t.Helper()
	s, err := thsettings.Load(f.Dir+"/operator.ini", thsettings.RoleCommand)
	assert.NilError(t, err)
	return thdaemon.OpenStore(s, nil, nil)
}

func changeLog(t *testing.T, f *thfleet.Fleet) []thconfig.Change {
	t.Helper()
	store := storeOf(t, f)
	var all []thconfig.Change
	for after := uint64(0); ; after = all[len(all)-1].Version {
		page, err := store.Changes(t.Context(), after, 256)
		assert.NilError(t, err)
		if all = append(all, page...); len(page) == 0 {
			return all
		}
	}
}

// outcome is the answer of an edit command.
type outcome struct {
	Version uint64 `json:"version"`
	Request string `json:"request"`
	Held    bool   `json:"held"`
	Earlier bool   `json:"earlier"`
	code    int
	text    string
}

// edit runs an edit command with JSON output and reads its answer.
func edit(t *testing.T, f *thfleet.Fleet, args ...string) outcome {
	t.Helper()
	out, code, err := f.RunCommand(t.Context(), append([]string{"--output", "json"}, args...)...)
	assert.NilError(t, err)
	return parseOutcome(out, code)
}

// parseOutcome reads the answer of an edit command with JSON output.
func parseOutcome(out string, code int) outcome {
	o := outcome{code: code, text: out}
	// A warning may come before or after the JSON.
	if i := strings.IndexByte(out, '{'); i >= 0 {
		_ = json.NewDecoder(strings.NewReader(out[i:])).Decode(&o)
	}
	return o
}

// setPool commits a pool that no route uses, with a backend version that differs each time.
func setPool(t *testing.T, f *thfleet.Fleet, admin *thfleet.Upstream, n int, more ...string) outcome {
	t.Helper()
	args := []string{"pool", "set", "spare", "--service", "spare", "--version", fmt.Sprint(n)}
	if admin != nil {
		args = append([]string{"--admin", admin.Admin()}, args...)
	}
	return edit(t, f, append(args, more...)...)
}

// kill ends the daemons at once.
func kill(all ...*thfleet.Upstream) {
	for _, u := range all {
		_ = u.Daemon.Signal(syscall.SIGKILL)
	}
	for _, u := range all {
		<-u.Daemon.Done()
	}
}

// startAll starts the daemons and waits until all accept calls.
func startAll(t *testing.T, limit time.Duration, all ...*thfleet.Upstream) {
	t.Helper()
	for _, u := range all {
		assert.NilError(t, u.StartDaemon())
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	for _, u := range all {
		assert.NilError(t, u.Wait(ctx, "ready", ready))
	}
}

// ready holds for a daemon that accepts calls.
func ready(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Self.Ready }
