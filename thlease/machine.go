package thlease

import (
	"time"

	"github.com/turmerichaven/turmerichaven/therror"
)

// Parts of the lease duration.
const (
	// marginPart covers clocks of different speed and calls that are under way when the lease
	// ends: the lease ends a margin early for its holder and a margin late for the others.
	marginPart = 10
	// renewalPart leaves time for a second attempt when the answer to a renewal is lost.
	renewalPart = 3
	// callPart bounds a call of the store, so that one without an answer is repeated before
	// the lease ends.
	callPart = 3
	// pausePart bounds the pause after errors of the store.
	pausePart = 3
	rankPart  = 2

	firstPause = 100 * time.Millisecond // after an error of the store; it doubles with each further one
)

// action is what the machine wants to be done next: waitAction, readAction or writeAction.
type action interface{ isAction() }

// waitAction waits until a time of Elapsed, or until an event.
type waitAction struct{ until time.Duration }

// readAction reads the record.
type readAction struct{}

// writeAction replaces the record.
type writeAction struct {
	version uint64
	record  Record
	rows    []Row
}

func (waitAction) isAction()  {}
func (readAction) isAction()  {}
func (writeAction) isAction() {}

// event is a change that is reported to the owner: startEvent, endEvent or lapseEvent.
type event interface{ isEvent() }

type startEvent struct {
	record Record
	rows   []Row
	reason string
}

type endEvent struct {
	token  uint64
	holder string // the next one; empty after a release
	reason string
}

// lapseEvent reports a lease that has ended without another holder.
type lapseEvent struct{ token uint64 }

func (startEvent) isEvent() {}
func (endEvent) isEvent()   {}
func (lapseEvent) isEvent() {}

// sighting is the newest known state of the record.
type sighting struct {
	known   bool
	holder  string
	token   uint64
	version uint64
	at      time.Duration // when this version became known
}

// stored is a record as read.
type stored struct {
	record  Record
	version uint64
	rows    []Row
}

// attempt is a write that was sent.
type attempt struct {
	writeAction

	sent time.Duration
	base []Row   // rows that a new holder takes over
	work *commit // whose content is written; nil for others
}

// commit is a write of state and rows that the owner has asked for.
type commit struct {
	state []byte
	rows  []Row
	first uint64 // Renewal of its first attempt; zero before
	done  chan error
}

// tenure is the machine's own period as the holder.
type tenure struct {
	record  Record // as last written
	version uint64
	sent    time.Duration // when that write was sent
	active  bool          // OnStart has returned
	lapsed  bool          // the end of the lease has been reported
	work    *commit
}

// machine decides when the record is read and written. It has no goroutines and no clock:
// methods get the time by Elapsed. One call of the store is made at a time.
type machine struct {
	name     string
	process  uint64
	duration time.Duration
	margin   time.Duration

	seen      sighting
	highest   uint64  // token that was read, heard of or used
	candidate *stored // answer of the last read, until the next wait

	tenure  *tenure
	ended   uint64  // highest token of the tenures that have ended
	release *stored // own record that has yet to be released
	barred  time.Duration
	stopped bool
	// lastHeld is the last moment at which this daemon may have acted. It begins with the start
	// of the process, since an earlier process of this daemon may have held the duty until then.
	lastHeld time.Duration

	renewal    uint64 // of the last write sent
	sending    *attempt
	unanswered []attempt // without an answer, not older than the lease duration
	refused    uint64    // Renewal of the last write that was answered with a conflict
	unsure     bool      // the stored record must be read before the next write

	retryAt    time.Duration
	pause      time.Duration
	failed     bool          // the last read failed
	conflicted bool          // the last write was answered with a conflict
	recovering time.Duration // no takeover before, after a failed read

	events []event
}

func newMachine(name string, process uint64, duration, now time.Duration) *machine {
	return &machine{
		name: name, process: process, duration: duration, margin: duration / marginPart,
		barred: now, lastHeld: now, retryAt: now, recovering: now,
	}
}

// next returns what is to be done now. The answer to a read or write is passed to readDone or
// writeDone before the following call.
func (m *machine) next(now time.Duration, rank int) action {
	if t := m.tenure; t != nil && !t.lapsed && m.left(now) == 0 {
		t.lapsed = true
		m.events = append(m.events, lapseEvent{token: t.record.Token})
	}
	switch {
	case now < m.retryAt:
		return waitAction{until: m.retryAt}
	case m.unsure:
		return readAction{}
	case m.tenure != nil:
		return m.nextOfHolder(now)
	case m.release != nil:
		r := m.release.record
		r.Holder = ""
		return m.send(now, attempt{writeAction: writeAction{version: m.release.version, record: r}})
	}
	return m.nextOfOther(now, rank)
}

