package thmember

import (
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// checksumRecheckDelay is the delay between the first checksum mismatch on a
// connection and the second comparison. Updates in flight have arrived by then.
const checksumRecheckDelay = 300 * time.Millisecond

// flush holds the messages to send and the changes to report to watchers for one
// batch of state changes.
type flush struct {
	updates    map[*link][]*thwire.Update
	view       *View // nil if members and held versions are unchanged
	moveStates []thwire.MoveState
	crashes    []thwire.CrashRecord
}

// collectChanges returns the changes since the last call, grouped by receiver, and
// clears them. A change is not sent back to the neighbour that it came from. The
// caller holds the mutex.
func (n *Node) collectChanges() flush {
	batch := flush{updates: map[*link][]*thwire.Update{}}
	if !n.state.hasChanges() {
		return batch
	}
	for _, l := range n.links {
		if parts := splitUpdate(n.updateFor(l.name)); len(parts) > 0 {
			batch.updates[l] = parts
		}
	}
	if len(n.state.changed.members)+len(n.state.changed.held) > 0 {
		n.publishView()
		batch.view = n.view.Load()
		n.scheduleZoneChecks()
	}
	for move := range n.state.changed.moveStates {
		batch.moveStates = append(batch.moveStates, n.state.moveStates[move])
	}
	for request := range n.state.changed.crashes {
		batch.crashes = append(batch.crashes, n.state.crashes[request])
	}
	n.state.clearChanges()
	return batch
}

// updateFor returns the changes that the named neighbour is not known to have. The
// caller holds the mutex.
func (n *Node) updateFor(name string) thwire.Update {
	var update thwire.Update
	var marks []thwire.Member
	for member, c := range n.state.changed.members {
		switch {
		case c.isKnownTo(name):
		case c.stateOnly:
			marks = append(marks, n.state.members[member].member)
		default:
			update.Members = append(update.Members, n.state.members[member].member)
		}
	}
	update.Marks = groupMarks(marks)
	var held []thwire.HeldVersion
	for member, c := range n.state.changed.held {
		if !c.isKnownTo(name) {
			held = append(held, n.state.members[member].held)
		}
	}
	update.Holds = groupHeld(held)
	for move, from := range n.state.changed.moveStates {
		if from != name {
			update.Facts = append(update.Facts, n.state.moveStates[move])
		}
	}
	for request, from := range n.state.changed.crashes {
		if from != name {
			update.Crashes = append(update.Crashes, n.state.crashes[request])
		}
	}
	return update
}

// deliverChanges sends a flush to the neighbours and calls the watchers. The caller
// does not hold the mutex.
func (n *Node) deliverChanges(batch flush) {
	for l, parts := range batch.updates {
		for _, p := range parts {
			_ = l.conn.Send(thwire.TypeUpdate, p) // a lost update is repaired by anti-entropy
		}
	}
	if batch.view != nil {
		for _, f := range n.viewWatchers {
			f(batch.view)
		}
	}
	for _, s := range batch.moveStates {
		for _, f := range n.moveWatchers {
			f(s)
		}
	}
	for _, r := range batch.crashes {
		for _, f := range n.crashWatchers {
			f(r)
		}
	}
}

// publishView builds and stores a new view. It runs at most once per batch, so its
// cost does not depend on the number of messages. The caller holds the mutex.
func (n *Node) publishView() {
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

// maxFloodedRepair is the maximum number of member records in an anti-entropy reply
// that are still flooded to other neighbours. A larger list mostly goes to a daemon
// that has just joined, whose neighbours already have it; a neighbour that lacks
// records finds a checksum mismatch and requests them.
const maxFloodedRepair = 16

// mergeUpdate merges a state update from a neighbour and schedules the flooding of
// what changed.
func (n *Node) mergeUpdate(update *thwire.Update, from string) {
	now := n.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if update.Repair {
		n.sendNewerRecords(update, from)
	}
	if update.Repair && len(update.Members) > maxFloodedRepair {
		for name, l := range n.links {
			if name != from {
				l.checksumDue = now
			}
		}
		from = allNeighbours
	}
	for _, m := range update.Members {
		n.mergeMember(m, from, now)
	}
	for _, k := range update.Marks {
		for _, m := range n.state.expandMark(k) {
			n.mergeMember(m, from, now)
		}
	}
	for _, h := range update.Holds {
		n.state.putVersionGroup(h, n.Member.Name, from)
	}
	for _, f := range update.Facts {
		n.state.putMoveState(f, from)
	}
	for _, r := range update.Crashes {
		n.state.putCrashRecord(r, from, now)
	}
	if n.state.hasChanges() {
		n.requestFlush()
	}
}

// sendNewerRecords replies to outdated member records in an anti-entropy reply with
// the newer ones: a summary does not show whether an unknown incarnation is older.
// The caller holds the mutex.
func (n *Node) sendNewerRecords(update *thwire.Update, from string) {
	l := n.links[from]
	if l == nil {
		return
	}
	var newer thwire.Update
	for _, m := range update.Members {
		if r := n.state.members[m.Name]; r != nil && compareMember(r.member, m) > 0 {
			newer.Members = append(newer.Members, r.member)
		}
	}
	for _, p := range splitUpdate(newer) {
		_ = l.conn.Send(thwire.TypeUpdate, p)
	}
}

// mergeMember merges a member record; a record of this daemon may be refuted. The
// caller holds the mutex.
func (n *Node) mergeMember(m thwire.Member, from string, now time.Time) {
	switch {
	case !isValid(m):
		return
	case m.Name == n.Member.Name:
		n.refute(m, now)
		return
	}
	n.state.putMember(n.deadToSuspect(m, now), from, now)
}

// deadToSuspect turns a dead record into a suspect one if the member is alive here,
// or has been suspect here for less than half of suspicionTimeout. Otherwise a daemon
// that reconnects to the other side of a partition would treat all members of its own
// side as dead until their refutations arrive, and reject every call.
func (n *Node) deadToSuspect(m thwire.Member, now time.Time) thwire.Member {
	r, found := n.state.members[m.Name]
	if !found || m.State != thwire.MemberDead || m.Incarnation != r.member.Incarnation {
		return m
	}
	recent := r.member.State == thwire.MemberSuspect && n.state.suspectDeadlines[m.Name].Sub(now) > suspicionTimeout/2
	if recent || r.member.State == thwire.MemberAlive {
		m.State = thwire.MemberSuspect
	}
	return m
}

// refute publishes a newer record of this daemon if the received one is newer than
// its own: another daemon suspects it, or an earlier process of the same name had a
// clock that was ahead. The caller holds the mutex.
func (n *Node) refute(m thwire.Member, now time.Time) {
	self := n.state.members[n.Member.Name]
	own, held := self.member, self.held
	if compareMember(m, own) <= 0 {
		return
	}
	if m.Incarnation > own.Incarnation {
		n.Log.Warn("another process used the name of this daemon with a later start time", "name", own.Name, "incarnation", m.Incarnation)
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

// compareChecksum compares a neighbour's state checksums with those of this daemon.
// After two mismatches in a row, the side that initiates the exchange sends its
// summary.
func (n *Node) compareChecksum(l *link, received thwire.StateDigest) {
	now := n.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.state.checksum
	if received.Members == own.Members && received.Held == own.Held && received.Facts == own.Facts && received.Crashes == own.Crashes {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.mismatches < 2 || !n.initiatesExchange(l, received) || !n.sendSummary(l, now) {
		// Sending the checksums again makes the other side compare next.
		l.mismatches = 1
		l.checksumDue = now.Add(checksumRecheckDelay)
	}
}

// initiatesExchange reports whether this daemon sends its summary rather than the
// neighbour. The side that knows fewer members does, so that a joining daemon does
// not cause a list of all members in both directions. The caller holds the mutex.
func (n *Node) initiatesExchange(l *link, received thwire.StateDigest) bool {
	own := n.state.checksumWithCount().Count
	return own < received.Count || own == received.Count && n.Member.Name < l.name
}

// sendSummary sends a summary unless the neighbour got one within checksumInterval
// or any neighbour got one within checksumRecheckDelay: the reply to one usually
// resolves the mismatches with the others too. It reports whether it sent the
// summary. The caller holds the mutex.
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

// A daemon sends a list of more than maxUnthrottledList members at most once per
// largeListInterval. When a zone rejoins a fleet of 680 daemons, its daemons ask
// other neighbours instead. Half of such a fleet is below the limit, so that two
// regions merge without delay.
const (
	maxUnthrottledList = 400
	largeListInterval  = 5 * time.Second
)

// handleSummary sends the records that the sender of a summary lacks, and requests
// those that are newer on its side.
func (n *Node) handleSummary(l *link, summary *thwire.Summary) {
	now := n.Clock.Now()
	n.mu.Lock()
	update := n.state.missingFrom(summary)
	request := n.state.wantedFrom(summary)
	for _, f := range summary.Facts {
		n.state.putMoveState(f, l.name)
	}
	for _, r := range summary.Crashes {
		n.state.putCrashRecord(r, l.name, now)
	}
	if n.state.hasChanges() {
		n.requestFlush()
	}
	if len(update.Members) > maxUnthrottledList {
		if now.Before(n.nextDue["list"]) {
			l.checksumDue = now.Add(checksumInterval)
			update = thwire.Update{}
		} else {
			n.nextDue["list"] = now.Add(largeListInterval)
		}
	}
	n.mu.Unlock()
	n.sendRepair(l, update)
	if len(request.Members) > 0 {
		_ = l.conn.Send(thwire.TypeRecordRequest, request)
	}
}

// handleRecordRequest sends the records that a neighbour requests.
func (n *Node) handleRecordRequest(l *link, request *thwire.RecordRequest) {
	n.mu.Lock()
	update := n.state.recordsFor(request)
	n.mu.Unlock()
	n.sendRepair(l, update)
}

// sendRepair sends records as an anti-entropy reply.
func (n *Node) sendRepair(l *link, update thwire.Update) {
	for _, p := range splitUpdate(update) {
		p.Repair = true
		_ = l.conn.Send(thwire.TypeUpdate, p)
	}
}
