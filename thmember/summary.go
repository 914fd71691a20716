package thmember

import (
	"github.com/turmerichaven/turmerichaven/thwire"
)

// count returns the sums with the number of live members.
func (s *state) count() *thwire.StateDigest {
	sum := s.sum
	sum.Count = uint64(len(s.members) - len(s.dead))
	return &sum
}

func (s *state) summary() *thwire.Summary {
	members := make([]thwire.Member, 0, len(s.members))
	held := make([]thwire.HeldVersion, 0, len(s.members))
	y := &thwire.Summary{Facts: make([]thwire.MoveState, 0, len(s.facts))}
	for _, r := range s.members {
		members = append(members, r.member)
		if r.held.Incarnation != 0 {
			held = append(held, r.held)
		}
	}
	y.Members, y.Holds = groupMarks(members), group(held)
	for _, f := range s.facts {
		y.Facts = append(y.Facts, f)
	}
	return y
}

// brief is what a summary says of one incarnation of a member.
type brief struct {
	sequence        uint64
	state           int
	version, digest uint64
}

func briefs(y *thwire.Summary) map[uint64]brief {
	all := map[uint64]brief{}
	for _, k := range y.Members {
		for _, id := range k.Members {
			all[id] = brief{sequence: k.Sequence, state: k.State}
		}
	}
	for _, h := range y.Holds {
		for _, id := range h.Members {
			if b, found := all[id]; found {
				b.version, b.digest = h.Version, h.Digest
				all[id] = b
			}
		}
	}
	return all
}

// as returns the records that a brief stands for, of the same incarnation as r.
func (b brief) as(r *record) (thwire.Member, thwire.HeldVersion) {
	m := thwire.Member{Incarnation: r.member.Incarnation, Sequence: b.sequence, State: b.state}
	return m, thwire.HeldVersion{Incarnation: r.member.Incarnation, Version: b.version, Digest: b.digest}
}

// missing returns what this side knows and the sender of the summary does not.
// Unknown dead members are left out, so that a forgotten member stays forgotten.
func (s *state) missing(y *thwire.Summary) thwire.Update {
	n := thwire.Update{Repair: true}
	var holds []thwire.HeldVersion
	var marks []thwire.Member
	known := briefs(y)
	facts := make(map[string]thwire.MoveState, len(y.Facts))
	for _, f := range y.Facts {
		facts[f.Move] = f
	}
	for name, r := range s.members {
		b, found := known[hashIdentity(name, r.member.Incarnation)]
		if !found {
			if _, older := known[r.earlier]; r.member.State == thwire.MemberDead && (!older || r.earlier == 0) {
				continue
			}
			n.Members = append(n.Members, r.member)
			if r.held.Incarnation != 0 {
				holds = append(holds, r.held)
			}
			continue
		}
		member, held := b.as(r)
		switch c := compareMember(r.member, member); {
		case c > 0 && r.member.Sequence == b.sequence:
			marks = append(marks, r.member)
		case c > 0:
			n.Members = append(n.Members, r.member)
		}
		if r.held.Incarnation != 0 && compareHeld(r.held, held) > 0 {
			holds = append(holds, r.held)
		}
	}
	n.Marks, n.Holds = groupMarks(marks), group(holds)
	for move, f := range s.facts {
		if mergeFact(f, facts[move]) != facts[move] {
			n.Facts = append(n.Facts, f)
		}
	}
	return n
}

// wanted returns the members of which the sender of the summary has a newer
// record, or one of an incarnation that is not known here.
func (s *state) wanted(y *thwire.Summary) *thwire.RecordRequest {
	older := map[uint64]bool{}
	for _, r := range s.members {
		if r.earlier != 0 {
			older[r.earlier] = true
		}
	}
	w := &thwire.RecordRequest{}
	for id, b := range briefs(y) {
		r := s.members[s.ids[id]]
		if r == nil {
			if b.state != thwire.MemberDead && !older[id] {
				w.Members = append(w.Members, id)
			}
			continue
		}
		member, held := b.as(r)
		if compareMember(member, r.member) > 0 || b.version != 0 && compareHeld(held, r.held) > 0 {
			w.Members = append(w.Members, id)
		}
	}
	return w
}

// answer returns the records that are wanted.
func (s *state) answer(w *thwire.RecordRequest) thwire.Update {
	n := thwire.Update{Repair: true}
	var holds []thwire.HeldVersion
	for _, id := range w.Members {
		r := s.members[s.ids[id]]
		if r == nil {
			continue
		}
		n.Members = append(n.Members, r.member)
		if r.held.Incarnation != 0 {
			holds = append(holds, r.held)
		}
	}
	n.Holds = group(holds)
	return n
}

// maxNews bounds the bytes of one News, far below the frame limit, so that
// pings do not wait behind it.
const maxNews = 64 << 10

// split cuts news into messages of at most about maxNews bytes.
func split(n thwire.Update) []*thwire.Update {
	var parts []*thwire.Update
	part, size := &thwire.Update{}, 0
	grow := func(bytes int) {
		if size > 0 && size+bytes > maxNews {
			parts = append(parts, part)
			part, size = &thwire.Update{}, 0
		}
		size += bytes
	}
	for i := range n.Members {
		grow(n.Members[i].Msgsize())
		part.Members = append(part.Members, n.Members[i])
	}
	for i := range n.Marks {
		grow(n.Marks[i].Msgsize())
		part.Marks = append(part.Marks, n.Marks[i])
	}
	for i := range n.Holds {
		grow(n.Holds[i].Msgsize())
		part.Holds = append(part.Holds, n.Holds[i])
	}
	for i := range n.Facts {
		grow(n.Facts[i].Msgsize())
		part.Facts = append(part.Facts, n.Facts[i])
	}
	if size > 0 {
		parts = append(parts, part)
	}
	return parts
}
