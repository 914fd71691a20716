package thusage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

const firstWindow = int64(simStart / defaultWindow)

// checkReports fails unless the windows of the fleet are reported once, in time and exactly.
// Windows that ended within the last allowance need not be.
func checkReports(t *testing.T, f *simFleet, from int64, allowance time.Duration) {
	t.Helper()
	last := int64((f.now-allowance)/defaultWindow) - 1
	assert.Equal(t, len(f.breaches), 0, "%v", f.breaches)
	faults := f.inexact(from, last)
	assert.Equal(t, len(faults), 0, "%v", faults)
}

// Guards against windows that are missing, late, inexact or reported twice without any failure,
// and against a first report that is not that of the current window. Windows without requests
// are reported too.
func TestEveryWindowIsReportedInTime(t *testing.T) {
	f := newFleet("a", "b", "c", "d", "e")
	f.load = func(*simDaemon) int {
		if w := int64(f.now / defaultWindow); w == firstWindow+3 {
			return 0
		}
		return 2
	}
	f.run(60 * time.Second)
	checkReports(t, f, firstWindow, defaultLate)
	for w, at := range f.arrived {
		late := at - time.Duration(w+1)*defaultWindow
		assert.Assert(t, late >= freezeDelay && late < time.Second, "window %d after %s", w, late)
	}
	assert.Equal(t, len(f.reports[firstWindow+3]), 0)
	assert.Equal(t, len(f.posts), len(f.reports))
	assert.Assert(t, len(f.rows) == 0, "rows of reported windows remain: %d", len(f.rows))
}

// Guards against a new holder that freezes again what its predecessor stored and did not post.
func TestHolderEndsBetweenTheStoreAndThePost(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.api = func(d *simDaemon, a post) (bool, time.Duration, error) {
		if d.name == "a" && a.report.Window == firstWindow+2 {
			f.kill(0)
			return false, time.Hour, nil
		}
		return true, 0, nil
	}
	f.run(15500 * time.Millisecond)
	assert.Assert(t, f.daemons[0].dead)
	stored, err := decodeRows(f.list())
	assert.NilError(t, err)
	f.run(30 * time.Second)
	assert.Equal(t, len(f.breaches), 0)
	assert.DeepEqual(t, f.reports[firstWindow+2], stored[firstWindow+2].counts)
	assert.Equal(t, f.holder().name, "b")
}

// Guards against other counts of a window whose holder ended after the post, before it had
// recorded it, and against a window that is left out.
func TestHolderEndsAfterThePost(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.api = func(d *simDaemon, a post) (bool, time.Duration, error) {
		if d.name == "a" && a.report.Window == firstWindow+2 {
			f.kill(0)
			f.accept(d, a)
			return false, time.Hour, nil
		}
		return true, 0, nil
	}
	f.run(45 * time.Second)
	assert.Equal(t, len(f.breaches), 0, "%v", f.breaches)
	windows := map[int64]int{}
	for _, p := range f.posts {
		windows[p.window]++
	}
	assert.Equal(t, windows[firstWindow+2], 2)
	checkReports(t, f, firstWindow, defaultLate)
}

// Guards against a repeat with other counts after the answer of a post was lost.
func TestAnswerOfThePostIsLost(t *testing.T) {
	f := newFleet("a", "b", "c")
	lost := 0
	f.api = func(_ *simDaemon, a post) (bool, time.Duration, error) {
		if lost < 3 && a.report.Window == firstWindow+1 {
			lost++
			return true, 200 * time.Millisecond, therror.New(therror.Unknown, "no answer")
		}
		return true, 0, nil
	}
	f.run(40 * time.Second)
	assert.Equal(t, lost, 3)
	checkReports(t, f, firstWindow, defaultLate)
	assert.Equal(t, f.holder().name, "a")
}

