package thmember

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// runPeriodicWork does the periodic work that is due.
func (n *Node) runPeriodicWork(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at := n.nextDue["ping"]; !now.Before(at) {
		n.nextDue["ping"] = now.Add(pingInterval)
		n.pingNeighbours()
	}
	n.sendChecksums(now)
	n.expireDeadlines(now)
	n.fillSlot(now)
	n.closeUnneededLinks(now)
	if n.isDue("redial", now, redialInterval) {
		n.dialUnreachable()
	}
	if n.isDue("renew", now, renewalInterval) {
		n.renewAnywhereLink()
	}
	if n.isDue("spot", now, spotCheckInterval) {
		n.spotCheck()
	}
	if n.isDue("forget", now, time.Minute) && n.state.removeExpired(now) {
		n.publishView()
	}
	if n.state.hasChanges() {
		n.requestFlush()
	}
}

// pingNeighbours pings the neighbours and closes the connections that do not answer.
func (n *Node) pingNeighbours() {
	for _, l := range n.links {
		if l.lastPing-l.lastPong >= maxMissedPongs {
			l.conn.Close() // closed starts the probe
			continue
		}
		l.lastPing++
		_ = l.conn.Send(thwire.TypePing, &thwire.Ping{Number: l.lastPing})
	}
}

// sendChecksums sends the sums to one random neighbour a second, and to those whose
// sums differed a moment ago.
func (n *Node) sendChecksums(now time.Time) {
	sum := n.state.checksumWithCount()
	for _, l := range n.links {
		if !l.checksumDue.IsZero() && !now.Before(l.checksumDue) {
			l.checksumDue = time.Time{}
			_ = l.conn.Send(thwire.TypeSum, sum)
		}
	}
	if !n.isDue("sum", now, checksumInterval) || len(n.links) == 0 {
		return
	}
	skip := n.random.IntN(len(n.links))
	for _, l := range n.links {
		if skip == 0 {
			_ = l.conn.Send(thwire.TypeSum, sum)
			return
		}
		skip--
	}
}

// probe is the check of a member whose connection failed.
type probe struct {
	number   uint64
	pending  int // answers still missing
	deadline time.Time
}

// startProbe checks a member directly and over two neighbours. The caller holds the mutex.
func (n *Node) startProbe(name string) {
	r, found := n.state.members[name]
	if !found || r.member.State == thwire.MemberDead || n.probes[name] != nil || n.leaving || n.ctx.Err() != nil {
		return
	}
	n.lastProbe++
	p := &probe{number: n.lastProbe, pending: 1, deadline: n.Clock.Now().Add(probeTimeout)}
	n.probes[name] = p
	n.probeNames[p.number] = name
	member, number := r.member, p.number
	n.spawnLocked(func() { n.handleProbeResult(number, n.isReachable(member.Name, member.Peer)) })
	q := &thwire.Probe{Number: number, Name: name, Address: member.Peer}
	for _, l := range n.randomLinks(2, name) {
		if l.conn.Send(thwire.TypeProbe, q) == nil {
			p.pending++
		}
	}
}

func (n *Node) randomLinks(count int, except string) []*link {
	links := make([]*link, 0, len(n.links))
	for name, l := range n.links {
		if name != except {
			links = append(links, l)
		}
	}
	n.random.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	return links[:min(count, len(links))]
}

// isReachable reports whether a daemon of that name answers at the address.
func (n *Node) isReachable(name string, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
	defer cancel()
	c, h, err := n.connect(ctx, address, thwire.KindDirect)
	if err != nil {
		return false
	}
	_ = c.Close()
	return h.Name == name
}

// handleProbe checks a member for a neighbour.
func (n *Node) handleProbe(l *link, p thwire.Probe) {
	n.spawn(func() {
		alive := n.isReachable(p.Name, p.Address)
		_ = l.conn.Send(thwire.TypeProbed, &thwire.Probed{Number: p.Number, Alive: alive})
	})
}

// handleProbeResult takes one answer of a probe.
func (n *Node) handleProbeResult(number uint64, alive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	name, found := n.probeNames[number]
	if !found {
		return
	}
	p := n.probes[name]
	p.pending--
	switch {
	case alive:
		n.endProbe(name, p)
	case p.pending == 0:
		n.endProbe(name, p)
		n.markUnresponsive(name)
	}
}

func (n *Node) endProbe(name string, p *probe) {
	delete(n.probes, name)
	delete(n.probeNames, p.number)
}

// markUnresponsive marks a member that no probe has reached. A leaving member is dead
// without suspicion: it has announced its end. The caller holds the mutex.
func (n *Node) markUnresponsive(name string) {
	m := n.state.members[name].member
	switch m.State {
	case thwire.MemberAlive:
		m.State = thwire.MemberSuspect
	case thwire.MemberLeaving:
		m.State = thwire.MemberDead
	default:
		return
	}
	if m.State == thwire.MemberSuspect {
		n.Log.Info("member does not answer", "member", name)
	} else {
		n.Log.Info("member has left", "member", name)
	}
	n.state.putMember(m, "", n.Clock.Now())
	n.requestFlush()
}

