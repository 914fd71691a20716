package thproof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thfleet"
	"github.com/turmerichaven/turmerichaven/thload"
)

// Guards against processes that don't work together end to end: operator commands,
// platform, daemons, backend servers and a streamed call, for both deployments.
func TestWholePath(t *testing.T) {
	for _, d := range []*thfleet.Deployment{&thfleet.Ishikari, &thfleet.Ikaze} {
		t.Run(d.Name, func(t *testing.T) {
			f := deploy(t, d, 2*time.Millisecond)
			path, pool := "/slots", "slotboard"
			if d == &thfleet.Ikaze {
				path, pool = "/catalogue", "vitrine"
			}
			out, err := f.Command(t.Context(), "--admin", f.Upstreams[0].Admin(), "route", "set", "extra",
				"--path", "/extra", "--pool", pool, "--repeat", "safe", "--timeout", "3s", "--wait", "5s")
			assert.NilError(t, err)
			t.Log(out)
			var c callRecorder
			g := &thload.Generator{
				Targets: fleetIngresses(f), Path: path + "/stream?parts=5&gap=2", Rate: 100, Duration: 2 * time.Second,
				Concurrency: 32, Timeout: 5 * time.Second, Parts: 5, Record: c.add,
			}
			assert.NilError(t, g.Run(t.Context()))
			c.requireAllGood(t)
			c.requireMatchesRecords(t, f)
			assert.NilError(t, f.Stop())
		})
	}
}
