package thproof

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thfleet"
)

// Goals of docs/design.md for the time from a commit until it is in effect on every daemon.
const (
	maxConvergenceP99 = time.Second
	maxConvergence    = 3 * time.Second
)

// reportedCommit is a commit and the time at which the operator's command returned it.
type reportedCommit struct {
	version  uint64
	returned time.Time
}

// lifetime is the time from start to end of one daemon process.
type lifetime struct{ from, to time.Time } // to is zero while the process runs

// convergenceTimes returns, for each commit and each daemon that was running when the
// command returned, the time until the daemon reported the version. It fails the test
// for a restarted daemon that became ready without the version.
func convergenceTimes(t *testing.T, history []thcheck.VersionObservation, commits []reportedCommit, lifetimes map[string][]lifetime) []time.Duration {
	t.Helper()
	byDaemon := map[string][]thcheck.VersionObservation{}
	for _, h := range history {
		byDaemon[h.Daemon] = append(byDaemon[h.Daemon], h)
	}
	var durations []time.Duration
	for _, m := range commits {
		for name, observations := range byDaemon {
			for _, l := range lifetimes[name] {
				if !l.to.IsZero() && l.to.Before(m.returned.Add(maxConvergence)) {
					continue // ended before the goal's time had passed
				}
				d, found := timeToVersion(t, observations, m, l)
				assert.Assert(t, found, "%s never reported version %d", name, m.version)
				if l.from.Before(m.returned) {
					durations = append(durations, d)
				}
			}
		}
	}
	return durations
}

