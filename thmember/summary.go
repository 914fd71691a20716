package thmember

import (
	"github.com/turmerichaven/turmerichaven/thwire"
)

// checksumWithCount returns the checksums with the number of members that are not dead.
func (s *state) checksumWithCount() *thwire.StateDigest {
	sum := s.checksum
	sum.Count = uint64(len(s.members) - len(s.deadExpiry))
	return &sum
}

// summary returns the compact form of the whole state.
func (s *state) summary() *thwire.Summary {
	members := make([]thwire.Member, 0, len(s.members))
	held := make([]thwire.HeldVersion, 0, len(s.members))
	summary := &thwire.Summary{Facts: make([]thwire.MoveState, 0, len(s.moveStates))}
	for _, r := range s.members {
		members = append(members, r.member)
		if r.held.Incarnation != 0 {
			held = append(held, r.held)
		}
	}
	summary.Members, summary.Holds = groupMarks(members), groupHeld(held)
	for _, f := range s.moveStates {
		summary.Facts = append(summary.Facts, f)
	}
	summary.Crashes = s.crashRecords()
	return summary
}

// summaryEntry is the part of a summary about one incarnation of a member. The version
// is zero if its held version is unknown.
type summaryEntry struct {
	sequence        uint64
	state           int
	version, digest uint64
}

// summaryEntries returns the entries of a summary by hash of name and incarnation.
func summaryEntries(summary *thwire.Summary) map[uint64]summaryEntry {
	entries := map[uint64]summaryEntry{}
	for _, k := range summary.Members {
		for _, id := range k.Members {
			entries[id] = summaryEntry{sequence: k.Sequence, state: k.State}
		}
	}
	for _, h := range summary.Holds {
		for _, id := range h.Members {
			if e, found := entries[id]; found {
				e.version, e.digest = h.Version, h.Digest
				entries[id] = e
			}
		}
	}
	return entries
}

// records returns the records that an entry stands for, with the incarnation of r and
// only the fields that comparisons need.
func (e summaryEntry) records(r *record) (thwire.Member, thwire.HeldVersion) {
	m := thwire.Member{Incarnation: r.member.Incarnation, Sequence: e.sequence, State: e.state}
	return m, thwire.HeldVersion{Incarnation: r.member.Incarnation, Version: e.version, Digest: e.digest}
}

// missingFrom returns the state that is newer here than in the summary, or missing
// there. It omits dead members that are unknown to the sender, so that removed members
// do not come back.
func (s *state) missingFrom(summary *thwire.Summary) thwire.Update {
	update := thwire.Update{Repair: true}
	var heldRecords []thwire.HeldVersion
	var marks []thwire.Member
	listed := summaryEntries(summary)
	received := make(map[string]thwire.MoveState, len(summary.Facts))
	for _, f := range summary.Facts {
		received[f.Move] = f
	}
	for name, r := range s.members {
		e, found := listed[hashIdentity(name, r.member.Incarnation)]
		if !found {
			if _, older := listed[r.previousID]; r.member.State == thwire.MemberDead && (!older || r.previousID == 0) {
				continue
			}
			update.Members = append(update.Members, r.member)
			if r.held.Incarnation != 0 {
				heldRecords = append(heldRecords, r.held)
			}
			continue
		}
		member, held := e.records(r)
		switch c := compareMember(r.member, member); {
		case c > 0 && r.member.Sequence == e.sequence:
			marks = append(marks, r.member)
		case c > 0:
			update.Members = append(update.Members, r.member)
		}
		if r.held.Incarnation != 0 && compareHeld(r.held, held) > 0 {
			heldRecords = append(heldRecords, r.held)
		}
	}
	update.Marks, update.Holds = groupMarks(marks), groupHeld(heldRecords)
	for move, f := range s.moveStates {
		if mergeMoveStates(f, received[move]) != received[move] {
			update.Facts = append(update.Facts, f)
		}
	}
	update.Crashes = s.crashesMissingFrom(summary)
	return update
}

// wantedFrom returns a request for the members whose record or held version in the
// summary is newer than here, and for unknown incarnations that are neither dead nor
// outdated.
func (s *state) wantedFrom(summary *thwire.Summary) *thwire.RecordRequest {
	older := map[uint64]bool{}
	for _, r := range s.members {
		if r.previousID != 0 {
			older[r.previousID] = true
		}
	}
	request := &thwire.RecordRequest{}
	for id, e := range summaryEntries(summary) {
		r := s.members[s.namesByID[id]]
		if r == nil {
			if e.state != thwire.MemberDead && !older[id] {
				request.Members = append(request.Members, id)
			}
			continue
		}
		member, held := e.records(r)
		if compareMember(member, r.member) > 0 || e.version != 0 && compareHeld(held, r.held) > 0 {
			request.Members = append(request.Members, id)
		}
	}
	return request
}

// recordsFor returns the known records that a request lists.
func (s *state) recordsFor(request *thwire.RecordRequest) thwire.Update {
	update := thwire.Update{Repair: true}
	var heldRecords []thwire.HeldVersion
	for _, id := range request.Members {
		r := s.members[s.namesByID[id]]
		if r == nil {
			continue
		}
		update.Members = append(update.Members, r.member)
		if r.held.Incarnation != 0 {
			heldRecords = append(heldRecords, r.held)
		}
	}
	update.Holds = groupHeld(heldRecords)
	return update
}

// maxUpdateBytes is the approximate maximum size of one Update. It is far below the
// frame limit, so that pings are not delayed behind it.
const maxUpdateBytes = 64 << 10

// splitUpdate splits an update into messages of at most about maxUpdateBytes each. An
// empty update gives none.
func splitUpdate(update thwire.Update) []*thwire.Update {
	var parts []*thwire.Update
	part, size := &thwire.Update{}, 0
	grow := func(bytes int) {
		if size > 0 && size+bytes > maxUpdateBytes {
			parts = append(parts, part)
			part, size = &thwire.Update{}, 0
		}
		size += bytes
	}
	for i := range update.Members {
		grow(update.Members[i].Msgsize())
		part.Members = append(part.Members, update.Members[i])
	}
	for i := range update.Marks {
		grow(update.Marks[i].Msgsize())
		part.Marks = append(part.Marks, update.Marks[i])
	}
	for i := range update.Holds {
		grow(update.Holds[i].Msgsize())
		part.Holds = append(part.Holds, update.Holds[i])
	}
	for i := range update.Facts {
		grow(update.Facts[i].Msgsize())
		part.Facts = append(part.Facts, update.Facts[i])
	}
	for i := range update.Crashes {
		grow(update.Crashes[i].Msgsize())
		part.Crashes = append(part.Crashes, update.Crashes[i])
	}
	if size > 0 {
		parts = append(parts, part)
	}
	return parts
}
