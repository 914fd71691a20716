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

// regions starts Ishikari's slot board and bookings in two regions, on each side
// enough servers for the calls of its callers.
func regions(t *testing.T) (f *thfleet.Fleet, near, far []*thfleet.Upstream) {
	t.Helper()
	f = fleet(t)
	f.UseLinks, f.WriteJournals, f.SeparableRegions = true, true, true
	_, err := f.Command(t.Context(), "apply", tablesOf(&thfleet.Ishikari))
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

// sees returns a condition that holds for a daemon that has members of the
// region in this state only.
func sees(region, state string) func(*thfleet.Upstream, thadmin.Status) bool {
	return func(_ *thfleet.Upstream, s thadmin.Status) bool {
		return !slices.ContainsFunc(s.Members, func(m thadmin.MemberEntry) bool { return m.Region == region && m.State != state })
	}
}

// waitAll waits until the condition holds for each of the daemons.
func waitAll(t *testing.T, all []*thfleet.Upstream, limit time.Duration, what string, holds func(*thfleet.Upstream, thadmin.Status) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	for _, u := range all {
		assert.NilError(t, u.Wait(ctx, what, holds))
	}
}

// firstHeld returns when the last of the daemons first showed the version.
func firstHeld(t *testing.T, history []thcheck.VersionObservation, all []*thfleet.Upstream, version uint64) time.Time {
	t.Helper()
	var last time.Time
	for _, u := range all {
		i := slices.IndexFunc(history, func(h thcheck.VersionObservation) bool { return h.Daemon == u.Name && h.Version >= version })
		assert.Assert(t, i >= 0, "%s never held version %d", u.Name, version)
		last = maxTime(last, history[i].Time)
	}
	return last
}

// Guards guarantees 1, 2 and 12 across a partition of two regions that is longer
// than the dead timeout, with the platform reachable from one region only:
// against a region whose calls fail while it is alone or when it merges, versions that go back or
// name missing pools, and regions that stay apart once their links are whole.
func TestRegionsParted(t *testing.T) {
	f, near, far := regions(t)
	r := record(t, f)
	warm(t, f, "/slots/now")
	warm(t, f, "/bookings/now")
	var all []*traffic
	for _, side := range [][]*thfleet.Upstream{near, far} {
		all = append(all,
			send(t, f, &thload.Generator{Targets: addresses(side), Path: "/slots/stream?parts=5&gap=5", Parts: 5, Rate: 100}),
			send(t, f, &thload.Generator{Targets: addresses(side), Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 20}))
	}
	time.Sleep(time.Second)
	serial := 0
	before := commits(t, f, &serial, 1)

	f.PartitionRegions()
	for _, u := range far {
		u.PlatformLink.Disconnect()
	}
	parted := time.Now()
	waitAll(t, near, 12*time.Second, "without the other region", sees("tohoku", "dead"))
	waitAll(t, far, 12*time.Second, "without the other region", sees("hokkaido", "dead"))
	t.Logf("each region has removed the other %s after the partition began", time.Since(parted).Round(time.Millisecond))
	var marks []commitMark
	for range 4 {
		// A new pool, and a route to it, in one version each.
		serial++
		o := setPool(t, f, near[serial%len(near)], serial)
		assert.Equal(t, o.code, 0, o.text)
		marks = append(marks, commitMark{o.Version, time.Now()})
		o = edit(t, f, "--admin", near[0].Admin(), "route", "set", "spare", "--path", "/spare", "--pool", "spare",
			"--repeat", "safe", "--timeout", (time.Duration(serial) * time.Second).String())
		assert.Equal(t, o.code, 0, o.text)
		marks = append(marks, commitMark{o.Version, time.Now()})
	}
	version := marks[len(marks)-1].version
	time.Sleep(time.Until(parted.Add(17 * time.Second)))
	for _, u := range far {
		s, err := u.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Config.Version, before, u.Name)
		assert.Assert(t, s.Self.Ready, u.Name)
	}
	ended := time.Now()
	f.HealRegions()
	// The platform stays out of reach of the far region: what arrives there comes
	// over the control connections of the regions that found each other again.
	waitAll(t, far, 20*time.Second, "at the newest version", func(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Config.Version >= version })
	waitAll(t, far, 20*time.Second, "with the other region", sees("hokkaido", "alive"))
	waitAll(t, near, 20*time.Second, "with the other region", sees("tohoku", "alive"))
	t.Logf("membership merged %s after the links were whole", time.Since(ended).Round(time.Millisecond))
	serial++
	o := setPool(t, f, near[0], serial)
	assert.Equal(t, o.code, 0, o.text)
	merged := commitMark{o.Version, time.Now()}
	waitAll(t, far, goalMax, "at the version committed after the merge", func(_ *thfleet.Upstream, s thadmin.Status) bool { return s.Config.Version >= o.Version })
	for _, u := range far {
		assert.NilError(t, u.PlatformLink.Restore())
	}
	for _, c := range all {
		c.stop(t)
	}

	history := r.all()
	lives := map[string][]life{}
	for _, u := range near {
		lives[u.Name] = []life{{from: parted.Add(-time.Minute)}}
	}
	inNear := slices.DeleteFunc(slices.Clone(history), func(h thcheck.VersionObservation) bool { return lives[h.Daemon] == nil })
	report(t, "within the region of the platform", convergence(t, inNear, marks, lives))
	// The first daemon beyond the cut that has the newest version shows the first
	// contact of the regions; dead members are dialled every 5 s, and a dial that
	// began in the partition lasts 2 s more.
	contact := time.Time{}
	for _, h := range history {
		if h.Version >= version && slices.ContainsFunc(far, func(u *thfleet.Upstream) bool { return u.Name == h.Daemon }) {
			contact = h.Time
			break
		}
	}
	last := firstHeld(t, history, far, version)
	t.Logf("first contact %s after the links were whole, the newest version everywhere %s after that; a later commit everywhere after %s",
		contact.Sub(ended).Round(time.Millisecond), last.Sub(contact).Round(time.Millisecond),
		firstHeld(t, history, far, merged.version).Sub(merged.returned).Round(time.Millisecond))
	assert.Assert(t, contact.Sub(ended) < 10*time.Second)
	assert.Assert(t, last.Sub(contact) < goalMax)
	for i, c := range all {
		c.requireHeld(t, f)
		kinds := c.kinds()
		t.Logf("region %d, once %t: %d of %d calls good, others %v", i/2, i%2 == 1, c.good(), len(c.all), kinds)
		for k := range c.all {
			if !c.all[k].Succeeded() {
				t.Logf("not answered %s after the cut: %+v", c.all[k].Start.Sub(parted).Round(time.Millisecond), c.all[k])
			}
		}
		requireAnswered(t, &c.calls, parted.Add(time.Second))
		// Besides, only calls near the cut may be lost: those in progress over the
		// links, and those on servers that take on the others' load.
		assert.Assert(t, len(c.all)-c.good() <= 5, "%v", kinds)
	}
	r.requireConsistent(t, f)
}

// requireAnswered fails the test for a call that began after a time and was not
// answered.
func requireAnswered(t *testing.T, c *calls, from time.Time) {
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
