package thsync

import (
	"bytes"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thmember"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	gatePeers = 3 // peers that the recovery gate asks
	askEvery  = 500 * time.Millisecond
	// gateWait is the time that peers have to answer, from the first request on.
	// Members found in it count too. Without any answer it is findWait, since the
	// first requests may be lost.
	gateWait = time.Second
	// findWait is the time to find the first peer. A distant peer takes several
	// round trips, and a daemon that does not wait for it may follow a restored
	// table. Only a daemon without any peer starts later by it.
	findWait = 3 * time.Second
)

// gate keeps a starting daemon from accepting calls with a version that the
// fleet has already left.
type gate struct {
	started time.Time
	asked   time.Time // first request to a peer
	askAt   time.Time
	down    bool // the last read of the platform failed
	read    bool // the head has been read
	version uint64
	answers map[string]answer // of each peer that replied
	passed  bool
}

// answer is the version that a peer knows.
type answer struct {
	version uint64
	digest  []byte
}

// answer records the version that a peer knows. A peer without a version says
// nothing about the fleet's.
func (g *gate) answer(from string, version uint64, digest []byte) {
	if g.passed || version == 0 {
		return
	}
	if g.answers == nil {
		g.answers = map[string]answer{}
	}
	if _, found := g.answers[from]; found || len(g.answers) < gatePeers {
		g.answers[from] = answer{version, digest}
	}
}

func (g *gate) head(version uint64) {
	if !g.passed {
		g.read, g.version = true, version
	}
}

// highest returns the highest version that a peer has named while the gate is closed.
func (g *gate) highest() uint64 {
	var v uint64
	if !g.passed {
		for _, a := range g.answers {
			v = max(v, a.version)
		}
	}
	return v
}

func (h *Replica) floor() uint64 { return max(h.gate.version, h.fleetHighest()) }

// fleetHighest returns the highest version that the fleet is known to hold
// while the gate is closed: named by a peer, or in a held record. The three
// peers asked may all lag; the held records cover the other members.
func (h *Replica) fleetHighest() uint64 {
	if h.gate.passed {
		return 0
	}
	v := h.gate.highest()
	if view := h.Peers.View(); view != nil {
		for _, held := range view.Held {
			v = max(v, held.Version)
		}
	}
	return v
}

// ask asks up to three peers, of different zones where possible, for their version.
func (h *Replica) ask(now time.Time) {
	g := &h.gate
	if g.passed || now.Before(g.askAt) {
		return
	}
	g.askAt = now.Add(askEvery)
	h.askReader()
	for _, name := range h.choosePeers() {
		if g.asked.IsZero() {
			g.asked = now
		}
		h.send(name, thwire.TypeFetch, &thwire.Fetch{From: h.versions.latest.Tables.Version})
	}
}

// choosePeers returns random peers, of different zones where possible.
func (h *Replica) choosePeers() []string {
	all := h.liveOthers()
	h.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var names []string
	zones := map[string]bool{}
	taken := map[string]bool{}
	for pass := range 2 {
		for _, m := range all {
			if len(names) >= gatePeers {
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

func (h *Replica) liveOthers() []thwire.Member {
	view := h.Peers.View()
	if view == nil {
		return nil
	}
	self := h.Peers.Self().Name
	others := make([]thwire.Member, 0, len(view.Members))
	for _, m := range view.Members {
		if m.Name != self && m.State != thwire.MemberDead {
			others = append(others, m)
		}
	}
	return others
}

// pass opens the gate once a version at or above the floor can take effect. No
// version takes effect before: the first one found may be older than the one
// that this daemon held before its restart.
func (h *Replica) pass(now time.Time) {
	g := &h.gate
	if g.passed {
		return
	}
	waited := now.Sub(g.started) >= findWait
	if !g.asked.IsZero() {
		waited = now.Sub(g.asked) >= gateWait && len(g.answers) > 0 || now.Sub(g.asked) >= findWait
	}
	need := min(gatePeers, len(h.liveOthers()))
	enough := need > 0 && len(g.answers) >= need
	if g.read && !waited && h.settled() < gatePeers {
		return // peers may know a higher version than a restored table
	}
	if !g.read && (!g.down || !enough || !waited) {
		return
	}
	if h.agree(now) {
		return
	}
	floor := h.floor()
	if !h.due(now, floor) {
		return
	}
	g.passed = true
	g.version = floor
	h.applyDue(now)
	h.report() // whoever sees a ready daemon sees its version
	h.ready.Store(true)
	h.Log.Info("recovery gate passed", "version", h.current.Load().Tables.Version, "floor", floor, "platform", g.read, "peers", len(g.answers))
}

// settled counts the answers of daemons that hold a version. Those that start as
// well may only repeat what the platform has told them, and the members found
// first may all be such.
func (h *Replica) settled() int {
	view := h.Peers.View()
	if view == nil {
		return 0
	}
	n := 0
	for name := range h.gate.answers {
		if _, found := view.Held[name]; found {
			n++
		}
	}
	return n
}

// agree keeps a starting daemon from a second history of one version: a
// restored table that went on with other commits has the fleet's version with
// another digest, and what the fleet holds never reverts. It reports whether the
// gate must wait.
func (h *Replica) agree(now time.Time) bool {
	latest := &h.versions.latest
	own, other, holder := false, false, ""
	if view := h.Peers.View(); view != nil {
		for name, held := range view.Held {
			m, found := view.Member(name)
			if !found || m.State == thwire.MemberDead || name == h.Peers.Self().Name || held.Version != latest.Tables.Version {
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
		h.raise(therror.Diverged, therror.New(therror.Diverged, "version %d is another one on %s than on the platform", latest.Tables.Version, holder))
		h.versions = versions{}
		h.send(holder, thwire.TypeFetch, &thwire.Fetch{})
		return true
	}
	// Without a held record only the answers tell; one may come from a daemon
	// that starts as well, so they only give the records time to arrive.
	for _, a := range h.gate.answers {
		if a.version == latest.Tables.Version && !bytes.Equal(a.digest, latest.Digest) {
			return now.Sub(h.gate.asked) < findWait
		}
	}
	return false
}
