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
	goalP99 = time.Second
	goalMax = 3 * time.Second
)

// commitMark is a commit that an operator's command has reported.
type commitMark struct {
	version  uint64
	returned time.Time
}

// life is the time of one process of a daemon.
type life struct{ from, to time.Time } // to is zero while it runs

// convergence returns the time from each commit's return until each daemon that
// ran all the time showed the version. It fails the test for a daemon that
// restarted and was ready without it.
func convergence(t *testing.T, history []thcheck.VersionObservation, marks []commitMark, lives map[string][]life) []time.Duration {
	t.Helper()
	byDaemon := map[string][]thcheck.VersionObservation{}
	for _, h := range history {
		byDaemon[h.Daemon] = append(byDaemon[h.Daemon], h)
	}
	var all []time.Duration
	for _, m := range marks {
		for name, list := range byDaemon {
			for _, l := range lives[name] {
				if !l.to.IsZero() && l.to.Before(m.returned.Add(goalMax)) {
					continue // ended before the goal's time was over
				}
				d, found := reached(t, list, m, l)
				assert.Assert(t, found, "%s never held version %d", name, m.version)
				if l.from.Before(m.returned) {
					all = append(all, d)
				}
			}
		}
	}
	return all
}

// reached returns when the process held the version. One that started after
// the commit must hold it when it becomes ready; one that became ready before
// the commit counts from the commit on.
func reached(t *testing.T, list []thcheck.VersionObservation, m commitMark, l life) (time.Duration, bool) {
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

// commitsIn makes commits with --wait and a pause between them.
func commitsIn(t *testing.T, f *thfleet.Fleet, serial *int, n int, before, after func()) []commitMark {
	t.Helper()
	var marks []commitMark
	for range n {
		before()
		*serial++
		admin := f.Upstreams[*serial%3]
		// Without --wait the command returns at the commit; the wait follows.
		o := setPool(t, f, admin, *serial)
		marks = append(marks, commitMark{o.Version, time.Now()})
		assert.Equal(t, o.code, 0, o.text)
		after()
		w := setPool(t, f, admin, *serial, "--wait", "10s")
		assert.Equal(t, w.code, 0, w.text)
		assert.Equal(t, w.Version, o.Version, w.text)
	}
	return marks
}

// report prints and checks the figures of one condition.
func report(t *testing.T, what string, all []time.Duration) {
	t.Helper()
	assert.Assert(t, len(all) > 0, what)
	slices.Sort(all)
	p99, most := all[len(all)*99/100], all[len(all)-1]
	t.Logf("%s: %d daemon commits, p50 %s, p99 %s, max %s", what, len(all),
		all[len(all)/2].Round(time.Millisecond), p99.Round(time.Millisecond), most.Round(time.Millisecond))
	assert.Assert(t, p99 < goalP99, "%s: p99 %s", what, p99)
	assert.Assert(t, most < goalMax, "%s: max %s", what, most)
}

// Guards against an accepted configuration that takes longer than the goal to
// be in effect everywhere, or that goes back: calm, with a slow table service,
// with one that fails right after the commit, and without the object store.
func TestCommitIsInEffectEverywhere(t *testing.T) {
	f := deploy(t, &thfleet.Ikaze, 2*time.Millisecond)
	r := record(t, f)
	lives := map[string][]life{}
	for _, u := range f.Upstreams {
		lives[u.Name] = []life{{from: time.Now().Add(-time.Minute)}}
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
			before: func() { platformFault(t, f, `{"table":{"fail":false}}`) },
			after: func() {
				platformFault(t, f, `{"table":{"fail":true}}`)
				time.Sleep(goalMax)
				platformFault(t, f, `{"table":{"fail":false}}`)
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
			platformFault(t, f, c.begin)
		}
		marks := commitsIn(t, f, &serial, n, c.before, c.after)
		platformFault(t, f, `{"table":{"fail":false},"object":{"fail":false}}`)
		report(t, c.what, convergence(t, r.all(), marks, lives))
	}
	r.requireConsistent(t, f)
}

// Guards against a commit that restarting daemons lack when they accept calls:
// a third of them is killed and restarted in a loop, then all at once.
func TestCommitReachesRestartingDaemons(t *testing.T) {
	f := deploy(t, &thfleet.Ikaze, 2*time.Millisecond)
	r := record(t, f)
	var mu sync.Mutex
	lives := map[string][]life{}
	for _, u := range f.Upstreams {
		lives[u.Name] = []life{{from: time.Now().Add(-time.Minute)}}
	}
	restart := func(all ...*thfleet.Upstream) {
		mu.Lock()
		now := time.Now()
		for _, u := range all {
			lives[u.Name][len(lives[u.Name])-1].to = now
		}
		mu.Unlock()
		kill(all...)
		for _, u := range all {
			mu.Lock()
			lives[u.Name] = append(lives[u.Name], life{from: time.Now()})
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
				_ = x.Wait(wait, "ready", ready)
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
	marks := commitsIn(t, f, &serial, 5, func() {}, func() {})
	cancel()
	group.Wait()
	assert.NilError(t, f.WaitReady(t.Context()))
	report(t, "a third restarting", convergence(t, r.all(), marks, lives))
	marks = nil
	for range 2 {
		serial++
		o := setPool(t, f, f.Upstreams[0], serial)
		assert.Equal(t, o.code, 0, o.text)
		marks = append(marks, commitMark{o.Version, time.Now()})
		begin := time.Now()
		restart(f.Upstreams...)
		assert.NilError(t, f.Wait(t.Context(), 20*time.Second, "ready", ready))
		t.Logf("all restarted at once: ready after %s", time.Since(begin).Round(time.Millisecond))
	}
	// The recorder polls by itself and may not have seen a daemon that f.Wait has.
	r.waitReady(t, f, lives)
	convergence(t, r.all(), marks, lives)
	r.requireConsistent(t, f)
}
