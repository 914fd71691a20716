package thproof

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/thcheck"
	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// deployRegions starts Ishikari's slotboard and bookdesk in two regions. Each region has
// enough servers for the calls that start in it.
func deployRegions(t *testing.T) (f *thfleet.Fleet, near, far []*thfleet.Upstream) {
	t.Helper()
	f = newFleet(t)
	f.UseLinks, f.WriteJournals, f.SeparableRegions = true, true, true
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
	assert.NilError(t, err)
	for _, d := range []thfleet.Deployment{
		{Name: "near", Region: "hokkaido", Zones: []string{"sapporo", "otaru"}},
		{Name: "far", Region: "tohoku", Zones: []string{"sendai", "morioka"}},
	} {
		d.Slots = thfleet.Ishikari.Slots
		for _, s := range []thfleet.Service{{Name: "slotboard", Upstreams: 4}, {Name: "bookdesk", Upstreams: 2}} {
			for _, u := range d.NewUpstreams(s, "1", 2*time.Millisecond) {
				u.Name = d.Name + "-" + u.Name
				assert.NilError(t, f.Add(u))
			}
		}
	}
	half := len(f.Upstreams) / 2
	assert.NilError(t, f.WaitReady(t.Context()))
	return f, f.Upstreams[:half], f.Upstreams[half:]
}

// allMembersIn returns a condition that holds when the daemon sees every member of the
// region in the state.
func allMembersIn(region, state string) func(*thfleet.Upstream, thadmin.Status) bool {
	return func(_ *thfleet.Upstream, s thadmin.Status) bool {
		return !slices.ContainsFunc(s.Members, func(m thadmin.MemberEntry) bool { return m.Region == region && m.State != state })
	}
}

// waitDaemons waits until the condition holds for each daemon, at most until the limit
// for all of them.
func waitDaemons(t *testing.T, upstreams []*thfleet.Upstream, limit time.Duration, what string, holds func(*thfleet.Upstream, thadmin.Status) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	for _, u := range upstreams {
		assert.NilError(t, u.Wait(ctx, what, holds))
	}
}

// lastAtVersion returns when the last daemon first reported the version.
func lastAtVersion(t *testing.T, history []thcheck.VersionObservation, upstreams []*thfleet.Upstream, version uint64) time.Time {
	t.Helper()
	var last time.Time
	for _, u := range upstreams {
		i := slices.IndexFunc(history, func(h thcheck.VersionObservation) bool { return h.Daemon == u.Name && h.Version >= version })
		assert.Assert(t, i >= 0, "%s never reported version %d", u.Name, version)
		last = maxTime(last, history[i].Time)
	}
	return last
}

