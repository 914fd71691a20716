package thusage

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thlease"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// freezeDelay is the time after the end of a window at which the final counts of all daemons
	// can have arrived at the earliest.
	freezeDelay = 300 * time.Millisecond
	// forcePercent is the part of Late after which a window is frozen without the counts of some
	// daemons. The rest of Late is for the write and the post.
	forcePercent = 70
	// postTimeout is the time that a post may take: longer than an answer of 50 ms that is slower
	// by a factor of 50.
	postTimeout = 3 * time.Second
	// yieldAfter is the time for which posts fail until the holder yields the duty.
	yieldAfter = 3 * time.Second
	// yieldTime is the time for which a holder that yielded does not take the duty again.
	yieldTime = 10 * time.Second
	// failedAge is the time for which a daemon that yielded is taken to be unable to reach the API.
	failedAge = 30 * time.Second
	// maxFailed is the number of daemons that fail to reach the API before it is taken to be down
	// for all. The last of them then keeps the duty for failedAge.
	maxFailed = 3

	// minPause and maxPause bound the growing pause after a failure of the store or the API.
	minPause = 100 * time.Millisecond
	maxPause = time.Second
	// refusedPause is the pause after an answer that rejects a report, which a retry is unlikely
	// to change.
	refusedPause = 10 * time.Second
	// maxLimitedPause bounds the retry time of a 429.
	maxLimitedPause = 10 * time.Second
	// postSpacing keeps a holder that catches up below 50 posts a second.
	postSpacing = 25 * time.Millisecond
	// idleTime is the time after which a holder looks at the duty again without a message, since
	// the members may have changed.
	idleTime   = time.Second
	unheldTime = time.Minute // the start of a tenure ends it

	// One transaction of the store takes 100 entries and 1 MB, in which values grow by a third.
	maxCommitRows  = 64
	maxCommitBytes = 600 << 10
	// maxFrozen bounds the frozen windows that are not posted, which a new holder reads.
	maxFrozen = 64
	// maxUnrecorded is the number of posted windows that may await their record while there is
	// more to post. A new holder posts them again.
	maxUnrecorded = 16
)

// action is what the holder does next.
type action interface{ isAction() }

// wait means that there is nothing to do for a time, unless something is received.
type wait struct{ time.Duration }

// commit writes the state and rows under the lease.
type commit struct {
	token  uint64
	state  []byte
	rows   []thlease.Row
	first  int64            // of state
	stored int64            // windows before it are stored after the commit
	failed map[string]int64 // of state
}

// post sends a report.
type post struct {
	token   uint64
	report  Report
	attempt int
}

// yield gives the duty up.
type yield struct{ token uint64 }

func (wait) isAction()   {}
func (commit) isAction() {}
func (post) isAction()   {}
func (yield) isAction()  {}

// duty decides what the holder freezes, stores, posts and records. It has no goroutines and
// makes no calls: next returns the action, and done takes its outcome.
type duty struct {
	name   string
	window time.Duration
	late   time.Duration

	held    bool
	token   uint64
	started time.Duration // elapsed at the start of the tenure

	known    bool  // first is known
	dirty    bool  // the stored state lacks first or failed
	first    int64 // windows before it are recorded as reported
	posted   int64 // windows before it have been accepted
	stored   int64 // windows before it have their rows in the store
	frozen   int64 // windows before it are frozen
	windows  map[int64]stored
	garbage  []string // rows to delete in addition
	failed   map[string]int64
	yielding bool // failed contains this daemon; yield after the commit

	attempt      int           // of the window posted
	postAt       time.Duration // elapsed at which the next post may begin
	failingSince time.Duration // elapsed at the start of the first post that failed; zero if none
	postPause    time.Duration
	commitAt     time.Duration
	commitPause  time.Duration

	// accepted is the first window that is not known to be reported by any holder. It guards
	// against a store that was restored from a copy.
	accepted int64
	reported uint64 // windows posted by this process
}

