package thproof

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that can't reach the new version of a service when it starts
// after the end of a rollout: it reads the end from the store, while the daemons beside the
// backend servers hold tables of the same version in which the rollout runs.
func TestDaemonStartedAfterRolloutServes(t *testing.T) {
	h := &hostedFleet{t: t, size: 3, newVersions: 1, slots: 20, processingTime: 5 * time.Millisecond}
	h.startNodes()
	h.configure(1)
	h.waitServing()
	h.store.Put("op", "", "rollout/page", []byte(`{"service":"page","target":"v2","duration_s":6}`))
	ctx, cancel := context.WithCancel(t.Context())
	var traffic randomTraffic
	traffic.start(ctx, h.nodes, 150)
	waitUntil(t, "the rollout is completed", func() bool {
		row, found := h.store.Row("status", "", "rollout/page")
		return found && string(row.Value) == `{"state":"completed","target":"v2"}`
	})
	cancel()
	traffic.clients.Wait()
	n := h.nodes[0]
	n.daemon.Kill()
	n.clearBootstrap(h)
	n.start(h)
	waitUntil(t, "the daemon is ready", n.isReady)
	assert.Equal(t, h.countServed(h.nodes[2], "restarted"), 30)
}
