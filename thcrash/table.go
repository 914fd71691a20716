package thcrash

import (
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// MaxRecords is the maximum number of records that a daemon keeps. Each record needs a
// crash of a backend server, so callers can't fill the table with requests alone.
const MaxRecords = 512

// MakeRoom removes the record that comes last by Compare from a full table, and returns it.
// kept is false if the new record r would itself be the last one; nothing is removed
// then. All daemons thus keep the same records of a set that is too large.
func MakeRoom(records map[string]thwire.CrashRecord, r thwire.CrashRecord) (removed thwire.CrashRecord, kept bool) {
	last := r
	for _, o := range records {
		if Compare(last, o) < 0 {
			last = o
		}
	}
	if last.Request == r.Request {
		return thwire.CrashRecord{}, false
	}
	delete(records, last.Request)
	return last, true
}

// RemoveExpired removes the expired records and returns them.
func RemoveExpired(records map[string]thwire.CrashRecord, now time.Time) []thwire.CrashRecord {
	var expired []thwire.CrashRecord
	for request, r := range records {
		if !now.Before(Expiry(r)) {
			expired = append(expired, r)
			delete(records, request)
		}
	}
	return expired
}
