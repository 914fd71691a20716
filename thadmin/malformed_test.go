package thadmin

import (
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

// Guards against a malformed response that an operator command takes for the status of a daemon.
func TestMalformedHeaderOfDaemonIsAnError(t *testing.T) {
	server := httptest.NewServer(thstandin.MalformedResponse)
	defer server.Close()
	c := &Client{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	_, err := c.Status(t.Context())
	assert.Assert(t, err != nil)
}
