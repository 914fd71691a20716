package thbench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against wrong field positions if the process name contains spaces or
// parentheses.
func TestParseProc(t *testing.T) {
	d, err := parseStat("12 (a) b) S 1 1 1 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 8 0 100 0 0")
	assert.NilError(t, err)
	assert.Equal(t, d, 2*time.Second)
	_, err = parseStat("12 (a) S 1")
	assert.Assert(t, err != nil)
	assert.Equal(t, parseResident("Name:\ta\nVmRSS:\t  2048 kB\n"), int64(2<<20))
}

// Guards against sums over the fleet in place of means per daemon.
func TestBetween(t *testing.T) {
	a := counters{time: time.Unix(10, 0), control: map[string]controlBytes{"a": {100, 0}, "b": {0, 0}}}
	b := counters{
		time: time.Unix(20, 0), platform: platformCounts{reads: 50, writes: 10},
		control: map[string]controlBytes{"a": {300, 100}, "b": {100, 0}},
		usage:   map[string]usage{"a": {processor: time.Second, memory: 10}, "b": {memory: 30}},
	}
	s := between(a, b)
	assert.Equal(t, s.reads, 5.0)
	assert.Equal(t, s.writes, 1.0)
	assert.Equal(t, s.controlIn, 15.0)
	assert.Equal(t, s.controlOut, 5.0)
	assert.Equal(t, s.maxControl, 30.0)
	assert.Equal(t, s.processor, 0.05)
	assert.Equal(t, s.maxProcessor, 0.1)
	assert.Equal(t, s.memory, 20.0)
}
