package thproof

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thstore"
)

// commits makes n commits that are in effect everywhere, and returns the last version.
func commits(t *testing.T, f *thfleet.Fleet, serial *int, n int) uint64 {
	t.Helper()
	var last uint64
	for range n {
		*serial++
		o := setPool(t, f, f.Upstreams[0], *serial, "--wait", "10s")
		assert.Equal(t, o.code, 0, o.text)
		last = o.Version
	}
	return last
}

// Guards against daemons that return to an older version when they restart
// during an outage of the platform: one, a third, and all but two of them, right
// after a commit.
func TestRestartInOutageKeepsVersion(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := record(t, f)
	serial := 0
	for _, n := range []int{1, 3, 7} {
		outage(t, f, false)
		version := commits(t, f, &serial, 2)
		outage(t, f, true)
		killed := f.Upstreams[len(f.Upstreams)-n:]
		kill(killed...)
		begin := time.Now()
		startAll(t, time.Minute, killed...)
		t.Logf("%d daemons ready %s after their start in an outage", n, time.Since(begin).Round(time.Millisecond))
		for _, u := range f.Upstreams {
			s, err := u.Status(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, s.Config.Version, version, u.Name)
		}
	}
	outage(t, f, false)
	commits(t, f, &serial, 1)
	r.requireConsistent(t, f)
}

// Guards against versions that go back or differ when updates overtake each
// other on slow links and a daemon is frozen over several commits.
func TestCrossedUpdatesAndFrozenDaemon(t *testing.T) {
	t.Parallel()
	f := deployLinked(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := record(t, f)
	for i, u := range f.Upstreams {
		assert.NilError(t, u.PeerLink.AddLatency(10*(i%4), 10*(i%4)))
	}
	frozen := f.Upstreams[4]
	assert.NilError(t, frozen.Daemon.Signal(syscall.SIGSTOP))
	var last uint64
	for i := range 12 {
		o := setPool(t, f, f.Upstreams[i%4], i)
		assert.Equal(t, o.code, 0, o.text)
		last = o.Version
		if i == 7 {
			assert.NilError(t, frozen.Daemon.Signal(syscall.SIGCONT))
		}
	}
	begin := time.Now()
	assert.NilError(t, f.WaitVersion(t.Context(), last, 10*time.Second))
	t.Logf("in effect everywhere %s after the last commit", time.Since(begin).Round(time.Millisecond))
	r.requireConsistent(t, f)
}

// requireRefusedAlone waits until a daemon has announced the fleet's version in
// the restored table, and fails the test unless an edit without a daemon to ask
// is then refused with a message that says what to do.
func requireRefusedAlone(t *testing.T, f *thfleet.Fleet, version uint64) {
	t.Helper()
	store, begin := storeOf(t, f), time.Now()
	for {
		fleet, err := store.Fleet(t.Context())
		assert.NilError(t, err)
		if fleet.Version == version {
			break
		}
		assert.Assert(t, time.Since(begin) < 3*time.Second, "announced version %d, not %d", fleet.Version, version)
		time.Sleep(300 * time.Millisecond) // below the rate ceiling of the store
	}
	t.Logf("version %d announced after %s", version, time.Since(begin).Round(time.Millisecond))
	before, err := store.Head(t.Context())
	assert.NilError(t, err)
	o := setPool(t, f, nil, 1000)
	assert.Equal(t, o.code, 8, o.text)
	assert.Assert(t, strings.Contains(o.text, "turmerichaven recover"), o.text)
	after, err := store.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, after.Version, before.Version)
}