// timeToVersion returns the time until the process reported the version, and false if
// it never did. A process that started after the commit must have the version when it
// becomes ready. The time counts from the commit, or from the process's last report of
// not being ready if that is later.
func timeToVersion(t *testing.T, observations []thcheck.VersionObservation, m reportedCommit, l lifetime) (time.Duration, bool) {
	t.Helper()
	since := m.returned
	for _, h := range observations {
		if h.Time.Before(l.from) {
			continue
		}
		if !l.to.IsZero() && h.Time.After(l.to) {
			return 0, false
		}
		if l.from.After(m.returned) && h.Ready {
			assert.Assert(t, h.Version >= m.version, "%s became ready with version %d after %d was committed", h.Daemon, h.Version, m.version)
		}
		if h.Version >= m.version {
			return max(0, h.Time.Sub(since)), true
		}
		if !h.Ready {
			since = maxTime(since, h.Time) // a starting daemon may lack the version until it is ready
		}
	}
	return 0, false
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// commitAndWait makes n commits. It calls before and after around each commit, then
// repeats the command with --wait until the version is in effect everywhere.
func commitAndWait(t *testing.T, f *thfleet.Fleet, serial *int, n int, before, after func()) []reportedCommit {
	t.Helper()
	var commits []reportedCommit
	for range n {
		before()
		*serial++
		admin := f.Upstreams[*serial%3]
		// Without --wait the command returns at the commit.
		o := setPool(t, f, admin, *serial)
		commits = append(commits, reportedCommit{o.Version, time.Now()})
		assert.Equal(t, o.exitCode, 0, o.output)
		after()
		w := setPool(t, f, admin, *serial, "--wait", "10s")
		assert.Equal(t, w.exitCode, 0, w.output)
		assert.Equal(t, w.Version, o.Version, w.output)
	}
	return commits
}

// reportConvergence logs the convergence times of one condition and checks them
// against the goals.
func reportConvergence(t *testing.T, what string, durations []time.Duration) {
	t.Helper()
	assert.Assert(t, len(durations) > 0, what)
	slices.Sort(durations)
	p99, longest := durations[len(durations)*99/100], durations[len(durations)-1]
	t.Logf("%s: %d daemon commits, p50 %s, p99 %s, max %s", what, len(durations),
		durations[len(durations)/2].Round(time.Millisecond), p99.Round(time.Millisecond), longest.Round(time.Millisecond))
	assert.Assert(t, p99 < maxConvergenceP99, "%s: p99 %s", what, p99)
	assert.Assert(t, longest < maxConvergence, "%s: max %s", what, longest)
}

// Guards against an accepted configuration that takes effect everywhere later than
// the goal, or is replaced by an older version. Covers no faults, a slow table
// service, a table service that fails right after the commit, and an unavailable
// object store.
func TestCommitIsInEffectEverywhere(t *testing.T) {
	f := deploy(t, &thfleet.Ikaze, 2*time.Millisecond)
	r := recordVersions(t, f)
	lifetimes := map[string][]lifetime{}
	for _, u := range f.Upstreams {
		lifetimes[u.Name] = []lifetime{{from: time.Now().Add(-time.Minute)}}
	}
	serial := 0
	noop := func() {}
	for _, c := range []struct {
		what, fault, end string
		before, after    func()
	}{
		{what: "calm", before: noop, after: noop},
		{what: "table service slow", fault: `{"table":{"delay":"200ms"}}`, before: noop, after: noop},
		{
			what:   "table service down after the commit",
			before: func() { setPlatformFault(t, f, `{"table":{"fail":false}}`) },
			after: func() {
				setPlatformFault(t, f, `{"table":{"fail":true}}`)
				time.Sleep(maxConvergence)
				setPlatformFault(t, f, `{"table":{"fail":false}}`)
				time.Sleep(2 * time.Second) // until the circuit breakers close
			},
		},
		{what: "object store down", fault: `{"object":{"fail":true}}`, before: noop, after: noop},
	} {
		n := 8
		if c.what == "table service down after the commit" {
			n = 3
		}
		if c.fault != "" {
			setPlatformFault(t, f, c.fault)
		}
		commits := commitAndWait(t, f, &serial, n, c.before, c.after)
		setPlatformFault(t, f, `{"table":{"fail":false},"object":{"fail":false}}`)
		reportConvergence(t, c.what, convergenceTimes(t, r.observations(), commits, lifetimes))
	}
	r.requireConsistent(t, f)
}

// Guards against restarting daemons that accept calls without the latest commit. A
// third of the daemons is killed and restarted in a loop, then all daemons at once.
func TestCommitReachesRestartingDaemons(t *testing.T) {
	f := deploy(t, &thfleet.Ikaze, 2*time.Millisecond)
	r := recordVersions(t, f)
	var mu sync.Mutex
	lifetimes := map[string][]lifetime{}
	for _, u := range f.Upstreams {
		lifetimes[u.Name] = []lifetime{{from: time.Now().Add(-time.Minute)}}
	}
	restart := func(all ...*thfleet.Upstream) {
		mu.Lock()
		now := time.Now()
		for _, u := range all {
			lifetimes[u.Name][len(lifetimes[u.Name])-1].to = now
		}
		mu.Unlock()
		killDaemons(all...)
		for _, u := range all {
			mu.Lock()
			lifetimes[u.Name] = append(lifetimes[u.Name], lifetime{from: time.Now()})
			mu.Unlock()
			assert.Check(t, u.StartDaemon())
		}
	}
	serial := 0
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var restarts sync.WaitGroup
	restarts.Add(1)
	go func() {
		defer restarts.Done()
		for i := 0; ctx.Err() == nil; i++ {
			third := f.Upstreams[3+i%2*4 : 7+i%2*4]
			restart(third...)
			for _, u := range third {
				wait, stop := context.WithTimeout(ctx, 20*time.Second)
				_ = u.Wait(wait, "ready", isReady)
				stop()
			}
			// A starting daemon holds no version, and --wait correctly lists it as
			// lagging. Without this pause some daemon would be starting at any time.
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
	commits := commitAndWait(t, f, &serial, 5, func() {}, func() {})
	cancel()
	restarts.Wait()
	assert.NilError(t, f.WaitReady(t.Context()))
	reportConvergence(t, "a third restarting", convergenceTimes(t, r.observations(), commits, lifetimes))
	commits = nil
	for range 2 {
		serial++
		o := setPool(t, f, f.Upstreams[0], serial)
		assert.Equal(t, o.exitCode, 0, o.output)
		commits = append(commits, reportedCommit{o.Version, time.Now()})
		begin := time.Now()
		restart(f.Upstreams...)
		assert.NilError(t, f.Wait(t.Context(), 20*time.Second, "ready", isReady))
		t.Logf("all restarted at once: ready after %s", time.Since(begin).Round(time.Millisecond))
	}
	// The recorder polls independently of f.Wait and may not have seen every ready daemon yet.
	r.waitReady(t, f, lifetimes)
	convergenceTimes(t, r.observations(), commits, lifetimes)
	r.requireConsistent(t, f)
}
