package thmember

import (
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// recheck is the delay between the first difference of sums on a connection
// and the second comparison: news in flight have arrived by then.
const recheck = 300 * time.Millisecond

// update is what one flush of the changed state sends and reports.
type update struct {
	news  map[*link][]*thwire.Update
	view  *View // nil where members and held versions are unchanged
	facts []thwire.MoveState
}

// collect takes the changes since the last call, grouped by receiver. A change
// never goes back to the neighbour that sent it. The caller holds the mutex.
func (n *Node) collect() update {
	u := update{news: map[*link][]*thwire.Update{}}
	if !n.state.isChanged() {
		return u
	}
	for _, l := range n.links {
		if parts := split(n.newsFor(l.name)); len(parts) > 0 {
			u.news[l] = parts
		}
	}
	if len(n.state.changed.members)+len(n.state.changed.held) > 0 {
		n.publish()
		u.view = n.view.Load()
		n.checkLost()
	}
	for move := range n.state.changed.facts {
		u.facts = append(u.facts, n.state.facts[move])
	}
	n.state.clearChanged()
	return u
}

func (n *Node) newsFor(name string) thwire.Update {
	var w thwire.Update
	var marks []thwire.Member
	for member, o := range n.state.changed.members {
		switch {
		case o.includes(name):
		case o.mark:
			marks = append(marks, n.state.members[member].member)
		default:
			w.Members = append(w.Members, n.state.members[member].member)
		}
	}
	w.Marks = groupMarks(marks)
	var held []thwire.HeldVersion
	for member, o := range n.state.changed.held {
		if !o.includes(name) {
			held = append(held, n.state.members[member].held)
		}
	}
	w.Holds = group(held)
	for move, from := range n.state.changed.facts {
		if from != name {
			w.Facts = append(w.Facts, n.state.facts[move])
		}
	}
	return w
}

func (n *Node) deliver(u update) {
	for l, parts := range u.news {
		for _, p := range parts {
			_ = l.conn.Send(thwire.TypeUpdate, p) // a lost update is repaired by anti-entropy
		}
	}
	if u.view != nil {
		for _, f := range n.watchers {
			f(u.view)
		}
	}
	for _, fact := range u.facts {
		for _, f := range n.factors {
			f(fact)
		}
	}
}

// publish builds the view. It runs at most once a batch, so its cost does not
// depend on the number of messages. The caller holds the mutex.
func (n *Node) publish() {
	v := &View{Members: make([]thwire.Member, 0, len(n.state.members)), Held: make(map[string]thwire.HeldVersion, len(n.state.members))}
	for name, r := range n.state.members {
		v.Members = append(v.Members, r.member)
		if r.held.Incarnation != 0 {
			v.Held[name] = r.held
		}
	}
	slices.SortFunc(v.Members, func(a, b thwire.Member) int { return strings.Compare(a.Name, b.Name) })
	n.view.Store(v)
}

// maxFlooded bounds the records of an anti-entropy answer that are flooded
// further. The neighbours of a daemon that has just joined know the list that
// it receives; where they do not, their sums differ and they ask.
const maxFlooded = 16

// learn merges news from a neighbour.
func (n *Node) learn(w *thwire.Update, from string) {
	now := n.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if w.Repair {
		n.correct(w, from)
	}
	if w.Repair && len(w.Members) > maxFlooded {
		for name, l := range n.links {
			if name != from {
				l.sumAt = now
			}
		}
		from = everybody
	}
	for _, m := range w.Members {
		n.learnMember(m, from, now)
	}
	for _, k := range w.Marks {
		for _, m := range n.state.marked(k) {
			n.learnMember(m, from, now)
		}
	}
	for _, h := range w.Holds {
		n.state.putHold(h, n.Member.Name, from)
	}
	for _, f := range w.Facts {
		n.state.putFact(f, from)
	}
	if n.state.isChanged() {
		n.signal()
	}
}

// correct sends a neighbour the newer records of members of which it has sent
// an older one: a summary does not tell whether an unknown incarnation is older.
// The caller holds the mutex.
func (n *Node) correct(w *thwire.Update, from string) {
	l := n.links[from]
	if l == nil {
		return
	}
	var newer thwire.Update
	for _, m := range w.Members {
		if r := n.state.members[m.Name]; r != nil && compareMember(r.member, m) > 0 {
			newer.Members = append(newer.Members, r.member)
		}
	}
	for _, p := range split(newer) {
		_ = l.conn.Send(thwire.TypeUpdate, p)
	}
}

func (n *Node) learnMember(m thwire.Member, from string, now time.Time) {
	if m.Name == n.Member.Name {
		n.refute(m, now)
		return
	}
	n.state.putMember(n.doubt(m, now), from, now)
}

// doubt turns the news that a member is dead into a suspicion where this daemon
// had none yet, or one from less than half of the time to refute it. Otherwise a
// daemon that meets the other side of a partition would hold all members of its
// own side for dead until their refutations arrive, and refuse every call.
func (n *Node) doubt(m thwire.Member, now time.Time) thwire.Member {
	r, found := n.state.members[m.Name]
	if !found || m.State != thwire.MemberDead || m.Incarnation != r.member.Incarnation {
		return m
	}
	fresh := r.member.State == thwire.MemberSuspect && n.state.suspects[m.Name].Sub(now) > suspicion/2
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

// compareSum compares the sums of a neighbour with the own ones.
func (n *Node) compareSum(l *link, s thwire.StateDigest) {
	now := n.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.state.sum
	if s.Members == own.Members && s.Held == own.Held && s.Facts == own.Facts {
		l.differs = 0
		return
	}
	l.differs++
	if l.differs < 2 || !n.initiates(l, s) || !n.sendSummary(l, now) {
		// The other side compares next.
		l.differs = 1
		l.sumAt = now.Add(recheck)
	}
}

// initiates reports whether this side sends its summary: the one that knows
// fewer members, so that a daemon that joins costs its neighbour no list of all
// members in both directions. The caller holds the mutex.
func (n *Node) initiates(l *link, s thwire.StateDigest) bool {
	own := n.state.count().Count
	return own < s.Count || own == s.Count && n.Member.Name < l.name
}

// sendSummary sends at most one summary each sumEvery to a neighbour, and each
// recheck to any: the answer to one mostly settles the others. The caller holds
// the mutex.
func (n *Node) sendSummary(l *link, now time.Time) bool {
	if !l.summaryAt.IsZero() && now.Sub(l.summaryAt) < sumEvery || now.Before(n.next["summary"]) {
		return false
	}
	l.summaryAt = now
	l.differs = 0
	n.next["summary"] = now.Add(recheck)
	_ = l.conn.Send(thwire.TypeSummary, n.state.summary())
	return true
}

// A daemon sends a list of more than smallList members only each listEvery: the
// daemons of a zone that returns to 680 ask others instead. The halves of a
// fleet of that size are below it, so that regions merge without delay.
const (
	smallList = 400
	listEvery = 5 * time.Second
)

// answerSummary sends what the sender of a summary lacks, and asks for what is
// newer on its side.
func (n *Node) answerSummary(l *link, y *thwire.Summary) {
	now := n.Clock.Now()
	n.mu.Lock()
	news := n.state.missing(y)
	want := n.state.wanted(y)
	for _, f := range y.Facts {
		n.state.putFact(f, l.name)
	}
	if n.state.isChanged() {
		n.signal()
	}
	if len(news.Members) > smallList {
		if now.Before(n.next["list"]) {
			l.sumAt = now.Add(sumEvery)
			news = thwire.Update{}
		} else {
			n.next["list"] = now.Add(listEvery)
		}
	}
	n.mu.Unlock()
	n.sendRepair(l, news)
	if len(want.Members) > 0 {
		_ = l.conn.Send(thwire.TypeRecordRequest, want)
	}
}

// answerWant sends the records that a neighbour asks for.
func (n *Node) answerWant(l *link, w *thwire.RecordRequest) {
	n.mu.Lock()
	news := n.state.answer(w)
	n.mu.Unlock()
	n.sendRepair(l, news)
}

func (n *Node) sendRepair(l *link, news thwire.Update) {
	for _, p := range split(news) {
		p.Repair = true
		_ = l.conn.Send(thwire.TypeUpdate, p)
	}
}
