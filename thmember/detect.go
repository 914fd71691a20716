package thmember

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// runPeriodicWork runs the periodic tasks that are due at now.
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
	n.expireCrashRecords(now)
	if n.state.hasChanges() {
		n.requestFlush()
	}
}

// pingNeighbours pings every neighbour and closes connections with maxMissedPongs
// outstanding pings. The caller holds the mutex.
func (n *Node) pingNeighbours() {
	for _, l := range n.links {
		if l.lastPing-l.lastPong >= maxMissedPongs {
			l.conn.Close() // removeLink starts the probe
			continue
		}
		l.lastPing++
		_ = l.conn.Send(thwire.TypePing, &thwire.Ping{Number: l.lastPing})
	}
}

// sendChecksums sends the state checksums to one random neighbour about every
// checksumInterval, and to each neighbour whose recheck is due. The caller holds
// the mutex.
func (n *Node) sendChecksums(now time.Time) {
	sum := n.state.checksumWithCount()
	for _, l := range n.links {
		if !l.checksumDue.IsZero() && !now.Before(l.checksumDue) {
			l.checksumDue = time.Time{}
			_ = l.conn.Send(thwire.TypeStateDigest, sum)
		}
	}
	if !n.isDue("sum", now, checksumInterval) || len(n.links) == 0 {
		return
	}
	skip := n.random.IntN(len(n.links))
	for _, l := range n.links {
		if skip == 0 {
			_ = l.conn.Send(thwire.TypeStateDigest, sum)
			return
		}
		skip--
	}
}

// probe is a pending check of a member whose connection failed. It combines a
// direct check with indirect checks through neighbours.
type probe struct {
	number   uint64
	pending  int // outstanding results
	deadline time.Time
}

// startProbe checks a member directly and through two neighbours, unless it is
// unknown, dead or already being probed, or this daemon is leaving or stopping.
// The caller holds the mutex.
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

// randomLinks returns up to count random neighbours other than except.
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

// isReachable reports whether the named daemon completes a handshake at the address.
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

// handleProbe checks a member on behalf of a neighbour and sends back the result.
func (n *Node) handleProbe(l *link, p thwire.Probe) {
	n.spawn(func() {
		alive := n.isReachable(p.Name, p.Address)
		_ = l.conn.Send(thwire.TypeProbeResult, &thwire.ProbeResult{Number: p.Number, Alive: alive})
	})
}

// handleProbeResult records one result of a probe. One success ends the probe;
// if all checks fail, the member becomes suspect. Results of ended probes are ignored.
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

// markUnresponsive marks a live member that no probe has reached as suspect. A
// leaving member is marked dead at once, since it has announced its shutdown. The
// caller holds the mutex.
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

// expireDeadlines fails probes and declares suspects dead whose deadlines have
// passed. It only iterates over pending probes and suspects, so its cost does not
// grow with the number of members. The caller holds the mutex.
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

// zoneChecksPerMember is the mean number of checks that the whole fleet makes of
// each member of a zone after a death in that zone; if half of the fleet is lost,
// it is half as many. It stays below the 50 connections per second that a member accepts.
const zoneChecksPerMember = 24

// zoneKey identifies a zone within its region.
type zoneKey struct{ region, zone string }

// scheduleZoneChecks schedules an early spot check in zones with newly reported
// deaths. Members tend to fail by zone and region, and without an early check a
// failed member to which no connection leads would be seen as alive for 20 s on
// average. The caller holds the mutex.
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
		key := zoneKey{m.Region, m.Zone}
		if count, found := candidates[key]; found && n.needsSpotCheck(m) {
			candidates[key] = count + 1
		}
	}
	for key, count := range candidates {
		if n.random.IntN(len(members)) >= zoneChecksPerMember*count {
			continue
		}
		n.zonesToCheck[key] = struct{}{}
		if at := n.Clock.Now().Add(time.Duration(n.random.Int64N(int64(time.Second)))); at.Before(n.nextDue["spot"]) {
			n.nextDue["spot"] = at
		}
	}
}

// needsSpotCheck reports whether a member counts as alive, but has no overlay
// connection to this daemon that would detect its failure.
func (n *Node) needsSpotCheck(m thwire.Member) bool {
	return m.Name != n.Member.Name && m.State == thwire.MemberAlive && n.links[m.Name] == nil
}

