package thmember

import (
	"github.com/turmerichaven/turmerichaven/thwire"
)

// checksumWithCount returns the sums with the number of live members.
func (s *state) checksumWithCount() *thwire.Sum {
	sum := s.checksum
	sum.Count = uint64(len(s.members) - len(s.deadExpiry))
	return &sum
}

func (s *state) summary() *thwire.Summary {
	members := make([]thwire.Member, 0, len(s.members))
	held := make([]thwire.Held, 0, len(s.members))
	summary := &thwire.Summary{Facts: make([]thwire.Fact, 0, len(s.facts))}
	for _, r := range s.members {
		members = append(members, r.member)
		if r.held.Incarnation != 0 {
			held = append(held, r.held)
		}
	}
	summary.Members, summary.Holds = groupMarks(members), groupHeld(held)
	for _, f := range s.facts {
		summary.Facts = append(summary.Facts, f)
	}
	return summary
}

// summaryEntry is what a summary says of one incarnation of a member.
type summaryEntry struct {
	sequence        uint64
	state           int
	version, digest uint64
}

func summaryEntries(summary *thwire.Summary) map[uint64]summaryEntry {
	entries := map[uint64]summaryEntry{}
	for _, k := range summary.Members {
		for _, id := range k.Members {
			entries[id] = summaryEntry{sequence: k.Sequence, state: k.State}
		}
	}
	for _, h := range summary.Holds {
		for _, id := range h.Members {
			if b, found := entries[id]; found {
				b.version, b.digest = h.Version, h.Digest
				entries[id] = b
			}
		}
	}
	return entries
}

// records returns the records that a brief stands for, of the same incarnation as r.
func (b summaryEntry) records(r *record) (thwire.Member, thwire.Held) {
	m := thwire.Member{Incarnation: r.member.Incarnation, Sequence: b.sequence, State: b.state}
	return m, thwire.Held{Incarnation: r.member.Incarnation, Version: b.version, Digest: b.digest}
}

// missingFrom returns what this side knows and the sender of the summary does not.
// Unknown dead members are left out, so that a forgotten member stays forgotten.
func (s *state) missingFrom(summary *thwire.Summary) thwire.News {
	news := thwire.News{Repair: true}
	var holds []thwire.Held
	var marks []thwire.Member
	known := summaryEntries(summary)
	facts := make(map[string]thwire.Fact, len(summary.Facts))
	for _, f := range summary.Facts {
		facts[f.Move] = f
	}
	for name, r := range s.members {
		b, found := known[hashIdentity(name, r.member.Incarnation)]
		if !found {
			if _, older := known[r.previousID]; r.member.State == thwire.MemberDead && (!older || r.previousID == 0) {
				continue
			}
			news.Members = append(news.Members, r.member)
			if r.held.Incarnation != 0 {
				holds = append(holds, r.held)
			}
			continue
		}
		member, held := b.records(r)
		switch c := compareMember(r.member, member); {
		case c > 0 && r.member.Sequence == b.sequence:
			marks = append(marks, r.member)
		case c > 0:
			news.Members = append(news.Members, r.member)
		}
		if r.held.Incarnation != 0 && compareHeld(r.held, held) > 0 {
			holds = append(holds, r.held)
		}
	}
	news.Marks, news.Holds = groupMarks(marks), groupHeld(holds)
	for move, f := range s.facts {
		if mergeFact(f, facts[move]) != facts[move] {
			news.Facts = append(news.Facts, f)
		}
	}
	return news
}

// wantedFrom returns the members of which the sender of the summary has a newer
// record, or one of an incarnation that is not known here.
func (s *state) wantedFrom(summary *thwire.Summary) *thwire.Want {
	older := map[uint64]bool{}
	for _, r := range s.members {
		if r.previousID != 0 {
			older[r.previousID] = true
		}
	}
	want := &thwire.Want{}
	for id, b := range summaryEntries(summary) {
		r := s.members[s.namesByID[id]]
		if r == nil {
			if b.state != thwire.MemberDead && !older[id] {
				want.Members = append(want.Members, id)
			}
			continue
		}
		member, held := b.records(r)
		if compareMember(member, r.member) > 0 || b.version != 0 && compareHeld(held, r.held) > 0 {
			want.Members = append(want.Members, id)
		}
	}
	return want
}

// recordsFor returns the records that are wanted.
func (s *state) recordsFor(want *thwire.Want) thwire.News {
	news := thwire.News{Repair: true}
	var holds []thwire.Held
	for _, id := range want.Members {
		r := s.members[s.namesByID[id]]
		if r == nil {
			continue
		}
		news.Members = append(news.Members, r.member)
		if r.held.Incarnation != 0 {
			holds = append(holds, r.held)
		}
	}
	news.Holds = groupHeld(holds)
	return news
}

// maxNewsBytes bounds the bytes of one News, far below the frame limit, so that
// pings do not wait behind it.
const maxNewsBytes = 64 << 10

// splitNews cuts news into messages of at most about maxNewsBytes bytes.
func splitNews(news thwire.News) []*thwire.News {
	var parts []*thwire.News
	part, size := &thwire.News{}, 0
	grow := func(bytes int) {
		if size > 0 && size+bytes > maxNewsBytes {
			parts = append(parts, part)
			part, size = &thwire.News{}, 0
		}
		size += bytes
	}
	for i := range news.Members {
		grow(news.Members[i].Msgsize())
		part.Members = append(part.Members, news.Members[i])
	}
	for i := range news.Marks {
		grow(news.Marks[i].Msgsize())
		part.Marks = append(part.Marks, news.Marks[i])
	}
	for i := range news.Holds {
		grow(news.Holds[i].Msgsize())
		part.Holds = append(part.Holds, news.Holds[i])
	}
	for i := range news.Facts {
		grow(news.Facts[i].Msgsize())
		part.Facts = append(part.Facts, news.Facts[i])
	}
	if size > 0 {
		parts = append(parts, part)
	}
	return parts
}
