package thmember

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fleet is a set of nodes that are connected over loopback TCP and share a fake clock.
type fleet struct {
	t          *testing.T
	clock      *clockwork.FakeClock
	nodes      []*Node
	listeners  []*thwire.Listener
	sides      []*atomic.Int32 // partition side of each node; nodes of different sides cannot connect
	sideByPeer sync.Map        // the same by peer address, for dialling goroutines
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, clock: clockwork.NewFakeClock()}
	for range size {
		f.add(fmt.Sprintf("n%02d", len(f.nodes)), netip.MustParseAddrPort("127.0.0.1:0"))
	}
	t.Cleanup(func() {
		for i := range f.nodes {
			f.kill(i)
		}
	})
	return f
}

func (f *fleet) add(name string, address netip.AddrPort, configure ...func(*Node)) *Node {
	i := len(f.nodes)
	n := &Node{Clock: f.clock, Seed: uint64(i + 1)}
	listener := &thwire.Listener{Address: address, Rate: 10000, Control: func(c net.Conn, h thwire.Hello) { n.Serve(c, &h) }}
	assert.NilError(f.t, listener.Start(context.Background()))
	n.Member = thwire.Member{Name: name, Zone: fmt.Sprintf("z%d", i%3), Region: "r", Peer: listener.Addr()}
	side := &atomic.Int32{}
	n.Dial = f.dialFrom(side)
	f.sides = append(f.sides, side)
	f.sideByPeer.Store(n.Member.Peer, side)
	f.nodes, f.listeners = append(f.nodes, n), append(f.listeners, listener)
	for _, c := range configure {
		c(n)
	}
	assert.NilError(f.t, n.Start(context.Background()))
	if i > 0 {
		n.Join(f.nodes[0].Member.Peer)
	}
	return n
}

var errPartitioned = therror.New(therror.Down, "partitioned")

// dialFrom returns a Dial that fails for peers on another side.
func (f *fleet) dialFrom(own *atomic.Int32) func(context.Context, netip.AddrPort, thwire.Hello) (net.Conn, error) {
	return func(ctx context.Context, peer netip.AddrPort, h thwire.Hello) (net.Conn, error) {
		other, found := f.sideByPeer.Load(peer)
		if !found {
			return thwire.Dial(ctx, peer, h)
		}
		c := &sidedConn{own: own, other: other.(*atomic.Int32)}
		if c.isPartitioned() {
			return nil, errPartitioned
		}
		var err error
		if c.Conn, err = thwire.Dial(ctx, peer, h); err != nil {
			return nil, err
		}
		return c, nil
	}
}

// sidedConn is a connection that breaks when its ends are on different sides, also if
// its dial was in progress when partition closed the connections.
type sidedConn struct {
	net.Conn
	own, other *atomic.Int32
}

func (c *sidedConn) isPartitioned() bool { return c.own.Load() != c.other.Load() }

func (c *sidedConn) Write(p []byte) (int, error) {
	if c.isPartitioned() {
		_ = c.Close()
		return 0, errPartitioned
	}
	return c.Conn.Write(p)
}

func (f *fleet) kill(i int) {
	f.listeners[i].Stop()
	f.nodes[i].Stop()
}

// partition moves nodes to a side and closes the connections of all nodes.
func (f *fleet) partition(side int32, nodes ...int) {
	for _, i := range nodes {
		f.sides[i].Store(side)
	}
	for _, n := range f.nodes {
		n.mu.Lock()
		for l := range n.openLinks {
			l.conn.Close()
		}
		n.mu.Unlock()
	}
}

// waitFor advances the clock until the condition holds, and fails the test after limit
// on the fake clock. Each step leaves real time for the loopback traffic.
func (f *fleet) waitFor(what string, limit time.Duration, condition func() bool) {
	f.t.Helper()
	for start := f.clock.Now(); f.clock.Now().Sub(start) < limit; {
		if condition() {
			return
		}
		f.clock.Advance(tickInterval)
		time.Sleep(4 * time.Millisecond)
	}
	for _, n := range f.nodes {
		for _, m := range n.View().Members {
			f.t.Log(n.Member.Name, m.Name, m.State, m.Incarnation, m.Sequence)
		}
	}
	f.t.Fatalf("condition not met within %s: %s", limit, what)
}

// allSee reports whether all the nodes see the member in the state.
func (f *fleet) allSee(member string, state int, nodes ...int) bool {
	for _, i := range nodes {
		m, found := f.nodes[i].View().Member(member)
		if !found || m.State != state {
			return false
		}
	}
	return true
}