// begin starts a tenure with what the store holds. The error says what could not be read.
func (d *duty) begin(t thlease.Tenure, r thlease.Record, rows []thlease.Row, elapsed time.Duration) error {
	*d = duty{
		name: d.name, window: d.window, late: d.late, accepted: d.accepted, reported: d.reported,
		held: true, token: t.Token, started: elapsed,
	}
	windows, fault := decodeRows(rows)
	d.windows = windows
	if len(r.State) == 0 && len(windows) == 0 {
		return fault
	}
	var s dutyState
	if err := json.Unmarshal(r.State, &s); err != nil || s.First < 0 {
		// The windows that have rows are the only ones known not to be reported.
		fault = therror.Wrap(therror.Bad, err, "state of the duty")
		if len(windows) == 0 {
			return fault
		}
		s = dutyState{First: minKey(windows)}
	}
	d.known, d.failed = true, s.Failed
	d.first = s.First
	d.posted = max(s.First, d.accepted)
	for n, w := range windows {
		if n < d.first {
			d.garbage = append(d.garbage, w.keys...)
			delete(windows, n)
		}
	}
	d.stored = d.posted
	for {
		if _, found := windows[d.stored]; !found {
			break
		}
		d.stored++
	}
	d.frozen = d.stored
	return fault
}

func minKey(windows map[int64]stored) int64 {
	lowest := int64(-1)
	for n := range windows {
		if lowest < 0 || n < lowest {
			lowest = n
		}
	}
	return lowest
}

// end ends the tenure. Windows frozen in it that are not stored may be frozen with other counts
// by the next holder.
func (d *duty) end(t thlease.Tenure) {
	if d.token == t.Token {
		d.held = false
	}
}

// next returns the next action at the true time now. interval is the time between the messages
// of a daemon.
func (d *duty) next(now, elapsed, interval time.Duration, c *collector, members []thwire.Member) action {
	if !d.held {
		return wait{unheldTime}
	}
	if !d.known {
		d.known, d.dirty = true, true
		d.first = max(int64(now/d.window), d.accepted)
		d.posted, d.stored, d.frozen = d.first, d.first, d.first
	}
	d.freeze(now, elapsed, interval, c, members)
	more := d.posted < d.stored && d.posted-d.first < maxUnrecorded
	dirty := d.dirty || d.stored < d.frozen || d.first < d.posted || len(d.garbage) > 0
	// A holder that catches up writes several windows at a time.
	catchingUp := more && !d.dirty && d.postAt-elapsed <= postSpacing
	switch {
	case d.yielding && !d.dirty:
		return yield{d.token}
	case catchingUp && elapsed >= d.postAt:
		if d.windows[d.posted].counts == nil {
			d.posted++ // unreadable, see decodeRows
			return d.next(now, elapsed, interval, c, members)
		}
		return post{d.token, Report{d.posted, d.windows[d.posted].counts}, d.attempt + 1}
	case dirty && !catchingUp && elapsed >= d.commitAt:
		return d.commit()
	}
	return wait{d.pause(now, elapsed, interval, dirty)}
}

// freeze fixes the counts of the windows that are due, in order. Windows that are not yet
// stored are bounded to those of one transaction.
func (d *duty) freeze(now, elapsed, interval time.Duration, c *collector, members []thwire.Member) {
	for d.frozen-d.posted < maxFrozen {
		age := now - time.Duration(d.frozen+1)*d.window
		// The daemons need some messages to learn of a holder that was no collector.
		forced := age >= d.late*forcePercent/100 && elapsed-d.started >= 3*interval
		if !forced && (age < freezeDelay || !c.isComplete(d.frozen, d.name, members)) {
			return
		}
		if _, found := d.windows[d.frozen]; !found {
			d.windows[d.frozen] = stored{counts: c.total(d.frozen)}
		}
		d.frozen++
	}
}

// commit returns the write of all that is not in the store, as far as one transaction takes it.
func (d *duty) commit() commit {
	a := commit{token: d.token, first: d.first, stored: d.stored, failed: maps.Clone(d.failed)}
	for _, key := range d.garbage {
		if len(a.rows) < maxCommitRows {
			a.rows = append(a.rows, thlease.Row{Key: key})
		}
	}
	for ; a.first < d.posted; a.first++ {
		keys := d.windows[a.first].keys
		if len(a.rows) > 0 && len(a.rows)+len(keys) > maxCommitRows {
			break
		}
		for _, key := range keys {
			a.rows = append(a.rows, thlease.Row{Key: key})
		}
	}
	bytes := 0
	for ; a.stored < d.frozen && a.first == d.posted; a.stored++ {
		w := d.windows[a.stored]
		rows, size := encodeRows(Report{a.stored, w.counts})
		if len(a.rows) > 0 && (len(a.rows)+len(rows) > maxCommitRows || bytes+size > maxCommitBytes) {
			break
		}
		bytes += size
		if w.keys == nil {
			for _, r := range rows {
				w.keys = append(w.keys, r.Key)
			}
			d.windows[a.stored] = w
		}
		a.rows = append(a.rows, rows...)
	}
	a.state, _ = json.Marshal(dutyState{First: a.first, Failed: a.failed}) // can always be encoded
	return a
}

