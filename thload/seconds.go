package thload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 2 // significant decimal digits
)

// SecondStats summarises the attempts that were due in one second. Latencies are those
// of successful attempts, from the due time to the end.
type SecondStats struct {
	Start   time.Time     `json:"start"`
	Calls   int           `json:"calls"`
	Good    int           `json:"good"`    // successful, see Call.Succeeded
	Refused int           `json:"refused"` // with OutcomeNotRun
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	Max     time.Duration `json:"max"`
}

// bucket collects the results of one second.
type bucket struct {
	SecondStats
	latency *hdrhistogram.Histogram // in microseconds
}

// statsTable collects the results by second.
type statsTable struct {
	mutex   sync.Mutex
	buckets map[int64]*bucket // by Unix time in seconds
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

// Histogram returns the latencies in microseconds of all successful attempts whose
// second of due time begins in a time range, to excluded. A zero time sets no bound.
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
