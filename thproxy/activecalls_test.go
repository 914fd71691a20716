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

// recordingGate records the open frames of the calls that it admits.
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

// countingBudget counts the calls of its methods and allows every retry.
type countingBudget struct{ requests, retries, counted int }

func (b *countingBudget) CountRequest(string)        { b.requests++ }
func (b *countingBudget) TakeRetry(string, int) bool { b.retries++; return true }
func (b *countingBudget) CountRetry(string)          { b.counted++ }

// A backend server makes several nested calls for one request, one after the other,
// to an overloaded service. Guards against a later nested call that is queued like
// a first one, so that the work done for its request is wasted, and against nested
// calls of a retried request that are not counted as retries.
func TestNestedCallsAreDetected(t *testing.T) {
	for _, retry := range []bool{false, true} {
		m := newMesh(t, thconfig.Route{}, http.HandlerFunc(echoHandler))
		gate, budget := &recordingGate{}, &countingBudget{}
		m.targets[0].Gate = gate
		m.ingress.Headers = &Headers{RequestID: "X-Id", ChildSeparator: "."}
		m.ingress.ActiveCalls, m.ingress.RetryBudget = &ActiveCalls{}, budget
		end := m.ingress.ActiveCalls.add("run", &thwire.Open{Again: retry})
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
		assert.Equal(t, gate.opens[0].Again, retry)
		counted := 0
		if retry {
			counted = 2
		}
		assert.Equal(t, budget.counted, counted)
		assert.Equal(t, budget.requests, 6)
	}
}

// Guards against entries that remain after their call has ended, and against the
// end of an earlier call that removes a later one with the same ID.
func TestActiveCallsAreRemoved(t *testing.T) {
	r := &ActiveCalls{}
	one := r.add("a", &thwire.Open{})
	two := r.add("a", &thwire.Open{Again: true}) // a retry of the same request
	one()
	assert.Assert(t, r.parent("a.1", ".").isRetry(), "the end of the earlier call removed the later one")
	two()
	assert.Equal(t, len(r.byID), 0)
	var none *ActiveCalls
	none.add("a", &thwire.Open{})()
	assert.Assert(t, !none.parent("a.1", ".").hasResponses())
}

// All servers of a pool are full. Guards against a call that tries the same servers
// again immediately.
func TestFullServersAreAskedOnce(t *testing.T) {
	m := newMesh(t, thconfig.Route{Retry: 100}, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
	m.balancer.reuse = true
	for _, g := range m.gates {
		g.rejection.Store(therror.New(therror.Full, "full").WithRetryAfter(maxReselectPause))
	}
	resp, _, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	assert.Equal(t, len(m.balancer.results), 2)
}
