package thsync

import (
	"slices"

	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// sourceReaders is the number of daemons that follow the source for the whole
	// fleet, in different zones if there are enough. With it, at least one is left
	// after the loss of a zone and of some daemons that are disconnected from the
	// source.
	sourceReaders = 4
	// maxSourceCandidates limits the daemons that try to read in turn while no daemon
	// reaches the source.
	maxSourceCandidates = 12
	// confirmingReaders is the number of readers with short long polls. One may be lost, and
	// is replaced only when the failure detector has found that.
	confirmingReaders = 2
)

// role is this daemon's role in reading the source, computed from a membership view.
type role struct {
	view        *thmember.View
	readers     []thwire.Member
	reader      bool // follows the source
	confirms    bool // its long polls are short, so that a lost one is noticed in time
	zoneFetcher bool // first member of a zone without a reader: fetches from other zones without delay
	// fetchesForZone is set for the first two members of a zone without a reader.
	fetchesForZone bool
	// crossZoneDelay is the fraction of Apply after which this daemon fetches a missing
	// version from another zone.
	crossZoneDelay float64
}

// newRole computes the role of a daemon. Without a view it is a reader.
func newRole(v *thmember.View, self *thwire.Member) *role {
	r := &role{view: v, reader: true, confirms: true}
	if v == nil {
		return r
	}
	zones := rankByZone(v)
	r.readers = chooseReaders(zones)
	r.reader = r.isReader(self.Name)
	r.confirms = slices.ContainsFunc(r.readers[:min(confirmingReaders, len(r.readers))], func(m thwire.Member) bool { return m.Name == self.Name })
	i := slices.IndexFunc(zones, func(z []thwire.Member) bool { return z[0].Zone == self.Zone })
	if i < 0 {
		return r
	}
	isReader := func(m thwire.Member) bool { return r.isReader(m.Name) }
	// The readers of a zone get changes for it, or its first member if it has no reader.
	fetchers := 1
	if slices.ContainsFunc(zones[i], isReader) {
		fetchers = 0
	}
	others := slices.DeleteFunc(slices.Clone(zones[i]), isReader)
	rank := slices.IndexFunc(others, func(m thwire.Member) bool { return m.Name == self.Name })
	r.zoneFetcher = rank == 0 && fetchers == 1
	r.fetchesForZone = fetchers == 1 && (rank == 0 || rank == 1)
	switch {
	case r.reader || r.zoneFetcher:
	case rank == fetchers:
		r.crossZoneDelay = backupDelay
	default:
		r.crossZoneDelay = crossZoneDelay
	}
	return r
}

// isReader reports whether the named member is a reader.
func (r *role) isReader(name string) bool {
	return slices.ContainsFunc(r.readers, func(m thwire.Member) bool { return m.Name == name })
}

// rankByZone returns the first maxSourceCandidates live members of each zone in
// rendezvous order. The zones are sorted by name.
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

// chooseReaders returns the first candidates that are connected to the source, or the
// first candidates if none is, up to and including the sourceReaders-th that is not
// suspect: a suspect reads on, but may be lost. Candidates are taken from the zones in
// turn.
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
	answering := 0
	for i, m := range connected {
		if m.State == thwire.MemberAlive {
			answering++
		}
		if answering == sourceReaders {
			return connected[:i+1]
		}
	}
	return connected
}
