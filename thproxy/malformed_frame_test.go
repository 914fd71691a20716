package thproxy

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// callDaemonThatSends calls a daemon that answers with a head and a trailer, and returns the
// response with what came of its body.
func callDaemonThatSends(t *testing.T, head thwire.Head, trailer []thwire.Header) (*http.Response, error) {
	m := newMesh(t, nonIdempotentRoute, http.HandlerFunc(echoHandler))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s := thwire.ServeCalls(conn, func(i *thwire.Incoming) {
			_ = i.WriteHead(head)
			_, _ = i.Write([]byte("abcd"))
			_ = i.End(trailer, thwire.Load{})
		}, nil)
		t.Cleanup(s.Close)
	}()
	m.balancer.members[0].Peer = netip.MustParseAddrPort(l.Addr().String())
	response, err := m.client.Post(m.front.URL+"/x", "text/plain", nil)
	if err != nil {
		return &http.Response{}, err // the bytes of the ingress are no response
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response, err
}

// Guards against a response of another daemon with an invalid status or a malformed field that
// reaches the caller, or that ends the handler by a panic of net/http.
func TestMalformedHeadOfDaemonIsNoResponse(t *testing.T) {
	ok := thwire.Header{Name: "X-Stamp", Value: "s"}
	for _, status := range []int{-1, 0, 20, 99, 100, 101, 103, 199, 600, 999, 1000} {
		response, err := callDaemonThatSends(t, thwire.Head{Status: status, Header: []thwire.Header{ok}}, nil)
		assert.Check(t, err == nil && response.StatusCode == http.StatusBadGateway && response.Header.Get("X-Stamp") == "", "status %d: %d %v", status, response.StatusCode, err)
	}
	for name, line := range malformedFields {
		key, value, _ := strings.Cut(line, ":")
		field := thwire.Header{Name: key, Value: value}
		if name == "no colon" {
			field.Name = ""
		}
		response, err := callDaemonThatSends(t, thwire.Head{Status: 200, Header: []thwire.Header{ok, field}}, nil)
		assert.Check(t, err == nil && response.StatusCode == http.StatusBadGateway && response.Header.Get("X-Stamp") == "", "%s: %d %v", name, response.StatusCode, err)
		response, err = callDaemonThatSends(t, thwire.Head{Status: 200, Header: []thwire.Header{ok}}, []thwire.Header{field})
		assert.Check(t, err != nil || response.StatusCode == http.StatusBadGateway, "%s: %d %v", name, response.StatusCode, response.Trailer)
	}
}
