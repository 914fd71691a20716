package thmember

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Guards against a neighbour that connects and gets no greeting, or gets it more than once.
func TestNeighbourIsGreeted(t *testing.T) {
	f := newFleet(t, 0)
	f.add("greeter", anyPort, func(n *Node) {
		n.Greeting = func(name string) (thwire.Type, thwire.Message) {
			return thwire.TypeServerLimit, &thwire.ServerLimit{Instance: name, Rate: 2}
		}
	})
	greeted := make(chan thwire.ServerLimit, 8)
	f.add("newcomer", anyPort, func(n *Node) {
		n.Handle(thwire.TypeServerLimit, func(_ string, payload []byte) {
			var l thwire.ServerLimit
			assert.Check(t, thwire.Decode(payload, &l))
			greeted <- l
		})
	})
	f.waitFor("the greeting", time.Minute, func() bool { return len(greeted) > 0 })
	assert.DeepEqual(t, <-greeted, thwire.ServerLimit{Instance: "newcomer", Rate: 2})
	assert.Equal(t, len(greeted), 0)
}
