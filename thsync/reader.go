package thsync

import (
	"slices"

	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// sourceReaders follow the source for the whole fleet, in different zones where
	// there are as many: one of them is left after the loss of a zone and of some
	// daemons to which the source does not answer.
	sourceReaders = 4
	// maxSourceCandidates bounds the daemons that try to read in turn while the source
	// answers nobody.
	maxSourceCandidates = 12
)

// role is this daemon's part in reading the source, as of a view of the members.
type role struct {
	view   *thmember.View
	reader bool // follows the source
	zoneFetcher   bool // first of a zone without a reader: fetches from other zones at once
}

// newRole computes the part of a daemon.
func newRole(v *thmember.View, self *thwire.Member) *role {
	d := &role{view: v, reader: true}
	if v == nil {
		return d
	}
	zones := rankByZone(v)
	reading := chooseReaders(zones)
	d.reader = slices.ContainsFunc(reading, func(m thwire.Member) bool { return m.Name == self.Name })
	i := slices.IndexFunc(zones, func(z []thwire.Member) bool { return z[0].Zone == self.Zone })
	d.zoneFetcher = i >= 0 && zones[i][0].Name == self.Name &&
		!slices.ContainsFunc(reading, func(m thwire.Member) bool { return m.Zone == self.Zone })
	return d
}

// rankByZone returns the live members of each zone in rendezvous order, the zones by name.
func rankByZone(v *thmember.View) [][]thwire.Member {
	groups := map[string][]thwire.Member{}
	for _, m := range v.Members {
		if m.State == thwire.MemberAlive || m.State == thwire.MemberSuspect {
			groups[m.Zone] = append(groups[m.Zone], m)
		}
	}
	names := make([]string, 0, len(groups))
	for z := range groups {
		names = append(names, z)
	}
	slices.Sort(names)
	zones := make([][]thwire.Member, 0, len(names))
	for _, z := range names {
		zones = append(zones, thmember.Rendezvous("follow/"+z, groups[z], maxSourceCandidates))
	}
	return zones
}

// chooseReaders returns the first candidates to which the source answers, or the
// first ones where it answers none. The candidates are taken from the zones in turn.
func chooseReaders(zones [][]thwire.Member) []thwire.Member {
	var candidates []thwire.Member
	for rank := range maxSourceCandidates {
		for _, z := range zones {
			if rank < len(z) && len(candidates) < maxSourceCandidates {
				candidates = append(candidates, z[rank])
			}
		}
	}
	connected := slices.DeleteFunc(slices.Clone(candidates), func(m thwire.Member) bool { return m.Blind })
	if len(connected) == 0 {
		connected = candidates
	}
	return connected[:min(sourceReaders, len(connected))]
}