// expireDeadlines ends probes and suspicions whose time is over. Both lists are short:
// the cost does not depend on the number of members.
func (n *Node) expireDeadlines(now time.Time) {
	for name, p := range n.probes {
		if !now.Before(p.deadline) {
			n.endProbe(name, p)
			n.markUnresponsive(name)
		}
	}
	for name, at := range n.state.suspectDeadlines {
		if now.Before(at) {
			continue
		}
		m := n.state.members[name].member
		m.State = thwire.MemberDead
		n.Log.Info("member is dead", "member", name)
		n.state.putMember(m, "", now)
	}
}

// zoneChecksPerMember is the number of checks that the fleet makes of each member of a
// zone after a death there, on average (half as many when half of the fleet is
// lost). It stays below the 50 connections a second that a member accepts.
const zoneChecksPerMember = 24

// zoneKey is a zone of a region.
type zoneKey struct{ region, zone string }

// scheduleZoneChecks brings the check of a random member forward to members of the zones
// with news of a death: members fail by zone and region, and one to which no
// connection leads would stay alive for 20 s on average. The caller holds the mutex.
func (n *Node) scheduleZoneChecks() {
	candidates := map[zoneKey]int{}
	for name := range n.state.changed.members {
		if m := n.state.members[name].member; m.State == thwire.MemberDead {
			candidates[zoneKey{m.Region, m.Zone}] = 0
		}
	}
	if len(candidates) == 0 {
		return
	}
	members := n.View().Members
	for _, m := range members {
		p := zoneKey{m.Region, m.Zone}
		if count, found := candidates[p]; found && n.needsSpotCheck(m) {
			candidates[p] = count + 1
		}
	}
	for p, count := range candidates {
		if n.random.IntN(len(members)) >= zoneChecksPerMember*count {
			continue
		}
		n.zonesToCheck[p] = struct{}{}
		if at := n.Clock.Now().Add(time.Duration(n.random.Int64N(int64(time.Second)))); at.Before(n.nextDue["spot"]) {
			n.nextDue["spot"] = at
		}
	}
}

// needsSpotCheck reports whether nothing speaks against a member, and no connection
// of this daemon speaks for it.
func (n *Node) needsSpotCheck(m thwire.Member) bool {
	return m.Name != n.Member.Name && m.State == thwire.MemberAlive && n.links[m.Name] == nil
}

// spotCheck probes a random member that is not a neighbour, after scheduleZoneChecks one
// of each of its zones: it finds the death of a member whose neighbours died at
// the same moment.
func (n *Node) spotCheck() {
	members := n.View().Members
	if len(n.zonesToCheck) == 0 {
		n.spotCheckMember(members[n.random.IntN(len(members))])
		return
	}
	zones := map[zoneKey][]thwire.Member{}
	for _, m := range members {
		p := zoneKey{m.Region, m.Zone}
		if _, found := n.zonesToCheck[p]; found && n.needsSpotCheck(m) {
			zones[p] = append(zones[p], m)
		}
	}
	clear(n.zonesToCheck)
	for _, z := range zones {
		n.spotCheckMember(z[n.random.IntN(len(z))])
	}
}

func (n *Node) spotCheckMember(m thwire.Member) {
	if m.Name == n.Member.Name || m.State == thwire.MemberDead || n.links[m.Name] != nil {
		return
	}
	n.spawnLocked(func() {
		if !n.isReachable(m.Name, m.Peer) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.startProbe(m.Name)
		}
	})
}

// fillSlot dials a member for an empty slot of the overlay: one in the own zone,
// one in the own region but another zone, one anywhere.
func (n *Node) fillSlot(now time.Time) {
	if n.leaving || now.Before(n.nextDue["dial"]) || n.dialling["slot"] {
		return
	}
	slot := n.emptySlot()
	if slot == noSlot {
		return
	}
	m, found := n.dialCandidate(slot)
	// Groups that start apart know different members; seeds join them before all
	// members of each have found each other.
	if a, ok := n.unknownSeed(); ok && (!found || n.random.IntN(2) == 0) {
		n.dial("slot", "", a, slot)
		return
	}
	if found {
		n.dial("slot", m.Name, m.Peer, slot)
		return
	}
	if len(n.links) == 0 && len(n.seeds) > 0 {
		n.dial("slot", "", n.seeds[n.random.IntN(len(n.seeds))], slot)
		return
	}
	n.nextDue["dial"] = now.Add(checksumInterval)
}

// unknownSeed returns a random seed at which no member is known.
func (n *Node) unknownSeed() (netip.AddrPort, bool) {
	if len(n.seeds) == 0 {
		return netip.AddrPort{}, false
	}
	known := map[netip.AddrPort]bool{}
	for _, m := range n.View().Members {
		known[m.Peer] = true
	}
	unknown := make([]netip.AddrPort, 0, len(n.seeds))
	for _, a := range n.seeds {
		if !known[a] {
			unknown = append(unknown, a)
		}
	}
	if len(unknown) == 0 {
		return netip.AddrPort{}, false
	}
	return unknown[n.random.IntN(len(unknown))], true
}

