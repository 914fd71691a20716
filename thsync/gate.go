package thsync

import (
	"bytes"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	maxGatePeers = 3 // number of peers that the recovery gate asks for their version
	askInterval  = 500 * time.Millisecond
	// minReplyWait is how long the gate collects replies after the first request,
	// also from members discovered meanwhile. Without any reply it waits for
	// discoveryTimeout, since the first requests may be lost.
	minReplyWait = time.Second
	// discoveryTimeout bounds the discovery of the first peer. A distant peer takes
	// several round trips, and a daemon that does not wait for it may apply an older
	// version from a restored table. It delays only a daemon that finds no peer.
	discoveryTimeout = 3 * time.Second
)

// gate is the recovery gate: it prevents a starting daemon from accepting calls
// with a version older than the one that the fleet already has in effect.
type gate struct {
	started      time.Time
	firstAsked   time.Time // time of the first request to a peer
	nextAsk      time.Time
	platformDown bool                    // the last read of the platform failed
	headRead     bool                    // the head has been read
	minVersion   uint64                  // version of the head; the floor once the gate has passed
	replies      map[string]versionReply // by the name of the peer
	passed       bool
}

// versionReply is the latest version that a peer stores.
type versionReply struct {
	version uint64
	digest  []byte
}

// addReply records the latest version of a peer, for up to maxGatePeers peers. A
// reply without a version gives no evidence of the fleet's version and is ignored.
func (g *gate) addReply(from string, version uint64, digest []byte) {
	if g.passed || version == 0 {
		return
	}
	if g.replies == nil {
		g.replies = map[string]versionReply{}
	}
	if _, found := g.replies[from]; found || len(g.replies) < maxGatePeers {
		g.replies[from] = versionReply{version, digest}
	}
}

func (g *gate) setHead(version uint64) {
	if !g.passed {
		g.headRead, g.minVersion = true, version
	}
}

// highestReply returns the highest version in the replies, zero once the gate has passed.
func (g *gate) highestReply() uint64 {
	var v uint64
	if !g.passed {
		for _, reply := range g.replies {
			v = max(v, reply.version)
		}
	}
	return v
}

// floor returns the lowest version with which the gate may pass.
func (r *Replica) floor() uint64 { return max(r.gate.minVersion, r.fleetHighest()) }

// fleetHighest returns the highest version in the peers' replies and the held
// records of all members, zero once the gate has passed. The records are needed
// because all three peers asked may lag behind.
func (r *Replica) fleetHighest() uint64 {
	if r.gate.passed {
		return 0
	}
	v := r.gate.highestReply()
	if view := r.Peers.View(); view != nil {
		for _, held := range view.Held {
			v = max(v, held.Version)
		}
	}
	return v
}

// askPeers asks up to maxGatePeers peers for their version until the gate passes.
func (r *Replica) askPeers(now time.Time) {
	g := &r.gate
	if g.passed || now.Before(g.nextAsk) {
		return
	}
	g.nextAsk = now.Add(askInterval)
	r.askPoller()
	for _, name := range r.choosePeers() {
		if g.firstAsked.IsZero() {
			g.firstAsked = now
		}
		r.send(name, thwire.TypeFetch, &thwire.Fetch{From: r.versions.latest.Tables.Version})
	}
}

// choosePeers returns up to maxGatePeers random live peers, in different zones
// where possible.
func (r *Replica) choosePeers() []string {
	all := r.livePeers()
	r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var names []string
	zones := map[string]bool{}
	taken := map[string]bool{}
	for pass := range 2 {
		for _, m := range all {
			if len(names) >= maxGatePeers {
				return names
			}
			if taken[m.Name] || (pass == 0 && zones[m.Zone]) {
				continue
			}
			taken[m.Name], zones[m.Zone] = true, true
			names = append(names, m.Name)
		}
	}
	return names
}

// livePeers returns the members that are not dead, without this daemon.
func (r *Replica) livePeers() []thwire.Member {
	view := r.Peers.View()
	if view == nil {
		return nil
	}
	self := r.Peers.Self().Name
	peers := make([]thwire.Member, 0, len(view.Members))
	for _, m := range view.Members {
		if m.Name != self && m.State != thwire.MemberDead {
			peers = append(peers, m)
		}
	}
	return peers
}

// tryPassGate passes the gate once a version at or above the floor is due. No
// version takes effect before: the first one received may be older than the one
// that this daemon held before its restart.
func (r *Replica) tryPassGate(now time.Time) {
	g := &r.gate
	if g.passed {
		return
	}
	waited := now.Sub(g.started) >= discoveryTimeout
	if !g.firstAsked.IsZero() {
		waited = now.Sub(g.firstAsked) >= minReplyWait && len(g.replies) > 0 || now.Sub(g.firstAsked) >= discoveryTimeout
	}
	required := min(maxGatePeers, len(r.livePeers()))
	enough := required > 0 && len(g.replies) >= required
	if g.headRead && !waited && r.heldReplies() < maxGatePeers {
		return // peers may store a higher version than a restored table
	}
	if !g.headRead && (!g.platformDown || !enough || !waited) {
		return
	}
	if r.mustResolveDivergence(now) {
		return
	}
	floor := r.floor()
	if !r.hasDue(now, floor) {
		return
	}
	g.passed = true
	g.minVersion = floor
	r.applyDue(now)
	r.publishStatus() // the status has the version before Ready returns true
	r.ready.Store(true)
	r.Log.Info("recovery gate passed", "version", r.current.Load().Tables.Version, "floor", floor, "platform", g.headRead, "peers", len(g.replies))
}

// heldReplies counts the replies of daemons that have a version in effect. A daemon
// that is itself starting may only repeat the version of the platform, and all
// members discovered first may be starting.
func (r *Replica) heldReplies() int {
	view := r.Peers.View()
	if view == nil {
		return 0
	}
	n := 0
	for name := range r.gate.replies {
		if _, found := view.Held[name]; found {
			n++
		}
	}
	return n
}

// mustResolveDivergence reports whether the gate has to wait because the latest
// version here differs in its digest from the fleet's. A table that was restored
// and received other commits has the fleet's version number with different
// content; the fleet never reverts, so the daemon discards it and fetches from a
// peer.
func (r *Replica) mustResolveDivergence(now time.Time) bool {
	latest := &r.versions.latest
	own, other, peer := false, false, ""
	if view := r.Peers.View(); view != nil {
		for name, held := range view.Held {
			m, found := view.Member(name)
			if !found || m.State == thwire.MemberDead || name == r.Peers.Self().Name || held.Version != latest.Tables.Version {
				continue
			}
			if held.Digest == thmember.ShortDigest(latest.Digest) {
				own = true
			} else {
				other, peer = true, name
			}
		}
	}
	switch {
	case own:
		return false
	case other:
		r.raiseAlarm(therror.Diverged, therror.New(therror.Diverged, "version %d has another digest on %s than on the platform", latest.Tables.Version, peer))
		r.versions = versions{}
		r.send(peer, thwire.TypeFetch, &thwire.Fetch{})
		return true
	}
	// Without a held record only the replies remain. A reply may come from a daemon
	// that is starting too, so it only delays the gate until records can arrive.
	for _, reply := range r.gate.replies {
		if reply.version == latest.Tables.Version && !bytes.Equal(reply.digest, latest.Digest) {
			return now.Sub(r.gate.firstAsked) < discoveryTimeout
		}
	}
	return false
}
