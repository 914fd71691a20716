package thcommand

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thadmin"
	"github.com/turmerichaven/turmerichaven/therror"
)

// Guards against a quarantine that operators can't see or end, and against a mistyped request
// that is reported as released.
func TestQuarantineCommands(t *testing.T) {
	const request = "0085fa9852483c3c8bd27778f17ace77"
	env := newTestEnv(t)
	released := ""
	server := httptest.NewServer((&thadmin.Admin{
		Status: func() thadmin.Status {
			return thadmin.Status{Quarantine: []thadmin.QuarantineEntry{{Fingerprint: request, Crashes: 2, Since: time.Unix(60, 0), Until: time.Unix(3660, 0)}}}
		},
		Release: func(fingerprint string) error {
			if fingerprint != request {
				return therror.New(therror.Absent, "request %s is not quarantined", fingerprint)
			}
			released = fingerprint
			return nil
		},
	}).Handler())
	t.Cleanup(server.Close)
	admin := strings.TrimPrefix(server.URL, "http://")
	env.expect(0, request, "quarantine", "list", "--admin", admin)
	env.expect(0, `"crashes": 2`, "quarantine", "list", "--admin", admin, "--output", "json")
	env.expect(therror.ResponseTo(therror.Absent).ExitCode, "is not quarantined", "quarantine", "release", "other", "--admin", admin)
	assert.Equal(t, released, "")
	env.expect(0, "released", "quarantine", "release", request, "--admin", admin)
	assert.Equal(t, released, request)
	env.expect(therror.ResponseTo(therror.Bad).ExitCode, "needs --admin", "quarantine", "release", request)
}
