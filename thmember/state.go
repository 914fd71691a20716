package thmember

import (
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// Bounds of the state. A Summary of a full state is below thwire.MaxFrame.
const (
	maxMembers     = 4096
	maxFacts       = 512
	maxNameBytes   = 64  // bytes of a name
	maxReasonBytes = 200 // bytes of a fact's reason
)

// deadRetention is how long a dead member stays known and is dialled again.
const deadRetention = 24 * time.Hour

// state holds what is flooded. It is guarded by the mutex of its Node. The
// sums are kept up to date with each change, so that anti-entropy costs
// nothing while daemons agree.
type state struct {
	members   map[string]*record
	namesByID map[uint64]string // name by hash of name and incarnation, as in thwire.Hold
	facts     map[string]thwire.Fact
	checksum  thwire.Sum
	changed   struct {
		members, held map[string]*pendingChange // by name
		facts         map[string]string         // by move: the neighbour that the news came from, empty for own news
		urgent        bool                      // a fact, or an end of new work
	}
	suspectDeadlines map[string]time.Time // when a suspect becomes dead
	deadExpiry       map[string]time.Time // when a dead member is forgotten
}

type record struct {
	member     thwire.Member
	held       thwire.Held // zero Incarnation: not known
	previousID uint64      // hash of the incarnation before: a summary with it gets the newer record
}

// allNeighbours as the source of news keeps them from being flooded.
const allNeighbours = "*"

// pendingChange lists the neighbours that are known to hold a changed record, so that
// it is not sent to them.
type pendingChange struct {
	holders   []string
	stateOnly bool // the record has changed in its state only
}

func (o *pendingChange) isKnownTo(neighbour string) bool {
	return slices.Contains(o.holders, neighbour) || slices.Contains(o.holders, allNeighbours)
}

func (s *state) init() {
	s.members = map[string]*record{}
	s.namesByID = map[uint64]string{}
	s.facts = map[string]thwire.Fact{}
	s.suspectDeadlines = map[string]time.Time{}
	s.deadExpiry = map[string]time.Time{}
	s.clearChanges()
}

func (s *state) clearChanges() {
	s.changed.members = map[string]*pendingChange{}
	s.changed.held = map[string]*pendingChange{}
	s.changed.facts = map[string]string{}
	s.changed.urgent = false
}

func (s *state) hasChanges() bool {
	return len(s.changed.members)+len(s.changed.held)+len(s.changed.facts) > 0
}

// toggleChecksum adds the record to the sums or removes it. Dead members take no part:
// daemons forget them at different times.
func (s *state) toggleChecksum(r *record) {
	if r.member.State == thwire.MemberDead {
		return
	}
	s.checksum.Members ^= hashMember(r.member)
	if r.held.Incarnation != 0 {
		s.checksum.Held ^= hashHeld(r.held)
	}
}

func isValid(m thwire.Member) bool {
	if m.Server != nil && (len(m.Server.Service) > maxNameBytes || len(m.Server.Version) > maxNameBytes) {
		return false
	}
	return m.Name != "" && len(m.Name) <= maxNameBytes && len(m.Zone) <= maxNameBytes && len(m.Region) <= maxNameBytes &&
		m.State >= thwire.MemberAlive && m.State <= thwire.MemberDead
}

// isUrgent reports whether a new record must not wait for others: the end of new
// work, and a refutation, which has to overtake the end of the suspicion.
func isUrgent(old, m thwire.Member) bool {
	return old.State == thwire.MemberSuspect && m.State == thwire.MemberAlive ||
		m.State == thwire.MemberLeaving || m.Server != nil && m.Server.State == thwire.ServerLeaving
}

// putMember stores a record that is newer than the known one.
func (s *state) putMember(m thwire.Member, from string, now time.Time) {
	if !isValid(m) {
		return
	}
	r, found := s.members[m.Name]
	before := s.changed.members[m.Name]
	switch {
	case found && compareMember(m, r.member) == 0:
		if before != nil {
			before.holders = append(before.holders, from)
		}
		return
	case found && compareMember(m, r.member) < 0:
		return
	case !found && len(s.members) >= maxMembers:
		return
	case !found:
		r = &record{}
		s.members[m.Name] = r
	default:
		s.toggleChecksum(r)
	}
	// A neighbour has the rest of the record unless that is among the pending news.
	mark := found && m.Incarnation == r.member.Incarnation && m.Sequence == r.member.Sequence && (before == nil || before.stateOnly)
	if m.Incarnation > r.member.Incarnation {
		r.held = thwire.Held{}
		if found {
			r.previousID = hashIdentity(m.Name, r.member.Incarnation)
			delete(s.namesByID, r.previousID)
		}
		s.namesByID[hashIdentity(m.Name, m.Incarnation)] = m.Name
	}
	s.changed.urgent = s.changed.urgent || isUrgent(r.member, m)
	r.member = m
	s.toggleChecksum(r)
	s.changed.members[m.Name] = &pendingChange{holders: []string{from}, stateOnly: mark}
	delete(s.suspectDeadlines, m.Name)
	delete(s.deadExpiry, m.Name)
	switch m.State {
	case thwire.MemberSuspect:
		s.suspectDeadlines[m.Name] = now.Add(suspicionTimeout)
	case thwire.MemberDead:
		s.deadExpiry[m.Name] = now.Add(deadRetention)
	}
}

// putHeld stores a held record of a known incarnation that is newer than the known one.
func (s *state) putHeld(h thwire.Held, from string) {
	r, found := s.members[h.Name]
	if !found || h.Incarnation != r.member.Incarnation {
		return
	}
	if c := compareHeld(h, r.held); c <= 0 {
		if o := s.changed.held[h.Name]; o != nil && c == 0 {
			o.holders = append(o.holders, from)
		}
		return
	}
	s.toggleChecksum(r)
	r.held = h
	s.toggleChecksum(r)
	s.changed.held[h.Name] = &pendingChange{holders: []string{from}}
}

// expandMark returns the records that a mark describes. A member is left out where
// this side has another sequence: the rest of its record differs, and
// anti-entropy brings the whole.
func (s *state) expandMark(k thwire.Mark) []thwire.Member {
	var all []thwire.Member
	for _, id := range k.Members {
		if r := s.members[s.namesByID[id]]; r != nil && r.member.Sequence == k.Sequence {
			m := r.member
			m.State = k.State
			all = append(all, m)
		}
	}
	return all
}

// groupMarks lists members by state and sequence.
func groupMarks(all []thwire.Member) []thwire.Mark {
	var marks []thwire.Mark
	for _, m := range all {
		id := hashIdentity(m.Name, m.Incarnation)
		i := slices.IndexFunc(marks, func(k thwire.Mark) bool { return k.State == m.State && k.Sequence == m.Sequence })
		if i < 0 {
			marks = append(marks, thwire.Mark{State: m.State, Sequence: m.Sequence, Members: []uint64{id}})
			continue
		}
		marks[i].Members = append(marks[i].Members, id)
	}
	return marks
}

// putHold stores the held versions of the listed members. A member that is not
// known here, or only with another incarnation, is repaired by anti-entropy.
func (s *state) putHold(h thwire.Hold, self, from string) {
	for _, id := range h.Members {
		name, found := s.namesByID[id]
		if !found || name == self {
			continue
		}
		s.putHeld(thwire.Held{
			Name: name, Incarnation: s.members[name].member.Incarnation, Version: h.Version, Digest: h.Digest,
		}, from)
	}
}

// groupHeld lists held records by version.
func groupHeld(all []thwire.Held) []thwire.Hold {
	var holds []thwire.Hold
	for _, h := range all {
		id := hashIdentity(h.Name, h.Incarnation)
		i := slices.IndexFunc(holds, func(o thwire.Hold) bool { return o.Version == h.Version && o.Digest == h.Digest })
		if i < 0 {
			holds = append(holds, thwire.Hold{Version: h.Version, Digest: h.Digest, Members: []uint64{id}})
			continue
		}
		holds[i].Members = append(holds[i].Members, id)
	}
	return holds
}

// putFact merges a fact and reports whether that changed the known one.
func (s *state) putFact(f thwire.Fact, from string) bool {
	if f.Move == "" || len(f.Move) > 2*maxNameBytes {
		return false
	}
	if len(f.Reason) > maxReasonBytes {
		f.Reason = f.Reason[:maxReasonBytes]
	}
	old, found := s.facts[f.Move]
	if !found && len(s.facts) >= maxFacts {
		return false
	}
	if found {
		f = mergeFact(old, f)
		if f == old {
			return false
		}
		s.checksum.Facts ^= hashFact(old)
	}
	s.facts[f.Move] = f
	s.checksum.Facts ^= hashFact(f)
	s.changed.facts[f.Move] = from
	s.changed.urgent = true
	return true
}

func (s *state) removeFact(move string) {
	if f, found := s.facts[move]; found {
		s.checksum.Facts ^= hashFact(f)
		delete(s.facts, move)
		delete(s.changed.facts, move)
	}
}

// removeExpired removes the members that have been dead for longer than the retention.
func (s *state) removeExpired(now time.Time) bool {
	n := len(s.members)
	for name, at := range s.deadExpiry {
		if now.After(at) {
			delete(s.deadExpiry, name)
			delete(s.namesByID, hashIdentity(name, s.members[name].member.Incarnation))
			delete(s.members, name)
			delete(s.changed.members, name)
			delete(s.changed.held, name)
		}
	}
	return len(s.members) != n
}
