package thproof

import (
	"fmt"
	"net/http"
	"os"
	"strings"
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

// Guards against a rollout that runs again, and whose end the operator does not see, after
// the store has come back from a copy without its end; also where the order had to be
// written again and has another version.
func TestEndOfRolloutSurvivesRestore(t *testing.T) {
	for _, lost := range []bool{false, true} { // the order is lost too
		t.Run(fmt.Sprintf("orderLost=%v", lost), func(t *testing.T) {
			h := newRolloutFleet(t)
			c := h.store.Copy()
			h.store.Put("op", "", "evacuate/elsewhere", []byte(`{}`)) // the order's version is given out again
			h.orderRollout()
			if !lost {
				c = h.store.Copy()
			}
			h.completeRollout()
			h.restore(c, time.Second, func() {
				if lost {
					h.orderRollout()
				}
			})
			waitUntil(t, "the end is written again", h.isRolloutCompleted)
			assert.Equal(t, h.countServed(h.nodes[0], "old")+h.countServed(h.nodes[1], "old"), 0)
			h.configure(5, "later")
			h.requireServed("later", applyBound)
			assert.Equal(t, h.countServed(h.nodes[0], "later")+h.countServed(h.nodes[1], "later"), 0)
		})
	}
}

// Guards against a rollout that runs again in the whole fleet because a daemon has started
// with a store that came back from a copy without its end. The old version's backend servers
// may be gone by then.
func TestEndOfRolloutSurvivesRestoreAndRestart(t *testing.T) {
	h := newRolloutFleet(t)
	h.orderRollout()
	c := h.store.Copy()
	h.completeRollout()
	for _, n := range h.nodes[:2] { // the old version's servers leave
		n.setState("")
		assert.NilError(t, n.instance.Deregister())
	}
	n := h.nodes[0]
	h.restore(c, time.Second, func() {
		n.daemon.Kill()
		n.clearBootstrap(h)
		n.start(h)
	})
	waitUntil(t, "the daemon is ready", n.isReady)
	for end := time.Now().Add(applyBound); time.Now().Before(end); {
		assert.Equal(t, h.countServed(h.nodes[2], fmt.Sprint("restored", time.Now().UnixNano())), 30)
	}
	waitUntil(t, "the end is written again", h.isRolloutCompleted)
	assert.Equal(t, h.countServed(h.nodes[2], "ended"), 30)
}

// Guards against the end of a rollout that is lost with the store's latest rows because its
// coordinator is lost with them: the others take it for alive when they learn of the return.
func TestEndOfRolloutSurvivesRestoreAndLossOfCoordinator(t *testing.T) {
	h := newRolloutFleet(t)
	h.orderRollout()
	c := h.store.Copy()
	h.completeRollout()
	coordinator := h.nodeWithLog("end of move committed")
	h.restore(c, time.Second, coordinator.daemon.Kill)
	waitUntil(t, "the end is written again", h.isRolloutCompleted)
}

// nodeWithLog returns the node whose daemon has logged a text.
func (h *hostedFleet) nodeWithLog(text string) *hostedNode {
	h.t.Helper()
	for _, n := range h.nodes {
		log, err := os.ReadFile(n.daemon.LogFile)
		assert.NilError(h.t, err)
		if strings.Contains(string(log), text) {
			return n
		}
	}
	h.t.Fatalf("no daemon has logged %q", text)
	return nil
}

// Guards against an announcement and a departure that are lost with the store's latest rows:
// daemons that start later would not find the others, and would use a server that has left.
func TestDaemonsWriteToRestoredStoreAgain(t *testing.T) {
	h := newHostedFleet(t, 2)
	c := h.store.Copy() // empty
	h.configure(1)
	h.waitServing()
	n := h.nodes[1]
	n.setState("draining")
	departed := func() bool {
		_, found := h.store.Row("turmerichaven", "left", n.instance.ID)
		return found
	}
	waitUntil(t, "the departure is stored", departed)
	n.setState("")
	assert.NilError(t, n.instance.Deregister())
	h.restore(c, time.Second, func() { h.configure(1) })
	waitUntil(t, "the departure is stored again", departed)
	for _, o := range h.nodes {
		waitUntil(t, o.name+" is announced again", func() bool {
			_, found := h.store.Row("turmerichaven", "member", o.name)
			return found
		})
	}
}