// converged reports whether every node sees as many live members as there are nodes.
func (f *fleet) converged() bool {
	for _, n := range f.nodes {
		if len(n.View().Alive()) != len(f.nodes) {
			return false
		}
	}
	return true
}

// upTo returns the numbers from 0 to n-1.
func upTo(n int) []int {
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// Guards against members, held versions, states of moves and backend servers that do
// not reach every daemon.
func TestFlood(t *testing.T) {
	f := newFleet(t, 10)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	f.nodes[3].SetHeld(7, []byte{1, 2, 3, 4, 5, 6, 7, 8})
	f.nodes[4].MergeMoveState(thwire.MoveState{Move: "m", Step: 2, Lasts: time.Second, Calls: 9})
	f.nodes[5].MergeMoveState(thwire.MoveState{Move: "m", Step: 1, Bad: true, Reason: "errors"})
	f.nodes[6].SetServer(&thwire.Server{Service: "s", Version: "1", Slots: 4, State: thwire.ServerReady})
	f.waitFor("updates reach every node", 20*time.Second, func() bool {
		for _, n := range f.nodes {
			v, moveStates := n.View(), n.MoveStates()
			m, _ := v.Member("n06")
			if v.Held["n03"].Version != 7 || v.Held["n03"].Digest != 0x0102030405060708 || m.Server == nil ||
				len(moveStates) != 1 || moveStates[0] != (thwire.MoveState{Move: "m", Step: 2, Bad: true, Reason: "errors", Lasts: time.Second, Calls: 9}) {
				return false
			}
		}
		return true
	})
	for _, n := range f.nodes {
		in, out := n.Bytes()
		assert.Assert(t, in > 0 && out > 0)
		assert.Assert(t, len(n.Neighbours()) <= slotCount+maxAccepted)
	}
}

// Guards against daemons that stay isolated after a simultaneous start because their
// only seed accepts no more connections.
func TestFullSeed(t *testing.T) {
	f := newFleet(t, maxAccepted+slotCount+4)
	f.waitFor("every node sees every member", time.Minute, f.converged)
}

// Guards against a crashed daemon that stays in use, and against a restarted daemon
// that is ignored because its name is recorded as dead.
func TestCrashAndRestart(t *testing.T) {
	f := newFleet(t, 6)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	f.nodes[2].SetHeld(9, nil)
	f.waitFor("the held version is known", 20*time.Second, func() bool { return f.nodes[0].View().Held["n02"].Version == 9 })
	address, name, old := f.nodes[2].Member.Peer, f.nodes[2].Member.Name, f.nodes[2].Member.Incarnation
	f.kill(2)
	f.waitFor("the crash is seen", 20*time.Second, func() bool { return f.allSee(name, thwire.MemberDead, 0, 1, 3, 4, 5) })
	n := f.add(name, address)
	f.waitFor("the restart is seen", 30*time.Second, func() bool { return f.allSee(name, thwire.MemberAlive, 0, 1, 3, 4, 5) })
	m, _ := f.nodes[0].View().Member(name)
	assert.Assert(t, m.Incarnation > old)
	assert.Equal(t, m.Incarnation, n.Self().Incarnation)
	_, held := f.nodes[0].View().Held[name]
	assert.Assert(t, !held, "the held version of the previous process must not be kept for the new one")
}

// Guards against the removal of a live daemon because of a neighbour's mistake, and
// against a restarted daemon that is ignored because its clock has gone back.
func TestRefutation(t *testing.T) {
	f := newFleet(t, 4)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	for _, state := range []int{thwire.MemberSuspect, thwire.MemberDead} {
		m := f.nodes[1].Self()
		m.State = state
		f.nodes[0].mergeUpdate(&thwire.Update{Members: []thwire.Member{m}}, "")
		f.waitFor("the suspicion or death is refuted", 10*time.Second, func() bool {
			seen, _ := f.nodes[0].View().Member("n01")
			return f.allSee("n01", thwire.MemberAlive, upTo(4)...) && seen.Sequence > m.Sequence
		})
	}
	m := f.nodes[1].Self()
	m.Incarnation += 1000
	f.nodes[0].mergeUpdate(&thwire.Update{Members: []thwire.Member{m}}, "")
	f.waitFor("the record of the running process wins", 10*time.Second, func() bool {
		seen, _ := f.nodes[0].View().Member("n01")
		return seen.Incarnation == m.Incarnation+1
	})
}

// Guards against a membership that stays partitioned after the network has healed.
func TestPartitionAndMerge(t *testing.T) {
	f := newFleet(t, 8)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	f.partition(1, 4, 5, 6, 7)
	f.waitFor("both sides see the other as dead", time.Minute, func() bool {
		return f.allSee("n05", thwire.MemberDead, 0, 1, 2, 3) && f.allSee("n01", thwire.MemberDead, 4, 5, 6, 7)
	})
	f.nodes[1].MergeMoveState(thwire.MoveState{Move: "m", Step: 3})
	f.partition(0, 4, 5, 6, 7)
	f.waitFor("the sides have merged", 2*time.Minute, func() bool {
		return f.converged() && len(f.nodes[6].MoveStates()) == 1
	})
}

// Guards against a planned stop that is treated as a crash, and against a member that
// stays in the leaving state after its process has ended.
func TestLeave(t *testing.T) {
	f := newFleet(t, 5)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	f.nodes[3].Leave()
	f.waitFor("the member is seen as leaving", 10*time.Second, func() bool { return f.allSee("n03", thwire.MemberLeaving, 0, 1, 2, 4) })
	f.kill(3)
	f.waitFor("the member is seen as dead", time.Minute, func() bool { return f.allSee("n03", thwire.MemberDead, 0, 1, 2, 4) })
}

// Guards against lost messages to members that are not neighbours, and against
// on-demand connections that stay open.
func TestSendOnDemand(t *testing.T) {
	f := newFleet(t, 1)
	var got atomic.Int32
	f.add("b", netip.MustParseAddrPort("127.0.0.1:0"), func(b *Node) {
		b.Handle(thwire.TypeReport, func(from string, _ []byte) {
			if from == "n00" {
				got.Add(1)
			}
		})
	})
	f.waitFor("every node sees every member", time.Minute, f.converged)
	a := f.nodes[0]
	// Without the overlay connection the messages need an on-demand connection.
	a.mu.Lock()
	link := a.links["b"]
	delete(a.links, "b")
	a.nextDue["dial"], a.nextDue["redial"] = f.clock.Now().Add(time.Hour), f.clock.Now().Add(time.Hour)
	a.mu.Unlock()
	assert.NilError(t, a.Send("b", thwire.TypeReport, &thwire.Report{Move: "m"}))
	assert.NilError(t, a.Send("b", thwire.TypeReport, &thwire.Report{Move: "m"}))
	f.waitFor("both messages are delivered", 10*time.Second, func() bool { return got.Load() == 2 })
	assert.Assert(t, therror.Is(a.Send("c", thwire.TypeReport, &thwire.Report{}), therror.Absent))
	f.waitFor("the idle on-demand connection is closed", time.Minute, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.onDemand) == 0
	})
	link.conn.Close()
}

