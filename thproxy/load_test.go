package thproxy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a load header that is dropped whole because it states the slowdown of the
// server's machine too, and against one that is malformed and is used in part.
func TestLoadHeader(t *testing.T) {
	for v, want := range map[string]LoadReport{
		"3,0,8":        {Running: 3, Slots: 8},
		"6,2,6,250":    {Running: 6, Waiting: 2, Slots: 6, Slowdown: 250},
		" 1, 2, 3, 90": {Running: 1, Waiting: 2, Slots: 3, Slowdown: 90},
	} {
		got, ok := parseLoad(v)
		assert.Assert(t, ok, "%q", v)
		assert.Equal(t, got, want, "%q", v)
	}
	for _, v := range []string{"", "3,0", "3,0,8,100,1", "3,0,8,", "3,0,8,-1", "a,0,8", "3;0;8"} {
		got, ok := parseLoad(v)
		assert.Assert(t, !ok && got == LoadReport{}, "%q", v)
	}
}
