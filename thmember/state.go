package thmember

import (
	"math"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// Limits of the state. With these, a Summary of a full state fits thwire.MaxFrame.
const (
	maxMembers     = 4096
	maxMoveStates  = 512
	maxNameBytes   = thwire.MaxNameBytes
	maxReasonBytes = 200 // of the reason of a move's state

	// Limits of a record. An owner could not publish a newer record than one above them.
	maxIncarnation = math.MaxInt64
	maxSequence    = 1 << 62
	maxSlots       = 1 << 20
)

// deadRetention is how long a dead member is kept and dialled from time to time.
const deadRetention = 24 * time.Hour

// state holds the replicated state of the fleet. It is guarded by the mutex of its
// Node. The checksums are updated with each change, so that daemons with equal state
// only compare checksums.
type state struct {
	members    map[string]*record
	namesByID  map[uint64]string // names by hash of name and incarnation, as in thwire.VersionGroup
	moveStates map[string]thwire.MoveState
	crashes    map[string]thwire.CrashRecord // by request
	checksum   thwire.StateDigest
	// zoneVersions holds the newest version that a member of each zone has ever held.
	zoneVersions map[string]uint64
	changed      struct {
		members, held map[string]*pendingChange // by name
		moveStates    map[string]string         // by move: the neighbour that sent the change, empty for a local one
		crashes       map[string]string         // the same by request
		urgent        bool                      // a change must not wait for minFlushInterval
	}
	suspectDeadlines map[string]time.Time // when suspects are declared dead, by name
	deadExpiry       map[string]time.Time // when dead members are removed, by name
}

type record struct {
	member     thwire.Member
	held       thwire.HeldVersion // unknown if Incarnation is zero
	previousID uint64             // hash of the previous incarnation, zero if none; a summary that lists it gets the newer record
}

// allNeighbours as the source of a change keeps it from being flooded.
const allNeighbours = "*"

// pendingChange describes a changed record that has not been flooded yet.
type pendingChange struct {
	knownTo   []string // neighbours that sent the record and need no copy
	stateOnly bool     // nothing but the State has changed
}

func (c *pendingChange) isKnownTo(neighbour string) bool {
	return slices.Contains(c.knownTo, neighbour) || slices.Contains(c.knownTo, allNeighbours)
}

func (s *state) init() {
	s.members = map[string]*record{}
	s.namesByID = map[uint64]string{}
	s.moveStates = map[string]thwire.MoveState{}
	s.crashes = map[string]thwire.CrashRecord{}
	s.zoneVersions = map[string]uint64{}
	s.suspectDeadlines = map[string]time.Time{}
	s.deadExpiry = map[string]time.Time{}
	s.clearChanges()
}

func (s *state) clearChanges() {
	s.changed.members = map[string]*pendingChange{}
	s.changed.held = map[string]*pendingChange{}
	s.changed.moveStates = map[string]string{}
	s.changed.crashes = map[string]string{}
	s.changed.urgent = false
}

func (s *state) hasChanges() bool {
	return len(s.changed.members)+len(s.changed.held)+len(s.changed.moveStates)+len(s.changed.crashes) > 0
}

// toggleChecksum adds a record to the checksums, or removes one that is included.
// Dead members are excluded, since daemons remove them at different times.
func (s *state) toggleChecksum(r *record) {
	if r.member.State == thwire.MemberDead {
		return
	}
	s.checksum.Members ^= hashMember(r.member)
	if r.held.Incarnation != 0 {
		s.checksum.Held ^= hashHeld(r.held)
	}
}

// isValid reports whether a record has a name, a known state, no overlong text, no number
// out of range and no invalid server.
func isValid(m thwire.Member) bool {
	return (m.Server == nil || isValidServer(m.Server)) && m.Incarnation <= maxIncarnation && m.Sequence <= maxSequence && m.Name != "" && len(m.Name) <= maxNameBytes && len(m.Zone) <= maxNameBytes && len(m.Region) <= maxNameBytes &&
		m.State >= thwire.MemberAlive && m.State <= thwire.MemberDead
}

// isValidServer reports whether a server has a service, a known state, slots, and no text or
// number out of range. Another one would get calls.
func isValidServer(s *thwire.Server) bool {
	switch s.State {
	case thwire.ServerStarting, thwire.ServerReady, thwire.ServerLeaving:
	default:
		return false
	}
	return s.Service != "" && len(s.Service) <= maxNameBytes && len(s.Version) <= maxNameBytes &&
		len(s.Instance) <= thwire.MaxInstanceBytes && s.Slots > 0 && s.Slots <= maxSlots
}

// isUrgent reports whether a change from old to m must not wait for minFlushInterval:
// a member or backend server that takes no new work, or a refutation, which must
// arrive before the suspicion expires.
func isUrgent(old, m thwire.Member) bool {
	return old.State == thwire.MemberSuspect && m.State == thwire.MemberAlive ||
		m.State == thwire.MemberLeaving || m.Server != nil && m.Server.State == thwire.ServerLeaving
}

// putMember stores a valid record that is newer than the known one, received from a
// neighbour or, with an empty name, created here. New members beyond maxMembers are
// ignored. A new incarnation discards the held version of the previous one.
func (s *state) putMember(m thwire.Member, from string, now time.Time) {
	if !isValid(m) {
		return
	}
	r, found := s.members[m.Name]
	before := s.changed.members[m.Name]
	switch {
	case found && compareMember(m, r.member) == 0:
		if before != nil {
			before.knownTo = append(before.knownTo, from)
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
	// A neighbour has the rest of the record, unless a change of it is still pending.
	mark := found && m.Incarnation == r.member.Incarnation && m.Sequence == r.member.Sequence && (before == nil || before.stateOnly)
	if m.Incarnation > r.member.Incarnation {
		r.held = thwire.HeldVersion{}
		if found {
			r.previousID = hashIdentity(m.Name, r.member.Incarnation)
			delete(s.namesByID, r.previousID)
		}
		s.namesByID[hashIdentity(m.Name, m.Incarnation)] = m.Name
	}
	s.changed.urgent = s.changed.urgent || isUrgent(r.member, m)
	r.member = m
	s.toggleChecksum(r)
	s.changed.members[m.Name] = &pendingChange{knownTo: []string{from}, stateOnly: mark}
	delete(s.suspectDeadlines, m.Name)
	delete(s.deadExpiry, m.Name)
	switch m.State {
	case thwire.MemberSuspect:
		s.suspectDeadlines[m.Name] = now.Add(suspicionTimeout)
	case thwire.MemberDead:
		s.deadExpiry[m.Name] = now.Add(deadRetention)
	}
}

// putHeld stores a held record that is newer than the known one and belongs to the
// known incarnation of its member. The first member of a zone that holds a version is
// urgent for all that pass it on, since the others of the zone fetch the version from it.
func (s *state) putHeld(h thwire.HeldVersion, from string) {
	r, found := s.members[h.Name]
	if !found || h.Incarnation != r.member.Incarnation {
		return
	}
	if c := compareHeld(h, r.held); c <= 0 {
		if pending := s.changed.held[h.Name]; pending != nil && c == 0 {
			pending.knownTo = append(pending.knownTo, from)
		}
		return
	}
	if zone := r.member.Zone; h.Version > s.zoneVersions[zone] {
		s.zoneVersions[zone] = h.Version
		s.changed.urgent = s.changed.urgent || from != ""
	}
	s.toggleChecksum(r)
	r.held = h
	s.toggleChecksum(r)
	s.changed.held[h.Name] = &pendingChange{knownTo: []string{from}}
}

// expandMark returns the member records that a mark stands for. It omits members known
// here with another sequence: the rest of their records differs, and anti-entropy
// transfers them in full.
func (s *state) expandMark(k thwire.StateGroup) []thwire.Member {
	var members []thwire.Member
	for _, id := range k.Members {
		if r := s.members[s.namesByID[id]]; r != nil && r.member.Sequence == k.Sequence {
			m := r.member
			m.State = k.State
			members = append(members, m)
		}
	}
	return members
}

// groupMarks groups members by state and sequence.
func groupMarks(members []thwire.Member) []thwire.StateGroup {
	var marks []thwire.StateGroup
	for _, m := range members {
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

// putVersionGroup stores the held version of the listed members other than this daemon.
// Anti-entropy repairs members that are unknown here or known with another incarnation.
func (s *state) putVersionGroup(h thwire.VersionGroup, self, from string) {
	for _, id := range h.Members {
		name, found := s.namesByID[id]
		if !found || name == self {
			continue
		}
		s.putHeld(thwire.HeldVersion{
			Name: name, Incarnation: s.members[name].member.Incarnation, Version: h.Version, Digest: h.Digest,
		}, from)
	}
}

// groupHeld groups held records by version and digest.
func groupHeld(held []thwire.HeldVersion) []thwire.VersionGroup {
	var groups []thwire.VersionGroup
	for _, h := range held {
		id := hashIdentity(h.Name, h.Incarnation)
		i := slices.IndexFunc(groups, func(o thwire.VersionGroup) bool { return o.Version == h.Version && o.Digest == h.Digest })
		if i < 0 {
			groups = append(groups, thwire.VersionGroup{Version: h.Version, Digest: h.Digest, Members: []uint64{id}})
			continue
		}
		groups[i].Members = append(groups[i].Members, id)
	}
	return groups
}

// putMoveState merges a state of a move into the known one and reports whether it
// changed. Reasons are truncated to maxReasonBytes, and new moves beyond maxMoveStates
// are ignored.
func (s *state) putMoveState(f thwire.MoveState, from string) bool {
	if f.Move == "" || len(f.Move) > 2*maxNameBytes {
		return false
	}
	if len(f.Reason) > maxReasonBytes {
		f.Reason = f.Reason[:maxReasonBytes]
	}
	old, found := s.moveStates[f.Move]
	if !found && len(s.moveStates) >= maxMoveStates {
		return false
	}
	if found {
		f = mergeMoveStates(old, f)
		if f == old {
			return false
		}
		s.checksum.Facts ^= hashMoveState(old)
	}
	s.moveStates[f.Move] = f
	s.checksum.Facts ^= hashMoveState(f)
	s.changed.moveStates[f.Move] = from
	s.changed.urgent = true
	return true
}

// removeMoveState removes the state of a move.
func (s *state) removeMoveState(move string) {
	if f, found := s.moveStates[move]; found {
		s.checksum.Facts ^= hashMoveState(f)
		delete(s.moveStates, move)
		delete(s.changed.moveStates, move)
	}
}

// removeExpired removes members that have been dead for longer than deadRetention and
// reports whether there were any.
func (s *state) removeExpired(now time.Time) bool {
	before := len(s.members)
	for name, at := range s.deadExpiry {
		if now.After(at) {
			delete(s.deadExpiry, name)
			delete(s.namesByID, hashIdentity(name, s.members[name].member.Incarnation))
			delete(s.members, name)
			delete(s.changed.members, name)
			delete(s.changed.held, name)
		}
	}
	return len(s.members) != before
}