// spotCheck checks a random member, or one of each zone that scheduleZoneChecks
// selected. It detects the failure of a member whose neighbours failed at the same
// time. The caller holds the mutex.
func (n *Node) spotCheck() {
	members := n.View().Members
	if len(n.zonesToCheck) == 0 {
		n.spotCheckMember(members[n.random.IntN(len(members))])
		return
	}
	zones := map[zoneKey][]thwire.Member{}
	for _, m := range members {
		key := zoneKey{m.Region, m.Zone}
		if _, found := n.zonesToCheck[key]; found && n.needsSpotCheck(m) {
			zones[key] = append(zones[key], m)
		}
	}
	clear(n.zonesToCheck)
	for _, z := range zones {
		n.spotCheckMember(z[n.random.IntN(len(z))])
	}
}

// spotCheckMember starts a probe if m is unreachable, neither dead nor a neighbour.
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

// fillSlot dials a member for the first empty overlay slot. The slots are for a
// member of the local zone, a member of another zone in the local region, and a
// member in any zone and region. The caller holds the mutex.
func (n *Node) fillSlot(now time.Time) {
	if n.leaving || now.Before(n.nextDue["dial"]) || n.dialling["slot"] {
		return
	}
	slot := n.emptySlot()
	if slot == noSlot {
		return
	}
	m, found := n.dialCandidate(slot)
	// Groups of daemons that started separately know different members. Dialling
	// unknown seeds half of the time joins the groups before each group is complete.
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

// unknownSeed returns a random seed address that belongs to no known member.
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

// emptySlot returns the first slot without a connection, or noSlot.
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

// dialCandidate returns a random live member without a connection that fits the
// slot, or any other live one if none fits.
func (n *Node) dialCandidate(slot int) (thwire.Member, bool) {
	var matching, others []thwire.Member
	for _, m := range n.View().Members {
		if m.Name == n.Member.Name || !isUp(m) || n.links[m.Name] != nil {
			continue
		}
		sameZone := m.Zone == n.Member.Zone && m.Region == n.Member.Region
		if slot == 0 && sameZone || slot == 1 && !sameZone && m.Region == n.Member.Region || slot == anywhereSlot {
			matching = append(matching, m)
		} else {
			others = append(others, m)
		}
	}
	if len(matching) == 0 {
		matching = others
	}
	if len(matching) == 0 {
		return thwire.Member{}, false
	}
	return matching[n.random.IntN(len(matching))], true
}

// dialUnreachable dials a random dead member or unknown seed, so that the sides of
// a healed partition find each other. The connection takes anywhereSlot, since each
// side has filled its slots with its own members. A connection without a slot is
// closed after surplusLinkLifetime, and the sides would separate again although their
// members see each other as alive. The caller holds the mutex.
func (n *Node) dialUnreachable() {
	if n.leaving || n.dialling["lost"] {
		return
	}
	type target struct {
		name    string
		address netip.AddrPort
	}
	var targets []target
	known := map[netip.AddrPort]bool{}
	for _, m := range n.View().Members {
		known[m.Peer] = true
		if m.State == thwire.MemberDead {
			targets = append(targets, target{m.Name, m.Peer})
		}
	}
	for _, a := range n.seeds {
		if !known[a] {
			targets = append(targets, target{"", a})
		}
	}
	if len(targets) > 0 {
		t := targets[n.random.IntN(len(targets))]
		n.dial("lost", t.name, t.address, anywhereSlot)
	}
}

// renewAnywhereLink replaces the connection in anywhereSlot by one to another random
// member, so that an overlay whose slots were filled during a partition becomes
// mixed again. The caller holds the mutex.
func (n *Node) renewAnywhereLink() {
	if n.leaving || n.dialling["renew"] || n.emptySlot() != noSlot {
		return
	}
	if m, found := n.dialCandidate(anywhereSlot); found {
		n.dial("renew", m.Name, m.Peer, anywhereSlot)
	}
}

// reassignSlot makes the connection to the named member the only one in its slot.
// Another connection in the slot becomes surplus, and closeUnneededLinks closes it.
// The caller holds the mutex.
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

// dial opens an overlay connection in the background. The name is empty for a seed.
// A failed dial of purpose "slot" delays the next one by a backoff and starts a
// probe of the member. The caller holds the mutex.
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

// closeUnneededLinks closes on-demand connections that are idle for
// onDemandIdleTimeout and, while all slots are filled, dialled connections without
// a slot after surplusLinkLifetime. The caller holds the mutex.
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
