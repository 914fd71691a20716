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

// recordingGate keeps what it was asked.
type recordingGate struct {
	fakeGate
	mutex sync.Mutex
	opens []thwire.Open
}

func (g *recordingGate) Enter(ctx context.Context, o *thwire.Open) (Pass, error) {
	g.mutex.Lock()
	g.opens = append(g.opens, *o)
	g.mutex.Unlock()
	return g.fakeGate.Enter(ctx, o)
}

// countingBudget counts what a call takes of a budget.
type countingBudget struct{ requests, retries, counted int }

func (b *countingBudget) CountRequest(string)        { b.requests++ }
func (b *countingBudget) TakeRetry(string, int) bool { b.retries++; return true }
func (b *countingBudget) CountRetry(string)          { b.counted++ }

// Pattern: a request that makes two calls, one after the other, at a service that
// is short of room. Guards against a second call that waits behind first ones, so
// that the work done for its run is wasted, and against calls of a repeated run
// that are not counted as repeats.
func TestCallsOfARunAreKnown(t *testing.T) {
	for _, again := range []bool{false, true} {
		m := newMesh(t, thconfig.Route{}, http.HandlerFunc(echoHandler))
		gate, budget := &recordingGate{}, &countingBudget{}
		m.targets[0].Gate = gate
		m.ingress.Headers = &Headers{RequestID: "X-Id", ChildSeparator: "."}
		m.ingress.ActiveCalls, m.ingress.RetryBudget = &ActiveCalls{}, budget
		end := m.ingress.ActiveCalls.add("run", &thwire.Open{Again: again})
		ids := []string{"run.1", "run.2", "run", "other.1", "running.1"}
		for _, id := range ids {
			_, _, err := do(t, m.client, "GET", m.front.URL, nil, "X-Id", id)
			assert.NilError(t, err)
		}
		end()
		_, _, err := do(t, m.client, "GET", m.front.URL, nil, "X-Id", "run.3")
		assert.NilError(t, err)
		var begun []string
		for i, o := range gate.opens {
			if o.Begun {
				begun = append(begun, append(ids, "run.3")[i])
			}
		}
		assert.DeepEqual(t, begun, []string{"run.2"})
		assert.Equal(t, gate.opens[0].Again, again)
		counted := 0
		if again {
			counted = 2
		}
		assert.Equal(t, budget.counted, counted)
		assert.Equal(t, budget.requests, 6)
	}
}

// Guards against entries that stay when the calls of a run have ended.
func TestRunsEnd(t *testing.T) {
	r := &ActiveCalls{}
	one := r.add("a", &thwire.Open{})
	two := r.add("a", &thwire.Open{Again: true}) // the same request once more
	one()
	assert.Assert(t, r.parent("a.1", ".").isRetry(), "the later run was taken out by the end of the earlier one")
	two()
	assert.Equal(t, len(r.byID), 0)
	var none *ActiveCalls
	none.add("a", &thwire.Open{})()
	assert.Assert(t, !none.parent("a.1", ".").hasResponses())
}

// Pattern: a pool whose servers are all full. Guards against a call that asks the
// same servers again at once.
func TestFullServersAreAskedOnce(t *testing.T) {
	m := newMesh(t, thconfig.Route{Retry: 100}, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
	m.balancer.reuse = true
	for _, g := range m.gates {
		g.refusal.Store(therror.New(therror.Full, "full").After(maxReselectPause))
	}
	a, _, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, a.Header.Get(HeaderOutcome), OutcomeNotRun)
	assert.Equal(t, len(m.balancer.results), 2)
}
