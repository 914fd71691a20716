package thproxy

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
)

// fullFirstGate rejects its first calls as full.
type fullFirstGate struct {
	fakeGate
	rejections int32 // one if zero
	entered    atomic.Int32
}

func (g *fullFirstGate) Enter(ctx context.Context, o *thwire.Open) (Pass, error) {
	if g.entered.Add(1) <= max(g.rejections, 1) {
		return nil, therror.New(therror.Full, "no free slot")
	}
	return g.fakeGate.Enter(ctx, o)
}

// Guards against an idempotent call whose last attempt goes immediately to a server
// that has just broken, because the only working server was full for a moment.
func TestLastAttemptGoesToFullServer(t *testing.T) {
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	m := newMesh(t, thconfig.Route{Retry: 100}, abort, abort, http.HandlerFunc(echoHandler))
	m.balancer.reuse = true
	gate := &fullFirstGate{}
	m.targets[2].Gate = gate
	resp, body, err := do(t, m.client, "GET", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusAccepted, "%s", body)
	assert.Equal(t, gate.entered.Load(), int32(2))
	assert.Equal(t, len(m.balancer.results), maxAttempts)
}

// Guards against an idempotent call that fails although a server works, because many calls of
// a server that has failed try it at once, and it is full for a moment.
func TestFullServerIsTriedAgainAfterFailure(t *testing.T) {
	for _, retry := range []int{100, 0} {
		t.Run(fmt.Sprintf("retry budget %d%%", retry), func(t *testing.T) {
			abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			m := newMesh(t, thconfig.Route{Retry: retry}, abort, http.HandlerFunc(echoHandler), http.HandlerFunc(echoHandler))
			m.balancer.reuse = true
			m.targets[1].Server = func() (thwire.Server, netip.AddrPort, bool) { return thwire.Server{}, netip.AddrPort{}, false }
			gate := &fullFirstGate{rejections: 3}
			m.targets[2].Gate = gate
			resp, body, err := do(t, m.client, "GET", m.front.URL, nil)
			assert.NilError(t, err)
			if retry == 0 {
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%s", body)
				return
			}
			assert.Equal(t, resp.StatusCode, http.StatusAccepted, "%s", body)
			assert.Equal(t, gate.entered.Load(), gate.rejections+1)
		})
	}
}

// Guards against a call that tries full servers without end.
func TestRejectionsAreLimited(t *testing.T) {
	full := therror.New(therror.Full, "no free slot")
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(echoHandler))
	for _, c := range []struct {
		attempts, rejections int
		want                 bool
	}{{1, 0, true}, {maxRejections, maxRejections - 1, true}, {maxRejections + 1, maxRejections, false}, {maxAttempts, 0, false}} {
		k := &call{Ingress: m.ingress, ctx: t.Context(), route: &m.route, attempts: c.attempts, rejections: c.rejections, reached: 1}
		assert.Equal(t, k.mayRetry(full), c.want, "%d attempts, %d rejections", c.attempts, c.rejections)
	}
}

// Guards against a pause that delays the error if all servers are only full, and
// against a pause that exceeds the deadline of the call.
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
		// The fake clock does not advance, so a pause ends with the context.
		assert.Equal(t, err != nil, c.paused, c.name)
	}
}

// Guards against a non-idempotent request that is dispatched twice if servers are
// tried for the second time.
func TestOnceCallRunsOnceOverRounds(t *testing.T) {
	var ran atomic.Int32
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1); panic(http.ErrAbortHandler) })
	m := newMesh(t, nonIdempotentRoute, abort, abort)
	m.balancer.reuse = true
	for _, target := range m.targets {
		target.Gate = &fullFirstGate{}
	}
	resp, _, err := do(t, m.client, "POST", m.front.URL, nil)
	assert.NilError(t, err)
	assert.Equal(t, ran.Load(), int32(1))
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}
