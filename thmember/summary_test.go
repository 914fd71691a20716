package thmember

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// stateOf returns a state of members of one incarnation that hold a version.
func stateOf(members int) *state {
	s := &state{}
	s.init()
	for i := range members {
		name := fmt.Sprintf("d-%d", i)
		s.putMember(thwire.Member{Name: name, Zone: "a-1", Region: "a", Incarnation: 1 << 60}, "", time.Time{})
		s.putHeld(thwire.Held{Name: name, Incarnation: 1 << 60, Version: 9, Digest: 1 << 63}, "")
	}
	s.clearChanges()
	return s
}

// exchange lets a, the initiator, and b exchange what they lack.
func exchange(a, b *state) {
	y := a.summary()
	news, want := b.missingFrom(y), b.wantedFrom(y)
	take := func(s *state, n thwire.News) {
		for _, m := range n.Members {
			s.putMember(m, "", time.Time{})
		}
		for _, k := range n.Marks {
			for _, m := range s.expandMark(k) {
				s.putMember(m, "", time.Time{})
			}
		}
		for _, h := range n.Holds {
			s.putHold(h, "", "")
		}
	}
	take(a, news)
	take(b, a.recordsFor(want))
}

// Guards against summaries that cost more than the targets allow at 680
// daemons: each new connection between daemons that differ sends one.
func TestSummaryBytes(t *testing.T) {
	b, err := thwire.AppendFrame(nil, thwire.TypeSummary, stateOf(680).summary())
	assert.NilError(t, err)
	t.Logf("summary of 680 members: %d bytes", len(b))
	assert.Assert(t, len(b) < 16<<10)
}

// Guards against anti-entropy that leaves a difference: in state, server,
// incarnation or held version, on either side, or for a member that one side
// does not know.
func TestExchangeEndsDifferences(t *testing.T) {
	for _, swap := range []bool{false, true} {
		a, b := stateOf(20), stateOf(20)
		change := func(s *state, i int, f func(*thwire.Member)) {
			m := s.members[fmt.Sprintf("d-%d", i)].member
			f(&m)
			s.putMember(m, "", time.Time{})
		}
		change(a, 1, func(m *thwire.Member) { m.State = thwire.MemberSuspect })
		change(a, 2, func(m *thwire.Member) { m.Sequence, m.Server = 1, &thwire.Server{Service: "s"} })
		change(a, 3, func(m *thwire.Member) { m.Incarnation++ })
		change(a, 4, func(m *thwire.Member) { m.State = thwire.MemberDead })
		change(a, 5, func(m *thwire.Member) { m.Sequence, m.State = 1, thwire.MemberLeaving })
		change(a, 6, func(m *thwire.Member) { m.Incarnation, m.State = m.Incarnation+1, thwire.MemberDead })
		change(b, 7, func(m *thwire.Member) { m.Incarnation++ })
		a.putHeld(thwire.Held{Name: "d-8", Incarnation: 1 << 60, Version: 10}, "")
		a.putMember(thwire.Member{Name: "new", Incarnation: 5}, "", time.Time{})
		if swap {
			a, b = b, a
		}
		exchange(a, b)
		exchange(b, a)
		assert.Equal(t, a.checksum, b.checksum)
		for name, r := range a.members {
			assert.DeepEqual(t, r.member.Server, b.members[name].member.Server)
			assert.Equal(t, compareMember(r.member, b.members[name].member), 0, name)
		}
		assert.Equal(t, a.members["d-8"].held.Version, uint64(10))
		assert.Equal(t, b.members["d-8"].held.Version, uint64(10))
	}
}

// Guards against a daemon that many others join at once and that sends each of
// them the list of all members.
func TestListRate(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	n.mu.Lock()
	for i := range maxUnthrottledList + 1 {
		n.state.putMember(thwire.Member{Name: fmt.Sprintf("d-%d", i), Incarnation: 1}, "", f.clock.Now())
	}
	n.mu.Unlock()
	ask := func(name string) uint64 {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		l := n.newLink(near, name, false, thwire.KindControl)
		n.handleSummary(l, &thwire.Summary{})
		l.conn.End()
		<-l.conn.Done()
		_, out := l.conn.Bytes()
		return out
	}
	assert.Assert(t, ask("a") > 10*maxUnthrottledList)
	assert.Assert(t, ask("b") < 100)
	f.clock.Advance(largeListInterval)
	assert.Assert(t, ask("c") > 10*maxUnthrottledList)
}

// Guards against a mark that changes a record of which this side lacks the
// rest: equal sums would hide that its backend server differs.
func TestMarkNeedsSameSequence(t *testing.T) {
	s := stateOf(3)
	id := hashIdentity("d-1", 1<<60)
	assert.Equal(t, len(s.expandMark(thwire.Mark{State: thwire.MemberDead, Sequence: 1, Members: []uint64{id}})), 0)
	assert.Equal(t, len(s.expandMark(thwire.Mark{State: thwire.MemberDead, Sequence: 0, Members: []uint64{id, 7}})), 1)
}

// Guards against a daemon that stays suspected because the suspicion arrives as a mark.
func TestMarkRefuted(t *testing.T) {
	f := newFleet(t, 3)
	f.until("all know all", time.Minute, f.converged)
	m := f.nodes[1].Self()
	m.State = thwire.MemberSuspect
	f.nodes[1].mergeNews(&thwire.News{Marks: groupMarks([]thwire.Member{m})}, "n00")
	assert.Assert(t, f.nodes[1].Self().Sequence > m.Sequence)
	assert.Equal(t, f.nodes[1].Self().State, thwire.MemberAlive)
}
