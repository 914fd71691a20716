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

// newState returns a state with members that have a held version, without pending changes.
func newState(members int) *state {
	s := &state{}
	s.init()
	for i := range members {
		name := fmt.Sprintf("d-%d", i)
		s.putMember(thwire.Member{Name: name, Zone: "a-1", Region: "a", Incarnation: 1 << 60}, "", time.Time{})
		s.putHeld(thwire.HeldVersion{Name: name, Incarnation: 1 << 60, Version: 9, Digest: 1 << 63}, "")
	}
	s.clearChanges()
	return s
}

// runExchange runs one anti-entropy exchange between a, the initiator, and b.
func runExchange(a, b *state) {
	summary := a.summary()
	update, request := b.missingFrom(summary), b.wantedFrom(summary)
	merge := func(s *state, n thwire.Update) {
		for _, m := range n.Members {
			s.putMember(m, "", time.Time{})
		}
		for _, k := range n.Marks {
			for _, m := range s.expandMark(k) {
				s.putMember(m, "", time.Time{})
			}
		}
		for _, h := range n.Holds {
			s.putVersionGroup(h, "", "")
		}
	}
	merge(a, update)
	merge(b, a.recordsFor(request))
}

// Guards against summaries that exceed the traffic targets at 680 daemons: each new
// connection between daemons with different state sends one.
func TestSummaryBytes(t *testing.T) {
	b, err := thwire.AppendFrame(nil, thwire.TypeSummary, newState(680).summary())
	assert.NilError(t, err)
	t.Logf("summary of 680 members: %d bytes", len(b))
	assert.Assert(t, len(b) < 16<<10)
}

// Guards against differences that remain after anti-entropy: in state, backend server,
// incarnation or held version, on either side, or for a member that one side does not
// know.
func TestExchangeEndsDifferences(t *testing.T) {
	for _, swap := range []bool{false, true} {
		a, b := newState(20), newState(20)
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
		a.putHeld(thwire.HeldVersion{Name: "d-8", Incarnation: 1 << 60, Version: 10}, "")
		a.putMember(thwire.Member{Name: "new", Incarnation: 5}, "", time.Time{})
		if swap {
			a, b = b, a
		}
		runExchange(a, b)
		runExchange(b, a)
		assert.Equal(t, a.checksum, b.checksum)
		for name, r := range a.members {
			assert.DeepEqual(t, r.member.Server, b.members[name].member.Server)
			assert.Equal(t, compareMember(r.member, b.members[name].member), 0, name)
		}
		assert.Equal(t, a.members["d-8"].held.Version, uint64(10))
		assert.Equal(t, b.members["d-8"].held.Version, uint64(10))
	}
}

// Guards against a daemon that sends the list of all members to each of many daemons
// that join through it at once.
func TestListRate(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	n.mu.Lock()
	for i := range maxUnthrottledList + 1 {
		n.state.putMember(thwire.Member{Name: fmt.Sprintf("d-%d", i), Incarnation: 1}, "", f.clock.Now())
	}
	n.mu.Unlock()
	bytesSent := func(name string) uint64 {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		l := n.newLink(near, name, false, thwire.KindControl)
		n.handleSummary(l, &thwire.Summary{})
		l.conn.CloseAfterFlush()
		<-l.conn.Done()
		_, out := l.conn.Bytes()
		return out
	}
	assert.Assert(t, bytesSent("a") > 10*maxUnthrottledList)
	assert.Assert(t, bytesSent("b") < 100)
	f.clock.Advance(largeListInterval)
	assert.Assert(t, bytesSent("c") > 10*maxUnthrottledList)
}

// Guards against applying a mark to a record with another sequence: equal checksums
// would then hide that the rest of the record, such as the backend server, differs.
func TestMarkNeedsSameSequence(t *testing.T) {
	s := newState(3)
	id := hashIdentity("d-1", 1<<60)
	assert.Equal(t, len(s.expandMark(thwire.StateGroup{State: thwire.MemberDead, Sequence: 1, Members: []uint64{id}})), 0)
	assert.Equal(t, len(s.expandMark(thwire.StateGroup{State: thwire.MemberDead, Sequence: 0, Members: []uint64{id, 7}})), 1)
}

// Guards against a daemon that stays suspect because it does not refute a suspicion
// that arrives as a mark.
func TestMarkRefuted(t *testing.T) {
	f := newFleet(t, 3)
	f.waitFor("every node sees every member", time.Minute, f.converged)
	m := f.nodes[1].Self()
	m.State = thwire.MemberSuspect
	f.nodes[1].mergeUpdate(&thwire.Update{Marks: groupMarks([]thwire.Member{m})}, "n00")
	assert.Assert(t, f.nodes[1].Self().Sequence > m.Sequence)
	assert.Equal(t, f.nodes[1].Self().State, thwire.MemberAlive)
}
