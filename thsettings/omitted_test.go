package thsettings

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
)

// sectionPattern matches a section of a template, which is used if its value is given.
var sectionPattern = regexp.MustCompile(`\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)

// valuePattern matches a value of a template.
var valuePattern = regexp.MustCompile(`\{\{[a-z_.0-9]+\}\}`)

// renderTemplate fills in the settings template with the values of a platform, as the
// platform does: a section or value without one gives nothing.
func renderTemplate(t *testing.T, values map[string]string) []byte {
	t.Helper()
	body, err := os.ReadFile(filepath.Join("..", "deploy", "settings.template"))
	assert.NilError(t, err)
	body = sectionPattern.ReplaceAllFunc(body, func(m []byte) []byte {
		parts := sectionPattern.FindSubmatch(m)
		value, found := values[string(parts[1])]
		if !found {
			return nil
		}
		return bytes.ReplaceAll(parts[2], []byte("{{.}}"), []byte(value))
	})
	return valuePattern.ReplaceAllFunc(body, func(m []byte) []byte {
		return []byte(values[strings.Trim(string(m), "{}")])
	})
}

// identity holds the values that every platform gives.
func identity() map[string]string {
	return map[string]string{
		"node": "sidecar-1", "zone": "a", "region": "r", "bootstrap": "true", "ip": "127.0.0.1", "port_range.0": "7600",
		"listen.outbound": "127.0.0.1:8080", "listen.control": "127.0.0.1:8082", "listen.ready": "127.0.0.1:8085",
		"provider.address": "127.0.0.1:9000", "service": "page", "app_addr": "127.0.0.1:8084",
	}
}

// Guards against a daemon that does not start on a platform that omits terms which it does
// not use, such as the rate of cold backend servers: an omitted term has its default.
func TestOmittedTermsHaveTheirDefaults(t *testing.T) {
	body := renderTemplate(t, identity())
	assert.Assert(t, !bytes.Contains(body, []byte("{{")), "%s", body)
	s, err := Parse("daemon.ini", body, RoleDaemon)
	assert.NilError(t, err)
	want := Default()
	assert.Equal(t, s.Server.Cold, want.Server.Cold)
	assert.Equal(t, s.Platform.Apply, want.Platform.Apply)
	assert.DeepEqual(t, s.Budget, want.Budget)
	assert.DeepEqual(t, s.Move, want.Move)
	assert.Equal(t, s.Stop.Limit, want.Stop.Limit)
	assert.Equal(t, s.Memory.Limit, want.Memory.Limit)
	assert.DeepEqual(t, s.Usage, want.Usage, cmpopts.EquateComparable(netip.AddrPort{}))
	assert.Assert(t, !s.Usage.Api.IsValid())
}

// Guards against a term of the platform that is lost on the way into the settings.
func TestGivenTermsAreUsed(t *testing.T) {
	values := identity()
	values["bounds.cold_over"], values["bounds.config_apply_s"], values["limits.memory_mb"] = "1.5", "2.5", "184"
	values["cloud.address"], values["bounds.report_window_s"], values["bounds.usage_late_s"] = "127.0.0.1:9001", "5", "12.5"
	s, err := Parse("daemon.ini", renderTemplate(t, values), RoleDaemon)
	assert.NilError(t, err)
	assert.Equal(t, s.Server.Cold, 1.5)
	assert.Equal(t, s.Platform.Apply.String(), "2.5s")
	assert.Equal(t, s.Memory.Limit, 184<<20)
	assert.Equal(t, s.Usage.Api, netip.MustParseAddrPort("127.0.0.1:9001"))
	assert.Equal(t, s.Usage.Late.String(), "12.5s")
}

// Guards against a required key without a value that counts as set.
func TestRequiredKeysNeedValues(t *testing.T) {
	values := identity()
	delete(values, "node")
	_, err := Parse("daemon.ini", renderTemplate(t, values), RoleDaemon)
	assert.ErrorContains(t, err, "[daemon] name: missing")
}
