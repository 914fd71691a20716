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
