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

// partsOf returns the readers and the heads of zones, each daemon judging for itself.
func partsOf(v *thmember.View) (reading, heads []thwire.Member) {
	for _, m := range v.Members {
		if m.State > thwire.MemberSuspect {
			continue
		}
		switch d := newDuty(v, &m); {
		case d.reader:
			reading = append(reading, m)
		case d.head:
			heads = append(heads, m)
		}
	}
	return reading, heads
}

func zonesOf(list []thwire.Member) int {
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
		reading, heads := partsOf(all)
		assert.Equal(t, len(reading), sourceReaders, "%+v", c)
		assert.Equal(t, zonesOf(reading), min(c.zones, sourceReaders), "%+v", c)
		assert.Equal(t, len(heads), max(0, c.zones-sourceReaders), "%+v", c)
		if c.zones == 1 {
			continue
		}
		lost := reading[0].Zone
		left, _ := partsOf(fleetView(c.zones, c.each, func(m *thwire.Member) {
			if m.Zone == lost {
				m.State = thwire.MemberDead
			}
		}))
		assert.Equal(t, len(left), sourceReaders, "%+v without %s", c, lost)
	}
}

// Pattern: the store turns a third of the daemons away, or answers nobody. Guards
// against a fleet that nobody reads for, and against attempts by all daemons.
func TestReadersThatTheStoreTurnsAway(t *testing.T) {
	first, _ := partsOf(fleetView(5, 59, func(*thwire.Member) {}))
	blind := map[string]bool{}
	for _, m := range first[:3] {
		blind[m.Name] = true
	}
	next, _ := partsOf(fleetView(5, 59, func(m *thwire.Member) { m.Blind = blind[m.Name] }))
	assert.Equal(t, len(next), sourceReaders)
	for _, m := range next {
		assert.Assert(t, !m.Blind)
	}
	none, _ := partsOf(fleetView(5, 59, func(m *thwire.Member) { m.Blind = true }))
	assert.Equal(t, len(none), sourceReaders)
	for i := range none {
		assert.Equal(t, none[i].Name, first[i].Name)
	}
}

// Pattern: the store turns away the daemons that read it, and serves others.
// Guards against changes that reach nobody.
func TestOthersReadInPlaceOfBlindReaders(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	followers, sources := newFollowers(t, nil, names...)
	for i, s := range sources {
		s.orders <- order(2, 2, 3)
		waitVersion(t, followers[i], 2)
	}
	turnedAway := map[int]bool{}
	for i, f := range followers {
		if f.IsReader() {
			turnedAway[i] = true
		}
	}
	for i := range turnedAway {
		for range blindAfter {
			sources[i].errors <- therror.New(therror.Down, "turned away")
		}
	}
	await(t, "nobody reads in place of the daemons turned away", func() bool {
		reading := 0
		for i, f := range followers {
			if f.IsReader() && !turnedAway[i] {
				reading++
			}
		}
		return reading == len(names)-sourceReaders
	})
	for i, s := range sources {
		if !turnedAway[i] {
			s.orders <- order(3, 3, 3)
			break
		}
	}
	for _, f := range followers {
		waitVersion(t, f, 3)
	}
}
