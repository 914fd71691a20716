package thproof

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that ends on a SIGHUP that arrives while it starts, before it has
// read its settings.
func TestHangupDuringStart(t *testing.T) {
	h := newHostedFleet(t, 2)
	h.configure(1)
	h.waitServing()
	n := h.nodes[0]
	n.daemon.Kill()
	n.clearBootstrap(h)
	content, err := os.ReadFile(n.settings)
	assert.NilError(t, err)
	// A named pipe holds the daemon up until the settings are written.
	assert.NilError(t, os.Remove(n.settings))
	assert.NilError(t, syscall.Mkfifo(n.settings, 0o600))
	n.start(h)
	pipe, err := os.OpenFile(n.settings, os.O_WRONLY, 0) // returns once the daemon reads
	assert.NilError(t, err)
	assert.NilError(t, n.daemon.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.Write(content)
	assert.Check(t, err)
	assert.NilError(t, pipe.Close())
	waitUntil(t, "the daemon is ready", n.isReady)
	select {
	case <-n.daemon.Done():
		t.Fatal("the daemon has ended")
	default:
	}
	assert.NilError(t, n.daemon.Stop(20*time.Second))
}