// pause returns the time until there may be something to do.
func (d *duty) pause(now, elapsed, interval time.Duration, dirty bool) time.Duration {
	pause := idleTime
	earliest := func(t time.Duration) {
		if t > 0 {
			pause = min(pause, t)
		}
	}
	earliest(time.Duration(d.frozen+1)*d.window + freezeDelay - now)
	earliest(time.Duration(d.frozen+1)*d.window + d.late*forcePercent/100 - now)
	earliest(d.started + 3*interval - elapsed)
	if d.posted < d.stored {
		earliest(d.postAt - elapsed)
	}
	if dirty {
		earliest(d.commitAt - elapsed)
	}
	return pause
}

// committed takes the outcome of a commit.
func (d *duty) committed(a commit, err error, elapsed time.Duration) {
	if !d.held || d.token != a.token {
		return
	}
	if err != nil {
		d.commitPause = min(max(2*d.commitPause, minPause), maxPause)
		d.commitAt = elapsed + d.commitPause
		return
	}
	d.commitPause, d.commitAt = 0, 0
	// The failed daemons change by one entry at a time, with dirty set.
	d.dirty = d.dirty && !maps.Equal(a.failed, d.failed)
	for n := d.first; n < a.first; n++ {
		delete(d.windows, n)
	}
	written := map[string]bool{}
	for _, r := range a.rows {
		written[r.Key] = r.Value == nil
	}
	kept := d.garbage[:0]
	for _, key := range d.garbage {
		if !written[key] {
			kept = append(kept, key)
		}
	}
	d.garbage = kept
	d.first, d.stored = a.first, a.stored
}

// sent takes the outcome of a post that began at start, by true time and by elapsed.
func (d *duty) sent(a post, err error, now, start, elapsed time.Duration, members []thwire.Member) {
	if !d.held || d.token != a.token || a.report.Window != d.posted {
		if err == nil && a.report.Window+1 > d.accepted {
			d.accepted = a.report.Window + 1
			d.reported++
		}
		return
	}
	kind := therror.KindOf(err)
	switch {
	case err == nil:
		d.posted++
		d.accepted = max(d.accepted, d.posted)
		d.reported++
		d.attempt, d.postPause, d.failingSince = 0, 0, 0
		d.postAt = start + postSpacing
		d.yielding = false
		if len(d.failed) > 0 {
			d.failed, d.dirty = nil, true
		}
		return
	case kind == therror.Limited:
		d.postPause = min(max(therror.RetryAfter(err), 2*d.postPause, minPause), maxLimitedPause)
		d.failingSince = 0
	case kind == therror.Refused:
		d.postPause, d.failingSince = refusedPause, 0
	default:
		d.postPause = min(max(2*d.postPause, minPause), maxPause)
		if d.failingSince == 0 {
			d.failingSince = start
		}
		if elapsed-d.failingSince >= yieldAfter && d.othersMayReach(now, members) {
			failed := maps.Clone(d.failed)
			if failed == nil {
				failed = map[string]int64{}
			}
			failed[d.name] = now.Milliseconds()
			d.failed, d.dirty, d.yielding = failed, true, true
		}
	}
	d.attempt++
	d.postAt = elapsed + d.postPause
}

// othersMayReach reports whether another daemon should try to reach the API, and forgets the
// failures of those that have had the time to recover.
func (d *duty) othersMayReach(now time.Duration, members []thwire.Member) bool {
	recent := map[string]int64{}
	for name, at := range d.failed {
		if age := now - time.Duration(at)*time.Millisecond; age.Abs() < failedAge && name != d.name {
			recent[name] = at
		}
	}
	d.failed = recent
	if len(recent)+1 >= maxFailed {
		return false
	}
	for _, m := range members {
		if _, failed := recent[m.Name]; !failed && m.Name != d.name {
			return true
		}
	}
	return false
}

// yielded ends the tenure after a yield.
func (d *duty) yielded(a yield) {
	if d.token == a.token {
		d.held = false
	}
}

// backlog returns the numbers of ended windows that are not reported, and of those that should
// have been by now.
func (d *duty) backlog(now time.Duration) (due, late int) {
	if !d.held || !d.known {
		return 0, 0
	}
	count := func(end time.Duration) int { return int(max(int64(end/d.window)-d.posted, 0)) }
	return count(now), count(now - d.late)
}
