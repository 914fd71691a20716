package thusage

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thlease"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against rows above the limit of the store, and against counts that change in the store.
func TestRowsOfAWindow(t *testing.T) {
	r := Report{Window: 353445120, Counts: map[string]uint64{}}
	for i := range 5000 {
		r.Counts[fmt.Sprint(strings.Repeat("<", 20), i)] = uint64(i) + 1<<60
	}
	rows, size := encodeRows(r)
	assert.Assert(t, len(rows) > 1)
	total := 0
	for i, row := range rows {
		assert.Equal(t, row.Key, fmt.Sprintf("w/00000000000353445120/%d", i))
		assert.Assert(t, len(row.Value) <= maxPartBytes+100)
		total += len(row.Value)
	}
	assert.Equal(t, size, total)
	empty, _ := encodeRows(Report{Window: 7})
	windows, err := decodeRows(append(rows, empty...))
	assert.NilError(t, err)
	assert.DeepEqual(t, windows[r.Window].counts, r.Counts)
	assert.Equal(t, len(windows[7].counts), 0)
	assert.Assert(t, windows[7].counts != nil)
}

// Guards against a window that is reported with a part of its counts, and against one that is
// frozen again although it may have been posted.
func TestUnreadableRows(t *testing.T) {
	r := Report{Window: 7, Counts: map[string]uint64{}}
	for i := range 3000 {
		r.Counts[fmt.Sprint(strings.Repeat("x", 20), i)] = 1
	}
	rows, _ := encodeRows(r)
	for name, odd := range map[string][]thlease.Row{
		"missing part": rows[1:],
		"not JSON":     append([]thlease.Row{{Key: rows[0].Key, Value: []byte("{")}}, rows[1:]...),
		"no parts":     {{Key: partKey(7, 0), Value: []byte("{}")}},
	} {
		windows, err := decodeRows(odd)
		assert.Assert(t, therror.Is(err, therror.Bad), name)
		assert.Assert(t, windows[7].counts == nil, name)
		assert.Equal(t, len(windows[7].keys), len(odd))
		d := duty{window: defaultWindow, late: defaultLate}
		state, _ := json.Marshal(dutyState{First: 7})
		assert.Assert(t, d.begin(thlease.Tenure{Token: 1}, thlease.Record{State: state}, odd, 0) != nil)
		a, ok := d.next(at(8), 0, minInterval, &collector{}, nil).(commit)
		assert.Assert(t, ok)
		assert.Equal(t, a.first, int64(8))
		assert.Equal(t, len(a.rows), len(odd))
	}
	_, err := decodeRows([]thlease.Row{{Key: "other"}})
	assert.Assert(t, therror.Is(err, therror.Bad))
}

// heldDuty returns the duty of a daemon that holds it, with a first window.
func heldDuty(t *testing.T, first int64) *duty {
	d := &duty{name: "a", window: defaultWindow, late: defaultLate}
	state, err := json.Marshal(dutyState{First: first})
	assert.NilError(t, err)
	assert.NilError(t, d.begin(thlease.Tenure{Token: 1}, thlease.Record{State: state}, nil, time.Hour))
	return d
}

// Guards against counts that are fixed before all daemons have sent theirs, or that wait for a
// daemon for longer than Late allows, and against a freeze before the delay.
func TestWhenAWindowIsFrozen(t *testing.T) {
	members := []thwire.Member{{Name: "a"}, {Name: "b"}}
	c := &collector{window: defaultWindow}
	c.receive("a", counts(1, 7, true, "x", 1), at(8))
	frozen := func(now time.Duration, since time.Duration) bool {
		d := heldDuty(t, 7)
		d.next(now, time.Hour+since, minInterval, c, members)
		return d.frozen == 8
	}
	force := at(8) + 7*time.Second
	assert.Assert(t, !frozen(force-1, time.Hour))
	assert.Assert(t, frozen(force, time.Hour))
	// A new holder waits for the counts that it has not seen.
	assert.Assert(t, !frozen(force, 3*minInterval-1))
	c.receive("b", counts(1, 7, true, "x", 1), at(8))
	assert.Assert(t, !frozen(at(8)+freezeDelay-1, time.Hour))
	assert.Assert(t, frozen(at(8)+freezeDelay, 0))
}

// Guards against a post of counts that are not stored, also when the answer of the write is lost,
// and against a repeated write with other counts.
func TestPostFollowsTheWrite(t *testing.T) {
	d := heldDuty(t, 7)
	c := &collector{window: defaultWindow}
	c.receive("a", counts(1, 7, true, "x", 1), at(8))
	now := at(8) + 7*time.Second
	first, ok := d.next(now, 2*time.Hour, minInterval, c, nil).(commit)
	assert.Assert(t, ok)
	d.committed(first, therror.New(therror.Unknown, "no answer"), 2*time.Hour)
	c.receive("b", counts(1, 7, true, "x", 5), at(8))
	_, ok = d.next(now, 2*time.Hour, minInterval, c, nil).(wait)
	assert.Assert(t, ok)
	second, ok := d.next(now, 2*time.Hour+minPause, minInterval, c, nil).(commit)
	assert.Assert(t, ok)
	assert.DeepEqual(t, second.rows, first.rows)
	d.committed(second, nil, 2*time.Hour+minPause)
	p, ok := d.next(now, 2*time.Hour+minPause, minInterval, c, nil).(post)
	assert.Assert(t, ok)
	assert.DeepEqual(t, p.report, Report{7, map[string]uint64{"x": 1}})
}

