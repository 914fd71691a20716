package thsync

import (
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thmember"
)

// After silenceDelay of Apply, and minSilence at least, a daemon that hears none of the
// members from which it would learn of a change reads the source itself. The failure
// detector takes longer to replace lost readers. Neighbours are pinged each 500 ms.
const (
	silenceDelay = 0.3
	minSilence   = 750 * time.Millisecond
)

// observeContact makes this daemon read the source while no change can reach it through
// others. Pings of the members differ in phase, so daemons that lose each other do not
// read at the same moment. A daemon that has stood still itself waits for the pongs that
// have arrived meanwhile.
func (f *Follower) observeContact() {
	v, now := f.Peers.View(), f.Clock.Now()
	stoodStill := now.Sub(f.contactObserved) > 2*compareInterval
	f.contactObserved = now
	if v == nil || stoodStill {
		return
	}
	cut := !f.hearsOfChanges(v) && !now.Before(f.firstContactDue)
	if cut == f.cutOff.Swap(cut) {
		return
	}
	if cut {
		f.Log.Warn("no member that gets changes answers; reading the configuration source", "version", thconfig.VersionText(f.version()))
		return
	}
	f.Log.Info("members that get changes answer again", "version", thconfig.VersionText(f.version()))
}

// hearsOfChanges reports whether this daemon is a reader or has heard a member that
// learns of changes: any neighbour, but for the two members that fetch changes for a
// zone without a reader only one of another zone. A daemon whose neighbours among the
// readers are silent does not count on the other neighbours, which may have lost theirs.
func (f *Follower) hearsOfChanges(v *thmember.View) bool {
	role, zone := f.role(), f.Peers.Self().Zone
	if role.reader {
		return true
	}
	heard, hears := f.Peers.HeardWithin(max(f.part(silenceDelay), minSilence)), false
	for _, name := range heard {
		if role.isReader(name) {
			return true
		}
		m, found := v.Member(name)
		hears = hears || found && (!role.fetchesForZone || m.Zone != zone)
	}
	silentReader := slices.ContainsFunc(f.Peers.Neighbours(), func(name string) bool {
		return role.isReader(name) && !slices.Contains(heard, name)
	})
	return hears && !silentReader
}

// mayRead reports whether this daemon follows the source now: for the fleet, or for
// itself while it is cut off.
func (f *Follower) mayRead() bool { return f.IsReader() || f.cutOff.Load() }
