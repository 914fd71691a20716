package thusage

import (
	"slices"

	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Rank returns the position of a daemon among the collectors of the live members, 0 for the
// first one, and a negative number if it is none. Only collectors take over the duty of
// reporting, since they have the counts of the fleet.
func Rank(members []thwire.Member, name string) int {
	chosen := thmember.Rendezvous(collectorKey, members, collectors)
	return slices.IndexFunc(chosen, func(m thwire.Member) bool { return m.Name == name })
}
