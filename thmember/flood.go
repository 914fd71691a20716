package thmember

import (
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// checksumRecheckDelay is the delay between the first difference of sums on a connection
// and the second comparison: news in flight have arrived by then.
const checksumRecheckDelay = 300 * time.Millisecond

// flush is what one flush of the changed state sends and reports.
type flush struct {
	news  map[*link][]*thwire.News
	view  *View // nil where members and held versions are unchanged
	facts []thwire.Fact
}

// collectChanges takes the changes since the last call, grouped by receiver. A change
// never goes back to the neighbour that sent it. The caller holds the mutex.
func (n *Node) collectChanges() flush {
	u := flush{news: map[*link][]*thwire.News{}}
	if !n.state.hasChanges() {
		return u
	}
	for _, l := range n.links {
		if parts := splitNews(n.newsFor(l.name)); len(parts) > 0 {
			u.news[l] = parts
		}
	}
	if len(n.state.changed.members)+len(n.state.changed.held) > 0 {
		n.publishView()
		u.view = n.view.Load()
		n.scheduleZoneChecks()
	}
	for move := range n.state.changed.facts {
		u.facts = append(u.facts, n.state.facts[move])
	}
	n.state.clearChanges()
	return u
}

func (n *Node) newsFor(name string) thwire.News {
	var w thwire.News
	var marks []thwire.Member
	for member, o := range n.state.changed.members {
		switch {
		case o.isKnownTo(name):
		case o.stateOnly:
			marks = append(marks, n.state.members[member].member)
		default:
			w.Members = append(w.Members, n.state.members[member].member)
		}
	}
	w.Marks = groupMarks(marks)
	var held []thwire.Held
	for member, o := range n.state.changed.held {
		if !o.isKnownTo(name) {
			held = append(held, n.state.members[member].held)
		}
	}
	w.Holds = groupHeld(held)
	for move, from := range n.state.changed.facts {
		if from != name {
			w.Facts = append(w.Facts, n.state.facts[move])
		}
	}
	return w
}

func (n *Node) deliverChanges(u flush) {
	for l, parts := range u.news {
		for _, p := range parts {
			_ = l.conn.Send(thwire.TypeNews, p) // a lost update is repaired by anti-entropy
		}
	}
	if u.view != nil {
		for _, f := range n.viewWatchers {
			f(u.view)
		}
	}
	for _, fact := range u.facts {
		for _, f := range n.factWatchers {
			f(fact)
		}
	}
}

// publishView builds the view. It runs at most once a batch, so its cost does not
// depend on the number of messages. The caller holds the mutex.
func (n *Node) publishView() {
	v := &View{Members: make([]thwire.Member, 0, len(n.state.members)), Held: make(map[string]thwire.Held, len(n.state.members))}
	for name, r := range n.state.members {
		v.Members = append(v.Members, r.member)
		if r.held.Incarnation != 0 {
			v.Held[name] = r.held
		}
	}
	slices.SortFunc(v.Members, func(a, b thwire.Member) int { return strings.Compare(a.Name, b.Name) })
	n.view.Store(v)
}

// maxFloodedRepair bounds the records of an anti-entropy answer that are flooded
// further. The neighbours of a daemon that has just joined know the list that
// it receives; where they do not, their sums differ and they ask.
const maxFloodedRepair = 16

// mergeNews merges news from a neighbour.
func (n *Node) mergeNews(news *thwire.News, from string) {
	now := n.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if news.Repair {
		n.sendNewerRecords(news, from)
	}
	if news.Repair && len(news.Members) > maxFloodedRepair {
		for name, l := range n.links {
			if name != from {
				l.checksumDue = now
			}
		}
		from = allNeighbours
	}
	for _, m := range news.Members {
		n.mergeMember(m, from, now)
	}
	for _, k := range news.Marks {
		for _, m := range n.state.expandMark(k) {
			n.mergeMember(m, from, now)
		}
	}
	for _, h := range news.Holds {
		n.state.putHold(h, n.Member.Name, from)
	}
	for _, f := range news.Facts {
		n.state.putFact(f, from)
	}
	if n.state.hasChanges() {
		n.requestFlush()
	}
}

// sendNewerRecords sends a neighbour the newer records of members of which it has sent
// an older one: a summary does not tell whether an unknown incarnation is older.
// The caller holds the mutex.
func (n *Node) sendNewerRecords(news *thwire.News, from string) {
	l := n.links[from]
	if l == nil {
		return
	}
	var newer thwire.News
	for _, m := range news.Members {
		if r := n.state.members[m.Name]; r != nil && compareMember(r.member, m) > 0 {
			newer.Members = append(newer.Members, r.member)
		}
	}
	for _, p := range splitNews(newer) {
		_ = l.conn.Send(thwire.TypeNews, p)
	}
}

func (n *Node) mergeMember(m thwire.Member, from string, now time.Time) {
	if m.Name == n.Member.Name {
		n.refute(m, now)
		return
	}
	n.state.putMember(n.deadToSuspect(m, now), from, now)
}

// deadToSuspect turns the news that a member is dead into a suspicion where this daemon
// had none yet, or one from less than half of the time to refute it. Otherwise a
// daemon that meets the other side of a partition would hold all members of its
// own side for dead until their refutations arrive, and refuse every call.
func (n *Node) deadToSuspect(m thwire.Member, now time.Time) thwire.Member {
	r, found := n.state.members[m.Name]
	if !found || m.State != thwire.MemberDead || m.Incarnation != r.member.Incarnation {
		return m
	}
	fresh := r.member.State == thwire.MemberSuspect && n.state.suspectDeadlines[m.Name].Sub(now) > suspicionTimeout/2
	if fresh || r.member.State == thwire.MemberAlive {
		m.State = thwire.MemberSuspect
	}
	return m
}

// refute answers a record of this daemon that is newer than its own: somebody
// suspects it, or an earlier process of the same name had a later clock.
func (n *Node) refute(m thwire.Member, now time.Time) {
	self := n.state.members[n.Member.Name]
	own, held := self.member, self.held
	if compareMember(m, own) <= 0 {
		return
	}
	if m.Incarnation > own.Incarnation {
		n.Log.Warn("another process used this name with a later start time", "name", own.Name, "incarnation", m.Incarnation)
		own.Incarnation = m.Incarnation + 1
		own.Sequence = 0
	} else {
		own.Sequence = m.Sequence + 1
	}
	n.state.putMember(own, "", now)
	if held.Incarnation != 0 {
		held.Incarnation = own.Incarnation
		n.state.putHeld(held, "")
	}
}

// compareChecksum compares the sums of a neighbour with the own ones.
func (n *Node) compareChecksum(l *link, received thwire.Sum) {
	now := n.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.state.checksum
	if received.Members == own.Members && received.Held == own.Held && received.Facts == own.Facts {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.mismatches < 2 || !n.initiatesExchange(l, received) || !n.sendSummary(l, now) {
		// The other side compares next.
		l.mismatches = 1
		l.checksumDue = now.Add(checksumRecheckDelay)
	}
}

// initiatesExchange reports whether this side sends its summary: the one that knows
// fewer members, so that a daemon that joins costs its neighbour no list of all
// members in both directions. The caller holds the mutex.
func (n *Node) initiatesExchange(l *link, received thwire.Sum) bool {
	own := n.state.checksumWithCount().Count
	return own < received.Count || own == received.Count && n.Member.Name < l.name
}

// sendSummary sends at most one summary each checksumInterval to a neighbour, and each
// recheck to any: the answer to one mostly settles the others. The caller holds
// the mutex.
func (n *Node) sendSummary(l *link, now time.Time) bool {
	if !l.lastSummary.IsZero() && now.Sub(l.lastSummary) < checksumInterval || now.Before(n.nextDue["summary"]) {
		return false
	}
	l.lastSummary = now
	l.mismatches = 0
	n.nextDue["summary"] = now.Add(checksumRecheckDelay)
	_ = l.conn.Send(thwire.TypeSummary, n.state.summary())
	return true
}

// A daemon sends a list of more than maxUnthrottledList members only each largeListInterval: the
// daemons of a zone that returns to 680 ask others instead. The halves of a
// fleet of that size are below it, so that regions merge without delay.
const (
	maxUnthrottledList = 400
	largeListInterval  = 5 * time.Second
)

// handleSummary sends what the sender of a summary lacks, and asks for what is
// newer on its side.
func (n *Node) handleSummary(l *link, summary *thwire.Summary) {
	now := n.Clock.Now()
	n.mu.Lock()
	news := n.state.missingFrom(summary)
	want := n.state.wantedFrom(summary)
	for _, f := range summary.Facts {
		n.state.putFact(f, l.name)
	}
	if n.state.hasChanges() {
		n.requestFlush()
	}
	if len(news.Members) > maxUnthrottledList {
		if now.Before(n.nextDue["list"]) {
			l.checksumDue = now.Add(checksumInterval)
			news = thwire.News{}
		} else {
			n.nextDue["list"] = now.Add(largeListInterval)
		}
	}
	n.mu.Unlock()
	n.sendRepair(l, news)
	if len(want.Members) > 0 {
		_ = l.conn.Send(thwire.TypeWant, want)
	}
}

// handleWant sends the records that a neighbour asks for.
func (n *Node) handleWant(l *link, want *thwire.Want) {
	n.mu.Lock()
	news := n.state.recordsFor(want)
	n.mu.Unlock()
	n.sendRepair(l, news)
}

func (n *Node) sendRepair(l *link, news thwire.News) {
	for _, p := range splitNews(news) {
		p.Repair = true
		_ = l.conn.Send(thwire.TypeNews, p)
	}
}
