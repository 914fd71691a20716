// Package thmember maintains the fleet membership: the overlay of control connections,
// flooding and anti-entropy of state updates, failure detection and the states of moves.
package thmember

import (
	"cmp"
	"slices"
	"strings"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// Handler handles the payload of a message from the named peer and may keep the
// payload. A slow handler delays only later messages of the same connection.
type Handler func(from string, payload []byte)

// View is an immutable snapshot of the fleet membership as known to this daemon.
type View struct {
	Members []thwire.Member               // sorted by name; includes this daemon and dead members
	Held    map[string]thwire.HeldVersion // known held versions by member name
}

// Member returns the record of the named member, and false if it is unknown.
func (v *View) Member(name string) (thwire.Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, name, func(m thwire.Member, n string) int { return strings.Compare(m.Name, n) })
	if !found {
		return thwire.Member{}, false
	}
	return v.Members[i], true
}

// Alive returns the members that are alive or suspect, sorted by name. A suspect
// keeps its roles until it is declared dead.
func (v *View) Alive() []thwire.Member {
	alive := make([]thwire.Member, 0, len(v.Members))
	for _, m := range v.Members {
		if isUp(m) {
			alive = append(alive, m)
		}
	}
	return alive
}

func isUp(m thwire.Member) bool {
	return m.State == thwire.MemberAlive || m.State == thwire.MemberSuspect
}

// Rendezvous returns the first n members in the order of rendezvous hashing for a key.
// Daemons with the same members compute the same order, and a change of one member
// does not reorder the others.
func Rendezvous(key string, members []thwire.Member, n int) []thwire.Member {
	type ranked struct {
		score uint64
		index int
	}
	seed := hashString(hashSeed, key)
	order := make([]ranked, len(members))
	for i, m := range members {
		order[i] = ranked{mix(hashString(seed, m.Name)), i}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return strings.Compare(members[a.index].Name, members[b.index].Name)
	})
	first := make([]thwire.Member, 0, min(n, len(order)))
	for _, o := range order[:min(n, len(order))] {
		first = append(first, members[o.index])
	}
	return first
}

// compareMember compares two records of one member; the newer one is greater.
func compareMember(a, b thwire.Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.State, b.State))
}

// compareHeld compares two held records of one member; the newer one is greater. The
// digest breaks ties, so that all daemons keep the same record.
func compareHeld(a, b thwire.HeldVersion) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Digest, b.Digest))
}

// mergeMoveStates merges two states of one move into their maximum. The reason is that
// of the state that is bad, or the greater text if both or neither are.
func mergeMoveStates(a, b thwire.MoveState) thwire.MoveState {
	m := thwire.MoveState{Move: a.Move, Step: max(a.Step, b.Step), Bad: a.Bad || b.Bad, End: max(a.End, b.End)}
	switch {
	case a.Step > b.Step:
		m.Lasts, m.Calls = a.Lasts, a.Calls
	case a.Step < b.Step:
		m.Lasts, m.Calls = b.Lasts, b.Calls
	default:
		m.Lasts, m.Calls = max(a.Lasts, b.Lasts), max(a.Calls, b.Calls)
	}
	switch {
	case a.Bad != b.Bad && a.Bad:
		m.Reason = a.Reason
	case a.Bad != b.Bad:
		m.Reason = b.Reason
	default:
		m.Reason = max(a.Reason, b.Reason)
	}
	return m
}

// Parameters of FNV-1a, used with a final mix. Daemons compare the hashes, so the
// function is part of the protocol.
const (
	hashSeed  = 14695981039346656037
	hashPrime = 1099511628211
)

// hashString adds a string and a separator to the hash h.
func hashString(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * hashPrime
	}
	return (h ^ 0xff) * hashPrime
}

// hashUint64 adds the bytes of n, lowest first, to the hash h.
func hashUint64(h, n uint64) uint64 {
	for range 8 {
		h = (h ^ (n & 0xff)) * hashPrime
		n >>= 8
	}
	return h
}

// mix is the finalizer of MurmurHash3; it spreads each input bit over the whole hash.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// hashIdentity returns the id of one incarnation of a member, as in thwire.VersionGroup.
func hashIdentity(name string, incarnation uint64) uint64 {
	return mix(hashUint64(hashString(hashSeed, name), incarnation))
}

func hashMember(m thwire.Member) uint64 {
	return mix(hashUint64(hashUint64(hashUint64(hashString(hashSeed, m.Name), m.Incarnation), m.Sequence), uint64(m.State)))
}

func hashHeld(h thwire.HeldVersion) uint64 {
	return mix(hashUint64(hashUint64(hashUint64(hashString(hashSeed, h.Name), h.Incarnation), h.Version), h.Digest))
}

func hashMoveState(f thwire.MoveState) uint64 {
	h := hashUint64(hashString(hashSeed, f.Move), uint64(f.Step))
	if f.Bad {
		h = hashUint64(h, 1)
	}
	h = hashString(h, f.Reason)
	if f.End != "" {
		h = hashString(h, f.End)
	}
	if f.Lasts != 0 {
		h = hashUint64(h, uint64(f.Lasts))
	}
	if f.Calls != 0 {
		h = hashUint64(h, f.Calls)
	}
	return mix(h)
}
