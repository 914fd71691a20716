package thsync

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fleetView is a view of daemons in zones; change changes one of them.
func fleetView(zones, each int, change func(*thwire.Member)) *thmember.View {
	v := &thmember.View{}
	for z := range zones {
		for i := range each {
			m := thwire.Member{Name: fmt.Sprintf("d-%d-%d", z, i), Zone: fmt.Sprint("zone-", z)}
			change(&m)
			v.Members = append(v.Members, m)
		}
	}
	return v
}

// rolesOf returns the readers and the heads of zones, each daemon judging for itself.
func rolesOf(v *thmember.View) (reading, heads []thwire.Member) {
	for _, m := range v.Members {
		if m.State > thwire.MemberSuspect {
			continue
		}
		switch d := newRole(v, &m); {
		case d.reader:
			reading = append(reading, m)
		case d.zoneFetcher:
			heads = append(heads, m)
		}
	}
	return reading, heads
}

func countZones(list []thwire.Member) int {
	zones := map[string]bool{}
	for _, m := range list {
		zones[m.Zone] = true
	}
	return len(zones)
}

// Pattern: fleets of 9 to 680 daemons in three to seven zones. Guards against
// readers whose number grows with the fleet or its zones, that share a zone
// without need, or that are gone with a zone, and against a zone without a reader
// in which nobody, or everybody, fetches from other zones at once.
func TestReadersOfTheFleet(t *testing.T) {
	for _, c := range []struct{ zones, each int }{{3, 3}, {4, 3}, {5, 59}, {7, 97}, {1, 40}} {
		all := fleetView(c.zones, c.each, func(*thwire.Member) {})
		reading, heads := rolesOf(all)
		assert.Equal(t, len(reading), sourceReaders, "%+v", c)
		assert.Equal(t, countZones(reading), min(c.zones, sourceReaders), "%+v", c)
		assert.Equal(t, len(heads), max(0, c.zones-sourceReaders), "%+v", c)
		if c.zones == 1 {
			continue
		}
		lost := reading[0].Zone
		remaining, _ := rolesOf(fleetView(c.zones, c.each, func(m *thwire.Member) {
			if m.Zone == lost {
				m.State = thwire.MemberDead
			}
		}))
		assert.Equal(t, len(remaining), sourceReaders, "%+v without %s", c, lost)
	}
}

// Pattern: the store turns a third of the daemons away, or answers nobody. Guards
// against a fleet that nobody reads for, and against attempts by all daemons.
func TestReadersRejectedByStore(t *testing.T) {
	first, _ := rolesOf(fleetView(5, 59, func(*thwire.Member) {}))
	disconnected := map[string]bool{}
	for _, m := range first[:3] {
		disconnected[m.Name] = true
	}
	next, _ := rolesOf(fleetView(5, 59, func(m *thwire.Member) { m.Blind = disconnected[m.Name] }))
	assert.Equal(t, len(next), sourceReaders)
	for _, m := range next {
		assert.Assert(t, !m.Blind)
	}
	none, _ := rolesOf(fleetView(5, 59, func(m *thwire.Member) { m.Blind = true }))
	assert.Equal(t, len(none), sourceReaders)
	for i := range none {
		assert.Equal(t, none[i].Name, first[i].Name)
	}
}

// Pattern: the store turns away the daemons that read it, and serves others.
// Guards against changes that reach nobody.
func TestOthersReplaceDisconnectedReaders(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	followers, sources := newFollowers(t, nil, names...)
	for i, s := range sources {
		s.orders <- newOrders(2, 2, 3)
		waitVersion(t, followers[i], 2)
	}
	rejected := map[int]bool{}
	for i, f := range followers {
		if f.IsReader() {
			rejected[i] = true
		}
	}
	for i := range rejected {
		for range maxSourceFailures {
			sources[i].errors <- therror.New(therror.Down, "turned away")
		}
	}
	waitFor(t, "nobody reads in place of the daemons turned away", func() bool {
		reading := 0
		for i, f := range followers {
			if f.IsReader() && !rejected[i] {
				reading++
			}
		}
		return reading == len(names)-sourceReaders
	})
	for i, s := range sources {
		if !rejected[i] {
			s.orders <- newOrders(3, 3, 3)
			break
		}
	}
	for _, f := range followers {
		waitVersion(t, f, 3)
	}
}
