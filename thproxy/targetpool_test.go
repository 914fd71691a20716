package thproxy

import (
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against a target that rejects calls by a pool of older tables than those of the
// ingress, in which the pool holds the backend server; and against one that serves calls of
// a pool that does not hold it by tables at least as new.
func TestTargetChecksPoolOfOlderTables(t *testing.T) {
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	target := m.targets[0]
	address := netip.MustParseAddrPort(m.servers[0].Listener.Addr().String())
	target.Server = func() (thwire.Server, netip.AddrPort, bool) {
		return thwire.Server{State: thwire.ServerReady, Service: "page", Version: "v2"}, address, true
	}
	version := uint64(1)
	target.Pool = func(string) (*thconfig.Pool, uint64, bool) {
		return &thconfig.Pool{Service: "page", Except: []string{"v2"}}, version, true
	}
	var ingressVersion uint64
	_, match, _ := m.ingress.Router()
	m.ingress.Router = func() (uint64, func(*http.Request) (*thconfig.Route, bool), bool) { return ingressVersion, match, true }
	for _, c := range []struct {
		ingress, target uint64
		status          int
	}{
		{2, 1, http.StatusOK},
		{1, 1, http.StatusServiceUnavailable},
		{1, 2, http.StatusServiceUnavailable},
	} {
		ingressVersion, version = c.ingress, c.target
		response, err := m.client.Get(m.front.URL + "/x")
		assert.NilError(t, err)
		response.Body.Close()
		assert.Equal(t, response.StatusCode, c.status, "version %d at the ingress and %d at the target", c.ingress, c.target)
	}
}
