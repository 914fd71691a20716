package thmove

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// coldGrace is the time after the start of a move in which the latencies of cold
	// servers are ignored. It can be short: at the share of the first step the load of
	// a cold server is below its admitted rate, and a version that stays slow must lose
	// its traffic within 3 s.
	coldGrace = time.Second
	// suspension is how long a daemon sends no calls to a new version that is bad by
	// its local statistics. Within that time the coordinator has evaluated the
	// statistics of all daemons.
	suspension = 5 * time.Second
)

// track is the state of a running move on this daemon. The request path uses only the
// atomics and the counters; the other fields are guarded by Mover.mu.
type track struct {
	move            thconfig.Move
	step            atomic.Pointer[moveStep]
	bad             atomic.Bool            // the coordinator found the new version bad
	end             atomic.Pointer[string] // committed final state, nil while the move is running
	suspendedUntil  atomic.Int64           // thclock.Stamp; set when the local statistics are bad
	alone           atomic.Bool            // the new version is in service and the only one with backend servers
	ingressCounters sync.Map               // counterKey to *slidingCounter: calls sent by this daemon
	served          [2]servedCalls         // calls served by the local backend server, in pools From and To

	schedule         schedule
	coordinatorSince time.Time            // zero while another daemon is the coordinator
	suspect          bool                 // used by the coordinator: the latest verdict
	reason           string               // why the new version is bad
	reports          reportSet            // used by the coordinator
	evidence         stepEvidence         // used by the coordinator
	sent             sentReports          // used by the coordinator
	reportedTo       [len(windows)]string // by window: daemon that got the last report, if it wasn't empty
	coordinator      string               // at the last report of this daemon
	localBaseline    routeSamples         // for ingressCounters
	fleetBaseline    routeSamples         // for reports
	// outliers are the groups of the new version that were bad before the load tests, in the
	// order of view.groupings. They are nil on a coordinator that took over since then.
	outliers       []map[string]bool
	evidenceLogged time.Time // when the coordinator last logged the evidence
	commits        int       // attempts to commit the end that are in progress
	commitState    string    // of these attempts
	commitReason   string
	nextCommit     time.Time // earliest time of the next attempt
	inService      bool      // the new version had the only backend servers when the move was ordered
	startCommitted bool      // used by the coordinator: the start is committed, or the order has been replaced
	nextStart      time.Time // earliest time of the next attempt to commit the start
}

// moveStep is the step of a move on this daemon.
type moveStep struct {
	number int
	since  time.Time     // when this daemon learned of the step
	lasts  time.Duration // time for which the share of a load test holds
	// In a load test, the local backend server gets at most calls more than sentBefore, the
	// calls of the new version that it had got until then. Zero calls mean no limit.
	calls, sentBefore uint64
}

// allows reports whether a backend server of the new version may get another call after
// it has got sent ones.
func (s *moveStep) allows(sent uint64) bool {
	return !isLoadTest(s.number) || s.calls == 0 || sent < s.sentBefore+s.calls
}

// share returns the traffic share of the new version at the step.
func (s *moveStep) share(now time.Time) float64 {
	if isLoadTest(s.number) && now.Sub(s.since) >= s.lasts {
		return stepShare(0)
	}
	return stepShare(s.number)
}

// loadTestTurn returns the turn of a load test, from zero; false unless one runs.
func (s *moveStep) loadTestTurn(now time.Time) (turn int, running bool) {
	elapsed := now.Sub(s.since)
	if !isLoadTest(s.number) || elapsed >= s.lasts {
		return 0, false
	}
	return int(loadTestTurns * elapsed / s.lasts), true
}

// newTrack returns the track of a move that this daemon learns of now.
func newTrack(move thconfig.Move, now time.Time) *track {
	if move.Span > 0 {
		move.Start, move.Deadline = now, now.Add(move.Span)
	}
	t := &track{move: move, schedule: schedule{move.Start, move.Deadline}}
	t.step.Store(&moveStep{since: now})
	return t
}

