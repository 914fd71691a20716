package thproof

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a version that was rolled back, or whose order was replaced while it ran,
// and that gets traffic at the next order, also after a restart of all daemons. Its backend
// servers still announce that they are ready.
func TestRolledBackVersionGetsNoTrafficAtNextOrder(t *testing.T) {
	for _, rolledBack := range []bool{true, false} {
		t.Run(fmt.Sprintf("rolledBack=%v", rolledBack), func(t *testing.T) {
			h := newRolloutFleet(t)
			order := func(target string) {
				h.store.Put("op", "", "rollout/page", fmt.Appendf(nil, `{"service":"page","target":%q,"duration_s":20}`, target))
			}
			status := func(text string) {
				waitUntil(t, "the status is "+text, func() bool {
					row, _ := h.store.Row("status", "", "rollout/page")
					return string(row.Value) == text
				})
			}
			order("v2")
			status(`{"state":"running","target":"v2"}`)
			if rolledBack {
				h.store.Put("status", "", "rollout/page", []byte(`{"state":"rolled_back","target":"v2"}`))
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var traffic randomTraffic
			order("v3")
			status(`{"state":"running","target":"v3","excluded":["v2"]}`)
			before := len(h.nodes[2].instance.Runs())
			traffic.start(ctx, h.nodes, 150)
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(h.nodes[2].instance.Runs()), before)
			cancel()
			traffic.clients.Wait()
			for _, n := range h.nodes {
				n.daemon.Kill()
				n.clearBootstrap(h)
			}
			for _, n := range h.nodes {
				n.start(h)
			}
			h.waitServing()
			assert.Equal(t, h.countServed(h.nodes[2], "restarted"), 0)
			order("v4")
			status(`{"state":"running","target":"v4","excluded":["v2","v3"]}`)
			assert.Equal(t, h.countServed(h.nodes[2], "later"), 0)
			assert.Equal(t, len(h.nodes[2].instance.Runs()), before)
		})
	}
}
