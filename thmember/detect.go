package thmember

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// step does the periodic work that is due.
func (n *Node) step(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at := n.next["ping"]; !now.Before(at) {
		n.next["ping"] = now.Add(pingEvery)
		n.ping()
	}
	n.sendSums(now)
	n.judge(now)
	n.fill(now)
	n.trim(now)
	if n.due("redial", now, redial) {
		n.dialLost()
	}
	if n.due("renew", now, renewal) {
		n.renew()
	}
	if n.due("spot", now, spotCheck) {
		n.checkSome()
	}
	if n.due("forget", now, time.Minute) && n.state.forget(now) {
		n.publish()
	}
	if n.state.isChanged() {
		n.signal()
	}
}

// ping pings the neighbours and closes the connections that do not answer.
func (n *Node) ping() {
	for _, l := range n.links {
		if l.sent-l.answered >= maxMissed {
			l.conn.Close() // closed starts the probe
			continue
		}
		l.sent++
		_ = l.conn.Send(thwire.TypePing, &thwire.Ping{Number: l.sent})
	}
}

// sendSums sends the sums to one random neighbour a second, and to those whose
// sums differed a moment ago.
func (n *Node) sendSums(now time.Time) {
	sum := n.state.count()
	for _, l := range n.links {
		if !l.sumAt.IsZero() && !now.Before(l.sumAt) {
			l.sumAt = time.Time{}
			_ = l.conn.Send(thwire.TypeStateDigest, sum)
		}
	}
	if !n.due("sum", now, sumEvery) || len(n.links) == 0 {
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

// probe is the check of a member whose connection failed.
type probe struct {
	number   uint64
	waiting  int // answers still missing
	deadline time.Time
}

// startProbe checks a member directly and over two neighbours. The caller holds the mutex.
func (n *Node) startProbe(name string) {
	r, found := n.state.members[name]
	if !found || r.member.State == thwire.MemberDead || n.probes[name] != nil || n.leaving || n.ctx.Err() != nil {
		return
	}
	n.number++
	p := &probe{number: n.number, waiting: 1, deadline: n.Clock.Now().Add(probeWait)}
	n.probes[name] = p
	n.numbers[p.number] = name
	member, number := r.member, p.number
	n.spawnLocked(func() { n.probed(number, n.check(member.Name, member.Peer)) })
	q := &thwire.Probe{Number: number, Name: name, Address: member.Peer}
	for _, l := range n.pickLinks(2, name) {
		if l.conn.Send(thwire.TypeProbe, q) == nil {
			p.waiting++
		}
	}
}

func (n *Node) pickLinks(count int, except string) []*link {
	links := make([]*link, 0, len(n.links))
	for name, l := range n.links {
		if name != except {
			links = append(links, l)
		}
	}
	n.random.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	return links[:min(count, len(links))]
}

// check reports whether a daemon of that name answers at the address.
func (n *Node) check(name string, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(n.ctx, probeWait)
	defer cancel()
	c, h, err := n.connect(ctx, address, thwire.KindDirect)
	if err != nil {
		return false
	}
	_ = c.Close()
	return h.Name == name
}

// answerProbe checks a member for a neighbour.
func (n *Node) answerProbe(l *link, p thwire.Probe) {
	n.spawn(func() {
		alive := n.check(p.Name, p.Address)
		_ = l.conn.Send(thwire.TypeProbeResult, &thwire.ProbeResult{Number: p.Number, Alive: alive})
	})
}

// probed takes one answer of a probe.
func (n *Node) probed(number uint64, alive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	name, found := n.numbers[number]
	if !found {
		return
	}
	p := n.probes[name]
	p.waiting--
	switch {
	case alive:
		n.endProbe(name, p)
	case p.waiting == 0:
		n.endProbe(name, p)
		n.suspect(name)
	}
}

func (n *Node) endProbe(name string, p *probe) {
	delete(n.probes, name)
	delete(n.numbers, p.number)
}

// suspect marks a member that no probe has reached. A leaving member is dead
// without suspicion: it has announced its end. The caller holds the mutex.
func (n *Node) suspect(name string) {
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
	n.signal()
}

// judge ends probes and suspicions whose time is over. Both lists are short:
// the cost does not depend on the number of members.
func (n *Node) judge(now time.Time) {
	for name, p := range n.probes {
		if !now.Before(p.deadline) {
			n.endProbe(name, p)
			n.suspect(name)
		}
	}
	for name, at := range n.state.suspects {
		if now.Before(at) {
			continue
		}
		m := n.state.members[name].member
		m.State = thwire.MemberDead
		n.Log.Info("member is dead", "member", name)
		n.state.putMember(m, "", now)
	}
}

// zoneChecks is the number of checks that the fleet makes of each member of a
// zone after a death there, on average (half as many when half of the fleet is
// lost). It stays below the 50 connections a second that a member accepts.
const zoneChecks = 24

// place is a zone of a region.
type place struct{ region, zone string }

// checkLost brings the check of a random member forward to members of the zones
// with news of a death: members fail by zone and region, and one to which no
// connection leads would stay alive for 20 s on average. The caller holds the mutex.
func (n *Node) checkLost() {
	candidates := map[place]int{}
	for name := range n.state.changed.members {
		if m := n.state.members[name].member; m.State == thwire.MemberDead {
			candidates[place{m.Region, m.Zone}] = 0
		}
	}
	if len(candidates) == 0 {
		return
	}
	members := n.View().Members
	for _, m := range members {
		p := place{m.Region, m.Zone}
		if count, found := candidates[p]; found && n.checkable(m) {
			candidates[p] = count + 1
		}
	}
	for p, count := range candidates {
		if n.random.IntN(len(members)) >= zoneChecks*count {
			continue
		}
		n.lost[p] = struct{}{}
		if at := n.Clock.Now().Add(time.Duration(n.random.Int64N(int64(time.Second)))); at.Before(n.next["spot"]) {
			n.next["spot"] = at
		}
	}
}

// checkable reports whether nothing speaks against a member, and no connection
// of this daemon speaks for it.
func (n *Node) checkable(m thwire.Member) bool {
	return m.Name != n.Member.Name && m.State == thwire.MemberAlive && n.links[m.Name] == nil
}

// checkSome probes a random member that is not a neighbour, after checkLost one
// of each of its zones: it finds the death of a member whose neighbours died at
// the same moment.
func (n *Node) checkSome() {
	members := n.View().Members
	if len(n.lost) == 0 {
		n.checkOne(members[n.random.IntN(len(members))])
		return
	}
	zones := map[place][]thwire.Member{}
	for _, m := range members {
		p := place{m.Region, m.Zone}
		if _, found := n.lost[p]; found && n.checkable(m) {
			zones[p] = append(zones[p], m)
		}
	}
	clear(n.lost)
	for _, z := range zones {
		n.checkOne(z[n.random.IntN(len(z))])
	}
}

func (n *Node) checkOne(m thwire.Member) {
	if m.Name == n.Member.Name || m.State == thwire.MemberDead || n.links[m.Name] != nil {
		return
	}
	n.spawnLocked(func() {
		if !n.check(m.Name, m.Peer) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.startProbe(m.Name)
		}
	})
}

// fill dials a member for an empty slot of the overlay: one in the own zone,
// one in the own region but another zone, one anywhere.
func (n *Node) fill(now time.Time) {
	if n.leaving || now.Before(n.next["dial"]) || n.dialling["slot"] {
		return
	}
	slot := n.emptySlot()
	if slot == noSlot {
		return
	}
	m, found := n.candidate(slot)
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
	n.next["dial"] = now.Add(sumEvery)
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
	var filled [slots]bool
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

// candidate picks a random member for a slot; where none fits the slot's place any other does.
func (n *Node) candidate(slot int) (thwire.Member, bool) {
	var fitting, others []thwire.Member
	for _, m := range n.View().Members {
		if m.Name == n.Member.Name || !isUp(m) || n.links[m.Name] != nil {
			continue
		}
		sameZone := m.Zone == n.Member.Zone && m.Region == n.Member.Region
		if slot == 0 && sameZone || slot == 1 && !sameZone && m.Region == n.Member.Region || slot == slotAnywhere {
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

// dialLost dials a random dead member, or a seed that belongs to no live
// member: partitions that have healed find each other again. The connection
// takes the slot for a member anywhere. Each side has filled its slots with its
// own members, and extra connections are closed after extraLife: without a slot
// the sides parted again, though their members saw each other alive.
func (n *Node) dialLost() {
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
		n.dial("lost", t.name, t.address, slotAnywhere)
	}
}

// renew replaces the connection to a member anywhere by one to another random
// member, so that an overlay whose slots were filled while its parts did not
// reach each other becomes mixed again.
func (n *Node) renew() {
	if n.leaving || n.dialling["renew"] || n.emptySlot() != noSlot {
		return
	}
	if m, found := n.candidate(slotAnywhere); found {
		n.dial("renew", m.Name, m.Peer, slotAnywhere)
	}
}

// displace leaves a slot to the connection with a member. Another one in the
// slot becomes an extra connection, which trim closes.
func (n *Node) displace(slot int, name string) {
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
		ctx, cancel := context.WithTimeout(n.ctx, dialWait)
		defer cancel()
		c, h, err := n.connect(ctx, address, thwire.KindControl)
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.dialling, purpose)
		if err == nil {
			l := n.newLink(c, h.Name, true, thwire.KindControl)
			l.slot = slot
			n.adopt(l)
			n.displace(slot, h.Name)
		}
		if purpose != "slot" {
			return
		}
		if err == nil {
			n.failures = 0
			return
		}
		n.failures++
		n.next["dial"] = n.Clock.Now().Add(backoff(n.random, n.failures))
		if name != "" {
			n.startProbe(name)
		}
	})
}

// backoff returns a delay with full jitter whose limit doubles with each failure.
func backoff(r *rand.Rand, failures int) time.Duration {
	limit := backoffMax
	if failures < 6 {
		limit = min(backoffMax, backoffMin<<failures)
	}
	return backoffMin + time.Duration(r.Int64N(int64(limit)))
}

// trim closes idle on-demand connections and dialled connections beyond the slots.
func (n *Node) trim(now time.Time) {
	for l := range n.open {
		if !l.direct || l.expected || now.Sub(l.used) < idleDirect {
			continue
		}
		n.end(l, reasonIdle)
		if n.direct[l.name] == l {
			delete(n.direct, l.name)
		}
	}
	for _, l := range n.links {
		if l.dialled && l.slot == noSlot && now.Sub(l.since) >= extraLife && !l.expected && n.emptySlot() == noSlot {
			n.end(l, reasonExtra)
		}
	}
}