// Guards against a second report of windows after the store was restored from a copy, also by a
// holder that did not report them itself.
func TestStoreIsRestoredFromACopy(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.run(12 * time.Second)
	record := f.record
	rows := f.list()
	f.run(15 * time.Second)
	posts := len(f.posts)
	f.record.State = record.State
	f.rows = map[string][]byte{}
	for _, r := range rows {
		f.rows[r.Key] = r.Value
	}
	f.version++
	f.writtenAt = f.now - 10*time.Second
	f.run(20 * time.Second)
	for _, p := range f.posts[posts:] {
		assert.Assert(t, p.window >= firstWindow+5, "window %+d is posted again", p.window-firstWindow)
	}
	checkReports(t, f, firstWindow, defaultLate)
}

// Guards against other counts of a stored window that follows one without rows.
func TestStoredWindowAfterAGap(t *testing.T) {
	rows, _ := encodeRows(Report{8, map[string]uint64{"x": 3}})
	d := &duty{name: "a", window: defaultWindow, late: defaultLate}
	assert.NilError(t, d.begin(thlease.Tenure{Token: 1}, thlease.Record{State: []byte(`{"first":7}`)}, rows, 0))
	c := &collector{window: defaultWindow}
	for w := int64(7); w < 9; w++ {
		c.receive("a", counts(1, w, true, "x", 5), at(w+1))
	}
	a, ok := d.next(at(10), time.Hour, minInterval, c, nil).(commit)
	assert.Assert(t, ok)
	assert.DeepEqual(t, a.rows[1:], rows)
}

// Guards against rows of reported windows that stay in the store.
func TestRowsOfReportedWindowsAreDeleted(t *testing.T) {
	rows, _ := encodeRows(Report{5, map[string]uint64{"x": 3}})
	d := &duty{name: "a", window: defaultWindow, late: defaultLate}
	assert.NilError(t, d.begin(thlease.Tenure{Token: 1}, thlease.Record{State: []byte(`{"first":7}`)}, rows, 0))
	a, ok := d.next(at(7), time.Hour, minInterval, &collector{}, nil).(commit)
	assert.Assert(t, ok)
	assert.DeepEqual(t, a.rows, []thlease.Row{{Key: rows[0].Key}})
	d.committed(a, nil, time.Hour)
	_, ok = d.next(at(7), time.Hour, minInterval, &collector{}, nil).(wait)
	assert.Assert(t, ok)
}

// Guards against transactions above the limits of the store after a long outage, against windows
// that are frozen without a bound, and against more posts than the API accepts.
func TestCommitsAreBounded(t *testing.T) {
	d := heldDuty(t, 0)
	c := &collector{window: defaultWindow, windows: map[int64]*collected{}}
	for w := range int64(200) {
		sums := map[string]uint64{}
		for i := range 3000 {
			sums[fmt.Sprint(strings.Repeat("x", 20), i)] = uint64(w)
		}
		c.windows[w] = &collected{sums: sums}
	}
	elapsed := 2 * time.Hour
	reported := 0
	rows := map[string]bool{}
	last := time.Duration(0)
	for range 2000 {
		assert.Assert(t, d.frozen-d.first <= maxFrozen+maxUnrecorded)
		switch a := d.next(at(200), elapsed, minInterval, c, nil).(type) {
		case commit:
			bytes := 0
			for _, r := range a.rows {
				bytes += len(r.Value)
				rows[r.Key] = r.Value != nil
			}
			assert.Assert(t, len(a.rows) <= maxCommitRows && bytes <= maxCommitBytes, "%d rows of %d bytes", len(a.rows), bytes)
			d.committed(a, nil, elapsed)
		case post:
			reported++
			assert.Assert(t, elapsed-last >= time.Second/40, "more than 40 posts a second")
			last = elapsed
			assert.Assert(t, rows[partKey(a.report.Window, 0)], "window %d is posted and not stored", a.report.Window)
			assert.Equal(t, a.report.Counts[strings.Repeat("x", 20)+"9"], uint64(a.report.Window))
			d.sent(a, nil, at(200), elapsed, elapsed, nil)
		case wait:
			elapsed += a.Duration
		}
	}
	assert.Equal(t, reported, 198) // the last two are not due
}

// Guards against a report that the API refuses and that is sent in a loop.
func TestRefusedReportWaits(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.api = func(*simDaemon, post) (bool, time.Duration, error) {
		return false, 0, therror.New(therror.Refused, "400")
	}
	f.run(31 * time.Second)
	assert.Equal(t, len(f.posts), 3)
	assert.Equal(t, f.holder().name, "a")
}