// Guards against a fleet that follows a table service restored from an older
// state, against an alarm that operators do not see, and a recovery that does
// not end it.
func TestRestoredTableService(t *testing.T) {
	t.Parallel()
	f := deployLinked(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := record(t, f)
	serial := 0
	commits(t, f, &serial, 1)
	platformFault(t, f, `{"state":"save"}`)
	version := commits(t, f, &serial, 3)
	platformFault(t, f, `{"state":"restore"}`)
	admin := f.Upstreams[0].Admin()
	assert.NilError(t, f.Upstreams[0].Wait(t.Context(), "alarmed", func(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Config.Alarm == "older" }))
	out, code, err := f.RunCommand(t.Context(), "--admin", admin, "status")
	assert.NilError(t, err)
	assert.Equal(t, code, 8, out)
	assert.Assert(t, strings.Contains(out, "alarm     older"), out)
	serial++
	o := setPool(t, f, f.Upstreams[0], serial)
	assert.Equal(t, o.code, 8, o.text)
	requireRefusedAlone(t, f, version)
	// Peers answer after the restored table does.
	for _, u := range f.Upstreams {
		assert.NilError(t, u.PeerLink.AddLatency(300, 0))
	}
	kill(f.Upstreams[1:4]...)
	startAll(t, 20*time.Second, f.Upstreams[1:4]...)
	for _, u := range f.Upstreams {
		s, err := u.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Config.Version, version, u.Name)
	}
	for _, u := range f.Upstreams {
		u.PeerLink.ClearFaults(t.Context())
	}
	o = edit(t, f, "--admin", admin, "recover", "--wait", "10s")
	assert.Equal(t, o.code, 0, o.text)
	assert.Assert(t, o.Version > version, o.text)
	assert.NilError(t, f.Wait(t.Context(), 10*time.Second, "without alarm", func(_ *thfleet.Upstream, s thadmin.Status) bool {
		return s.Config.Alarm == "" && s.Config.Version >= o.Version
	}))
	out, code, err = f.RunCommand(t.Context(), "--admin", admin, "status")
	assert.NilError(t, err)
	assert.Equal(t, code, 0, out)
	commits(t, f, &serial, 1)
	r.requireForward(t)
}

// Guards against restarted daemons that follow a restored table because it
// lists no live daemon: the announcements of a backup have expired.
func TestRestoredTableWithoutAnnouncements(t *testing.T) {
	t.Parallel()
	f := fleet(t)
	_, err := f.Command(t.Context(), "apply", tablesOf(&thfleet.Ishikari))
	assert.NilError(t, err)
	platformFault(t, f, `{"state":"save"}`)
	assert.NilError(t, f.AddAll(&thfleet.Ishikari, 2*time.Millisecond))
	assert.NilError(t, f.WaitReady(t.Context()))
	r := record(t, f)
	serial := 0
	version := commits(t, f, &serial, 3)
	platformFault(t, f, `{"state":"restore"}`)
	begin := time.Now()
	store, listed := storeOf(t, f), 0
	for time.Since(begin) < 3*time.Second && listed < len(f.Upstreams) {
		time.Sleep(200 * time.Millisecond)
		found, err := store.Announcements(t.Context(), "", 32)
		assert.NilError(t, err)
		listed = len(found)
	}
	t.Logf("%d daemons announced again %s after the restore", listed, time.Since(begin).Round(time.Millisecond))
	killed := f.Upstreams[2:]
	kill(killed...)
	startAll(t, 20*time.Second, killed...)
	for _, u := range f.Upstreams {
		s, err := u.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Config.Version, version, u.Name)
	}
	r.requireForward(t)
}

// Guards against two histories of one version: a restored table that goes on
// with other commits is refused with an alarm until an operator recovers.
func TestDivergedTableService(t *testing.T) {
	t.Parallel()
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := record(t, f)
	serial := 0
	commits(t, f, &serial, 1)
	platformFault(t, f, `{"state":"save"}`)
	version := commits(t, f, &serial, 1)
	outage(t, f, true)
	platformFault(t, f, `{"state":"restore"}`)
	outage(t, f, false)
	// Not by a command: one refuses as soon as a daemon has announced itself again.
	c, err := storeOf(t, f).Commit(t.Context(), thstore.Proposal{Request: "other", Edit: func(thconfig.Tables) ([]thconfig.Edit, error) {
		return []thconfig.Edit{thconfig.SetPool{Pool: thconfig.Pool{Name: "other", Service: "other", Version: "1", Floor: 50}}}, nil
	}})
	assert.NilError(t, err)
	assert.Equal(t, c.Version, version)
	assert.NilError(t, f.Wait(t.Context(), 10*time.Second, "alarmed", func(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Config.Alarm == "diverged" }))
	requireRefusedAlone(t, f, version)
	admin := f.Upstreams[4].Admin()
	out, code, err := f.RunCommand(t.Context(), "--admin", admin, "status")
	assert.NilError(t, err)
	assert.Equal(t, code, 8, out)
	kill(f.Upstreams[:3]...)
	startAll(t, 20*time.Second, f.Upstreams[:3]...)
	o := edit(t, f, "--admin", admin, "recover", "--wait", "10s")
	assert.Equal(t, o.code, 0, o.text)
	assert.Assert(t, o.Version > version, o.text)
	assert.NilError(t, f.Wait(t.Context(), 10*time.Second, "without alarm", func(_ *thfleet.Upstream, s thadmin.Status) bool {
		return s.Config.Alarm == "" && s.Config.Version >= o.Version
	}))
	commits(t, f, &serial, 1)
	r.requireForward(t)
}
