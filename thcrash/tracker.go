package thcrash

import (
	"encoding/hex"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// State says how a request is to be handled.
type State int

// The states of a request.
const (
	// Unknown is a request that is not known to have been in progress at a crash.
	Unknown State = iota
	// Cleared is a request that a backend server has responded to since, or that stood
	// beside a quarantined one at each of its crashes.
	Cleared
	// Suspect is a request that may have crashed a backend server. A server runs one suspect
	// request at a time.
	Suspect
	// Quarantined is a request that is not sent to a backend server.
	Quarantined
)

// Tracker holds this daemon's copy of the records. A nil Tracker knows no requests. The
// exported fields are set before use.
type Tracker struct {
	// Publish floods a record that has changed here. It must not call the Tracker.
	Publish func(thwire.CrashRecord)
	// Persist is called with a record by which this daemon quarantines a request or ends its
	// quarantine; it may be nil.
	Persist func(thwire.CrashRecord)
	Clock   clockwork.Clock
	Log     hclog.Logger

	mutex   sync.Mutex
	records map[string]thwire.CrashRecord
	count   atomic.Int64  // of records
	changed chan struct{} // closed by the next change; nil until it is asked for
}

// Request describes a request in log lines.
type Request struct {
	Fingerprint                    string
	ID, Method, Host, Path, Caller string
	Server                         string // daemon beside the server that crashed
}

// Active reports whether any request is on record. Without one, callers need no fingerprint.
func (t *Tracker) Active() bool { return t != nil && t.count.Load() > 0 }

// State returns the state of a request and the number of crashes that it stands for.
func (t *Tracker) State(fingerprint string) (s State, crashes int) {
	if !t.Active() {
		return Unknown, 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r, found := t.records[fingerprint]
	now := t.now()
	switch {
	case !found || !now.Before(Expiry(r)):
		return Unknown, 0
	case len(r.Crashes) == 0 || t.isExplained(r, now):
		return Cleared, 0
	case isQuarantined(r, now):
		return Quarantined, len(r.Crashes)
	}
	return Suspect, len(r.Crashes)
}

// isExplained reports whether a quarantined request with more crashes was in progress at each
// crash of the record. The mutex is held.
func (t *Tracker) isExplained(r thwire.CrashRecord, now time.Time) bool {
	for _, o := range t.records {
		if len(o.Crashes) > len(r.Crashes) && isQuarantined(o, now) && containsAll(o.Crashes, r.Crashes) {
			return true
		}
	}
	return false
}

// containsAll reports whether a sorted list has all elements of another list.
func containsAll(sorted, elements []uint64) bool {
	for _, e := range elements {
		if _, found := slices.BinarySearch(sorted, e); !found {
			return false
		}
	}
	return true
}

// Changed returns a channel that is closed when a state may have changed; nil for a nil Tracker.
func (t *Tracker) Changed() <-chan struct{} {
	if t == nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// RecordCrash records that a request was in progress at a process of a backend server that
// crashed; see ProcessID. alone means that it was the only suspect request there.
func (t *Tracker) RecordCrash(request Request, process uint64, alone bool) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	now := t.now()
	old := t.records[request.Fingerprint]
	r := thwire.CrashRecord{Request: request.Fingerprint, Round: old.Round, Crashes: []uint64{process}, Time: now.UnixMilli(), Alone: alone}
	if len(old.Crashes) > 0 {
		r = Merge(old, r)
	}
	added := len(r.Crashes) > len(old.Crashes) || r.Alone && !old.Alone
	if !added {
		r.Time = old.Time
	}
	t.put(r)
	quarantined := isQuarantined(r, now) && !t.isExplained(r, now)
	t.mutex.Unlock()
	if !added {
		return
	}
	t.publish(r)
	if !quarantined {
		return
	}
	t.log().Warn("request quarantined", "fingerprint", hex.EncodeToString([]byte(r.Request)), "request", request.ID, "method", request.Method,
		"host", request.Host, "path", request.Path, "caller", request.Caller, "server", request.Server, "crashes", len(r.Crashes), "for", quarantineTime(r))
	t.persist(r)
}

// RecordResponse records that a backend server has responded to a request, which is proof
// that it does not crash servers.
func (t *Tracker) RecordResponse(fingerprint string) {
	if t.Active() {
		t.clear(fingerprint, "response")
	}
}

// clear begins a new round of the record of a request, if it has crashes.
func (t *Tracker) clear(fingerprint, by string) {
	t.mutex.Lock()
	old, found := t.records[fingerprint]
	if !found || len(old.Crashes) == 0 {
		t.mutex.Unlock()
		return
	}
	now := t.now()
	r := thwire.CrashRecord{Request: fingerprint, Round: old.Round + 1, Time: now.UnixMilli()}
	t.put(r)
	t.mutex.Unlock()
	t.publish(r)
	if isQuarantined(old, now) {
		t.log().Info("request released from quarantine", "fingerprint", hex.EncodeToString([]byte(fingerprint)), "crashes", len(old.Crashes), "by", by)
		t.persist(r)
	}
}

// Release ends the quarantine of a request for an operator. The fingerprint is hexadecimal.
// The error is of kind Bad for a malformed fingerprint, and Absent if the request is not
// quarantined.
func (t *Tracker) Release(fingerprint string) error {
	f, err := hex.DecodeString(fingerprint)
	if err != nil || len(f) != fingerprintSize {
		return therror.New(therror.Bad, "a fingerprint has %d hexadecimal digits", 2*fingerprintSize)
	}
	if state, _ := t.State(string(f)); state != Quarantined {
		return therror.New(therror.Absent, "request %s is not quarantined", fingerprint)
	}
	t.clear(string(f), "operator")
	return nil
}

// Entry is a quarantined request.
type Entry struct {
	Fingerprint string // hexadecimal
	Crashes     int
	Since       time.Time // of the latest crash
	Until       time.Time // end of the quarantine
}

// Quarantine returns the quarantined requests, sorted by fingerprint.
func (t *Tracker) Quarantine() []Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	var entries []Entry
	for _, r := range t.records {
		if isQuarantined(r, now) && !t.isExplained(r, now) {
			since := time.UnixMilli(r.Time).UTC()
			entries = append(entries, Entry{
				Fingerprint: hex.EncodeToString([]byte(r.Request)), Crashes: len(r.Crashes), Since: since, Until: since.Add(quarantineTime(r)),
			})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Update merges a record of the fleet.
func (t *Tracker) Update(r thwire.CrashRecord) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	if !IsValid(r, now) {
		return
	}
	old, found := t.records[r.Request]
	if found {
		r = Merge(old, r)
	}
	if isQuarantined(r, now) && !isQuarantined(old, now) && !t.isExplained(r, now) {
		t.log().Info("request quarantined by the fleet", "fingerprint", hex.EncodeToString([]byte(r.Request)), "crashes", len(r.Crashes),
			"age", now.Sub(time.UnixMilli(r.Time)))
	}
	t.put(r)
}

// Counts returns the number of suspect and of quarantined requests. It removes expired records,
// so it is to be called from time to time.
func (t *Tracker) Counts() (suspect, quarantined int) {
	if !t.Active() {
		return 0, 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	RemoveExpired(t.records, now)
	t.count.Store(int64(len(t.records)))
	for _, r := range t.records {
		switch {
		case len(r.Crashes) == 0 || t.isExplained(r, now):
		case isQuarantined(r, now):
			quarantined++
		default:
			suspect++
		}
	}
	return suspect, quarantined
}

// put stores a record. A full table loses the record that comes last by Compare. The mutex
// is held.
func (t *Tracker) put(r thwire.CrashRecord) {
	if t.records == nil {
		t.records = map[string]thwire.CrashRecord{}
	}
	if _, found := t.records[r.Request]; !found && len(t.records) >= MaxRecords {
		RemoveExpired(t.records, t.now())
		if _, kept := MakeRoom(t.records, r); !kept {
			return
		}
	}
	t.records[r.Request] = r
	t.count.Store(int64(len(t.records)))
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

func (t *Tracker) persist(r thwire.CrashRecord) {
	if t.Persist != nil {
		t.Persist(r)
	}
}

func (t *Tracker) publish(r thwire.CrashRecord) {
	if t.Publish != nil {
		t.Publish(r)
	}
}

func (t *Tracker) now() time.Time { return thclock.OrSystem(t.Clock).Now() }

func (t *Tracker) log() hclog.Logger {
	if t.Log == nil {
		return hclog.NewNullLogger()
	}
	return t.Log
}
