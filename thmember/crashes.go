package thmember

import (
	"maps"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thcrash"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// crashExpiryInterval is the mean time between removals of expired crash records. It is
// short, since the checksums of neighbours differ while only one of them has removed a record.
const crashExpiryInterval = time.Second

// WatchCrashRecords adds a callback for each change of a crash record, called in order.
// Call it before Start.
func (n *Node) WatchCrashRecords(f func(thwire.CrashRecord)) {
	n.crashWatchers = append(n.crashWatchers, f)
}

// MergeCrashRecord merges a crash record into the known one and floods the result if it
// changed. It has no effect before Start.
func (n *Node) MergeCrashRecord(r thwire.CrashRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done != nil && n.state.putCrashRecord(r, "", n.Clock.Now()) {
		n.requestFlush()
	}
}

// putCrashRecord merges a valid crash record, received from a neighbour or, with an empty
// name, created here, into the known one and reports whether that changed.
func (s *state) putCrashRecord(r thwire.CrashRecord, from string, now time.Time) bool {
	if !thcrash.IsValid(r, now) {
		return false
	}
	old, found := s.crashes[r.Request]
	switch {
	case found:
		merged := thcrash.Merge(old, r)
		if thcrash.Equal(merged, old) {
			return false
		}
		if !thcrash.Equal(merged, r) {
			from = "" // the neighbour needs the merged record too
		}
		r = merged
		s.checksum.Crashes ^= hashCrashRecord(old)
	case len(s.crashes) >= thcrash.MaxRecords:
		removed, kept := thcrash.MakeRoom(s.crashes, r)
		if !kept {
			return false
		}
		s.checksum.Crashes ^= hashCrashRecord(removed)
		delete(s.changed.crashes, removed.Request)
	}
	s.crashes[r.Request] = r
	s.checksum.Crashes ^= hashCrashRecord(r)
	s.changed.crashes[r.Request] = from
	s.changed.urgent = true
	return true
}

// expireCrashRecords removes expired crash records from time to time. The caller holds the
// mutex.
func (n *Node) expireCrashRecords(now time.Time) {
	if len(n.state.crashes) > 0 && n.isDue("crashes", now, crashExpiryInterval) {
		n.state.removeExpiredCrashes(now)
	}
}

// removeExpiredCrashes removes expired crash records.
func (s *state) removeExpiredCrashes(now time.Time) {
	for _, r := range thcrash.RemoveExpired(s.crashes, now) {
		s.checksum.Crashes ^= hashCrashRecord(r)
		delete(s.changed.crashes, r.Request)
	}
}

// crashRecords returns all crash records.
func (s *state) crashRecords() []thwire.CrashRecord { return slices.Collect(maps.Values(s.crashes)) }

// crashesMissingFrom returns the crash records that a summary lacks or has in an older form.
func (s *state) crashesMissingFrom(summary *thwire.Summary) []thwire.CrashRecord {
	received := make(map[string]thwire.CrashRecord, len(summary.Crashes))
	for _, r := range summary.Crashes {
		received[r.Request] = r
	}
	var missing []thwire.CrashRecord
	for request, r := range s.crashes {
		if o, found := received[request]; !found || !thcrash.Equal(thcrash.Merge(o, r), o) {
			missing = append(missing, r)
		}
	}
	return missing
}

func hashCrashRecord(r thwire.CrashRecord) uint64 {
	h := hashUint64(hashUint64(hashString(hashSeed, r.Request), r.Round), uint64(r.Time))
	for _, c := range r.Crashes {
		h = hashUint64(h, c)
	}
	if r.Alone {
		h = hashUint64(h, 1)
	}
	return mix(h)
}
