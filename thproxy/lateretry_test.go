package thproxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
)

// Pattern: callers whose first deadlines differ by 15%, each of whom comes back
// twice, and a few with a far longer deadline. Guards against new callers who
// are taken for late ones and wait behind all others, and against late ones who
// are taken for new.
func TestPatienceTellsLateCallers(t *testing.T) {
	const deadline = 3 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	route := &thconfig.Route{Name: "view", Target: 500 * time.Millisecond}
	var p lateRetryDetector
	wrong, late := 0, 0
	const callers = 3000
	for i := range callers {
		first := time.Duration(float64(deadline) * (0.85 + 0.15*random.Float64()))
		if i%25 == 0 {
			first *= 4
		}
		isLate := p.isLateRetry(route, first)
		if i < 100 { // the first ones are learned from
			continue
		}
		if isLate {
			wrong++
		}
		for _, elapsed := range []time.Duration{time.Second, 1700 * time.Millisecond} {
			if p.isLateRetry(route, first-elapsed) {
				late++
			}
		}
	}
	assert.Assert(t, wrong < callers/100, "%d of %d new callers taken for late ones", wrong, callers)
	assert.Assert(t, late > 2*(callers-100)*9/10, "%d late callers of %d", late, 2*(callers-100))
}

// Guards against inner calls, whose deadline is that of their parent, that are
// taken for late ones.
func TestPatienceOfInnerCalls(t *testing.T) {
	route := &thconfig.Route{Name: "inner", Target: 150 * time.Millisecond}
	var p lateRetryDetector
	for range 1000 {
		assert.Assert(t, !p.isLateRetry(route, 400*time.Millisecond+rand.N(100*time.Millisecond)))
	}
}