// observeServers notes whether only the new version has backend servers. If that is so when
// the move is ordered, it is the version in service and keeps the traffic. Later it gets no
// more than its share, as a daemon that starts may find the servers of the versions one after
// the other.
func (t *track) observeServers(onlyNew, ordered bool) {
	t.inService = t.inService || ordered && onlyNew
	t.alone.Store(t.inService && onlyNew)
}

func (t *track) currentStep() *moveStep { return t.step.Load() }

// putReport stores a report from another daemon or from this one. A move without a start
// of its own began when the first daemon learned of it.
func (t *track) putReport(now time.Time, r thwire.Report) {
	t.reports.put(now, r)
	t.sent.put(now, r)
	if start := now.Add(-r.Age); t.move.Span > 0 && start.Before(t.schedule.start) {
		t.schedule = schedule{start, start.Add(t.move.Span)}
	}
}

type counterKey struct{ pool, server string }

func (t *track) ingressCounter(pool, server string) *slidingCounter {
	k := counterKey{pool, server}
	if c, found := t.ingressCounters.Load(k); found {
		return c.(*slidingCounter)
	}
	c, _ := t.ingressCounters.LoadOrStore(k, &slidingCounter{})
	return c.(*slidingCounter)
}

// committedEnd returns the committed final state, empty while the move is running.
func (t *track) committedEnd() string {
	if end := t.end.Load(); end != nil {
		return *end
	}
	return ""
}

// share returns the fraction of traffic that this daemon sends to the new version. A
// committed end overrides the verdict, since the servers of the other version stop.
func (t *track) share(now time.Time) float64 {
	switch t.committedEnd() {
	case "":
	case thconfig.MoveDone:
		return 1
	default:
		return 0
	}
	if t.alone.Load() {
		return 1
	}
	if t.bad.Load() || t.isSuspended(now) || now.Before(t.move.Start) {
		return 0
	}
	return t.currentStep().share(now)
}

// isSuspended reports whether this daemon sends no calls to the new version, since it is bad
// by the local statistics.
func (t *track) isSuspended(now time.Time) bool {
	return thclock.Stamp(now) < t.suspendedUntil.Load()
}

// servedCalls returns the statistics of one of the move's two pools, nil for other pools.
func (t *track) servedCalls(pool string) *servedCalls {
	switch pool {
	case t.move.From:
		return &t.served[0]
	case t.move.To:
		return &t.served[1]
	}
	return nil
}

// targetCounts returns the counts of the local backend server in a window by pool and
// route, without empty ones.
func (t *track) targetCounts(now time.Time, window time.Duration, self string) []thwire.ServerCounts {
	var counts []thwire.ServerCounts
	for _, pool := range []string{t.move.From, t.move.To} {
		for _, n := range t.servedCalls(pool).count(now, window) {
			n.Pool, n.Server = pool, self
			counts = append(counts, n)
		}
	}
	return counts
}

// ingressCounts returns the counts of the calls that this daemon sent in a window,
// without excluded servers.
func (t *track) ingressCounts(now time.Time, window time.Duration, excluded map[string]bool) []thwire.ServerCounts {
	var counts []thwire.ServerCounts
	t.ingressCounters.Range(func(k, v any) bool {
		key := k.(counterKey)
		if excluded[key.server] {
			return true
		}
		n := v.(*slidingCounter).count(now, window)
		if n.Answers > 0 {
			n.Pool, n.Server = key.pool, key.server
			counts = append(counts, n)
		}
		return true
	})
	return counts
}

// classify reports whether the outcome of a call counts for the comparison of
// versions, and whether it is a failure. Calls that were not run and calls cancelled
// by the caller don't count, since their outcome doesn't depend on the version.
func classify(kind therror.Kind, status int) (counts, failed bool) {
	switch {
	case kind == therror.Cancelled:
		return false, false
	case kind != "":
		return !therror.ResponseTo(kind).NotRun, true
	}
	return true, status >= 500
}
