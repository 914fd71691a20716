package thsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Times of a daemon that lacks a version, as fractions of Apply and counted from when it
// has learned of its first missing version. Up to then the pause of the readers, the way
// through the fleet and one comparison have taken about 0.6 of Apply at most.
const (
	// backupDelay is when the backup of the member that gets changes for a zone asks
	// another zone.
	backupDelay = 0.1
	// crossZoneDelay is when every other daemon asks another zone. Traffic between zones is
	// charged, so it leaves time for a member of the own zone.
	crossZoneDelay = 0.2
	// readerDelay is when a reader asks another daemon. Until then it reads the change.
	readerDelay = 0.25
	// replyDelay is how long to wait for the changes from a member before another one is
	// asked.
	replyDelay = 0.1
	// behindLogDelay is when a daemon logs that it lacks a version.
	behindLogDelay = 0.2
)

const (
	// startReadTimeout is how long a daemon that starts waits for its own read of the
	// source before it asks others.
	startReadTimeout = 600 * time.Millisecond
	// tablesTimeout is how long to wait for a reply that may hold complete tables. In this
	// time a member sends maxSharedBytes to 20 others over a 10 Mbit/s link.
	tablesTimeout = 500 * time.Millisecond
	// silentTimeout is how long a member that has not replied is asked only if there is no
	// other one. It may be dead and not known to be.
	silentTimeout = 3 * time.Second
)

// part returns a fraction of the time within which a change has to be in effect.
func (f *Follower) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(f.Apply))
}

// peerToFetchFrom returns a random live member that holds a newer version, or "" if there
// is none, a reply is due or it is too early.
func (f *Follower) peerToFetchFrom() string {
	v := f.Peers.View()
	if v == nil {
		return ""
	}
	role, zone := f.role(), f.Peers.Self().Zone
	f.mutex.Lock()
	defer f.mutex.Unlock()
	own, newest, now := f.version(), f.newestKnown(), f.Clock.Now()
	if newest <= own {
		f.backlog = nil
		return ""
	}
	if f.backlog.observe(newest, now) {
		signal(f.newerVersion)
	}
	if f.isReplyDue(own, now) {
		return ""
	}
	newer, sameZone := newerMembers(v, own, zone)
	candidates := f.candidates(role, newer, f.withoutSilent(sameZone, now), now)
	if len(candidates) == 0 {
		return ""
	}
	peer := f.chooseRandom(candidates)
	f.lastFetch, f.fetchBase = now, own
	f.unanswered = append(f.unanswered, fetch{peer: peer, at: now})
	return peer
}

// candidates returns which of the members that hold a newer version may be asked now:
// those of the own zone immediately, others after the delay of this daemon's role. The
// caller holds the mutex.
func (f *Follower) candidates(role *role, newer, sameZone []string, now time.Time) []string {
	missingFor := f.backlog.age(now)
	canRead := (role.reader || f.cutOff.Load()) && !f.sourceLost.Load()
	switch {
	case f.needsPeerTables.Load():
	case f.version() == 0 && missingFor < startReadTimeout, canRead && missingFor < f.part(readerDelay):
		return nil
	case len(sameZone) > 0:
		return sameZone
	case missingFor < f.part(role.crossZoneDelay):
		return nil
	}
	if replying := f.withoutSilent(newer, now); len(replying) > 0 {
		return replying
	}
	return newer
}

// fetch is a request for tables without a reply so far.
type fetch struct {
	peer string
	at   time.Time
}

// isReplyDue reports whether the last request may still get its reply or has got one
// without effect, for instance since the tables are to be read from the source. The caller
// holds the mutex.
func (f *Follower) isReplyDue(own uint64, now time.Time) bool {
	if own != f.fetchBase {
		return false
	}
	timeout := f.part(replyDelay)
	unanswered := slices.ContainsFunc(f.unanswered, func(r fetch) bool { return r.at.Equal(f.lastFetch) })
	if !unanswered || own == 0 || f.fetchAll || f.sourceLost.Load() {
		timeout = tablesTimeout
	}
	return now.Sub(f.lastFetch) < timeout
}

// answered ends the requests to a member, which has replied. The caller holds the mutex.
func (f *Follower) answered(peer string) {
	f.unanswered = slices.DeleteFunc(f.unanswered, func(r fetch) bool { return r.peer == peer })
}

// withoutSilent returns the members that have replied to their last request. It forgets
// requests older than silentTimeout. The caller holds the mutex.
func (f *Follower) withoutSilent(members []string, now time.Time) []string {
	f.unanswered = slices.DeleteFunc(f.unanswered, func(r fetch) bool { return now.Sub(r.at) >= silentTimeout })
	return slices.DeleteFunc(slices.Clone(members), func(name string) bool {
		return slices.ContainsFunc(f.unanswered, func(r fetch) bool { return r.peer == name })
	})
}

// logBehind logs once for each first missing version that this daemon has been behind for
// behindLogDelay.
func (f *Follower) logBehind() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	missingFor := f.backlog.age(f.Clock.Now())
	if len(f.backlog) == 0 || f.backlog[0].version == f.behindLogged || missingFor < f.part(behindLogDelay) {
		return
	}
	first, newest := f.backlog[0].version, f.backlog[len(f.backlog)-1].version
	f.behindLogged = first
	var last time.Duration // since the last request, zero if there was none
	if !f.lastFetch.IsZero() {
		last = f.Clock.Since(f.lastFetch)
	}
	silent := make([]string, 0, len(f.unanswered))
	for _, r := range f.unanswered {
		silent = append(silent, r.peer)
	}
	f.Log.Warn("configuration is behind", "version", thconfig.VersionText(f.version()), "missing", thconfig.VersionText(first),
		"newest", thconfig.VersionText(newest), "for", missingFor, "silent", silent, "last", last,
		"reader", f.IsReader(), "lost", f.sourceLost.Load())
}

func (f *Follower) chooseRandom(members []string) string {
	if f.intN != nil {
		return members[f.intN(len(members))]
	}
	return members[rand.IntN(len(members))]
}

// newerMembers returns the live members that hold a newer version than own, and those of them
// in a zone.
func newerMembers(v *thmember.View, own uint64, zone string) (newer, sameZone []string) {
	for _, m := range v.Members {
		h, found := v.Held[m.Name]
		if !found || m.State != thwire.MemberAlive || h.Version <= own {
			continue
		}
		newer = append(newer, m.Name)
		if m.Zone == zone {
			sameZone = append(sameZone, m.Name)
		}
	}
	return newer, sameZone
}
