package thproof

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thstandin"
)

// Bounds of docs/design.md, section 5, on the requests of a fleet that starts
// at once: pollers read four times a second, each starting daemon reads the
// head, a snapshot and the changes after it, and its guard lets no more through
// than its burst.
const (
	pollerReadRate = 4.0
	maxBurstReads  = 16
	maxBurstWrites = 8
)

func fetchPlatformStatus(t *testing.T, f *thfleet.Fleet) thstandin.PlatformStatus {
	t.Helper()
	a, err := http.Get("http://" + f.PlatformAddress() + thstandin.FaultPath)
	assert.NilError(t, err)
	defer a.Body.Close()
	var s thstandin.PlatformStatus
	assert.NilError(t, json.NewDecoder(a.Body).Decode(&s))
	return s
}

// Guards against a fleet that overloads the platform, or stays unready, when
// all upstreams of both deployments are killed and started at once.
func TestHerd(t *testing.T) {
	f := newFleet(t)
	_, err := f.Command(t.Context(), "apply", tablesFile(&thfleet.Ishikari))
	assert.NilError(t, err)
	assert.NilError(t, f.AddAll(&thfleet.Ishikari, 2*time.Millisecond))
	assert.NilError(t, f.AddAll(&thfleet.Ikaze, 2*time.Millisecond))
	assert.NilError(t, f.WaitReady(t.Context()))
	serial := 0
	commitVersions(t, f, &serial, 2)
	r := recordVersions(t, f)
	n := float64(len(f.Upstreams))
	for range 2 {
		killDaemons(f.Upstreams...)
		for _, u := range f.Upstreams {
			u.Server.Kill()
		}
		before := fetchPlatformStatus(t, f)
		begin := time.Now()
		for _, u := range f.Upstreams {
			assert.NilError(t, u.StartDaemon())
			assert.NilError(t, u.StartServer())
		}
		peak, last, at := uint64(0), before.Table.Reads, begin
		done := make(chan error, 1)
		go func() { done <- f.Wait(t.Context(), 30*time.Second, "ready", isReady) }()
		for wait := true; wait; {
			select {
			case err := <-done:
				assert.NilError(t, err)
				wait = false
			case <-time.After(20 * time.Millisecond):
			}
			if now := time.Now(); now.Sub(at) >= time.Second || !wait {
				s := fetchPlatformStatus(t, f)
				peak, last, at = max(peak, s.Table.Reads-last), s.Table.Reads, now
			}
		}
		took := time.Since(begin)
		after := fetchPlatformStatus(t, f)
		reads := float64(after.Table.Reads + after.Object.Reads - before.Table.Reads - before.Object.Reads)
		writes := float64(after.Table.Writes + after.Object.Writes - before.Table.Writes - before.Object.Writes)
		t.Logf("%.0f upstreams ready after %s; %.0f reads (peak of a second %d) and %.0f writes at the platform, %.1f and %.1f for each daemon",
			n, took.Round(time.Millisecond), reads, peak, writes, reads/n, writes/n)
		assert.Assert(t, reads <= n*maxBurstReads+pollerReadRate*n*took.Seconds(), "%.0f reads", reads)
		assert.Assert(t, writes <= n*maxBurstWrites, "%.0f writes", writes)
	}
	// Starting daemons look for peers for some 16 s; then the fleet stays at the
	// reads of its pollers and its share of the reads of announcements.
	limit := 84 + 2*n/30 // a page of a small table takes two reads, every 30 s
	rate := limit + 1
	for end := time.Now().Add(20 * time.Second); rate > limit && time.Now().Before(end); {
		before, begin := fetchPlatformStatus(t, f), time.Now()
		time.Sleep(3 * time.Second)
		after := fetchPlatformStatus(t, f)
		rate = float64(after.Table.Reads-before.Table.Reads) / time.Since(begin).Seconds()
		t.Logf("%.1f reads/s, allowed %.1f", rate, limit)
	}
	assert.Assert(t, rate <= limit)
	r.requireConsistent(t, f)
}