func (m *machine) nextOfHolder(now time.Duration) action {
	t := m.tenure
	due := t.sent + m.duration/renewalPart
	if t.work == nil && now < due {
		return waitAction{until: due}
	}
	a := attempt{writeAction: writeAction{version: t.version, record: t.record}, work: t.work}
	if t.work != nil {
		a.record.State, a.rows = t.work.state, t.work.rows
		if t.work.first == 0 {
			t.work.first = m.renewal + 1
		}
	}
	return m.send(now, a)
}

func (m *machine) nextOfOther(now time.Duration, rank int) action {
	if m.stopped || rank < 0 {
		m.candidate = nil
		return waitAction{until: now + m.duration}
	}
	if !m.seen.known {
		return readAction{}
	}
	due := m.takeoverAt(rank)
	if now < due {
		m.candidate = nil
		return waitAction{until: due}
	}
	c := m.candidate
	if c == nil {
		return readAction{}
	}
	r := c.record
	r.Holder, r.Process, r.Token = m.name, m.process, m.highest+1
	return m.send(now, attempt{writeAction: writeAction{version: c.version, record: r}, base: c.rows})
}

// takeoverAt returns the time from which this daemon may take over.
func (m *machine) takeoverAt(rank int) time.Duration {
	full := m.duration + m.margin
	at := max(m.lastHeld+full, m.barred, m.recovering, m.seen.at)
	// A released record with a lower token than known is of a restored store, and an empty one
	// with a version was damaged: a holder may still act.
	released := m.seen.holder == "" && m.seen.token > 0 && m.seen.token >= m.highest
	if !released {
		at = max(at, m.seen.at+full+time.Duration(rank)*m.duration/rankPart)
	}
	return at
}

// send registers a write and gives it the next number.
func (m *machine) send(now time.Duration, a attempt) action {
	m.renewal++
	a.record.Renewal = m.renewal
	a.sent = now
	m.sending, m.candidate = &a, nil
	return a.writeAction
}

// left returns the time for which the lease still holds.
func (m *machine) left(now time.Duration) time.Duration {
	if m.tenure == nil {
		return 0
	}
	return max(0, m.tenure.sent+m.duration-m.margin-now)
}

// valid returns the time for which this daemon may act.
func (m *machine) valid(now time.Duration) time.Duration {
	if m.tenure == nil || !m.tenure.active {
		return 0
	}
	return m.left(now)
}

// writeDone processes the answer to a write.
func (m *machine) writeDone(now time.Duration, version uint64, err error) {
	a := *m.sending
	m.sending = nil
	switch {
	// The version of a later answer may be that of another holder's record, since it may be
	// newer than the write.
	case err == nil && now-a.sent < m.duration:
		m.writePerformed(now, a, version)
		return
	case err == nil:
		m.unanswered = append(m.unanswered, a)
	case therror.Is(err, therror.Conflict):
		m.refused = a.record.Renewal
		if m.conflicted {
			m.delay(now)
		}
		m.conflicted = true
	default:
		m.unanswered = append(m.unanswered, a)
		m.delay(now)
		if t := m.tenure; t != nil && t.work != nil && t.work == a.work && isInvalid(err) {
			t.work.done <- err
			t.work = nil
		}
	}
	m.unsure = true
}

// isInvalid reports whether a write failed by its content, so that a repetition fails too.
func isInvalid(err error) bool { return therror.Is(err, therror.Bad) || therror.Is(err, therror.Large) }

// delay sets the pause after an error of the store.
func (m *machine) delay(now time.Duration) {
	m.pause = min(max(2*m.pause, firstPause), m.duration/pausePart)
	m.retryAt = now + m.pause
}

func (m *machine) writePerformed(now time.Duration, a attempt, version uint64) {
	m.pause, m.conflicted, m.unanswered = 0, false, nil
	m.observe(now, a.record, version)
	t := m.tenure
	switch {
	case a.record.Holder == "":
		m.release = nil
	case t != nil:
		t.record, t.version, t.sent, t.lapsed = a.record, version, a.sent, false
		if t.work != nil && t.work == a.work {
			t.work.done <- nil
			t.work = nil
		}
	// The duty was yielded while the write was under way.
	case m.release != nil || m.mayNotHold(now):
		m.ended = max(m.ended, a.record.Token)
		m.release = &stored{record: a.record, version: version}
	// Otherwise a higher token was heard of meanwhile.
	case a.record.Token > m.ended && a.record.Token >= m.highest:
		m.begin(now, stored{record: a.record, version: version, rows: a.base}, a.sent, "taken over")
	}
}

// mayNotHold reports whether the duty was yielded or the component stopped.
func (m *machine) mayNotHold(now time.Duration) bool { return m.stopped || now < m.barred }

