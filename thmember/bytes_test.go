package thmember

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// traffic returns the control bytes of each of some nodes, in and out.
func (f *fleet) traffic(nodes []int) []uint64 {
	var all []uint64
	for _, i := range nodes {
		in, out := f.nodes[i].Bytes()
		all = append(all, in+out)
	}
	return all
}

// most returns the bytes of the node with most of them since before.
func (f *fleet) most(nodes []int, before []uint64) float64 {
	var most uint64
	for i, n := range f.traffic(nodes) {
		most = max(most, n-before[i])
	}
	return float64(most)
}

// Guards against the loss and the return of many daemons at once costing each
// survivor a full record over each link and full lists of members.
func TestBytesOfLossAndReturn(t *testing.T) {
	const size, lost = 30, 6
	f := newFleet(t, size)
	f.until("all know all", time.Minute, f.converged)
	rest := upTo(size)[lost:]
	span := func(act func()) float64 {
		before := f.traffic(rest)
		end := f.clock.Now().Add(10 * time.Second)
		act()
		f.until("the span ends", time.Minute, func() bool { return !f.clock.Now().Before(end) })
		return f.most(rest, before)
	}
	f.until("nothing is pending", time.Minute, func() bool {
		for _, n := range f.nodes {
			n.mu.Lock()
			same := n.state.checksum.Members == f.nodes[0].state.checksum.Members
			n.mu.Unlock()
			if !same {
				return false
			}
		}
		return true
	})
	idle := span(func() {})
	gone := span(func() {
		for i := range lost {
			f.kill(i)
		}
		f.until("all know the loss", 10*time.Second, func() bool {
			for i := range lost {
				if !f.see(fmt.Sprintf("n%02d", i), thwire.MemberDead, rest...) {
					return false
				}
			}
			return true
		})
	})
	back := span(func() {
		for i := range lost {
			n := f.add(fmt.Sprintf("n%02d", i), f.nodes[i].Member.Peer)
			n.Join(f.nodes[lost+i].Member.Peer)
		}
		f.until("all know the return", 10*time.Second, func() bool {
			for i := range lost {
				if !f.see(fmt.Sprintf("n%02d", i), thwire.MemberAlive, rest...) {
					return false
				}
			}
			return true
		})
	})
	perLost, perBack := (gone-idle)/lost, (back-idle)/lost
	t.Logf("daemon with most: idle %.0f bytes in 10 s, per lost daemon %.0f, per returned daemon %.0f", idle, perLost, perBack)
	assert.Assert(t, perLost < maxBytes, "%.0f bytes", perLost)
	assert.Assert(t, perBack < maxBytes, "%.0f bytes", perBack)
}

// maxBytes bounds the bytes in and out of the survivor with most of them for each
// daemon that is lost or returns: 18 KB/s, less the idle traffic of about 3 KB/s,
// for the 10 s in which a zone of 97 daemons leaves or comes back.
const maxBytes = (18 - 3) << 10 * 10 / 97.0

// Guards against a view for each of many changes, and against a fact or a
// leaving member that waits for them.
func TestFlushRate(t *testing.T) {
	f := &fleet{t: t, clock: clockwork.NewFakeClock()}
	t.Cleanup(func() { f.kill(0) })
	var views, facts atomic.Int32
	n := f.add("n00", netip.MustParseAddrPort("127.0.0.1:0"), func(n *Node) {
		n.Watch(func(*View) { views.Add(1) })
		n.WatchFacts(func(thwire.Fact) { facts.Add(1) })
	})
	version := uint64(0)
	pass := func(d time.Duration) {
		for end := f.clock.Now().Add(d); f.clock.Now().Before(end); {
			version++
			n.SetHeld(version, nil)
			time.Sleep(4 * time.Millisecond)
			f.clock.Advance(tickInterval)
		}
	}
	pass(2 * time.Second)
	assert.Assert(t, views.Load() <= 11, "%d views", views.Load())
	assert.Assert(t, views.Load() >= 8, "%d views", views.Load())
	n.MergeFact(thwire.Fact{Move: "m", Step: 1})
	pass(2 * tickInterval)
	f.until("the fact is told", tickInterval, func() bool { return facts.Load() == 1 })
}
