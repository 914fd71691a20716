package thsync

import "time"

// maxBacklog is the number of missing versions whose times are stored.
const maxBacklog = 32

// missingVersion is a version that another daemon holds and this one does not.
type missingVersion struct {
	version uint64
	since   time.Time // when it became known here
}

// backlog lists the versions that this daemon lacks, oldest first. The zero value is
// empty.
type backlog []missingVersion

// observe records the newest version that another daemon holds and reports whether it
// is newer than those recorded.
func (b *backlog) observe(newest uint64, now time.Time) bool {
	last := len(*b) - 1
	switch {
	case last >= 0 && newest <= (*b)[last].version:
		return false
	case len(*b) == maxBacklog:
		// The earlier time counts for both versions.
		(*b)[last].version = newest
	default:
		*b = append(*b, missingVersion{version: newest, since: now})
	}
	return true
}

// remove drops the versions up to the one in effect. It returns since when the first
// of them was known, zero if none was.
func (b *backlog) remove(version uint64) time.Time {
	var since time.Time
	for len(*b) > 0 && (*b)[0].version <= version {
		if since.IsZero() {
			since = (*b)[0].since
		}
		*b = (*b)[1:]
	}
	return since
}

// age returns how long the oldest missing version has been known, zero if none is
// missing.
func (b backlog) age(now time.Time) time.Duration {
	if len(b) == 0 {
		return 0
	}
	return now.Sub(b[0].since)
}
