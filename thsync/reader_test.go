package thsync

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fleetView returns a view with perZone daemons in each zone, after edit of each one.
func fleetView(zones, perZone int, edit func(*thwire.Member)) *thmember.View {
	v := &thmember.View{}
	for z := range zones {
		for i := range perZone {
			m := thwire.Member{Name: fmt.Sprintf("d-%d-%d", z, i), Zone: fmt.Sprint("zone-", z)}
			edit(&m)
			v.Members = append(v.Members, m)
		}
	}
	return v
}

// rolesOf returns the readers and the zone fetchers. Each daemon computes its own role.
func rolesOf(v *thmember.View) (readers, zoneFetchers []thwire.Member) {
	for _, m := range v.Members {
		if m.State > thwire.MemberSuspect {
			continue
		}
		switch r := newRole(v, &m); {
		case r.reader:
			readers = append(readers, m)
		case r.zoneFetcher:
			zoneFetchers = append(zoneFetchers, m)
		}
	}
	return readers, zoneFetchers
}

func countZones(list []thwire.Member) int {
	zones := map[string]bool{}
	for _, m := range list {
		zones[m.Zone] = true
	}
	return len(zones)
}

// Pattern: fleets of 9 to 680 daemons in three to seven zones, and 40 in one zone.
// Guards against readers whose number grows with the fleet or its zones, that share
// a zone unnecessarily, or that are not replaced after the loss of a zone, and against
// a zone without a reader in which no daemon, or every daemon, fetches from other
// zones without delay.
func TestReadersOfTheFleet(t *testing.T) {
	for _, c := range []struct{ zones, each int }{{3, 3}, {4, 3}, {5, 59}, {7, 97}, {1, 40}} {
		all := fleetView(c.zones, c.each, func(*thwire.Member) {})
		readers, zoneFetchers := rolesOf(all)
		assert.Equal(t, len(readers), sourceReaders, "%+v", c)
		assert.Equal(t, countZones(readers), min(c.zones, sourceReaders), "%+v", c)
		assert.Equal(t, len(zoneFetchers), max(0, c.zones-sourceReaders), "%+v", c)
		if c.zones == 1 {
			continue
		}
		lostZone := readers[0].Zone
		remaining, _ := rolesOf(fleetView(c.zones, c.each, func(m *thwire.Member) {
			if m.Zone == lostZone {
				m.State = thwire.MemberDead
			}
		}))
		assert.Equal(t, len(remaining), sourceReaders, "%+v without %s", c, lostZone)
	}
}

// Pattern: the store rejects three of the four readers, or every daemon. Guards
// against a fleet without connected readers, and against all daemons trying to read.
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

// Pattern: the store rejects the daemons that read it, and serves the other ones.
// Guards against changes that reach no daemon.
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
			sources[i].errors <- therror.New(therror.Down, "request rejected")
		}
	}
	waitFor(t, "no daemon replaces the rejected readers", func() bool {
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
