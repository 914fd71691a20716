package thmember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// crossing counts the control connections of nodes below n to nodes from n on.
func (f *fleet) crossing(n int) int {
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

// Guards against members of a lost region that stay alive in the view for long
// because no connection crossed to them.
func TestLostSideIsSoonDead(t *testing.T) {
	for _, size := range []int{12, 24, 40} {
		f := newFleet(t, size)
		f.until("all know all", time.Minute, f.converged)
		f.split(1, upTo(size)[size/2:]...)
		begin := f.clock.Now()
		f.until("each side sees the other dead", 15*time.Second, f.parted)
		t.Logf("%d members: after %s", size, f.clock.Now().Sub(begin))
	}
}

// parted reports whether both halves of the nodes see all of the other dead.
func (f *fleet) parted() bool {
	half := len(f.nodes) / 2
	near, far := upTo(len(f.nodes))[:half], upTo(len(f.nodes))[half:]
	for i := range half {
		if !f.see(f.nodes[half+i].Member.Name, thwire.MemberDead, near...) || !f.see(f.nodes[i].Member.Name, thwire.MemberDead, far...) {
			return false
		}
	}
	return true
}

// requireOwnSide fails the test when a node sees a member of its own side dead:
// the other side's records of a partition must not empty the pools of this one.
func (f *fleet) requireOwnSide() {
	f.t.Helper()
	half := len(f.nodes) / 2
	for i, n := range f.nodes {
		for j, o := range f.nodes {
			m, _ := n.View().Member(o.Member.Name)
			assert.Assert(f.t, (i < half) != (j < half) || m.State != thwire.MemberDead, "%s sees %s dead", n.Member.Name, m.Name)
		}
	}
}

// Guards against two sides of a partition that lose each other again after they
// have merged: each side has filled the slots of its overlay with its own
// members meanwhile, and the connections that rejoined it are beyond the slots.
func TestMergedSidesStayJoined(t *testing.T) {
	f := newFleet(t, 16)
	f.until("all know all", time.Minute, f.converged)
	f.split(1, 8, 9, 10, 11, 12, 13, 14, 15)
	f.until("both sides see the other dead", time.Minute, f.parted)
	// Longer than the dials of lost neighbours take to fill all slots.
	begin := f.clock.Now()
	f.until("slots filled", time.Minute, func() bool { return f.clock.Now().Sub(begin) > 10*time.Second })
	// The connections within each side stay as they are.
	for _, side := range f.side {
		side.Store(0)
	}
	f.until("merged", 2*time.Minute, func() bool {
		f.requireOwnSide()
		return f.converged()
	})
	t.Logf("%d connections cross after the merge", f.crossing(8))
	begin = f.clock.Now()
	f.until("extra connections closed", time.Minute, func() bool { return f.clock.Now().Sub(begin) > surplusLinkLifetime+15*time.Second })
	t.Logf("%d connections cross after %s more", f.crossing(8), f.clock.Now().Sub(begin))
	f.nodes[1].MergeFact(thwire.Fact{Move: "m", Step: 3})
	f.until("news cross", 3*time.Second, func() bool {
		for _, n := range f.nodes {
			if len(n.Facts()) != 1 {
				return false
			}
		}
		return true
	})
}
