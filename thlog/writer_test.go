package thlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// Guards against log calls that block requests because nothing reads the output.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	r, out := io.Pipe() // nobody reads
	w := &Writer{Out: out, Rate: 1 << 30}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked on the reader")
	}
	read := make(chan string, 1)
	go func() {
		all, _ := io.ReadAll(r)
		read <- string(all)
	}()
	w.Close(5 * time.Second)
	out.Close()
	all := <-read
	assert.Assert(t, strings.Contains(all, "log lines dropped: count="), "%d bytes", len(all))
	assert.Assert(t, strings.Count(all, "line\n") >= maxQueuedLines)
}

// Guards against a log volume above the rate limit, and against dropped lines that
// are not reported.
func TestVolumeIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var out bytes.Buffer
	w := &Writer{Out: &out, Rate: 1000, Clock: clock}
	line := bytes.Repeat([]byte("x"), 1024)
	for range 2 * maxBurst / len(line) {
		_, _ = w.Write(line)
	}
	w.Close(5 * time.Second)
	assert.Assert(t, out.Len() <= maxBurst+100, "%d bytes", out.Len())
	assert.Assert(t, strings.Contains(out.String(), "log lines dropped: count="))
}
