package thproxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

// fullFirstGate refuses its first call.
type fullFirstGate struct {
	fakeGate
	entered atomic.Int32
}

func (g *fullFirstGate) Enter(ctx context.Context, o *thwire.Open) (Pass, error) {
	if g.entered.Add(1) == 1 {
		return nil, therror.New(therror.Full, "no place")
	}
	return g.fakeGate.Enter(ctx, o)
}

// Guards against a safe call whose last attempt goes at once to a server that
// has just broken, because the only working one was full for a moment.
func TestLastAttemptGoesToFullServer(t *testing.T) {
	cut := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	m := newMesh(t, thconfig.Route{Retry: 100}, cut, cut, http.HandlerFunc(echoHandler))
	m.balancer.reuse = true
	gate := &fullFirstGate{}
	m.targets[2].Gate = gate
	a, body, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusAccepted, "%s", body)
	assert.Equal(t, gate.entered.Load(), int32(2))
	assert.Equal(t, len(m.balancer.results), maxAttempts)
}

// Guards against a pause that delays the refusal of a call when servers are only
// full, and against one that outlasts the deadline of the call.
func TestNoPauseWithoutFaultOrTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		faulty []string
		wait   time.Duration
		paused bool
	}{
		{"fault and time", []string{"server-0"}, 0, true},
		{"fault and little time", []string{"server-0"}, time.Minute, false},
		{"only full", nil, 0, false},
	} {
		m := newMesh(t, thconfig.Route{}, http.HandlerFunc(echoHandler))
		m.balancer.reuse = true
		m.ingress.Clock = clockwork.NewFakeClock()
		ctx, cancel := context.WithTimeout(t.Context(), maxReselectPause)
		defer cancel()
		k := &call{Ingress: m.ingress, ctx: ctx, excluded: []string{m.balancer.members[0].Name}, failedServers: c.faulty, retryAfter: c.wait}
		_, err := k.selectServer()
		// The clock stands still, so that a pause ends with the context.
		assert.Equal(t, err != nil, c.paused, c.name)
	}
}

// Guards against a once request that is dispatched twice when servers are tried again.
func TestOnceCallRunsOnceOverRounds(t *testing.T) {
	var ran atomic.Int32
	cut := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1); panic(http.ErrAbortHandler) })
	m := newMesh(t, nonIdempotentRoute, cut, cut)
	m.balancer.reuse = true
	for _, target := range m.targets {
		target.Gate = &fullFirstGate{}
	}
	a, _, err := do(t, m.client, "POST", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, ran.Load(), int32(1))
	assert.Equal(t, a.StatusCode, http.StatusBadGateway)
}
