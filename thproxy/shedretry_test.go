package thproxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Load: all servers of a service shed a part of their requests for some seconds although they
// have room. Guards against callers that are told to come back after a second, when their
// latency objective has passed, and against fractions where callers don't understand them.
func TestShedCallsMayReturnWithinTheirObjective(t *testing.T) {
	const rejected = "X-Rejected"
	m := newMesh(t, thconfig.Route{Target: 500 * time.Millisecond}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(rejected, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	m.targets[0].Headers = &Headers{Rejected: rejected, Deadline: HeaderDeadline}
	for fractions, want := range map[bool]string{true: "0.100", false: "1"} {
		m.ingress.Headers = &Headers{FractionalRetryAfter: fractions}
		resp, _, err := do(t, m.client, "POST", m.front.URL+"/x", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get("Retry-After"), want)
	}
}
