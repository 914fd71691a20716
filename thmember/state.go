package thmember

import (
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// Bounds of the state. A Summary of a full state is below thwire.MaxFrame.
const (
	maxMembers = 4096
	maxFacts   = 512
	maxName    = 64  // bytes of a name
	maxReason  = 200 // bytes of a fact's reason
)

// retention is how long a dead member stays known and is dialled again.
const retention = 24 * time.Hour

// state holds what is flooded. It is guarded by the mutex of its Node. The
// sums are kept up to date with each change, so that anti-entropy costs
// nothing while daemons agree.
type state struct {
	members map[string]*record
	ids     map[uint64]string // name by hash of name and incarnation, as in thwire.Hold
	facts   map[string]thwire.MoveState
	sum     thwire.StateDigest
	changed struct {
		members, held map[string]*origin // by name
		facts         map[string]string  // by move: the neighbour that the news came from, empty for own news
		urgent        bool               // a fact, or an end of new work
	}
	suspects map[string]time.Time // when a suspect becomes dead
	dead     map[string]time.Time // when a dead member is forgotten
}

type record struct {
	member  thwire.Member
	held    thwire.HeldVersion // zero Incarnation: not known
	earlier uint64             // hash of the incarnation before: a summary with it gets the newer record
}

// everybody as the source of news keeps them from being flooded.
const everybody = "*"

// origin lists the neighbours that are known to hold a changed record, so that
// it is not sent to them.
type origin struct {
	holders []string
	mark    bool // the record has changed in its state only
}

func (o *origin) includes(neighbour string) bool {
	return slices.Contains(o.holders, neighbour) || slices.Contains(o.holders, everybody)
}

func (s *state) init() {
	s.members = map[string]*record{}
	s.ids = map[uint64]string{}
	s.facts = map[string]thwire.MoveState{}
	s.suspects = map[string]time.Time{}
	s.dead = map[string]time.Time{}
	s.clearChanged()
}

func (s *state) clearChanged() {
	s.changed.members = map[string]*origin{}
	s.changed.held = map[string]*origin{}
	s.changed.facts = map[string]string{}
	s.changed.urgent = false
}

func (s *state) isChanged() bool {
	return len(s.changed.members)+len(s.changed.held)+len(s.changed.facts) > 0
}

// toggle adds the record to the sums or removes it. Dead members take no part:
// daemons forget them at different times.
func (s *state) toggle(r *record) {
	if r.member.State == thwire.MemberDead {
		return
	}
	s.sum.Members ^= hashMember(r.member)
	if r.held.Incarnation != 0 {
		s.sum.Held ^= hashHeld(r.held)
	}
}

func valid(m thwire.Member) bool {
	if m.Server != nil && (len(m.Server.Service) > maxName || len(m.Server.Version) > maxName) {
		return false
	}
	return m.Name != "" && len(m.Name) <= maxName && len(m.Zone) <= maxName && len(m.Region) <= maxName &&
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
	if !valid(m) {
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
		s.toggle(r)
	}
	// A neighbour has the rest of the record unless that is among the pending news.
	mark := found && m.Incarnation == r.member.Incarnation && m.Sequence == r.member.Sequence && (before == nil || before.mark)
	if m.Incarnation > r.member.Incarnation {
		r.held = thwire.HeldVersion{}
		if found {
			r.earlier = hashIdentity(m.Name, r.member.Incarnation)
			delete(s.ids, r.earlier)
		}
		s.ids[hashIdentity(m.Name, m.Incarnation)] = m.Name
	}
	s.changed.urgent = s.changed.urgent || isUrgent(r.member, m)
	r.member = m
	s.toggle(r)
	s.changed.members[m.Name] = &origin{holders: []string{from}, mark: mark}
	delete(s.suspects, m.Name)
	delete(s.dead, m.Name)
	switch m.State {
	case thwire.MemberSuspect:
		s.suspects[m.Name] = now.Add(suspicion)
	case thwire.MemberDead:
		s.dead[m.Name] = now.Add(retention)
	}
}

// putHeld stores a held record of a known incarnation that is newer than the known one.
func (s *state) putHeld(h thwire.HeldVersion, from string) {
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
	s.toggle(r)
	r.held = h
	s.toggle(r)
	s.changed.held[h.Name] = &origin{holders: []string{from}}
}

// marked returns the records that a mark describes. A member is left out where
// this side has another sequence: the rest of its record differs, and
// anti-entropy brings the whole.
func (s *state) marked(k thwire.StateGroup) []thwire.Member {
	var all []thwire.Member
	for _, id := range k.Members {
		if r := s.members[s.ids[id]]; r != nil && r.member.Sequence == k.Sequence {
			m := r.member
			m.State = k.State
			all = append(all, m)
		}
	}
	return all
}

// groupMarks lists members by state and sequence.
func groupMarks(all []thwire.Member) []thwire.StateGroup {
	var marks []thwire.StateGroup
	for _, m := range all {
		id := hashIdentity(m.Name, m.Incarnation)
		i := slices.IndexFunc(marks, func(k thwire.StateGroup) bool { return k.State == m.State && k.Sequence == m.Sequence })
		if i < 0 {
			marks = append(marks, thwire.StateGroup{State: m.State, Sequence: m.Sequence, Members: []uint64{id}})
			continue
		}
		marks[i].Members = append(marks[i].Members, id)
	}
	return marks
}

// putHold stores the held versions of the listed members. A member that is not
// known here, or only with another incarnation, is repaired by anti-entropy.
func (s *state) putHold(h thwire.VersionGroup, self, from string) {
	for _, id := range h.Members {
		name, found := s.ids[id]
		if !found || name == self {
			continue
		}
		s.putHeld(thwire.HeldVersion{
			Name: name, Incarnation: s.members[name].member.Incarnation, Version: h.Version, Digest: h.Digest,
		}, from)
	}
}

// group lists held records by version.
func group(all []thwire.HeldVersion) []thwire.VersionGroup {
	var holds []thwire.VersionGroup
	for _, h := range all {
		id := hashIdentity(h.Name, h.Incarnation)
		i := slices.IndexFunc(holds, func(o thwire.VersionGroup) bool { return o.Version == h.Version && o.Digest == h.Digest })
		if i < 0 {
			holds = append(holds, thwire.VersionGroup{Version: h.Version, Digest: h.Digest, Members: []uint64{id}})
			continue
		}
		holds[i].Members = append(holds[i].Members, id)
	}
	return holds
}

// putFact merges a fact and reports whether that changed the known one.
func (s *state) putFact(f thwire.MoveState, from string) bool {
	if f.Move == "" || len(f.Move) > 2*maxName {
		return false
	}
	if len(f.Reason) > maxReason {
		f.Reason = f.Reason[:maxReason]
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
		s.sum.Facts ^= hashFact(old)
	}
	s.facts[f.Move] = f
	s.sum.Facts ^= hashFact(f)
	s.changed.facts[f.Move] = from
	s.changed.urgent = true
	return true
}

func (s *state) forgetFact(move string) {
	if f, found := s.facts[move]; found {
		s.sum.Facts ^= hashFact(f)
		delete(s.facts, move)
		delete(s.changed.facts, move)
	}
}

// forget removes the members that have been dead for longer than the retention.
func (s *state) forget(now time.Time) bool {
	n := len(s.members)
	for name, at := range s.dead {
		if now.After(at) {
			delete(s.dead, name)
			delete(s.ids, hashIdentity(name, s.members[name].member.Incarnation))
			delete(s.members, name)
			delete(s.changed.members, name)
			delete(s.changed.held, name)
		}
	}
	return len(s.members) != n
}
