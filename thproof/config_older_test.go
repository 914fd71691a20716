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

// commitVersions makes n commits, waits until each is in effect everywhere, and
// returns the last version.
func commitVersions(t *testing.T, f *thfleet.Fleet, serial *int, n int) uint64 {
	t.Helper()
	var last uint64
	for range n {
		*serial++
		o := setPool(t, f, f.Upstreams[0], *serial, "--wait", "10s")
		assert.Equal(t, o.exitCode, 0, o.output)
		last = o.Version
	}
	return last
}

// Guards against daemons that return to an older version when they restart during an
// outage of the platform right after a commit. One daemon, three of them, and seven of
// them (all but two) are killed and restarted.
func TestRestartInOutageKeepsVersion(t *testing.T) {
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := recordVersions(t, f)
	serial := 0
	for _, n := range []int{1, 3, 7} {
		setOutage(t, f, false)
		version := commitVersions(t, f, &serial, 2)
		setOutage(t, f, true)
		killed := f.Upstreams[len(f.Upstreams)-n:]
		killDaemons(killed...)
		begin := time.Now()
		startDaemons(t, time.Minute, killed...)
		t.Logf("%d daemons ready %s after their start in an outage", n, time.Since(begin).Round(time.Millisecond))
		for _, u := range f.Upstreams {
			s, err := u.Status(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, s.Config.Version, version, u.Name)
		}
	}
	setOutage(t, f, false)
	commitVersions(t, f, &serial, 1)
	r.requireConsistent(t, f)
}

// Guards against daemons that return to an older version, or that differ in one, when
// updates arrive out of order over slow links and a daemon is frozen during several
// commits.
func TestCrossedUpdatesAndFrozenDaemon(t *testing.T) {
	t.Parallel()
	f := deployWithLinks(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := recordVersions(t, f)
	for i, u := range f.Upstreams {
		assert.NilError(t, u.PeerLink.AddLatency(10*(i%4), 10*(i%4)))
	}
	frozen := f.Upstreams[4]
	assert.NilError(t, frozen.Daemon.Signal(syscall.SIGSTOP))
	var last uint64
	for i := range 12 {
		o := setPool(t, f, f.Upstreams[i%4], i)
		assert.Equal(t, o.exitCode, 0, o.output)
		last = o.Version
		if i == 7 {
			assert.NilError(t, frozen.Daemon.Signal(syscall.SIGCONT))
		}
	}
	begin := time.Now()
	assert.NilError(t, f.WaitVersion(t.Context(), last, 10*time.Second))
	t.Logf("version in effect everywhere %s after the last commit", time.Since(begin).Round(time.Millisecond))
	r.requireConsistent(t, f)
}

// requireEditWithoutDaemonRejected waits until a daemon has announced the fleet's
// version in the restored table. It fails the test unless an edit command without
// --admin is then rejected, commits nothing, and names the recover command.
func requireEditWithoutDaemonRejected(t *testing.T, f *thfleet.Fleet, version uint64) {
	t.Helper()
	store, begin := openStore(t, f), time.Now()
	for {
		fleet, err := store.Fleet(t.Context())
		assert.NilError(t, err)
		if fleet.Version == version {
			break
		}
		assert.Assert(t, time.Since(begin) < 3*time.Second, "announced version %d, not %d", fleet.Version, version)
		time.Sleep(300 * time.Millisecond) // stays below the rate limit of the store
	}
	t.Logf("version %d announced after %s", version, time.Since(begin).Round(time.Millisecond))
	before, err := store.Head(t.Context())
	assert.NilError(t, err)
	o := setPool(t, f, nil, 1000)
	assert.Equal(t, o.exitCode, 8, o.output)
	assert.Assert(t, strings.Contains(o.output, "turmerichaven recover"), o.output)
	after, err := store.Head(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, after.Version, before.Version)
}

// Guards against a fleet that goes back to an older version when the table service is
// restored from a backup, against an alarm that isn't shown to operators, and against a
// recovery that doesn't clear it.
func TestRestoredTableService(t *testing.T) {
	t.Parallel()
	f := deployWithLinks(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := recordVersions(t, f)
	serial := 0
	commitVersions(t, f, &serial, 1)
	setPlatformFault(t, f, `{"state":"save"}`)
	version := commitVersions(t, f, &serial, 3)
	setPlatformFault(t, f, `{"state":"restore"}`)
	admin := f.Upstreams[0].Admin()
	assert.NilError(t, f.Upstreams[0].Wait(t.Context(), "alarmed", func(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Config.Alarm == "older" }))
	out, code, err := f.RunCommand(t.Context(), "--admin", admin, "status")
	assert.NilError(t, err)
	assert.Equal(t, code, 8, out)
	assert.Assert(t, strings.Contains(out, "alarm     older"), out)
	serial++
	o := setPool(t, f, f.Upstreams[0], serial)
	assert.Equal(t, o.exitCode, 8, o.output)
	requireEditWithoutDaemonRejected(t, f, version)
	// Delays the peers' replies until after the restored table's response.
	for _, u := range f.Upstreams {
		assert.NilError(t, u.PeerLink.AddLatency(300, 0))
	}
	killDaemons(f.Upstreams[1:4]...)
	startDaemons(t, 20*time.Second, f.Upstreams[1:4]...)
	for _, u := range f.Upstreams {
		s, err := u.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Config.Version, version, u.Name)
	}
	for _, u := range f.Upstreams {
		u.PeerLink.ClearFaults(t.Context())
	}
	o = runEdit(t, f, "--admin", admin, "recover", "--wait", "10s")
	assert.Equal(t, o.exitCode, 0, o.output)
	assert.Assert(t, o.Version > version, o.output)
	assert.NilError(t, f.Wait(t.Context(), 10*time.Second, "without alarm", func(_ *thfleet.Upstream, s thadmin.Status) bool {
		return s.Config.Alarm == "" && s.Config.Version >= o.Version
	}))
	out, code, err = f.RunCommand(t.Context(), "--admin", admin, "status")
	assert.NilError(t, err)
	assert.Equal(t, code, 0, out)
	commitVersions(t, f, &serial, 1)
	r.requireConsistentWithoutLog(t)
}

// Guards against restarted daemons that accept a restored table because it lists no
// live daemon: the announcements in a backup have expired.
func TestRestoredTableWithoutAnnouncements(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
	assert.NilError(t, err)
	setPlatformFault(t, f, `{"state":"save"}`)
	assert.NilError(t, f.AddAll(&thfleet.Ishikari, 2*time.Millisecond))
	assert.NilError(t, f.WaitReady(t.Context()))
	r := recordVersions(t, f)
	serial := 0
	version := commitVersions(t, f, &serial, 3)
	setPlatformFault(t, f, `{"state":"restore"}`)
	begin := time.Now()
	store, listed := openStore(t, f), 0
	for time.Since(begin) < 3*time.Second && listed < len(f.Upstreams) {
		time.Sleep(200 * time.Millisecond)
		found, err := store.Announcements(t.Context(), "", 32)
		assert.NilError(t, err)
		listed = len(found)
	}
	t.Logf("%d daemons had announced themselves again %s after the restore", listed, time.Since(begin).Round(time.Millisecond))
	killed := f.Upstreams[2:]
	killDaemons(killed...)
	startDaemons(t, 20*time.Second, killed...)
	for _, u := range f.Upstreams {
		s, err := u.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Config.Version, version, u.Name)
	}
	r.requireConsistentWithoutLog(t)
}

