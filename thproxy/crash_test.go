package thproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thcrash"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// crash ends the test server of the target as the end of its process does: all
// connections break, and further ones are refused.
func (m *mesh) crash(target int) {
	s := m.servers[target]
	_ = s.Listener.Close()
	s.CloseClientConnections()
}

// Guards against logs in which a crash of a backend server looks like a broken connection,
// and that don't name the requests in progress at it.
func TestLogTellsCrashFromBrokenConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes bool
	}{{"crash", true}, {"broken connection", false}} {
		t.Run(c.name, func(t *testing.T) {
			var m *mesh
			m = newMesh(t, nonIdempotentRoute, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.crashes {
					m.crash(0)
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				assert.Check(t, err)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}))
			var targetLog, ingressLog strings.Builder
			m.targets[0].Headers = &Headers{RequestID: "X-Request-Id", Caller: "X-Caller", Deadline: HeaderDeadline}
			m.ingress.Headers, m.ingress.LocalService = m.targets[0].Headers, "shop"
			m.targets[0].Log = hclog.New(&hclog.LoggerOptions{Output: &targetLog})
			m.ingress.Log = hclog.New(&hclog.LoggerOptions{Output: &ingressLog})
			request, err := http.NewRequest(http.MethodPost, m.front.URL+"/pay/7?x=1", strings.NewReader("card"))
			assert.NilError(t, err)
			request.Header.Set("X-Request-Id", "r-1")
			response, err := m.client.Do(request)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			response.Body.Close()
			m.front.Close() // waits for the log line of the call
			assert.Equal(t, response.StatusCode, http.StatusBadGateway, ingressLog.String()+targetLog.String())
			assert.Equal(t, strings.Count(targetLog.String(), "backend server crashed: instance"), map[bool]int{true: 1}[c.crashes], targetLog.String())
			for _, log := range []string{targetLog.String(), ingressLog.String()} {
				for _, field := range []string{"request=r-1", "method=POST", "path=/pay/7?x=1", "caller=shop"} {
					assert.Assert(t, strings.Contains(log, field), "%s: %s", field, log)
				}
			}
		})
	}
}

// Guards against requests that become suspect because a server that leaves ends while it still
// runs them.
func TestEndOfLeavingServerIsNoCrash(t *testing.T) {
	var m *mesh
	m = newMesh(t, nonIdempotentRoute, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { m.crash(0) }))
	m.ingress.Crashes = &thcrash.Tracker{}
	server, address, _ := m.targets[0].Server()
	var leaving atomic.Bool
	m.targets[0].Server = func() (thwire.Server, netip.AddrPort, bool) {
		current := server
		if leaving.Swap(true) { // from the second look on, which is after the call has begun
			current.State = thwire.ServerLeaving
		}
		return current, address, true
	}
	response, err := m.client.Post(m.front.URL+"/x", "", nil)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Assert(t, !m.ingress.Crashes.Active())
}

// Guards against probes of a server that only resets connections, as one that sheds load does:
// each takes a connection of it.
func TestNoProbeWhileIdleConnectionsAreOpen(t *testing.T) {
	var dials atomic.Int32
	reset := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/reset" {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(20 * time.Millisecond)
	})
	m := newMesh(t, nonIdempotentRoute, reset)
	m.targets[0].crashes.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	var calls sync.WaitGroup
	for range 4 { // leaves idle connections
		calls.Go(func() {
			response, err := m.client.Get(m.front.URL + "/ok")
			assert.Check(t, err)
			response.Body.Close()
		})
	}
	calls.Wait()
	for range 2 {
		response, err := m.client.Post(m.front.URL+"/reset", "", nil)
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	}
	assert.Equal(t, dials.Load(), int32(0))
}
