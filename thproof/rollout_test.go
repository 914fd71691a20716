package thproof

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newRolloutFleet starts a fleet of three nodes that serves. The backend server of the last
// one is the only one of version v2.
func newRolloutFleet(t *testing.T) *hostedFleet {
	h := &hostedFleet{t: t, size: 3, newVersions: 1, slots: 20, processingTime: 5 * time.Millisecond}
	h.startNodes()
	h.configure(1)
	h.waitServing()
	return h
}

// orderRollout orders the rollout of the fleet's service to version v2.
func (h *hostedFleet) orderRollout() {
	h.store.Put("op", "", "rollout/page", []byte(`{"service":"page","target":"v2","duration_s":6}`))
}

// isRolloutCompleted reports whether the store has the end of the rollout.
func (h *hostedFleet) isRolloutCompleted() bool {
	row, found := h.store.Row("status", "", "rollout/page")
	return found && string(row.Value) == `{"state":"completed","target":"v2"}`
}

// completeRollout sends calls until the rollout is completed.
func (h *hostedFleet) completeRollout() {
	h.t.Helper()
	ctx, cancel := context.WithCancel(h.t.Context())
	var traffic randomTraffic
	traffic.start(ctx, h.nodes, 150)
	waitUntil(h.t, "the rollout is completed", h.isRolloutCompleted)
	cancel()
	traffic.clients.Wait()
}

// Guards against a daemon that can't reach the new version of a service when it starts
// after the end of a rollout: it reads the end from the store, while the daemons beside the
// backend servers hold tables of the same version in which the rollout runs.
func TestDaemonStartedAfterRolloutServes(t *testing.T) {
	h := newRolloutFleet(t)
	h.orderRollout()
	h.completeRollout()
	n := h.nodes[0]
	n.daemon.Kill()
	n.clearBootstrap(h)
	n.start(h)
	waitUntil(t, "the daemon is ready", n.isReady)
	assert.Equal(t, h.countServed(h.nodes[2], "restarted"), 30)
}
