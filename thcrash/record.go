// Package thcrash finds the requests that crash the backend servers which run them, and
// quarantines them. Every daemon holds the same records, which the membership floods.
package thcrash

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// crashLimit is the number of crashes, without a response in between, from which on a
	// request is quarantined, if the server ran no other suspect request at one of them. The
	// calls that stood beside it at its first crash are retried one at a time at each server,
	// so that a second crash tells it from them.
	crashLimit = 2
	// suspicionTime is how long a request counts as suspect after a crash or a response.
	suspicionTime = 10 * time.Minute
	// minQuarantine is the duration of the first quarantine. Each further crash multiplies
	// it by quarantineFactor, up to maxQuarantineSteps times.
	minQuarantine      = time.Hour
	quarantineFactor   = 4
	maxQuarantineSteps = 4
	// trialTime is how long a request is still suspect after its quarantine. One more crash
	// in this time quarantines it again.
	trialTime = 24 * time.Hour
	// maxClockAhead is how far the time of a record may be ahead of the local clock.
	maxClockAhead = time.Hour
)

// Limits of one record.
const (
	fingerprintSize = 16 // bytes
	maxCrashes      = 8  // processes listed in a record
)

// Fingerprint identifies a request: two requests with the same fingerprint are the same
// request, which comes again. The body is that of a buffered request; of a streamed one only
// the length counts, which is negative if unknown.
func Fingerprint(method, host, target, caller string, length int64, body []byte) string {
	h := sha256.New()
	for _, s := range []string{method, strings.ToLower(host), target, caller} {
		_ = binary.Write(h, binary.BigEndian, int64(len(s))) // a hash returns no error
		_, _ = h.Write([]byte(s))
	}
	_ = binary.Write(h, binary.BigEndian, length)
	_, _ = h.Write(body)
	return string(h.Sum(nil)[:fingerprintSize])
}

// ProcessID identifies a process of a backend server by the daemon beside it, the instance
// and its start time in ms since 1970. A server without an instance id has a new process in
// each interval in which it could have restarted.
func ProcessID(daemon, instance string, born int64, now time.Time) uint64 {
	const restartInterval = 4 * time.Second
	if instance == "" {
		born = now.UnixNano() / int64(restartInterval)
	}
	h := sha256.New()
	_, _ = h.Write([]byte(daemon + "\x00" + instance))
	_ = binary.Write(h, binary.BigEndian, born)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// Merge returns the union of two records of one request, whatever their order: the later
// round, or the crashes of both.
func Merge(a, b thwire.CrashRecord) thwire.CrashRecord {
	if a.Round != b.Round {
		if a.Round < b.Round {
			a = b
		}
		return a
	}
	a.Crashes = slices.Concat(a.Crashes, b.Crashes)
	slices.Sort(a.Crashes)
	a.Crashes = slices.Compact(a.Crashes)
	a.Crashes = a.Crashes[:min(len(a.Crashes), maxCrashes)]
	a.Time = max(a.Time, b.Time)
	a.Alone = a.Alone || b.Alone
	return a
}

// Equal reports whether two records are the same.
func Equal(a, b thwire.CrashRecord) bool {
	return a.Request == b.Request && a.Round == b.Round && a.Time == b.Time && a.Alone == b.Alone && slices.Equal(a.Crashes, b.Crashes)
}

// IsValid reports whether a received record is well formed and not expired.
func IsValid(r thwire.CrashRecord, now time.Time) bool {
	return len(r.Request) == fingerprintSize && len(r.Crashes) <= maxCrashes && slices.IsSorted(r.Crashes) &&
		time.UnixMilli(r.Time).Before(now.Add(maxClockAhead)) && now.Before(Expiry(r))
}

// Compare orders records for the case that not all can be kept: those that are quarantined
// longest come first, then those with the latest time.
func Compare(a, b thwire.CrashRecord) int {
	return cmp.Or(-cmp.Compare(quarantineTime(a), quarantineTime(b)), -cmp.Compare(a.Time, b.Time), strings.Compare(a.Request, b.Request))
}

// quarantineTime returns the duration of the quarantine, zero for a request that is not
// quarantined.
func quarantineTime(r thwire.CrashRecord) time.Duration {
	if len(r.Crashes) < crashLimit || !r.Alone {
		return 0
	}
	d := minQuarantine
	for range min(len(r.Crashes)-crashLimit, maxQuarantineSteps) {
		d *= quarantineFactor
	}
	return d
}

// Expiry returns when a record is removed.
func Expiry(r thwire.CrashRecord) time.Time {
	at := time.UnixMilli(r.Time)
	if d := quarantineTime(r); d > 0 {
		return at.Add(d + trialTime)
	}
	return at.Add(suspicionTime)
}

// isQuarantined reports whether requests of the record are rejected.
func isQuarantined(r thwire.CrashRecord, now time.Time) bool {
	return now.Before(time.UnixMilli(r.Time).Add(quarantineTime(r)))
}
