package thini

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against truncated or unquoted values, and against wrong line numbers in files
// with a byte order mark and CRLF line ends.
func TestValuesAreVerbatim(t *testing.T) {
	f := Parse("x.ini", []byte("\xef\xbb\xbf# comment\r\n[a]\r\nk = \"q\"\r\nl = a#b;c\\\r\n\r\n[b c]\r\nk=\r\n"))
	assert.NilError(t, f.Errors.Err())
	assert.DeepEqual(t, f.Sections, []*Section{
		{Name: "a", Line: 2, Keys: []Key{{"k", `"q"`, 3}, {"l", `a#b;c\`, 4}}},
		{Name: "b c", Line: 6, Keys: []Key{{"k", "", 7}}},
	})
}

// Guards against accepting malformed files and syntax that can be misread.
func TestAmbiguousFilesAreRejected(t *testing.T) {
	for _, body := range []string{
		"k = v\n", "[a\n", "[a] b\n", "[]\n", "[a]\nk\n", "[a]\nk: v\n", "[a]\n\"k\" = v\n", "[a]\n- = v\n",
		"[a]\nk = \"\"\"v\nw = x\"\"\"\n", "[a]\nk = `v\n`\n", "[a]\nk = \x1b[2J\n", "[a]\nk = \xff\n", "[a]\n[a]\n", "[a]\nk = 1\nk = 2\n",
	} {
		assert.Assert(t, len(Parse("x.ini", []byte(body)).Errors) > 0, "%q", body)
	}
}
