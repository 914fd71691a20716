package thproxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// The deadlines of first calls differ by 15%, each client retries twice, and a few
// clients have far longer deadlines. Guards against first calls that are detected as
// late retries and queued behind all other calls, and against late retries that are
// not detected.
func TestLateRetryDetection(t *testing.T) {
	const deadline = 3 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	route := &thconfig.Route{Name: "view", Target: 500 * time.Millisecond}
	var d lateRetryDetector
	falsePositives, detected := 0, 0
	const callers = 3000
	for i := range callers {
		first := time.Duration(float64(deadline) * (0.85 + 0.15*random.Float64()))
		if i%25 == 0 {
			first *= 4
		}
		isLate := d.isLateRetry(route, first)
		if i < 100 { // the detector still collects samples
			continue
		}
		if isLate {
			falsePositives++
		}
		for _, elapsed := range []time.Duration{time.Second, 1700 * time.Millisecond} {
			if d.isLateRetry(route, first-elapsed) {
				detected++
			}
		}
	}
	assert.Assert(t, falsePositives < callers/100, "%d of %d first calls detected as late retries", falsePositives, callers)
	assert.Assert(t, detected > 2*(callers-100)*9/10, "%d of %d late retries detected", detected, 2*(callers-100))
}

// Guards against nested calls, whose deadline is that of their parent call, that are
// detected as late retries.
func TestNestedCallsAreNotLateRetries(t *testing.T) {
	route := &thconfig.Route{Name: "inner", Target: 150 * time.Millisecond}
	var d lateRetryDetector
	for range 1000 {
		assert.Assert(t, !d.isLateRetry(route, 400*time.Millisecond+rand.N(100*time.Millisecond)))
	}
}
