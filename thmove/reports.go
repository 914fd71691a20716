package thmove

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// reportTTL is how long a report counts: a source that falls silent is dropped.
const reportTTL = 3 * time.Second

// reportKey names the latest report of one source.
type reportKey struct {
	source string
	window int
}

type reportEntry struct {
	at     time.Time
	report thwire.Report
}

// reportSet keeps the latest report of each source of one move. The zero value is empty.
type reportSet struct {
	entries map[reportKey]reportEntry
}

func (r *reportSet) put(now time.Time, report thwire.Report) {
	if r.entries == nil {
		r.entries = map[reportKey]reportEntry{}
	}
	r.entries[reportKey{report.Source, report.Window}] = reportEntry{now, report}
}

// sum adds up the live reports of one window by pool and backend server.
func (r *reportSet) sum(now time.Time, window int) []thwire.Count {
	type serverKey struct{ pool, server string }
	sums := map[serverKey]*thwire.Count{}
	for k, e := range r.entries {
		if now.Sub(e.at) > reportTTL {
			delete(r.entries, k)
			continue
		}
		if k.window != window {
			continue
		}
		for _, c := range e.report.Counts {
			s := sums[serverKey{c.Pool, c.Server}]
			if s == nil {
				s = &thwire.Count{Pool: c.Pool, Server: c.Server}
				sums[serverKey{c.Pool, c.Server}] = s
			}
			addCount(s, c)
		}
	}
	counts := make([]thwire.Count, 0, len(sums))
	for _, s := range sums {
		counts = append(counts, *s)
	}
	slices.SortFunc(counts, func(a, b thwire.Count) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Server, b.Server))
	})
	return counts
}

func addCount(s *thwire.Count, c thwire.Count) {
	s.Answers += c.Answers
	s.Errors += c.Errors
	for i, n := range c.Latency {
		if i >= latencyBuckets {
			return
		}
		if i >= len(s.Latency) {
			s.Latency = append(s.Latency, 0)
		}
		s.Latency[i] += n
	}
}
