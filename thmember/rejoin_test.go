package thmember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// crossConnections counts the overlay connections between the first n nodes and the rest.
func (f *fleet) crossConnections(n int) int {
	count := 0
	for _, node := range f.nodes[:n] {
		for _, name := range node.Neighbours() {
			for _, other := range f.nodes[n:] {
				if other.Member.Name == name {
					count++
				}
			}
		}
	}
	return count
}

// Guards against members of a lost region that stay alive in the view for long because
// no connection led to them.
func TestLostSideIsSoonDead(t *testing.T) {
	for _, size := range []int{12, 24, 40} {
		f := newFleet(t, size)
		f.waitFor("every node sees every member", time.Minute, f.converged)
		f.partition(1, upTo(size)[size/2:]...)
		begin := f.clock.Now()
		f.waitFor("each side sees the other as dead", 15*time.Second, f.partitioned)
		t.Logf("%d members: each side saw the other as dead after %s", size, f.clock.Now().Sub(begin))
	}
}

// partitioned reports whether each half of the nodes sees all of the other half as dead.
func (f *fleet) partitioned() bool {
	half := len(f.nodes) / 2
	near, far := upTo(len(f.nodes))[:half], upTo(len(f.nodes))[half:]
	for i := range half {
		if !f.allSee(f.nodes[half+i].Member.Name, thwire.MemberDead, near...) || !f.allSee(f.nodes[i].Member.Name, thwire.MemberDead, far...) {
			return false
		}
	}
	return true
}

// requireOwnSideAlive fails the test if a node sees a member of its own side as dead:
// records from the other side of a partition must not empty the pools of this side.
func (f *fleet) requireOwnSideAlive() {
	f.t.Helper()
	half := len(f.nodes) / 2
	for i, n := range f.nodes {
		for j, o := range f.nodes {
			m, _ := n.View().Member(o.Member.Name)
			assert.Assert(f.t, (i < half) != (j < half) || m.State != thwire.MemberDead, "%s sees %s as dead", n.Member.Name, m.Name)
		}
	}
}

// Guards against two sides of a partition that separate again after they have merged:
// each side has filled its overlay slots with its own members in the meantime, and the
// connections that rejoined the sides have no slot.
func TestMergedSidesStayJoined(t *testing.T) {
	f := newFleet(t, 16)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	f.partition(1, 8, 9, 10, 11, 12, 13, 14, 15)
	f.waitFor("both sides see the other as dead", time.Minute, f.partitioned)
	// Refilling all slots after the loss of neighbours takes less than 10 s.
	begin := f.clock.Now()
	f.waitFor("slots are filled", time.Minute, func() bool { return f.clock.Now().Sub(begin) > 10*time.Second })
	// Heals the network without closing the connections within each side.
	for _, side := range f.sides {
		side.Store(0)
	}
	f.waitFor("the sides have merged", 2*time.Minute, func() bool {
		f.requireOwnSideAlive()
		return f.converged()
	})
	t.Logf("%d connections between the sides after the merge", f.crossConnections(8))
	begin = f.clock.Now()
	f.waitFor("surplus connections are closed", time.Minute, func() bool { return f.clock.Now().Sub(begin) > surplusLinkLifetime+15*time.Second })
	t.Logf("%d connections between the sides %s later", f.crossConnections(8), f.clock.Now().Sub(begin))
	f.nodes[1].MergeMoveState(thwire.MoveState{Move: "m", Step: 3})
	f.waitFor("an update reaches both sides", 3*time.Second, func() bool {
		for _, n := range f.nodes {
			if len(n.MoveStates()) != 1 {
				return false
			}
		}
		return true
	})
}
