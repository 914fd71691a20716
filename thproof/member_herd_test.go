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

// Limits of docs/design.md, section 5, on the platform requests of a fleet whose daemons
// start at the same time: pollers read four times a second; each starting daemon reads
// the head, a snapshot and the later changes, and its rate limiter admits at most its
// burst.
const (
	pollerReadRate = 4.0 // per second
	maxBurstReads  = 16
	maxBurstWrites = 8
)

// fetchPlatformStatus reads the request counts of the platform's stand-in.
func fetchPlatformStatus(t *testing.T, f *thfleet.Fleet) thstandin.PlatformStatus {
	t.Helper()
	a, err := http.Get("http://" + f.PlatformAddress() + thstandin.FaultPath)
	assert.NilError(t, err)
	defer a.Body.Close()
	var s thstandin.PlatformStatus
	assert.NilError(t, json.NewDecoder(a.Body).Decode(&s))
	return s
}

// Guards against a thundering herd: a fleet that overloads the platform, or doesn't
// become ready, when all upstreams of both deployments are killed and started at the
// same time.
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
		peak, last, lastTime := uint64(0), before.Table.Reads, begin
		done := make(chan error, 1)
		go func() { done <- f.Wait(t.Context(), 30*time.Second, "ready", isReady) }()
		for waiting := true; waiting; {
			select {
			case err := <-done:
				assert.NilError(t, err)
				waiting = false
			case <-time.After(20 * time.Millisecond):
			}
			if now := time.Now(); now.Sub(lastTime) >= time.Second || !waiting {
				s := fetchPlatformStatus(t, f)
				peak, last, lastTime = max(peak, s.Table.Reads-last), s.Table.Reads, now
			}
		}
		elapsed := time.Since(begin)
		after := fetchPlatformStatus(t, f)
		reads := float64(after.Table.Reads + after.Object.Reads - before.Table.Reads - before.Object.Reads)
		writes := float64(after.Table.Writes + after.Object.Writes - before.Table.Writes - before.Object.Writes)
		t.Logf("%.0f upstreams ready after %s; %.0f reads (peak per second %d) and %.0f writes at the platform, %.1f and %.1f per daemon",
			n, elapsed.Round(time.Millisecond), reads, peak, writes, reads/n, writes/n)
		assert.Assert(t, reads <= n*maxBurstReads+pollerReadRate*n*elapsed.Seconds(), "%.0f reads", reads)
		assert.Assert(t, writes <= n*maxBurstWrites, "%.0f writes", writes)
	}
	// Starting daemons look for peers for about 16 s. After that, only the pollers and
	// the periodic reads of announcements read from the platform.
	limit := 84 + 2*n/30 // each daemon reads a page of a small table every 30 s, in two reads
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
