package thserver

import (
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

// Guards against a malformed response to a probe that makes a server count as healthy.
func TestMalformedHeaderOfProbeIsNotHealthy(t *testing.T) {
	server := httptest.NewServer(thstandin.MalformedResponse)
	defer server.Close()
	w := &Watcher{}
	r := &registration{address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	r.Health = "/health"
	p := w.probe(t.Context(), r)
	assert.Assert(t, !p.reached && !p.result.Healthy)
}
