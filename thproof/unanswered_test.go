package thproof

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thstandin"
)

// Pattern: the store takes the requests for changes of all daemons and never responds to
// them, while their connections stay open. Guards against daemons that learn of no change
// until those requests time out: orders of each kind come after the store is back.
func TestUnansweredRequestsForChanges(t *testing.T) {
	const contact, apply = 3 * time.Second, 2 * time.Second // terms.bounds of the platform
	h := newHostedFleet(t, 5)
	h.configure(1)
	h.waitServing()
	serves := func(n *hostedNode, route string) bool {
		status, _, err := n.call("GET", "/"+route+"/x", fmt.Sprint(route, n.name, time.Now().UnixNano()), "")
		return err == nil && status == http.StatusOK
	}
	for i := range 3 {
		h.configure(2*i+2, fmt.Sprint("first", i))
		h.store.SetFaults(thstandin.RowStoreFaults{HangFeeds: true})
		time.Sleep(1500 * time.Millisecond)
		h.store.SetFaults(thstandin.RowStoreFaults{})
		time.Sleep(contact - apply)
		route := fmt.Sprint("second", i)
		h.configure(2*i+3, route)
		h.store.Put("op", "", "evacuate/zone-2", []byte(`{}`))
		time.Sleep(apply)
		for _, n := range h.nodes {
			assert.Assert(t, serves(n, route), "%s lacks route %s", n.name, route)
		}
		assert.Equal(t, h.countServed(h.nodes[1], fmt.Sprint("out", i)), 0)
		h.store.Put("op", "", "evacuate/zone-2", nil)
	}
}
