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

// deployLinked is deploy with a fault-injecting proxy before every address.
func deployLinked(t *testing.T, d *thfleet.Deployment, work time.Duration) *thfleet.Fleet {
	t.Helper()
	f := fleet(t)
	f.UseLinks, f.WriteJournals = true, true
	_, err := f.Command(t.Context(), "apply", tablesOf(d))
	assert.NilError(t, err)
	assert.NilError(t, f.AddAll(d, work))
	assert.NilError(t, f.WaitReady(t.Context()))
	return f
}

// Guards against calls that fail, and claims that are not true, when the links
// to a daemon and to a backend server are cut.
func TestCutLinks(t *testing.T) {
	f := deployLinked(t, &thfleet.Ishikari, 2*time.Millisecond)
	warm(t, f, "/slots/now")
	r := send(t, f, &thload.Generator{Path: "/slots/stream?parts=5&gap=5", Parts: 5, Rate: 200})
	books := send(t, f, &thload.Generator{Path: "/bookings/new", Method: "POST", NonIdempotent: true, Rate: 50})
	for range 3 {
		for _, name := range []string{"slotboard-1-1", "bookdesk-1-2"} {
			u := upstream(t, f, name)
			u.PeerLink.Disconnect()
			time.Sleep(300 * time.Millisecond)
			assert.NilError(t, u.PeerLink.Restore())
			u.ServerLink.Disconnect()
			time.Sleep(300 * time.Millisecond)
			assert.NilError(t, u.ServerLink.Restore())
		}
	}
	r.stop(t)
	books.stop(t)
	r.requireHeld(t, f)
	books.requireHeld(t, f)
	r.requireOnlyBegunCut(t)
	// Six cuts hit the slot board. Each may break the streams in progress, about
	// 200/s * 25 ms, twice as many under noise.
	cut := len(r.all) - r.good()
	assert.Assert(t, cut <= 6*10, "%d of %d streams cut", cut, len(r.all))
	t.Logf("%d of %d streams and %d of %d bookings good", r.good(), len(r.all), books.good(), len(books.all))
}

// requireOnlyBegunCut fails the test when a call of a safe route has no answer
// although none had begun: another server had to answer it.
func (c *calls) requireOnlyBegunCut(t *testing.T) {
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
