package thproof

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

// applyBound is the time within which an acknowledged configuration has to be in effect.
const applyBound = 2 * time.Second

// serves reports whether a route is served at a node.
func (n *hostedNode) serves(t *testing.T, route string) bool {
	t.Helper()
	status, _, err := n.call("GET", "/"+route+"/x", fmt.Sprintf("%s-%d", route, time.Now().UnixNano()), "")
	assert.NilError(t, err)
	return status == http.StatusOK
}

// requireServed fails the test unless a route is served at every node within a time.
func (h *hostedFleet) requireServed(route string, within time.Duration) {
	h.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		missing := ""
		for _, n := range h.nodes {
			if !n.serves(h.t, route) {
				missing += " " + n.name
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("route %s isn't served after %s at:%s", route, within, missing)
		}
	}
}

// restore makes the store unavailable for a time, and lets it come back from a copy into
// which the operator has written its newest configuration again.
func (h *hostedFleet) restore(c thstandin.RowStoreCopy, away time.Duration, writeAgain func()) {
	h.store.SetFaults(thstandin.RowStoreFaults{Unavailable: true})
	time.Sleep(away)
	h.store.Restore(c)
	h.store.SetFaults(thstandin.RowStoreFaults{})
	writeAgain()
}

// Guards against daemons that ignore every change after the store has come back from a
// copy, because its versions are lower than those that they have seen, and against daemons
// that return to the older configuration of the copy.
func TestChangeAfterRestoreIsInEffect(t *testing.T) {
	h := newHostedFleet(t, 3)
	h.configure(1)
	h.waitServing()
	c := h.store.Copy()
	for i := range 20 {
		h.store.Put("op", "", "evacuate/elsewhere", []byte(fmt.Sprintf(`{"n":%d}`, i)))
	}
	h.configure(4, "confirmed")
	h.requireServed("confirmed", applyBound)
	h.restore(c, time.Second, func() { h.configure(4, "confirmed") })
	h.requireServed("confirmed", 0)
	time.Sleep(time.Second)
	h.requireServed("confirmed", 0)
	h.configure(6, "confirmed", "later")
	h.requireServed("later", applyBound)
	h.requireServed("confirmed", 0)
	h.store.Put("op", "", "config", []byte(`{"version":7,"listeners":[{`)) // invalid
	time.Sleep(applyBound)
	h.requireServed("later", 0)
}
