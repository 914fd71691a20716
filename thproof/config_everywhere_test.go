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

// The goals of docs/design.md for the time until a commit is in effect everywhere.
const (
	maxConvergenceP99 = time.Second
	maxConvergence = 3 * time.Second
)

// reportedCommit is a commit that an operator's command has reported.
type reportedCommit struct {
	version  uint64
	returned time.Time
}

// lifetime is the time of one process of a daemon.
type lifetime struct{ from, to time.Time } // to is zero while it runs

// convergenceTimes returns the time from each commit's return until each daemon that
// ran all the time showed the version. It fails the test for a daemon that
// restarted and was ready without it.
func convergenceTimes(t *testing.T, history []thcheck.Held, marks []reportedCommit, lifetimes map[string][]lifetime) []time.Duration {
	t.Helper()
	byDaemon := map[string][]thcheck.Held{}
	for _, h := range history {
		byDaemon[h.Daemon] = append(byDaemon[h.Daemon], h)
	}
	var all []time.Duration
	for _, m := range marks {
		for name, list := range byDaemon {
			for _, l := range lifetimes[name] {
				if !l.to.IsZero() && l.to.Before(m.returned.Add(maxConvergence)) {
					continue // ended before the goal's time was over
				}
				d, found := timeToVersion(t, list, m, l)
				assert.Assert(t, found, "%s never held version %d", name, m.version)
				if l.from.Before(m.returned) {
					all = append(all, d)
				}
			}
		}
	}
	return all
}

// timeToVersion returns when the process held the version. One that started after
// the commit must hold it when it becomes ready; one that became ready before
// the commit counts from the commit on.
func timeToVersion(t *testing.T, list []thcheck.Held, m reportedCommit, l lifetime) (time.Duration, bool) {
	t.Helper()
	since := m.returned
	for _, h := range list {
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
			since = maxTime(since, h.Time) // a daemon that starts has until it is ready
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

// commitAndWait makes commits with --wait and a pause between them.
func commitAndWait(t *testing.T, f *thfleet.Fleet, serial *int, n int, before, after func()) []reportedCommit {
	t.Helper()
	var marks []reportedCommit
	for range n {
		before()
		*serial++
		admin := f.Upstreams[*serial%3]
		// Without --wait the command returns at the commit; the wait follows.
		o := setPool(t, f, admin, *serial)
		marks = append(marks, reportedCommit{o.Version, time.Now()})
		assert.Equal(t, o.exitCode, 0, o.output)
		after()
		w := setPool(t, f, admin, *serial, "--wait", "10s")
		assert.Equal(t, w.exitCode, 0, w.output)
		assert.Equal(t, w.Version, o.Version, w.output)
	}
	return marks
}

// reportConvergence prints and checks the figures of one condition.
func reportConvergence(t *testing.T, what string, all []time.Duration) {
	t.Helper()
	assert.Assert(t, len(all) > 0, what)
	slices.Sort(all)
	p99, most := all[len(all)*99/100], all[len(all)-1]
	t.Logf("%s: %d daemon commits, p50 %s, p99 %s, max %s", what, len(all),
		all[len(all)/2].Round(time.Millisecond), p99.Round(time.Millisecond), most.Round(time.Millisecond))
	assert.Assert(t, p99 < maxConvergenceP99, "%s: p99 %s", what, p99)
	assert.Assert(t, most < maxConvergence, "%s: max %s", what, most)
}

// Guards against an accepted configuration that takes longer than the goal to
// be in effect everywhere, or that goes back: calm, with a slow table service,
// with one that fails right after the commit, and without the object store.
func TestCommitIsInEffectEverywhere(t *testing.T) {
	f := deploy(t, &thfleet.Ikaze, 2*time.Millisecond)
	r := recordVersions(t, f)
	lifetimes := map[string][]lifetime{}
	for _, u := range f.Upstreams {
		lifetimes[u.Name] = []lifetime{{from: time.Now().Add(-time.Minute)}}
	}
	serial := 0
	none := func() {}
	for _, c := range []struct {
		what, begin, end string
		before, after    func()
	}{
		{what: "calm", before: none, after: none},
		{what: "table service slow", begin: `{"table":{"delay":"200ms"}}`, before: none, after: none},
		{
			what:   "table service down after the commit",
			before: func() { setPlatformFault(t, f, `{"table":{"fail":false}}`) },
			after: func() {
				setPlatformFault(t, f, `{"table":{"fail":true}}`)
				time.Sleep(maxConvergence)
				setPlatformFault(t, f, `{"table":{"fail":false}}`)
				time.Sleep(2 * time.Second) // circuit breakers close
			},
		},
		{what: "object store down", begin: `{"object":{"fail":true}}`, before: none, after: none},
	} {
		n := 8
		if c.what == "table service down after the commit" {
			n = 3
		}
		if c.begin != "" {
			setPlatformFault(t, f, c.begin)
		}
		marks := commitAndWait(t, f, &serial, n, c.before, c.after)
		setPlatformFault(t, f, `{"table":{"fail":false},"object":{"fail":false}}`)
		reportConvergence(t, c.what, convergenceTimes(t, r.observations(), marks, lifetimes))
	}
	r.requireConsistent(t, f)
}

// Guards against a commit that restarting daemons lack when they accept calls:
// a third of them is killed and restarted in a loop, then all at once.
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
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		for i := 0; ctx.Err() == nil; i++ {
			u := f.Upstreams[3+i%2*4 : 7+i%2*4]
			restart(u...)
			for _, x := range u {
				wait, stop := context.WithTimeout(ctx, 20*time.Second)
				_ = x.Wait(wait, "ready", isReady)
				stop()
			}
			// A starting daemon holds no version, and --wait truly names it as
			// lagging: without a pause there is no moment without one.
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
	marks := commitAndWait(t, f, &serial, 5, func() {}, func() {})
	cancel()
	group.Wait()
	assert.NilError(t, f.WaitReady(t.Context()))
	reportConvergence(t, "a third restarting", convergenceTimes(t, r.observations(), marks, lifetimes))
	marks = nil
	for range 2 {
		serial++
		o := setPool(t, f, f.Upstreams[0], serial)
		assert.Equal(t, o.exitCode, 0, o.output)
		marks = append(marks, reportedCommit{o.Version, time.Now()})
		begin := time.Now()
		restart(f.Upstreams...)
		assert.NilError(t, f.Wait(t.Context(), 20*time.Second, "ready", isReady))
		t.Logf("all restarted at once: ready after %s", time.Since(begin).Round(time.Millisecond))
	}
	// The recorder polls by itself and may not have seen a daemon that f.Wait has.
	r.waitReady(t, f, lifetimes)
	convergenceTimes(t, r.observations(), marks, lifetimes)
	r.requireConsistent(t, f)
}
