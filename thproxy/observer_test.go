package thproxy

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

// observedCall records what a target tells the observer of a call.
type observedCall struct {
	responded chan struct{}
	ended     chan observedEnd
}

type observedEnd struct {
	kind   therror.Kind
	status int
}

func (o *observedCall) Responded() { close(o.responded) }

func (o *observedCall) End(kind therror.Kind, status int, _ time.Duration) {
	o.ended <- observedEnd{kind, status}
}

// observe makes the first target report its next call to the returned observer.
func observe(m *mesh) *observedCall {
	o := &observedCall{responded: make(chan struct{}), ended: make(chan observedEnd, 1)}
	m.targets[0].OnDispatch = func(string, string, bool) (CallObserver, bool) { return o, true }
	return o
}

// Guards against calls without a response that the evidence about a version leaves out:
// their caller cuts them off before the server has responded.
func TestCallCutOffIsObservedWithoutStatus(t *testing.T) {
	started := make(chan struct{})
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	}))
	o := observe(m)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.front.URL+"/", http.NoBody)
	assert.NilError(t, err)
	_, err = m.client.Do(request)
	assert.ErrorIs(t, err, context.Canceled)
	end := <-o.ended
	assert.Equal(t, end, observedEnd{therror.Cancelled, 0})
	select {
	case <-o.responded:
		t.Fatal("a response was observed")
	default:
	}
}

// Guards against long bodies that count as a late response.
func TestResponseIsObservedBeforeItsBody(t *testing.T) {
	release := make(chan struct{})
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	o := observe(m)
	response, err := m.client.Get(m.front.URL + "/")
	assert.NilError(t, err)
	<-o.responded
	close(release)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, <-o.ended, observedEnd{"", http.StatusOK})
}

// Guards against a call that is sent to a new version whose load test has had its calls, and
// against one that fails for that although the old version has room.
func TestCallBeyondLoadTestGoesToOtherServer(t *testing.T) {
	var runs [2]atomic.Int32
	m := newMesh(t, nonIdempotentRoute,
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs[0].Add(1) }),
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs[1].Add(1) }))
	m.targets[0].OnDispatch = func(string, string, bool) (CallObserver, bool) { return nil, false }
	response, err := m.client.Post(m.front.URL+"/", "", http.NoBody)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, runs[0].Load(), int32(0))
	assert.Equal(t, runs[1].Load(), int32(1))
	assert.Equal(t, m.gates[0].active.Load(), int32(0))
}
