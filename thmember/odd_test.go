package thmember

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against an odd record that daemons hold for newer than any that its owner can
// publish, so that the owner stays dead for them, and against odd fields that stay in the
// state.
func TestOddMemberRecordsAreIgnored(t *testing.T) {
	for name, change := range map[string]func(*thwire.Member){
		"largest sequence":    func(m *thwire.Member) { m.Sequence = math.MaxUint64 },
		"largest incarnation": func(m *thwire.Member) { m.Incarnation = math.MaxUint64 },
		"negative state":      func(m *thwire.Member) { m.Sequence++; m.State = -1 },
		"unknown state":       func(m *thwire.Member) { m.Sequence++; m.State = 9 },
		"megabyte of zone":    func(m *thwire.Member) { m.Sequence++; m.Zone = strings.Repeat("x", 1<<20) },
		"negative slots": func(m *thwire.Member) {
			m.Sequence++
			m.Server = &thwire.Server{Service: "s", Slots: -1, State: thwire.ServerReady}
		},
		"too many slots": func(m *thwire.Member) {
			m.Sequence++
			m.Server = &thwire.Server{Service: "s", Slots: math.MaxInt, State: thwire.ServerReady}
		},
		"megabyte of instance": func(m *thwire.Member) {
			m.Sequence++
			m.Server = &thwire.Server{Service: "s", Slots: 1, Instance: strings.Repeat("x", 1<<20), State: thwire.ServerReady}
		},
		"unknown server state": func(m *thwire.Member) {
			m.Sequence++
			m.Server = &thwire.Server{Service: "s", Slots: 1, State: "dancing"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.waitFor("every node sees every member", time.Minute, f.converged)
			odd := f.nodes[1].Self()
			odd.State = thwire.MemberDead
			change(&odd)
			for _, i := range []int{0, 1, 2} {
				f.nodes[i].mergeUpdate(&thwire.Update{Members: []thwire.Member{odd}}, "")
			}
			f.nodes[1].SetServer(&thwire.Server{Service: "s", Version: "1", Slots: 4, State: thwire.ServerReady})
			f.waitFor("the member's own record is in effect everywhere", 10*time.Second, func() bool {
				for _, n := range f.nodes {
					if m, _ := n.View().Member("n01"); m.State != thwire.MemberAlive || m.Server == nil || m.Server.Slots != 4 {
						return false
					}
				}
				return true
			})
			assert.Assert(t, f.converged())
		})
	}
}

// Guards against an odd record of a backend server that gets calls: one without a service, a
// state or slots, or in a state that does not exist.
func TestOddServerIsNotUsed(t *testing.T) {
	own := thwire.Server{Service: "s", Version: "1", Slots: 4, State: thwire.ServerReady, Instance: "i-1"}
	for name, change := range map[string]func(*thwire.Server){
		"no service":       func(s *thwire.Server) { s.Service = "" },
		"no state":         func(s *thwire.Server) { s.State = "" },
		"unknown state":    func(s *thwire.Server) { s.State = "dancing" },
		"no slots":         func(s *thwire.Server) { s.Slots = 0 },
		"negative slots":   func(s *thwire.Server) { s.Slots = -1 },
		"too many slots":   func(s *thwire.Server) { s.Slots = maxSlots + 1 },
		"overlong service": func(s *thwire.Server) { s.Service = strings.Repeat("s", thwire.MaxNameBytes+1) },
		"overlong version": func(s *thwire.Server) { s.Version = strings.Repeat("v", thwire.MaxNameBytes+1) },
		"overlong id":      func(s *thwire.Server) { s.Instance = strings.Repeat("i", thwire.MaxInstanceBytes+1) },
	} {
		var s state
		s.init()
		m := thwire.Member{Name: "a", Incarnation: 1, Server: &own}
		s.putMember(m, "", time.Unix(0, 0))
		odd := own
		change(&odd)
		m.Sequence, m.Server = 1, &odd
		s.putMember(m, "n", time.Unix(0, 0))
		assert.DeepEqual(t, *s.members["a"].member.Server, own)
		m.Name = "b"
		s.putMember(m, "n", time.Unix(0, 0))
		assert.Assert(t, s.members["b"] == nil, name)
	}
}
