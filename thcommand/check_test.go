package thcommand

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

const checkedConfig = `{"version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15},
"tenants":[{"name":"acme","api_keys":["secret1"]}],
"listeners":[{"host":"a.example","routing_rules":[{"name":"view","kind":"safe","target_latency_s":0.5,"priority":1,"match":{"prefix":"/view/"},"action":{"service":"page","timeout_s":1,"max_attempts":2}}]}],
"clusters":[{"name":"page","health_path":"/h","max_connections":50}]}`

// check runs the command with further arguments on a configuration.
func check(t *testing.T, content string, args ...string) (code int, out, errors string) {
	file := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	var o, e strings.Builder
	p := Program{Out: &o, Err: &e}
	code = p.Run(t.Context(), append([]string{"check", file}, args...))
	return code, o.String(), e.String()
}

// Guards against a check that misses errors, warnings or changes against the version in force,
// and against keys in its output.
func TestCheckComparesWithTheStore(t *testing.T) {
	store := &thstandin.RowStore{}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Put("op", "", "config", []byte(checkedConfig))
	settings := filepath.Join(t.TempDir(), "operator.ini")
	assert.NilError(t, os.WriteFile(settings, []byte("[platform]\nkind = rows\nstore = "+strings.TrimPrefix(server.URL, "http://")+"\n"), 0o600))
	next := strings.NewReplacer(`"version":7`, `"version":8`, "secret1", "secret2", `"timeout_s":1`, `"timeout_s":0.4`).Replace(checkedConfig)
	code, out, errors := check(t, next, "--settings", settings)
	assert.Equal(t, code, 0, errors)
	assert.Equal(t, out, `version 8: no errors, 1 warnings
warning: route "view": latency objective 500ms is not below the timeout 400ms
# against version 7: 2 changes
route "view": timeout 1s -> 400ms
account "acme": 1 keys added, 1 removed, priority 0 -> 0
`)
	code, out, errors = check(t, checkedConfig, "--settings", settings)
	assert.Equal(t, code, 0, errors)
	assert.Assert(t, strings.Contains(out, "not above the one in force"), out)
}

// Guards against a configuration with errors that passes the check.
func TestCheckReportsErrors(t *testing.T) {
	code, _, errors := check(t, strings.Replace(checkedConfig, `"service":"page"`, `"service":"none"`, 1), "--alone")
	assert.Equal(t, code, 3)
	assert.Assert(t, strings.Contains(errors, `service "none" does not exist`), errors)
	code, _, errors = check(t, checkedConfig[:50], "--alone")
	assert.Equal(t, code, 2, errors)
	code, out, errors := check(t, checkedConfig, "--alone")
	assert.Equal(t, code, 0, errors)
	assert.Equal(t, out, "version 7: no errors, 0 warnings\n")
}
