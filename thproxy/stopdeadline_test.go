package thproxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against a call that arrives at a stopping daemon, waits in the queue of a target until
// the daemon ends, and is cut without a response: the target has to reject it before.
func TestStoppingIngressLimitsDeadlines(t *testing.T) {
	const end = 2 * time.Second
	m := newMesh(t, thconfig.Route{Timeout: 10 * time.Second}, http.HandlerFunc(echoHandler))
	gate := &recordingGate{}
	m.targets[0].Gate = gate
	var stopping atomic.Bool
	m.ingress.EndsIn = func() (time.Duration, bool) { return end, stopping.Load() }
	for _, stops := range []bool{false, true} {
		stopping.Store(stops)
		_, _, err := do(t, m.client, "POST", m.front.URL+"/x", nil)
		assert.NilError(t, err)
	}
	deadline := func(o thwire.Open) time.Duration { return time.Duration(o.Deadline) }
	assert.Assert(t, deadline(gate.opens[0]) > 9*time.Second, "%s", deadline(gate.opens[0]))
	assert.Assert(t, deadline(gate.opens[1]) <= end-endMargin && deadline(gate.opens[1]) > end/2, "%s", deadline(gate.opens[1]))
}
