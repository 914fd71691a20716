package thsync

import (
	"bytes"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	maxGatePeers = 3 // peers that the recovery gate asks
	askInterval  = 500 * time.Millisecond
	// minReplyWait is the time that peers have to answer, from the first request on.
	// Members found in it count too. Without any answer it is discoveryTimeout, since the
	// first requests may be lost.
	minReplyWait = time.Second
	// discoveryTimeout is the time to find the first peer. A distant peer takes several
	// round trips, and a daemon that does not wait for it may follow a restored
	// table. Only a daemon without any peer starts later by it.
	discoveryTimeout = 3 * time.Second
)

// gate keeps a starting daemon from accepting calls with a version that the
// fleet has already left.
type gate struct {
	started time.Time
	firstAsked   time.Time // first request to a peer
	nextAsk   time.Time
	platformDown    bool // the last read of the platform failed
	headRead    bool // the head has been read
	minVersion uint64
	replies map[string]versionReply // of each peer that replied
	passed  bool
}

// versionReply is the version that a peer knows.
type versionReply struct {
	version uint64
	digest  []byte
}

// addReply records the version that a peer knows. A peer without a version says
// nothing about the fleet's.
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

// highestReply returns the highest version that a peer has named while the gate is closed.
func (g *gate) highestReply() uint64 {
	var v uint64
	if !g.passed {
		for _, a := range g.replies {
			v = max(v, a.version)
		}
	}
	return v
}

func (r *Replica) floor() uint64 { return max(r.gate.minVersion, r.fleetHighest()) }

// fleetHighest returns the highest version that the fleet is known to hold
// while the gate is closed: named by a peer, or in a held record. The three
// peers asked may all lag; the held records cover the other members.
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

// askPeers asks up to three peers, of different zones where possible, for their version.
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

// choosePeers returns random peers, of different zones where possible.
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

func (r *Replica) livePeers() []thwire.Member {
	view := r.Peers.View()
	if view == nil {
		return nil
	}
	self := r.Peers.Self().Name
	others := make([]thwire.Member, 0, len(view.Members))
	for _, m := range view.Members {
		if m.Name != self && m.State != thwire.MemberDead {
			others = append(others, m)
		}
	}
	return others
}

// tryPassGate opens the gate once a version at or above the floor can take effect. No
// version takes effect before: the first one found may be older than the one
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
	need := min(maxGatePeers, len(r.livePeers()))
	enough := need > 0 && len(g.replies) >= need
	if g.headRead && !waited && r.heldReplies() < maxGatePeers {
		return // peers may know a higher version than a restored table
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
	r.publishStatus() // whoever sees a ready daemon sees its version
	r.ready.Store(true)
	r.Log.Info("recovery gate passed", "version", r.current.Load().Tables.Version, "floor", floor, "platform", g.headRead, "peers", len(g.replies))
}

// heldReplies counts the answers of daemons that hold a version. Those that start as
// well may only repeat what the platform has told them, and the members found
// first may all be such.
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

// mustResolveDivergence keeps a starting daemon from a second history of one version: a
// restored table that went on with other commits has the fleet's version with
// another digest, and what the fleet holds never reverts. It reports whether the
// gate must wait.
func (r *Replica) mustResolveDivergence(now time.Time) bool {
	latest := &r.versions.latest
	own, other, holder := false, false, ""
	if view := r.Peers.View(); view != nil {
		for name, held := range view.Held {
			m, found := view.Member(name)
			if !found || m.State == thwire.MemberDead || name == r.Peers.Self().Name || held.Version != latest.Tables.Version {
				continue
			}
			if held.Digest == thmember.ShortDigest(latest.Digest) {
				own = true
			} else {
				other, holder = true, name
			}
		}
	}
	switch {
	case own:
		return false
	case other:
		r.raiseAlarm(therror.Diverged, therror.New(therror.Diverged, "version %d is another one on %s than on the platform", latest.Tables.Version, holder))
		r.versions = versions{}
		r.send(holder, thwire.TypeFetch, &thwire.Fetch{})
		return true
	}
	// Without a held record only the answers tell; one may come from a daemon
	// that starts as well, so they only give the records time to arrive.
	for _, a := range r.gate.replies {
		if a.version == latest.Tables.Version && !bytes.Equal(a.digest, latest.Digest) {
			return now.Sub(r.gate.firstAsked) < discoveryTimeout
		}
	}
	return false
}
