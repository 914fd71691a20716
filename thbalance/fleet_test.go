package thbalance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// simulation simulates daemons that send calls to each other's servers, in steps of
// one millisecond.
type simulation struct {
	clock    *clockwork.FakeClock
	members  []thwire.Member
	ingress  []*Balancer
	active   map[string]int   // calls at each server, queued calls included
	ends     map[int][]func() // by time in ms
	now      int              // ms
	rejected int
	freeAt   map[string][]int // by server: time in ms when each slot becomes free
	waits    []int            // ms in the queue
	served   map[string]int   // by zone
	random   *rand.Rand
}

// newSimulation returns a simulation with the given number of daemons in each zone.
func newSimulation(zones map[string]int, slots int) *simulation {
	s := &simulation{
		clock: clockwork.NewFakeClock(), active: map[string]int{}, ends: map[int][]func(){}, freeAt: map[string][]int{},
		served: map[string]int{}, random: rand.New(rand.NewPCG(3, 4)),
	}
	for _, z := range []string{"aa", "ab", "ac", "ba"} {
		for i := range zones[z] {
			m := member(fmt.Sprint(z, i), z)
			m.Server.Slots = slots
			s.members = append(s.members, m)
		}
	}
	for i := range s.members {
		b := &Balancer{Self: s.members[i], Clock: s.clock, Random: rand.New(rand.NewPCG(uint64(i), 9))}
		b.Update(tables(), s.members)
		s.ingress = append(s.ingress, b)
	}
	return s
}

// run sends the given number of calls per ms from random daemons that the filter
// accepts, and returns the number of calls sent.
func (s *simulation) run(steps int, callsPerMS float64, from func(thwire.Member) bool) int {
	sent, due := 0, 0.0
	for range steps {
		for _, end := range s.ends[s.now] {
			end()
		}
		delete(s.ends, s.now)
		for due += callsPerMS; due >= 1; due-- {
			b := s.ingress[s.random.IntN(len(s.ingress))]
			for !from(b.Self) {
				b = s.ingress[s.random.IntN(len(s.ingress))]
			}
			s.call(b)
			sent++
		}
		s.now++
		s.clock.Advance(time.Millisecond)
	}
	return sent
}

// call sends one call. A server with 2*slots active and queued calls rejects it.
func (s *simulation) call(b *Balancer) {
	v, _ := b.Choose("p", nil)
	v.Begin()
	name, slots := v.Member.Name, v.Member.Server.Slots
	arrival := s.now
	load := func() thwire.Load {
		n := s.active[name]
		return thwire.Load{Limit: slots, Active: min(n, slots), Queued: max(0, n-slots)}
	}
	if s.active[name] >= 2*slots {
		s.rejected++
		v.Done(Result{Kind: therror.Full, HasLoad: true, Load: load()})
		return
	}
	s.active[name]++
	s.served[v.Member.Zone]++
	// The call runs in the slot that becomes free first.
	freeAt := s.freeAt[name]
	if freeAt == nil {
		freeAt = make([]int, slots)
		s.freeAt[name] = freeAt
	}
	i := slices.Index(freeAt, slices.Min(freeAt))
	start := max(s.now, freeAt[i])
	freeAt[i] = start + 1 + int(s.random.ExpFloat64()*5)
	s.waits = append(s.waits, start-arrival)
	s.ends[freeAt[i]] = append(s.ends[freeAt[i]], func() {
		s.active[name]--
		v.Done(Result{Status: 200, HasLoad: true, Load: load()})
	})
}

// Guards against rejections by full servers while other servers have free slots, with
// callers in all zones and with callers in one zone only.
func TestFleetSpreadsLoad(t *testing.T) {
	for _, slots := range []int{5, 20} {
		for name, from := range map[string]func(thwire.Member) bool{
			"all zones": func(thwire.Member) bool { return true },
			"one zone":  func(m thwire.Member) bool { return m.Zone == "aa" },
		} {
			t.Run(fmt.Sprint(slots, " slots ", name), func(t *testing.T) {
				s := newSimulation(map[string]int{"aa": 4, "ab": 4, "ac": 4}, slots)
				// On average 60% of all slots are in use.
				sent := s.run(3000, 0.6*float64(12*slots)/5.5, from)
				fraction := float64(s.rejected) / float64(sent)
				slices.Sort(s.waits)
				p99 := s.waits[len(s.waits)*99/100]
				t.Logf("sent=%d rejected=%.4f wait p99=%d ms max=%d ms served=%v", sent, fraction, p99, s.waits[len(s.waits)-1], s.served)
				assert.Assert(t, fraction < 0.001 && p99 <= 10)
			})
		}
	}
}