// readDone processes the answer to a read.
func (m *machine) readDone(now time.Duration, s stored, err error) {
	if err != nil {
		m.failed = true
		m.delay(now)
		return
	}
	if m.failed {
		m.failed = false
		// A holder that the store did not answer either repeats its renewal within this time,
		// and is preferred.
		m.recovering = now + m.duration/pausePart + m.duration/callPart
	}
	if !m.conflicted {
		m.pause = 0
	}
	m.unsure = false
	m.highest = max(m.highest, s.record.Token)
	own := s.record.Holder == m.name && s.record.Process == m.process &&
		s.record.Token >= m.highest && s.record.Renewal != m.refused
	t := m.tenure
	switch {
	// A lower Renewal than written is of a restored store, which has lost rows.
	case t != nil && own && s.record.Token == t.record.Token && s.record.Renewal >= t.record.Renewal:
		m.recognise(s)
	case t != nil:
		m.end(now, s.record.Holder, "another record is stored")
	case own && (m.release != nil || m.mayNotHold(now)):
		m.ended = max(m.ended, s.record.Token)
		m.release = &s
	case own && s.record.Token > m.ended:
		m.begin(now, s, m.sentAt(s.record.Renewal, now-m.duration), "write without an answer was performed")
	default:
		m.release = nil
	}
	m.observe(now, s.record, s.version)
	if m.tenure == nil {
		m.candidate = &s
	}
	m.dropOld(now)
}

// recognise continues the tenure with the stored record, which this process has written.
func (m *machine) recognise(s stored) {
	t := m.tenure
	t.sent = max(t.sent, m.sentAt(s.record.Renewal, t.sent))
	t.record, t.version = s.record, s.version
	if t.work != nil && t.work.first > 0 && s.record.Renewal >= t.work.first {
		t.work.done <- nil
		t.work = nil
	}
}

// sentAt returns the time at which an unanswered write was sent, or other if it is not known.
func (m *machine) sentAt(renewal uint64, other time.Duration) time.Duration {
	for _, a := range m.unanswered {
		if a.record.Renewal == renewal {
			return a.sent
		}
	}
	return other
}

// dropOld forgets unanswered writes that can no longer extend the lease.
func (m *machine) dropOld(now time.Duration) {
	for len(m.unanswered) > 0 && now-m.unanswered[0].sent > m.duration {
		m.unanswered = m.unanswered[1:]
	}
}

// observe records the state of the record. The time of the wait restarts if the record has
// changed. A version that is not above the known one shows the same record, since holders know
// their version as the newest of the store after the write.
func (m *machine) observe(now time.Duration, r Record, version uint64) {
	m.highest = max(m.highest, r.Token)
	s := &m.seen
	if s.known && version <= s.version && r.Holder == s.holder && r.Token == s.token {
		return
	}
	m.conflicted = false
	m.seen = sighting{known: true, holder: r.Holder, token: r.Token, version: version, at: now}
}

// heard processes a message about the holder. It returns true if there may be something to do
// at once.
func (m *machine) heard(now time.Duration, holder string, token, version uint64) bool {
	m.highest = max(m.highest, token)
	if t := m.tenure; t != nil {
		if token <= t.record.Token {
			return false
		}
		m.end(now, holder, "a higher token was heard of")
	}
	if version <= m.seen.version || token < m.seen.token {
		return false
	}
	m.seen = sighting{known: true, holder: holder, token: token, version: version, at: now}
	m.candidate = nil
	return holder == ""
}

func (m *machine) begin(now time.Duration, s stored, sent time.Duration, reason string) {
	m.tenure = &tenure{record: s.record, version: s.version, sent: sent}
	m.tenure.lapsed = m.left(now) == 0
	m.events = append(m.events, startEvent{record: s.record, rows: s.rows, reason: reason})
	m.observe(now, s.record, s.version)
}

func (m *machine) end(now time.Duration, holder, reason string) {
	t := m.tenure
	m.lastHeld = max(m.lastHeld, min(now, t.sent+m.duration-m.margin))
	m.ended = max(m.ended, t.record.Token)
	m.tenure = nil
	if t.work != nil {
		t.work.done <- errNotHolder()
	}
	m.events = append(m.events, endEvent{token: t.record.Token, holder: holder, reason: reason})
}

// activate permits this daemon to act, after OnStart has returned.
func (m *machine) activate(token uint64) {
	if m.tenure != nil && m.tenure.record.Token == token {
		m.tenure.active = true
	}
}

// yield ends the tenure; next releases the record.
func (m *machine) yield(now, d time.Duration, reason string) {
	m.barred = max(m.barred, now+d)
	if t := m.tenure; t != nil {
		m.release = &stored{record: t.record, version: t.version}
		m.end(now, "", reason)
	}
}

// releasing reports whether an own record has yet to be released.
func (m *machine) releasing() bool { return m.release != nil || m.sending != nil }

func errNotHolder() error {
	return therror.New(therror.Conflict, "this daemon is not the holder of the duty")
}