// Checks guarantees 1, 2 and 12 when two regions are partitioned for longer than the
// dead timeout and only one of them reaches the platform. Guards against calls that fail
// in a region during the partition or the merge, versions that go back or refer to
// missing pools, and regions that stay separate after their links are restored.
func TestRegionsParted(t *testing.T) {
	f, near, far := deployRegions(t)
	r := recordVersions(t, f)
	warmUp(t, f, "/slots/now")
	warmUp(t, f, "/bookings/now")
	var loads []*traffic
	for _, side := range [][]*thfleet.Upstream{near, far} {
		loads = append(loads,
			startTraffic(t, f, &thload.Generator{Targets: ingressAddresses(side), Path: "/slots/stream?parts=5&gap=5", Parts: 5, Rate: 100}),
			startTraffic(t, f, &thload.Generator{Targets: ingressAddresses(side), Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 20}))
	}
	time.Sleep(time.Second)
	serial := 0
	versionBefore := commitVersions(t, f, &serial, 1)

	f.PartitionRegions()
	for _, u := range far {
		u.PlatformLink.Disconnect()
	}
	partitionStart := time.Now()
	waitDaemons(t, near, 12*time.Second, "without the other region", allMembersIn("tohoku", "dead"))
	waitDaemons(t, far, 12*time.Second, "without the other region", allMembersIn("hokkaido", "dead"))
	t.Logf("each region has removed the other %s after the partition started", time.Since(partitionStart).Round(time.Millisecond))
	var commits []reportedCommit
	for range 4 {
		// A new pool and a route to it, each in a version of its own.
		serial++
		o := setPool(t, f, near[serial%len(near)], serial)
		assert.Equal(t, o.exitCode, 0, o.output)
		commits = append(commits, reportedCommit{o.Version, time.Now()})
		o = runEdit(t, f, "--admin", near[0].Admin(), "route", "set", "spare", "--path", "/spare", "--pool", "spare",
			"--repeat", "safe", "--timeout", (time.Duration(serial) * time.Second).String())
		assert.Equal(t, o.exitCode, 0, o.output)
		commits = append(commits, reportedCommit{o.Version, time.Now()})
	}
	version := commits[len(commits)-1].version
	time.Sleep(time.Until(partitionStart.Add(17 * time.Second)))
	for _, u := range far {
		s, err := u.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Config.Version, versionBefore, u.Name)
		assert.Assert(t, s.Self.Ready, u.Name)
	}
	partitionEnd := time.Now()
	f.HealRegions()
	// The far region is still cut off from the platform: it receives updates only over
	// the control connections of the merged regions.
	waitDaemons(t, far, 20*time.Second, "at the newest version", func(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Config.Version >= version })
	waitDaemons(t, far, 20*time.Second, "with the other region", allMembersIn("hokkaido", "alive"))
	waitDaemons(t, near, 20*time.Second, "with the other region", allMembersIn("tohoku", "alive"))
	t.Logf("membership merged %s after the links were restored", time.Since(partitionEnd).Round(time.Millisecond))
	serial++
	o := setPool(t, f, near[0], serial)
	assert.Equal(t, o.exitCode, 0, o.output)
	merged := reportedCommit{o.Version, time.Now()}
	waitDaemons(t, far, maxConvergence, "at the version committed after the merge", func(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Config.Version >= o.Version })
	for _, u := range far {
		assert.NilError(t, u.PlatformLink.Restore())
	}
	for _, c := range loads {
		c.stop(t)
	}

	history := r.observations()
	lifetimes := map[string][]lifetime{}
	for _, u := range near {
		lifetimes[u.Name] = []lifetime{{from: partitionStart.Add(-time.Minute)}}
	}
	inNear := slices.DeleteFunc(slices.Clone(history), func(h thcheck.VersionObservation) bool { return lifetimes[h.Daemon] == nil })
	reportConvergence(t, "within the region of the platform", convergenceTimes(t, inNear, commits, lifetimes))
	// The regions' first contact is when the first daemon of the far region reports the
	// newest version. Dead members are dialled every 5 s, and a dial that started during
	// the partition lasts 2 s more.
	firstContact := time.Time{}
	for _, h := range history {
		if h.Version >= version && slices.ContainsFunc(far, func(u *thfleet.Upstream) bool { return u.Name == h.Daemon }) {
			firstContact = h.Time
			break
		}
	}
	last := lastAtVersion(t, history, far, version)
	t.Logf("first contact %s after the links were restored, the newest version everywhere %s after that; a later commit everywhere after %s",
		firstContact.Sub(partitionEnd).Round(time.Millisecond), last.Sub(firstContact).Round(time.Millisecond),
		lastAtVersion(t, history, far, merged.version).Sub(merged.returned).Round(time.Millisecond))
	assert.Assert(t, firstContact.Sub(partitionEnd) < 10*time.Second)
	assert.Assert(t, last.Sub(firstContact) < maxConvergence)
	for i, c := range loads {
		c.requireMatchesRecords(t, f)
		kinds := c.failureKinds()
		t.Logf("region %d, non-idempotent %t: %d of %d calls good, failures %v", i/2, i%2 == 1, c.goodCount(), len(c.all), kinds)
		for k := range c.all {
			if !c.all[k].Succeeded() {
				t.Logf("failed %s after the cut: %+v", c.all[k].Start.Sub(partitionStart).Round(time.Millisecond), c.all[k])
			}
		}
		requireGoodAfter(t, &c.callRecorder, partitionStart.Add(time.Second))
		// Otherwise only a few calls near the cut may fail: those in progress over the links,
		// and those on servers that take over the other region's load.
		assert.Assert(t, len(c.all)-c.goodCount() <= 5, "%v", kinds)
	}
	r.requireConsistent(t, f)
}

// requireGoodAfter fails the test when a call that started after the time failed, or
// when no call started after it.
func requireGoodAfter(t *testing.T, c *callRecorder, from time.Time) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range c.all {
		if k := &c.all[i]; k.Start.After(from) {
			n++
			assert.Assert(t, k.Succeeded(), "%+v", *k)
		}
	}
	assert.Assert(t, n > 0)
}
