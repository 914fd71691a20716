package thmove

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// reportTTL is the validity of a report; later it is dropped, such as when its source
// has failed.
const reportTTL = 3 * time.Second

// reportKey identifies the latest report of one source for one window.
type reportKey struct {
	source string
	window int
}

type reportEntry struct {
	at     time.Time
	report thwire.Report
}

// reportSet stores the latest reports about one move by source and window. The zero
// value is empty.
type reportSet struct {
	entries map[reportKey]reportEntry
}

// put replaces the source's previous report for the same window.
func (r *reportSet) put(now time.Time, report thwire.Report) {
	if r.entries == nil {
		r.entries = map[reportKey]reportEntry{}
	}
	r.entries[reportKey{report.Source, report.Window}] = reportEntry{now, report}
}

// sum adds up the valid reports for one window by pool, backend server and route, sorted
// by these, and drops expired reports.
func (r *reportSet) sum(now time.Time, window int) []thwire.ServerCounts {
	type serverKey struct{ pool, server, route string }
	sums := map[serverKey]*thwire.ServerCounts{}
	for k, e := range r.entries {
		if now.Sub(e.at) > reportTTL {
			delete(r.entries, k)
			continue
		}
		if k.window != window {
			continue
		}
		for _, c := range e.report.Counts {
			key := serverKey{c.Pool, c.Server, c.Route}
			s := sums[key]
			if s == nil {
				s = &thwire.ServerCounts{Pool: c.Pool, Server: c.Server, Route: c.Route}
				sums[key] = s
			}
			addCount(s, c)
		}
	}
	counts := make([]thwire.ServerCounts, 0, len(sums))
	for _, s := range sums {
		counts = append(counts, *s)
	}
	slices.SortFunc(counts, func(a, b thwire.ServerCounts) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Route, b.Route))
	})
	return counts
}

// addCount adds c to sum. Buckets beyond latencyBuckets are ignored.
func addCount(sum *thwire.ServerCounts, c thwire.ServerCounts) {
	sum.Answers += c.Answers
	sum.Errors += c.Errors
	sum.Latency = addBuckets(sum.Latency, c.Latency)
	sum.Unfinished = addBuckets(sum.Unfinished, c.Unfinished)
}

// addBuckets adds the buckets of more to sum and returns the extended sum.
func addBuckets(sum, more []uint64) []uint64 {
	for i, n := range more[:min(len(more), latencyBuckets)] {
		if i >= len(sum) {
			sum = append(sum, 0)
		}
		sum[i] += n
	}
	return sum
}

// sentCalls are the calls of both versions that reached backend servers since the start of
// a move.
type sentCalls struct {
	oldVersion, newVersion uint64
	oldActive              uint64 // calls of the old version in progress
	newAnswered            uint64 // calls of the new version that ended with a response or a failure
}

func (c sentCalls) all() uint64 { return c.oldVersion + c.newVersion }

// stepEvidence compares the responses of the new version at one step with the calls that
// the share of the traffic implies.
type stepEvidence struct {
	step     int
	answered uint64                // before the step
	before   map[string]sentSource // of each source, when the step was first seen
	all      uint64                // calls of both versions at the last update
	expected float64
}

// update adds the calls since the last update, which had the given share.
func (e *stepEvidence) update(step int, share float64, sent sentCalls, reports sentReports) {
	if step != e.step {
		*e = stepEvidence{step: step, answered: sent.newAnswered, all: e.all, before: reports.snapshot()}
	}
	e.expected += share * float64(sent.all()-min(e.all, sent.all()))
	e.all = sent.all()
}

// isEnough reports whether the new version has had enough responses at the step for the
// next one: minStepResponses, or a quarter of those that the traffic implies, so that
// routes with little traffic can move too.
func (e *stepEvidence) isEnough(sent sentCalls) bool {
	answered := sent.newAnswered - min(e.answered, sent.newAnswered)
	return answered >= minStepResponses || e.expected < minExpectedResponses || float64(answered) >= e.expected/4
}

// minTestedResponses is the number of responses from which on a server counts as tested by a
// load test.
const minTestedResponses = 3

// maxRestartedShare limits the sources that may have started again during a load test, as a
// fraction of the servers that it has tested: their results are lost.
const maxRestartedShare = 0.25

// coversLoadTest reports whether the results of the load test that is the current step have
// been seen: enough servers of the new version have been tested, of those that can be expected
// from the traffic, and few daemons beside them have started again since.
func (e *stepEvidence) coversLoadTest(reports sentReports, servers int) bool {
	tested, restarted := 0, 0
	for name, now := range reports.sources {
		before := e.before[name]
		switch {
		case now.starts != before.starts && now.total().newVersion > 0:
			restarted++
		case now.total().newAnswered-before.total().newAnswered >= minTestedResponses:
			tested++
		}
	}
	needed := min(servers, loadTestTurns, int(e.expected/(2*minTestedResponses)))
	return tested >= needed && float64(restarted) <= maxRestartedShare*float64(tested)
}

// sentReports adds up the totals that the reports of one move carry. The zero value is
// empty.
type sentReports struct {
	sources map[string]*sentSource
}

// sentSource holds the totals of one source. A source that starts again counts from zero;
// before holds what it had counted until then.
type sentSource struct {
	at           time.Time
	before, last sentCalls
	starts       int // how often it has started again
}

// total returns the calls that the source has counted.
func (e *sentSource) total() sentCalls {
	return sentCalls{
		oldVersion: e.before.oldVersion + e.last.oldVersion, newVersion: e.before.newVersion + e.last.newVersion,
		newAnswered: e.before.newAnswered + e.last.newAnswered,
	}
}

// snapshot returns a copy of the sources.
func (s *sentReports) snapshot() map[string]sentSource {
	sources := make(map[string]sentSource, len(s.sources))
	for name, e := range s.sources {
		sources[name] = *e
	}
	return sources
}

func (s *sentReports) put(now time.Time, r thwire.Report) {
	if s.sources == nil {
		s.sources = map[string]*sentSource{}
	}
	e := s.sources[r.Source]
	if e == nil {
		e = &sentSource{}
		s.sources[r.Source] = e
	}
	if r.OldSent < e.last.oldVersion || r.NewSent < e.last.newVersion {
		e.before.oldVersion += e.last.oldVersion
		e.before.newVersion += e.last.newVersion
		e.before.newAnswered += e.last.newAnswered
		e.starts++
	}
	e.at, e.last = now, sentCalls{r.OldSent, r.NewSent, r.OldActive, r.NewAnswered}
}

// sum returns the totals of all sources. Calls in progress count only for sources that
// still report.
func (s *sentReports) sum(now time.Time) sentCalls {
	var sum sentCalls
	for _, e := range s.sources {
		total := e.total()
		sum.oldVersion += total.oldVersion
		sum.newVersion += total.newVersion
		sum.newAnswered += total.newAnswered
		if now.Sub(e.at) <= reportTTL {
			sum.oldActive += e.last.oldActive
		}
	}
	return sum
}