func (n *Node) emptySlot() int {
	var filled [slotCount]bool
	for _, l := range n.links {
		if l.slot != noSlot {
			filled[l.slot] = true
		}
	}
	for i, f := range filled {
		if !f {
			return i
		}
	}
	return noSlot
}

// dialCandidate picks a random member for a slot; where none fits the slot's place any other does.
func (n *Node) dialCandidate(slot int) (thwire.Member, bool) {
	var fitting, others []thwire.Member
	for _, m := range n.View().Members {
		if m.Name == n.Member.Name || !isUp(m) || n.links[m.Name] != nil {
			continue
		}
		sameZone := m.Zone == n.Member.Zone && m.Region == n.Member.Region
		if slot == 0 && sameZone || slot == 1 && !sameZone && m.Region == n.Member.Region || slot == anywhereSlot {
			fitting = append(fitting, m)
		} else {
			others = append(others, m)
		}
	}
	if len(fitting) == 0 {
		fitting = others
	}
	if len(fitting) == 0 {
		return thwire.Member{}, false
	}
	return fitting[n.random.IntN(len(fitting))], true
}

// dialUnreachable dials a random dead member, or a seed that belongs to no live
// member: partitions that have healed find each other again. The connection
// takes the slot for a member anywhere. Each side has filled its slots with its
// own members, and extra connections are closed after surplusLinkLifetime: without a slot
// the sides parted again, though their members saw each other alive.
func (n *Node) dialUnreachable() {
	if n.leaving || n.dialling["lost"] {
		return
	}
	type lost struct {
		name    string
		address netip.AddrPort
	}
	var all []lost
	known := map[netip.AddrPort]bool{}
	for _, m := range n.View().Members {
		known[m.Peer] = true
		if m.State == thwire.MemberDead {
			all = append(all, lost{m.Name, m.Peer})
		}
	}
	for _, a := range n.seeds {
		if !known[a] {
			all = append(all, lost{"", a})
		}
	}
	if len(all) > 0 {
		t := all[n.random.IntN(len(all))]
		n.dial("lost", t.name, t.address, anywhereSlot)
	}
}

// renewAnywhereLink replaces the connection to a member anywhere by one to another random
// member, so that an overlay whose slots were filled while its parts did not
// reach each other becomes mixed again.
func (n *Node) renewAnywhereLink() {
	if n.leaving || n.dialling["renew"] || n.emptySlot() != noSlot {
		return
	}
	if m, found := n.dialCandidate(anywhereSlot); found {
		n.dial("renew", m.Name, m.Peer, anywhereSlot)
	}
}

// reassignSlot leaves a slot to the connection with a member. Another one in the
// slot becomes an extra connection, which trim closes.
func (n *Node) reassignSlot(slot int, name string) {
	own, found := n.links[name]
	if !found || own.slot != slot {
		return
	}
	for _, l := range n.links {
		if l != own && l.slot == slot {
			l.slot = noSlot
		}
	}
}

// dial opens an overlay connection. The caller holds the mutex.
func (n *Node) dial(purpose, name string, address netip.AddrPort, slot int) {
	n.dialling[purpose] = true
	n.spawnLocked(func() {
		ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
		defer cancel()
		c, h, err := n.connect(ctx, address, thwire.KindControl)
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.dialling, purpose)
		if err == nil {
			l := n.newLink(c, h.Name, true, thwire.KindControl)
			l.slot = slot
			n.addLink(l)
			n.reassignSlot(slot, h.Name)
		}
		if purpose != "slot" {
			return
		}
		if err == nil {
			n.dialFailures = 0
			return
		}
		n.dialFailures++
		n.nextDue["dial"] = n.Clock.Now().Add(backoff(n.random, n.dialFailures))
		if name != "" {
			n.startProbe(name)
		}
	})
}

// backoff returns a delay with full jitter whose limit doubles with each failure.
func backoff(r *rand.Rand, failures int) time.Duration {
	limit := maxBackoff
	if failures < 6 {
		limit = min(maxBackoff, minBackoff<<failures)
	}
	return minBackoff + time.Duration(r.Int64N(int64(limit)))
}

// closeUnneededLinks closes idle on-demand connections and dialled connections beyond the slots.
func (n *Node) closeUnneededLinks(now time.Time) {
	for l := range n.openLinks {
		if !l.onDemand || l.closeExpected || now.Sub(l.lastUsed) < onDemandIdleTimeout {
			continue
		}
		n.closeWithReason(l, reasonIdle)
		if n.onDemand[l.name] == l {
			delete(n.onDemand, l.name)
		}
	}
	for _, l := range n.links {
		if l.dialled && l.slot == noSlot && now.Sub(l.connectedAt) >= surplusLinkLifetime && !l.closeExpected && n.emptySlot() == noSlot {
			n.closeWithReason(l, reasonSurplus)
		}
	}
}