// Guards against a holder that gives up, reports other counts, or loses windows while the API is
// down, and against daemons that pass the duty on for as long as the API is down for all.
func TestAPIIsDown(t *testing.T) {
	f := newFleet("a", "b", "c", "d", "e")
	down := true
	f.api = func(*simDaemon, post) (bool, time.Duration, error) {
		if down {
			return false, 0, therror.New(therror.Down, "503")
		}
		return true, 0, nil
	}
	f.run(30 * time.Second)
	holders := map[string]bool{}
	for _, p := range f.posts {
		holders[p.holder] = true
	}
	assert.Equal(t, len(holders), maxFailed)
	down = false
	f.run(10 * time.Second)
	checkReports(t, f, firstWindow, defaultLate)
}

// Guards against a duty that stays with the one daemon that can't reach the API.
func TestHolderThatCannotReachTheAPIYields(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.api = func(d *simDaemon, _ post) (bool, time.Duration, error) {
		if d.name == "a" {
			return false, 0, therror.New(therror.Down, "no connection")
		}
		return true, 0, nil
	}
	f.run(31 * time.Second)
	checkReports(t, f, firstWindow, defaultLate)
	assert.Equal(t, f.holder().name, "b")
	assert.Equal(t, string(f.record.State), fmt.Sprintf(`{"first":%d}`, firstWindow+6))
	for w, at := range f.arrived {
		assert.Assert(t, at-time.Duration(w+1)*defaultWindow < defaultLate, "window %d is late", w)
	}
}

// Guards against a slow API that makes the holder repeat reports or fall behind.
func TestAPIIsSlow(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.api = func(*simDaemon, post) (bool, time.Duration, error) { return true, 2500 * time.Millisecond, nil }
	f.run(60 * time.Second)
	checkReports(t, f, firstWindow, defaultLate)
	assert.Equal(t, len(f.posts), len(f.reports))
}

// Guards against posts within the time that a 429 asks to wait, and against a holder that yields
// for it.
func TestAPILimitsTheRate(t *testing.T) {
	f := newFleet("a", "b", "c")
	limited := 0
	f.api = func(_ *simDaemon, _ post) (bool, time.Duration, error) {
		if f.now < simStart+20*time.Second {
			limited++
			return false, 0, therror.New(therror.Limited, "429").WithRetryAfter(2 * time.Second)
		}
		return true, 0, nil
	}
	f.run(40 * time.Second)
	checkReports(t, f, firstWindow, defaultLate)
	assert.Assert(t, limited >= 3 && limited <= 8, "%d calls", limited)
	for i, p := range f.posts[1:] {
		if !f.posts[i].accepted {
			assert.Assert(t, p.at-f.posts[i].at >= 2*time.Second)
		}
	}
	assert.Equal(t, f.holder().name, "a")
}

// Guards against windows that are lost or reported without the store, and against one large
// burst of posts when the store is back.
func TestStoreIsDownOverSeveralWindows(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.run(12 * time.Second)
	reported := len(f.reports)
	f.storeDown = true
	f.run(2 * time.Minute)
	assert.Equal(t, len(f.reports), reported)
	f.storeDown = false
	f.run(20 * time.Second)
	checkReports(t, f, firstWindow, defaultLate)
	for i := 50; i < len(f.posts); i++ {
		assert.Assert(t, f.posts[i].at-f.posts[i-50].at >= time.Second, "more than 50 posts a second")
	}
}

// Guards against a write of which the answer was lost, after which the window is frozen again with
// other counts.
func TestAnswerOfTheStoreIsLost(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.run(14 * time.Second)
	f.storeLost = true
	f.run(2 * time.Second)
	f.kill(0)
	f.storeLost = false
	f.run(40 * time.Second)
	assert.Equal(t, len(f.breaches), 0, "%v", f.breaches)
	assert.Equal(t, len(f.reports), int((f.now-simStart-time.Second)/defaultWindow))
}

// Guards against the loss of more than a message's share of what a killed daemon counted, and
// against a window that waits for it for longer than allowed.
func TestDaemonIsKilledInAWindow(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.run(13 * time.Second)
	f.kill(2)
	f.run(30 * time.Second)
	checkReports(t, f, firstWindow, defaultLate)
	for w, at := range f.arrived {
		assert.Assert(t, at-time.Duration(w+1)*defaultWindow < defaultLate, "window %d is late", w)
	}
}

