package thusage

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxDeviation is the difference from the other daemons above which a daemon takes their
	// time. It must exceed the error of a sample, which is half of maxRoundTrip.
	maxDeviation = 250 * time.Millisecond
	// maxRoundTrip discards samples that a freeze or a queue has delayed.
	maxRoundTrip = 400 * time.Millisecond
	// sampleAge is the time after which a sample no longer counts. Clocks that drift by 100 ppm
	// differ by 6 ms after it.
	sampleAge = time.Minute
)

// trueTime is the time of day that the process started with, plus the time that has passed
// since, corrected by that of the other daemons. Times are durations since 1970 UTC.
type trueTime struct {
	elapsed func() time.Duration
	base    atomic.Int64 // true time less elapsed, in ns
	samples map[string]timeSample
}

// timeSample is the difference of another daemon's time from elapsed.
type timeSample struct {
	base time.Duration
	at   time.Duration // elapsed when it was taken
}

func (t *trueTime) now() time.Duration { return time.Duration(t.base.Load()) + t.elapsed() }

// sample records the time of another daemon in its answer to a message that was sent at asked.
func (t *trueTime) sample(name string, now, asked time.Duration) {
	elapsed := t.elapsed()
	trip := time.Duration(t.base.Load()) + elapsed - asked
	if trip < 0 || trip > maxRoundTrip {
		return
	}
	if t.samples == nil {
		t.samples = map[string]timeSample{}
	}
	t.samples[name] = timeSample{base: now + trip/2 - elapsed, at: elapsed}
}

// correct takes the median of the daemons' times if this one deviates from it, and returns the
// correction. The median includes the daemon's own time, and leans to it where there are two
// middle values, so that of three daemons only the one that is wrong follows the others.
func (t *trueTime) correct() time.Duration {
	elapsed := t.elapsed()
	own := time.Duration(t.base.Load())
	bases := []time.Duration{own}
	for name, s := range t.samples {
		if elapsed-s.at > sampleAge {
			delete(t.samples, name)
			continue
		}
		bases = append(bases, s.base)
	}
	slices.Sort(bases)
	low, high := bases[(len(bases)-1)/2], bases[len(bases)/2]
	median := min(max(own, low), high)
	if d := median - own; d.Abs() > maxDeviation {
		t.base.Store(int64(median))
		return d
	}
	return 0
}