// Guards against two histories of one version: the table is restored and then gets
// other commits. Daemons must reject it and raise an alarm until an operator runs
// recover.
func TestDivergedTableService(t *testing.T) {
	t.Parallel()
	f := deploy(t, &thfleet.Ishikari, 2*time.Millisecond)
	r := recordVersions(t, f)
	serial := 0
	commitVersions(t, f, &serial, 1)
	setPlatformFault(t, f, `{"state":"save"}`)
	version := commitVersions(t, f, &serial, 1)
	setOutage(t, f, true)
	setPlatformFault(t, f, `{"state":"restore"}`)
	setOutage(t, f, false)
	// Commits directly in the store: a command is rejected as soon as a daemon has
	// announced itself again.
	c, err := openStore(t, f).Commit(t.Context(), thstore.Proposal{Request: "other", Edit: func(thconfig.Tables) ([]thconfig.Edit, error) {
		return []thconfig.Edit{thconfig.SetPool{Pool: thconfig.Pool{Name: "other", Service: "other", Version: "1", Floor: 50}}}, nil
	}})
	assert.NilError(t, err)
	assert.Equal(t, c.Version, version)
	assert.NilError(t, f.Wait(t.Context(), 10*time.Second, "alarmed", func(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Config.Alarm == "diverged" }))
	requireEditWithoutDaemonRejected(t, f, version)
	admin := f.Upstreams[4].Admin()
	out, code, err := f.RunCommand(t.Context(), "--admin", admin, "status")
	assert.NilError(t, err)
	assert.Equal(t, code, 8, out)
	killDaemons(f.Upstreams[:3]...)
	startDaemons(t, 20*time.Second, f.Upstreams[:3]...)
	o := runEdit(t, f, "--admin", admin, "recover", "--wait", "10s")
	assert.Equal(t, o.exitCode, 0, o.output)
	assert.Assert(t, o.Version > version, o.output)
	assert.NilError(t, f.Wait(t.Context(), 10*time.Second, "without alarm", func(_ *thfleet.Upstream, s thadmin.Status) bool {
		return s.Config.Alarm == "" && s.Config.Version >= o.Version
	}))
	commitVersions(t, f, &serial, 1)
	r.requireConsistentWithoutLog(t)
}
