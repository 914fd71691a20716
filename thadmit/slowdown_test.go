package thadmit

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a slowdown that isn't advertised, or that is advertised while work takes the usual
// time.
func TestLoadStatesSlowdown(t *testing.T) {
	var s Scheduler
	assert.Equal(t, s.Load("r").Slow, 0)
	for reported, want := range map[int]int{0: 0, 60: 0, 100: 0, 101: 101, 250: 250} {
		s.SetSlowdown(reported)
		assert.Equal(t, s.Load("r").Slow, want)
	}
}