// Guards against messages that exceed the frame limit with a full member list: updates
// are split and a full Summary fits.
func TestLargeStateFits(t *testing.T) {
	var s state
	s.init()
	long := fmt.Sprintf("%060d", 0)
	for i := range maxMembers + 10 {
		name := fmt.Sprintf("%04d%s", i, long)
		s.putMember(thwire.Member{Name: name, Zone: long, Region: long, Incarnation: 1 << 62, Sequence: 1 << 40}, "", time.Time{})
		s.putHeld(thwire.HeldVersion{Name: name, Incarnation: 1 << 62, Version: 1 << 62, Digest: 1 << 63}, "")
	}
	for i := range maxMoveStates + 10 {
		s.putMoveState(thwire.MoveState{Move: fmt.Sprintf("%04d%s", i, long), Reason: long + long + long + long}, "")
	}
	assert.Equal(t, len(s.members), maxMembers)
	b, err := thwire.AppendFrame(nil, thwire.TypeSummary, s.summary())
	assert.NilError(t, err)
	assert.Assert(t, len(b) < thwire.MaxFrame)
	total := 0
	for _, p := range splitUpdate(s.missingFrom(&thwire.Summary{})) {
		assert.Assert(t, p.Msgsize() <= maxUpdateBytes+1024)
		total += len(p.Members)
	}
	assert.Equal(t, total, maxMembers)
}

// Guards against roles that move between remaining daemons when a member is removed.
func TestRendezvousIsStable(t *testing.T) {
	var members []thwire.Member
	for i := range 50 {
		members = append(members, thwire.Member{Name: fmt.Sprintf("n%d", i)})
	}
	first := Rendezvous("poll", members, 3)
	assert.Equal(t, len(first), 3)
	var rest []thwire.Member
	for _, m := range members {
		if m.Name != first[1].Name {
			rest = append(rest, m)
		}
	}
	assert.Equal(t, Rendezvous("poll", rest, 1)[0].Name, first[0].Name)
	assert.Equal(t, Rendezvous("poll", rest, 2)[1].Name, first[2].Name)
	assert.Equal(t, len(Rendezvous("poll", members[:2], 3)), 2)
}
