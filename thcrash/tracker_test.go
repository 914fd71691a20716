package thcrash

import (
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// fingerprint returns a valid fingerprint for a test.
func fingerprint(n int) string { return fmt.Sprintf("request-%08d", n) }

func newTestTracker() (*Tracker, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(testTime)
	return &Tracker{Clock: clock}, clock
}

// crash records a crash as a request of which the state is known does.
func (t *Tracker) crash(n int, process uint64) {
	state, _ := t.State(fingerprint(n))
	t.RecordCrash(Request{Fingerprint: fingerprint(n)}, process, state == Suspect)
}

func (t *Tracker) requireState(tb testing.TB, n int, want State) {
	tb.Helper()
	got, _ := t.State(fingerprint(n))
	assert.Equal(tb, got, want)
}

// Guards against a request that crashes servers without being quarantined, and against one
// that is quarantined for a single crash which several of its calls have seen.
func TestTwoCrashesQuarantine(t *testing.T) {
	tracker, _ := newTestTracker()
	quarantined := 0
	tracker.Persist = func(thwire.CrashRecord) { quarantined++ }
	assert.Assert(t, !tracker.Active())
	tracker.requireState(t, 1, Unknown)
	tracker.crash(1, 10)
	tracker.crash(1, 10)
	tracker.requireState(t, 1, Suspect)
	assert.Equal(t, quarantined, 0)
	tracker.crash(1, 11)
	tracker.requireState(t, 1, Quarantined)
	tracker.requireState(t, 2, Unknown)
	assert.Equal(t, quarantined, 1)
	suspects, all := tracker.Counts()
	assert.Equal(t, suspects, 0)
	assert.Equal(t, all, 1)
}

// Guards against a request that is quarantined although servers respond to it, as one that
// stood beside crashes of other causes, also where news of the crashes arrives late.
func TestResponseClears(t *testing.T) {
	tracker, _ := newTestTracker()
	var published []thwire.CrashRecord
	tracker.Publish = func(r thwire.CrashRecord) { published = append(published, r) }
	tracker.crash(1, 10)
	tracker.RecordResponse(fingerprint(1))
	tracker.RecordResponse(fingerprint(2))
	tracker.requireState(t, 1, Cleared)
	tracker.crash(1, 11)
	tracker.requireState(t, 1, Suspect)
	tracker.Update(published[0]) // the crash before the response
	tracker.requireState(t, 1, Suspect)
	tracker.crash(1, 12)
	tracker.requireState(t, 1, Quarantined)
	tracker.RecordResponse(fingerprint(1)) // of a call that was in progress elsewhere
	tracker.requireState(t, 1, Cleared)
	assert.Equal(t, len(published), 5)
}

// Guards against a request that is quarantined, or still runs alone, because it stood beside
// crashes which another request explains.
func TestCrashesExplainedByAnotherRequest(t *testing.T) {
	tracker, _ := newTestTracker()
	for request, processes := range map[int][]uint64{1: {10, 11}, 2: {10, 11, 12}, 3: {10}, 4: {10, 13}, 5: {14}} {
		for i, p := range processes {
			tracker.RecordCrash(Request{Fingerprint: fingerprint(request)}, p, i > 0)
		}
	}
	tracker.requireState(t, 1, Cleared)
	tracker.requireState(t, 2, Quarantined)
	tracker.requireState(t, 3, Cleared)
	tracker.requireState(t, 4, Quarantined)
	tracker.requireState(t, 5, Suspect)
	changed := tracker.Changed()
	tracker.RecordCrash(Request{Fingerprint: fingerprint(1)}, 15, true) // a crash of its own
	tracker.requireState(t, 1, Quarantined)
	<-changed
}

// Guards against crashes that two daemons have seen, one each, and that quarantine nothing.
func TestCrashesOfTwoDaemonsAddUp(t *testing.T) {
	a, _ := newTestTracker()
	b, _ := newTestTracker()
	a.Publish, b.Publish = b.Update, a.Update
	a.crash(1, 10)
	b.crash(1, 11)
	a.requireState(t, 1, Quarantined)
	b.requireState(t, 1, Quarantined)
}

// Guards against a popular request that is quarantined because several servers crash at the
// same moment, each while it runs a copy of the request.
func TestUnknownCrashesOnlySuspect(t *testing.T) {
	a, _ := newTestTracker()
	b, _ := newTestTracker()
	var ofA, ofB thwire.CrashRecord
	a.Publish, b.Publish = func(r thwire.CrashRecord) { ofA = r }, func(r thwire.CrashRecord) { ofB = r }
	a.RecordCrash(Request{Fingerprint: fingerprint(1)}, 10, false)
	a.RecordCrash(Request{Fingerprint: fingerprint(1)}, 11, false)
	b.RecordCrash(Request{Fingerprint: fingerprint(1)}, 12, false)
	a.Update(ofB)
	b.Update(ofA)
	a.requireState(t, 1, Suspect)
	b.requireState(t, 1, Suspect)
	a.RecordCrash(Request{Fingerprint: fingerprint(1)}, 13, true)
	a.requireState(t, 1, Quarantined)
}

// Guards against a quarantine without end, and against one that ends so often that the request
// goes on crashing servers.
func TestQuarantineEndsWithOneTrial(t *testing.T) {
	tracker, clock := newTestTracker()
	tracker.crash(1, 10)
	tracker.crash(1, 11)
	for i, d := range []time.Duration{time.Hour, 4 * time.Hour, 16 * time.Hour, 64 * time.Hour, 256 * time.Hour} {
		clock.Advance(d - time.Second)
		tracker.requireState(t, 1, Quarantined)
		clock.Advance(time.Second)
		tracker.requireState(t, 1, Suspect)
		if i < 4 {
			tracker.crash(1, uint64(12+i)) // one crash in the trial
			tracker.requireState(t, 1, Quarantined)
		}
	}
	clock.Advance(trialTime)
	tracker.requireState(t, 1, Unknown)
	tracker.crash(2, 10)
	clock.Advance(suspicionTime)
	tracker.requireState(t, 2, Unknown)
	tracker.Counts()
	assert.Assert(t, !tracker.Active(), "expired records cost each call a fingerprint")
}

// Guards against a quarantine that an operator can't end, and against one that the store or
// the fleet keeps afterwards.
func TestReleaseEndsQuarantine(t *testing.T) {
	tracker, _ := newTestTracker()
	other, _ := newTestTracker()
	var stored []thwire.CrashRecord
	tracker.Persist = func(r thwire.CrashRecord) { stored = append(stored, r) }
	tracker.Publish = other.Update
	tracker.crash(1, 10)
	tracker.crash(1, 11)
	entries := tracker.Quarantine()
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Crashes, 2)
	assert.Equal(t, entries[0].Until.Sub(entries[0].Since), time.Hour)
	assert.Assert(t, therror.Is(tracker.Release("xyz"), therror.Bad))
	assert.Assert(t, therror.Is(tracker.Release(hex.EncodeToString([]byte(fingerprint(2)))), therror.Absent))
	assert.NilError(t, tracker.Release(entries[0].Fingerprint))
	tracker.requireState(t, 1, Cleared)
	other.requireState(t, 1, Cleared)
	assert.Equal(t, len(tracker.Quarantine()), 0)
	assert.Equal(t, len(stored), 2)
	assert.Assert(t, stored[1].Round > stored[0].Round)
}

