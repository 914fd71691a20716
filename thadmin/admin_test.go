package thadmin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmetric"
)

func serve(t *testing.T, h http.Handler) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return &Client{Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}
}

// Guards against a status that changes between daemon and operator, and against a
// /poke request without effect.
func TestClientReadsWhatAdminServes(t *testing.T) {
	want := Status{Self: SelfStatus{Name: "a", Started: time.Unix(1, 0).UTC()}, Config: ConfigStatus{Version: 4, Known: 5}, Members: []MemberEntry{
		{Name: "a", State: StateAlive, Version: 4, Server: &ServerEntry{Service: "s", State: "ready"}},
		{Name: "b", State: StateSuspect, Version: 5},
		{Name: "c", State: StateDead, Version: 1},
	}}
	want.Summarise()
	assert.DeepEqual(t, want.Fleet, FleetStatus{Versions: []VersionEntry{{4, 1}, {5, 1}}, Lagging: []string{"a"}})
	poked := 0
	c := serve(t, (&Admin{Status: func() Status { return want }, Poke: func() { poked++ }}).Handler())
	got, err := c.Status(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.NilError(t, c.Poke(context.Background()))
	assert.Equal(t, poked, 1)
}

// Guards against a committed change that does not reach the daemon, and against
// malformed or oversized bodies that are accepted.
func TestSendChange(t *testing.T) {
	var got []thconfig.Change
	c := serve(t, (&Admin{ReceiveChange: func(k thconfig.Change) { got = append(got, k) }}).Handler())
	want := thconfig.Change{Version: 2, Base: 1, Request: "r", Digest: []byte{1}}
	assert.NilError(t, c.SendChange(t.Context(), want))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Version, want.Version)
	assert.DeepEqual(t, got[0].Digest, want.Digest)
	for _, body := range []string{"\xc1", strings.Repeat("x", maxChangeSize+1)} {
		r, err := http.Post("http://"+c.Address.String()+"/poke", "", strings.NewReader(body))
		assert.NilError(t, err)
		r.Body.Close()
		assert.Equal(t, r.StatusCode, http.StatusBadRequest)
	}
	assert.Equal(t, len(got), 1)
}

// Guards against an unready or unhealthy daemon that a load balancer or an operator
// sees as working.
func TestHealthAndReadiness(t *testing.T) {
	var m thmetric.Metrics
	var reasons []string
	var healthErr error
	c := serve(t, (&Admin{Gatherer: m.Registry(), Ready: func() []string { return reasons }, Health: func() error { return healthErr }}).Handler())
	get := func(path string) (int, string) {
		r, err := http.Get("http://" + c.Address.String() + path)
		assert.NilError(t, err)
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		return r.StatusCode, string(body)
	}
	status, _ := get("/health")
	assert.Equal(t, status, 204)
	status, body := get("/ready")
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "{\"ready\":true}\n")
	reasons, healthErr = []string{"no configuration"}, errors.New("stuck")
	status, body = get("/ready")
	assert.Equal(t, status, 503)
	assert.Equal(t, body, "{\"ready\":false,\"reasons\":[\"no configuration\"]}\n")
	status, _ = get("/health")
	assert.Equal(t, status, 503)
	status, body = get("/metrics")
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.Contains(body, "turmerichaven_version_held"))
	status, _ = get("/poke")
	assert.Equal(t, status, 405)
}

// Guards against a client without a limit on the response size or on the wait.
func TestClientIsBounded(t *testing.T) {
	c := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, maxResponseSize+1))
	}))
	_, err := c.Status(context.Background())
	assert.ErrorContains(t, err, "exceeds")
	release := make(chan struct{})
	c = serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer close(release)
	c.Timeout = 10 * time.Millisecond
	_, err = c.Status(context.Background())
	assert.Assert(t, therror.Is(err, therror.Down), "%v", err)
}
