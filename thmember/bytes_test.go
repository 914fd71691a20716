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

// traffic returns the control bytes in and out of each of the nodes.
func (f *fleet) traffic(nodes []int) []uint64 {
	var totals []uint64
	for _, i := range nodes {
		in, out := f.nodes[i].Bytes()
		totals = append(totals, in+out)
	}
	return totals
}

// maxTraffic returns the highest traffic of one of the nodes since before.
func (f *fleet) maxTraffic(nodes []int, before []uint64) float64 {
	var highest uint64
	for i, n := range f.traffic(nodes) {
		highest = max(highest, n-before[i])
	}
	return float64(highest)
}

// Guards against excessive control traffic when many daemons fail or return at once:
// each survivor must not receive a full record over each link, nor full member lists.
func TestBytesOfLossAndReturn(t *testing.T) {
	const size, lost = 30, 6
	f := newFleet(t, size)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	survivors := upTo(size)[lost:]
	measure := func(act func()) float64 {
		before := f.traffic(survivors)
		end := f.clock.Now().Add(10 * time.Second)
		act()
		f.waitFor("the interval ends", time.Minute, func() bool { return !f.clock.Now().Before(end) })
		return f.maxTraffic(survivors, before)
	}
	f.waitFor("all member checksums are equal", time.Minute, func() bool {
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
	idle := measure(func() {})
	failed := measure(func() {
		for i := range lost {
			f.kill(i)
		}
		f.waitFor("survivors see the lost nodes as dead", 10*time.Second, func() bool {
			for i := range lost {
				if !f.allSee(fmt.Sprintf("n%02d", i), thwire.MemberDead, survivors...) {
					return false
				}
			}
			return true
		})
	})
	returned := measure(func() {
		for i := range lost {
			n := f.add(fmt.Sprintf("n%02d", i), f.nodes[i].Member.Peer)
			n.Join(f.nodes[lost+i].Member.Peer)
		}
		f.waitFor("survivors see the returned nodes as alive", 10*time.Second, func() bool {
			for i := range lost {
				if !f.allSee(fmt.Sprintf("n%02d", i), thwire.MemberAlive, survivors...) {
					return false
				}
			}
			return true
		})
	})
	perLost, perReturned := (failed-idle)/lost, (returned-idle)/lost
	t.Logf("daemon with most traffic: idle %.0f bytes in 10 s, per lost daemon %.0f, per returned daemon %.0f", idle, perLost, perReturned)
	assert.Assert(t, perLost < maxBytesPerMember, "%.0f bytes per lost daemon", perLost)
	assert.Assert(t, perReturned < maxBytesPerMember, "%.0f bytes per returned daemon", perReturned)
}

// maxBytesPerMember limits the bytes in and out, per lost or returned daemon, of the
// survivor with the most traffic. It is 18 KB/s less the idle traffic of about 3 KB/s,
// over the 10 s in which a zone of 97 daemons fails or returns.
const maxBytesPerMember = (18 - 3) << 10 * 10 / 97.0

// Guards against building a view for each of many quick changes, and against delaying
// an urgent change, the state of a move, until their batch.
func TestFlushRate(t *testing.T) {
	f := &fleet{t: t, clock: clockwork.NewFakeClock()}
	t.Cleanup(func() { f.kill(0) })
	var views, moveStates atomic.Int32
	n := f.add("n00", netip.MustParseAddrPort("127.0.0.1:0"), func(n *Node) {
		n.Watch(func(*View) { views.Add(1) })
		n.WatchMoveStates(func(thwire.MoveState) { moveStates.Add(1) })
	})
	version := uint64(0)
	changeVersions := func(d time.Duration) {
		for end := f.clock.Now().Add(d); f.clock.Now().Before(end); {
			version++
			n.SetHeld(version, nil)
			time.Sleep(4 * time.Millisecond)
			f.clock.Advance(tickInterval)
		}
	}
	changeVersions(2 * time.Second)
	assert.Assert(t, views.Load() <= 11, "%d views", views.Load())
	assert.Assert(t, views.Load() >= 8, "%d views", views.Load())
	n.MergeMoveState(thwire.MoveState{Move: "m", Step: 1})
	changeVersions(2 * tickInterval)
	f.waitFor("the state of the move is reported", tickInterval, func() bool { return moveStates.Load() == 1 })
}
