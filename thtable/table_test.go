package thtable

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Guards against sample tables that Load rejects, and against Format omitting a key.
func TestSamplesSurviveFormat(t *testing.T) {
	for _, name := range []string{"ishikari.ini", "ikaze.ini"} {
		tables, err := Load(filepath.Join("..", "deploy", name))
		assert.NilError(t, err)
		body, err := Format(tables)
		assert.NilError(t, err)
		reparsed, err := Parse(name, body)
		assert.NilError(t, err)
		assert.DeepEqual(t, tables, reparsed)
	}
}

// Guards against errors that are reported one at a time or without their line.
func TestFaultsAreReportedTogether(t *testing.T) {
	_, err := Parse("t.ini", []byte("[pool a]\nservice = x\nfloor = 50%\n[route r]\npath = /\npool = a\nrepeat = safe\ntimeout = 5\nage = 1\n[zone z]\n"))
	assert.Assert(t, therror.Is(err, therror.Bad))
	for _, want := range []string{
		`t.ini:3: [pool a] floor: "50%" is not a percentage`, "t.ini:1: [pool a] version: missing",
		`t.ini:8: [route r] timeout: "5" is not a duration`, "t.ini:9: [route r] age: unknown key", "t.ini:10: [zone z] unknown section",
	} {
		assert.ErrorContains(t, err, want)
	}
}

// Guards against errors of the tables as a whole that are reported without line.
func TestReferencesAreReportedWithTheirLine(t *testing.T) {
	_, err := Parse("t.ini", []byte("[pool a]\nservice = x\nversion = 1\n\n[route r]\npath = /\npool = b\nrepeat = twice\n"))
	assert.ErrorContains(t, err, `t.ini:5: route "r": pool "b" does not exist`)
	assert.ErrorContains(t, err, `t.ini:5: route "r": repeat "twice"`)
}

// Guards against a panic, and against a valid file whose content Format changes.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[pool a]\nservice = x\nversion = 1\n[route r]\npath = /\npool = a\nrepeat = safe\n"))
	f.Add([]byte("[route  r ]\npath = \"/x\"\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		tables, err := Parse("f.ini", body)
		if err != nil {
			assert.Assert(t, therror.Is(err, therror.Bad))
			assert.Assert(t, strings.Contains(err.Error(), "f.ini"))
			return
		}
		text, err := Format(tables)
		assert.NilError(t, err)
		reparsed, err := Parse("g.ini", text)
		assert.NilError(t, err)
		assert.DeepEqual(t, tables, reparsed)
	})
}
