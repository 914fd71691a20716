package thmember

import (
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against a data race of a component that starts before the node and reads the record
// of this daemon while the node starts. The race detector shows it.
func TestSelfIsReadWhileTheNodeStarts(t *testing.T) {
	n := &Node{Member: thwire.Member{Name: "a", Peer: netip.MustParseAddrPort("127.0.0.1:1")}}
	first, stop := make(chan struct{}), make(chan struct{})
	var readers sync.WaitGroup
	readers.Go(func() {
		_ = n.Self()
		close(first)
		for {
			select {
			case <-stop:
				return
			default:
				_ = n.Self()
			}
		}
	})
	<-first
	assert.NilError(t, n.Start(t.Context()))
	close(stop)
	readers.Wait()
	assert.Assert(t, n.Self().Incarnation != 0)
	n.Stop()
}
