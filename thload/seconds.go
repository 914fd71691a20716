package thload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 2
)

// SecondStats is the result of the calls that were due in one second. Latencies are
// those of good calls, from the due time to the end.
type SecondStats struct {
	Start   time.Time     `json:"start"`
	Calls   int           `json:"calls"`
	Good    int           `json:"good"`
	Refused int           `json:"refused"` // not run
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	Max     time.Duration `json:"max"`
}

type bucket struct {
	SecondStats
	latency *hdrhistogram.Histogram // in microseconds
}

type statsTable struct {
	mutex   sync.Mutex
	buckets map[int64]*bucket
}

func (s *statsTable) add(c *Call) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.buckets == nil {
		s.buckets = map[int64]*bucket{}
	}
	at := c.Due.Unix()
	b := s.buckets[at]
	if b == nil {
		b = &bucket{SecondStats: SecondStats{Start: time.Unix(at, 0).UTC()}, latency: hdrhistogram.New(1, histogramMax, histogramDigits)}
		s.buckets[at] = b
	}
	b.Calls++
	if c.Outcome == OutcomeNotRun {
		b.Refused++
	}
	if c.Succeeded() {
		b.Good++
		_ = b.latency.RecordValue(min(max(1, c.End.Sub(c.Due).Microseconds()), histogramMax))
	}
}

func (s *bucket) summarise() SecondStats {
	r := s.SecondStats
	r.P50, r.P99, r.Max = quantile(s.latency, 50), quantile(s.latency, 99), quantile(s.latency, 100)
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Histogram returns the latencies in microseconds of all good calls that were
// due from one time up to but excluding another; a zero time sets no bound.
func (g *Generator) Histogram(from, to time.Time) *hdrhistogram.Histogram {
	g.stats.mutex.Lock()
	defer g.stats.mutex.Unlock()
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, s := range g.stats.buckets {
		if !s.Start.Before(from) && (to.IsZero() || s.Start.Before(to)) {
			h.Merge(s.latency)
		}
	}
	return h
}
