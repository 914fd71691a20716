package thsettings

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thini"
)

// Guards against a sample or a default value that the validation rejects.
func TestSamplesLoad(t *testing.T) {
	s, err := Parse("sample.ini", []byte(Sample), RoleDaemon)
	assert.NilError(t, err)
	assert.Equal(t, s.Platform.Timeout, 2*time.Second)
	assert.Equal(t, s.Limits.Body, 64<<10)
	for _, name := range []string{"ishikari-daemon.ini", "ikaze-daemon.ini"} {
		_, err := Load(filepath.Join("..", "deploy", name), RoleDaemon)
		assert.NilError(t, err)
	}
}

// Guards against documents that were not regenerated after a change to schema.ini.
func TestDocumentsAreCurrent(t *testing.T) {
	for name, want := range map[string]string{"settings.md": Markdown, "sample.ini": Sample} {
		body, err := os.ReadFile(filepath.Join("..", "docs", name))
		assert.NilError(t, err)
		assert.Equal(t, string(body), want)
	}
}

// Guards against errors that are reported one at a time or without file, line and key.
func TestFaultsAreReportedTogether(t *testing.T) {
	_, err := Parse("s.ini", []byte(`[daemon]
name = Bad Name
region = r
[listen]
ingress = localhost:80
peer = 127.0.0.1:81
local = 127.0.0.1:81
admin = 0.0.0.0:82
[platform]
timeout = 5
colour = blue
[limits]
depth = 0
body = 17MiB
claims = 20/s
wait = 11s
[stop]
notice = 20s
grace = 10s
[peers]
seeds = 127.0.0.1:0
[log]
level = loud
[disk]
`), RoleDaemon)
	assert.Assert(t, therror.Is(err, therror.Bad))
	for _, want := range []string{
		`s.ini:2: [daemon] name: "Bad Name" is not a name`, "s.ini:1: [daemon] zone: missing",
		`s.ini:5: [listen] ingress: "localhost:80" is not an IP number and a port`,
		"s.ini:7: [listen] local: 127.0.0.1:81 is the address of peer", "s.ini:8: [listen] admin: ",
		"s.ini:9: [platform] table: missing", `s.ini:10: [platform] timeout: "5" is not a duration with a unit`,
		"s.ini:11: [platform] colour: unknown key", "s.ini:13: [limits] depth: 0 is not between 1 and 100",
		"s.ini:14: [limits] body: 17MiB is not between", `s.ini:15: [limits] claims: "20/s" is not a whole number`,
		"s.ini:16: [limits] wait: 11s is not between 0s and 10s", "s.ini:19: [stop] notice: 20s is not below grace 10s",
		"s.ini:21: [peers] seeds: ", `s.ini:23: [log] level: "loud" is not one of`, "s.ini:24: [disk] unknown section",
	} {
		assert.ErrorContains(t, err, want)
	}
}

// Guards against duplicate keys and sections of which one would be ignored silently.
func TestRepeatedKeysAreRefused(t *testing.T) {
	_, err := Parse("s.ini", []byte("[log]\nlevel = info\nlevel = warn\n[log]\n=x\nnoise\n"), RoleCommand)
	assert.ErrorContains(t, err, "s.ini:3: [log] level: already set on line 2")
	assert.ErrorContains(t, err, "s.ini:4: [log] section already on line 1")
	assert.ErrorContains(t, err, "s.ini:5: [log] malformed key")
	assert.ErrorContains(t, err, "s.ini:6: [log] expected key = value")
}

// Guards against commands that require a daemon's identity, and against a secret
// that is cut at a character such as ; or #.
func TestCommandsNeedThePlatformOnly(t *testing.T) {
	s, err := Parse("s.ini", []byte("[platform]\ntable = http://127.0.0.1:1\nobject = https://[::1]:2\naccess = a\nsecret = a;b#c=d%(e)s\n"), RoleCommand)
	assert.NilError(t, err)
	assert.Equal(t, s.Platform.Secret, "a;b#c=d%(e)s")
	_, err = Parse("s.ini", nil, RoleCommand)
	assert.ErrorContains(t, err, "[platform] table: missing")
}

// Guards against running out of memory while reading a large file that isn't a settings file.
func TestLargeFilesAreRefused(t *testing.T) {
	name := filepath.Join(t.TempDir(), "large.ini")
	assert.NilError(t, os.WriteFile(name, bytes.Repeat([]byte("#\n"), thini.MaxFileSize/2+1), 0o600))
	_, err := Load(name, RoleCommand)
	assert.Assert(t, therror.Is(err, therror.Bad))
	assert.ErrorContains(t, err, "larger than")
}

// Guards against a panic, and against a non-zero result along with an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(Sample))
	f.Add([]byte("[daemon]\nname = \"\"\"x\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Parse("f.ini", body, RoleCommand)
		if err != nil {
			assert.Assert(t, therror.Is(err, therror.Bad))
			assert.Assert(t, reflect.DeepEqual(s, Settings{}))
		}
	})
}
