package thproof

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// deployWithLinks is deploy with a fault-injecting link in front of every address and
// with journals of the backend servers' records.
func deployWithLinks(t *testing.T, d *thfleet.Deployment, work time.Duration) *thfleet.Fleet {
	t.Helper()
	f := newFleet(t)
	f.UseLinks, f.WriteJournals = true, true
	_, err := f.Command(t.Context(), "apply", tablesFile(d))
	assert.NilError(t, err)
	assert.NilError(t, f.AddAll(d, work))
	assert.NilError(t, f.WaitReady(t.Context()))
	return f
}

// Guards against failed calls, and results that contradict the servers' records, when
// the links to a daemon and to a backend server are cut.
func TestCutLinks(t *testing.T) {
	f := deployWithLinks(t, &thfleet.Ishikari, 2*time.Millisecond)
	warmUp(t, f, "/slots/now")
	r := startTraffic(t, f, &thload.Generator{Path: "/slots/stream?parts=5&gap=5", Parts: 5, Rate: 200})
	bookings := startTraffic(t, f, &thload.Generator{Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 50})
	for range 3 {
		for _, name := range []string{"slotboard-1-1", "bookdesk-1-2"} {
			u := findUpstream(t, f, name)
			u.PeerLink.Disconnect()
			time.Sleep(300 * time.Millisecond)
			assert.NilError(t, u.PeerLink.Restore())
			u.ServerLink.Disconnect()
			time.Sleep(300 * time.Millisecond)
			assert.NilError(t, u.ServerLink.Restore())
		}
	}
	r.stop(t)
	bookings.stop(t)
	r.requireMatchesRecords(t, f)
	bookings.requireMatchesRecords(t, f)
	r.requireOnlyTruncated(t)
	// Six cuts hit slotboard. Each may break the streams in progress: about
	// 200/s * 25 ms = 5, and up to twice as many on a noisy machine.
	truncated := len(r.all) - r.goodCount()
	assert.Assert(t, truncated <= 6*10, "%d of %d streams truncated", truncated, len(r.all))
	t.Logf("%d of %d streams and %d of %d bookings good", r.goodCount(), len(r.all), bookings.goodCount(), len(bookings.all))
}

// requireOnlyTruncated fails the test when a call of an idempotent route failed before
// its response started: the call must be retried on another server.
func (c *callRecorder) requireOnlyTruncated(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	kinds := map[string]int{}
	for i := range c.all {
		if k := &c.all[i]; !k.Succeeded() && (!k.Cut || k.Status != http.StatusOK) {
			kinds[fmt.Sprintf("status=%d outcome=%q cut=%t error=%q", k.Status, k.Outcome, k.Cut, k.Error)]++
		}
	}
	assert.Assert(t, len(kinds) == 0, "%d calls: %v", len(c.all), kinds)
}