// Guards against a restarted daemon whose second process replaces the counts of the first.
func TestDaemonRestartsInAWindow(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.run(11 * time.Second)
	f.kill(2)
	f.run(500 * time.Millisecond)
	f.boot(2, 0)
	f.run(30 * time.Second)
	checkReports(t, f, firstWindow, defaultLate)
}

// Guards against counts of a daemon that comes back after a freeze which change a reported
// window, and against delayed messages that it takes for a step of its clock.
func TestFrozenDaemonComesBack(t *testing.T) {
	for i := range 3 {
		f := newFleet("a", "b", "c")
		f.run(13 * time.Second)
		f.daemons[i].frozenUntil = f.now + 20*time.Second
		f.run(60 * time.Second)
		checkReports(t, f, firstWindow, defaultLate)
		assert.Equal(t, f.daemons[i].node.clock.now(), f.now)
	}
}

// Guards against a holder that was no collector and freezes windows without the counts of daemons
// that do not know of it yet.
func TestCollectorJoinsLate(t *testing.T) {
	f := newFleet("a", "b", "c", "d", "e", "f")
	f.run(12 * time.Second)
	chosen := f.daemons[0].node.recipientsOf(f.members(), "")
	for i, d := range f.daemons {
		isCollector := false
		for _, m := range chosen {
			isCollector = isCollector || m.Name == d.name
		}
		if isCollector {
			f.kill(i)
			f.run(50 * time.Millisecond)
		}
	}
	for i, d := range f.daemons {
		if d.dead {
			f.boot(i, 0)
		}
	}
	f.run(40 * time.Second)
	// The three collectors, which are half of the fleet, lost what they alone had.
	checkReports(t, f, firstWindow+4, defaultLate)
	assert.Equal(t, len(f.reports), int((f.now-simStart-time.Second)/defaultWindow))
}

// Guards against counts in other windows because of a process that started while its time of day
// was wrong, in either direction and at any place in the fleet.
func TestProcessStartsWithAWrongTime(t *testing.T) {
	for i := range 3 {
		for _, wrong := range []time.Duration{-7 * time.Second, -600 * time.Millisecond, 400 * time.Millisecond, 12 * time.Second} {
			f := newFleet("a", "b", "c")
			f.run(11 * time.Second)
			f.boot(i, wrong)
			f.run(40 * time.Second)
			if i != 0 {
				checkReports(t, f, firstWindow, defaultLate)
			} else {
				// The first process of the holder took with it what it had not sent.
				checkReports(t, f, firstWindow+3, defaultLate)
			}
			assert.Assert(t, (f.daemons[i].node.clock.now()-f.now).Abs() <= maxDeviation)
		}
	}
}

// Guards against a fleet that starts at once with one wrong time of day.
func TestFleetStartsWithAWrongTime(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.boot(1, 9*time.Second)
	f.run(40 * time.Second)
	checkReports(t, f, firstWindow, defaultLate)
}

// Guards against a collector whose new process gets only what changes after its start.
func TestCollectorRestarts(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.load = func(*simDaemon) int {
		if f.now >= simStart+12*time.Second {
			return 0
		}
		return 2
	}
	f.run(13 * time.Second)
	want := f.daemons[0].node.collector.total(firstWindow + 2)
	f.boot(1, 0)
	own := f.daemons[0].node.collector.windows[firstWindow+2].sources[source{"b", 1<<32 | 1}]
	f.run(time.Second)
	got := f.daemons[1].node.collector.total(firstWindow + 2)
	assert.Assert(t, len(own) > 0 && len(want) == 3)
	for account := range want {
		assert.Equal(t, got[account], want[account]-own[account], account)
	}
}

// Guards against a window that waits for the counts of a daemon that started after its end.
func TestDaemonStartsAfterAWindow(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	f.kill(3)
	f.run(15100 * time.Millisecond)
	f.boot(3, 0)
	f.run(10 * time.Second)
	late := f.arrived[firstWindow+2] - time.Duration(firstWindow+3)*defaultWindow
	assert.Assert(t, late < 2*time.Second, "reported after %s", late)
}