// Guards against a table that grows without bound, or that loses a quarantined request to
// suspect ones, where each request that crashes a server is a new one.
func TestFullTableKeepsQuarantinedRequests(t *testing.T) {
	tracker, clock := newTestTracker()
	tracker.crash(0, 1)
	tracker.crash(0, 2)
	for n := range 3 * MaxRecords {
		clock.Advance(time.Millisecond)
		tracker.crash(n+1, uint64(n))
	}
	tracker.requireState(t, 0, Quarantined)
	tracker.requireState(t, 1, Unknown)
	tracker.requireState(t, 3*MaxRecords, Suspect)
	assert.Equal(t, tracker.count.Load(), int64(MaxRecords))
}

// Guards against daemons that keep different records of a set that is too large.
func TestFullTablesAgree(t *testing.T) {
	a, _ := newTestTracker()
	b, _ := newTestTracker()
	record := func(n int) thwire.CrashRecord {
		return thwire.CrashRecord{Request: fingerprint(n), Crashes: []uint64{1}, Time: testTime.UnixMilli() + int64(n%7)}
	}
	const all = 2 * MaxRecords
	for n := range all {
		a.Update(record(n))
		b.Update(record(all - 1 - n))
	}
	for n := range all {
		got, _ := a.State(fingerprint(n))
		want, _ := b.State(fingerprint(n))
		assert.Equal(t, got, want, "request %d", n)
	}
}
