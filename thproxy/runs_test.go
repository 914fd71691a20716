package thproxy

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// keepGate keeps what it was asked.
type keepGate struct {
	fakeGate
	mutex sync.Mutex
	asked []thwire.Open
}

func (g *keepGate) Enter(ctx context.Context, o *thwire.Open) (Pass, error) {
	g.mutex.Lock()
	g.asked = append(g.asked, *o)
	g.mutex.Unlock()
	return g.fakeGate.Enter(ctx, o)
}

// countBudget counts what a call takes of a budget.
type countBudget struct{ firsts, repeats, counted int }

func (b *countBudget) CountRequest(string)        { b.firsts++ }
func (b *countBudget) TakeRetry(string, int) bool { b.repeats++; return true }
func (b *countBudget) CountRetry(string)          { b.counted++ }

// Pattern: a request that makes two calls, one after the other, at a service that
// is short of room. Guards against a second call that waits behind first ones, so
// that the work done for its run is wasted, and against calls of a repeated run
// that are not counted as repeats.
func TestCallsOfARunAreKnown(t *testing.T) {
	for _, again := range []bool{false, true} {
		m := newMesh(t, thconfig.Route{}, http.HandlerFunc(echoHandler))
		gate, budget := &keepGate{}, &countBudget{}
		m.targets[0].Gate = gate
		m.ingress.Headers = &Headers{RequestID: "X-Id", ChildSeparator: "."}
		m.ingress.ActiveCalls, m.ingress.RetryBudget = &ActiveCalls{}, budget
		end := m.ingress.ActiveCalls.begin("run", &thwire.Open{Again: again})
		ids := []string{"run.1", "run.2", "run", "other.1", "running.1"}
		for _, id := range ids {
			_, _, err := do(t, m.client, "GET", m.front.URL, nil, "X-Id", id)
			assert.NilError(t, err)
		}
		end()
		_, _, err := do(t, m.client, "GET", m.front.URL, nil, "X-Id", "run.3")
		assert.NilError(t, err)
		var begun []string
		for i, o := range gate.asked {
			if o.Begun {
				begun = append(begun, append(ids, "run.3")[i])
			}
		}
		assert.DeepEqual(t, begun, []string{"run.2"})
		assert.Equal(t, gate.asked[0].Again, again)
		counted := 0
		if again {
			counted = 2
		}
		assert.Equal(t, budget.counted, counted)
		assert.Equal(t, budget.firsts, 6)
	}
}

// Guards against entries that stay when the calls of a run have ended.
func TestRunsEnd(t *testing.T) {
	r := &ActiveCalls{}
	one := r.begin("a", &thwire.Open{})
	two := r.begin("a", &thwire.Open{Again: true}) // the same request once more
	one()
	assert.Assert(t, r.parent("a.1", ".").repeated(), "the later run was taken out by the end of the earlier one")
	two()
	assert.Equal(t, len(r.byID), 0)
	var none *ActiveCalls
	none.begin("a", &thwire.Open{})()
	assert.Assert(t, !none.parent("a.1", ".").begun())
}

// Pattern: a pool whose servers are all full. Guards against a call that asks the
// same servers again at once.
func TestFullServersAreAskedOnce(t *testing.T) {
	m := newMesh(t, thconfig.Route{Retry: 100}, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
	m.balancer.reuse = true
	for _, g := range m.gates {
		g.refusal.Store(therror.New(therror.Full, "full").After(pauseMax))
	}
	a, _, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, a.Header.Get(HeaderOutcome), OutcomeNotRun)
	assert.Equal(t, len(m.balancer.results), 2)
}
