package thmove

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// windows are those of the evidence, from the shortest. With many answers the
// first shows within a second that a version has turned bad; the last collects
// enough answers at a small share.
var windows = [...]time.Duration{time.Second, 3 * time.Second, longestWindow}

const (
	slotDuration  = 500 * time.Millisecond
	longestWindow = 15 * time.Second
	lastWindow    = len(windows) - 1
	slotCount     = int(longestWindow/slotDuration) + 1 // one more for the slot in progress
)

// Latency buckets grow by latencyGrowth from firstLatencyBound, about 0.25 ms to 830 ms.
const (
	latencyBuckets    = 21
	firstLatencyBound = 250 * time.Microsecond
	latencyGrowth     = 1.5
)

var latencyBounds = computeLatencyBounds()

func computeLatencyBounds() [latencyBuckets]time.Duration {
	var bounds [latencyBuckets]time.Duration
	for i := range bounds {
		bounds[i] = time.Duration(float64(firstLatencyBound) * math.Pow(latencyGrowth, float64(i)))
	}
	return bounds
}

// latencyBucket returns the first bucket whose upper bound is at least d.
func latencyBucket(d time.Duration) int {
	for i, b := range latencyBounds {
		if d <= b {
			return i
		}
	}
	return latencyBuckets - 1
}

// slidingCounter counts what one daemon saw of one backend server, in slots of slotDuration.
// Its zero value is empty. Counting takes no lock: an answer counted while a
// slot is being cleared may be lost, which the verdict tolerates.
type slidingCounter struct {
	slots [slotCount]counterSlot
}

type counterSlot struct {
	epoch   atomic.Int64 // number of the slot since 1970
	answers atomic.Uint64
	errors  atomic.Uint64
	latency [latencyBuckets]atomic.Uint64
}

// observe counts one answer. Latency counts only where timed is set.
func (c *slidingCounter) observe(now time.Time, failed, timed bool, latency time.Duration) {
	epoch := now.UnixNano() / int64(slotDuration)
	t := &c.slots[epoch%int64(slotCount)]
	if old := t.epoch.Load(); old != epoch && t.epoch.CompareAndSwap(old, epoch) {
		t.answers.Store(0)
		t.errors.Store(0)
		for i := range t.latency {
			t.latency[i].Store(0)
		}
	}
	t.answers.Add(1)
	switch {
	case failed:
		t.errors.Add(1)
	case timed:
		t.latency[latencyBucket(latency)].Add(1)
	}
}

// count sums the slots of the window that ends at now.
func (c *slidingCounter) count(now time.Time, window time.Duration) thwire.Count {
	var n thwire.Count
	var latency [latencyBuckets]uint64
	last := now.UnixNano() / int64(slotDuration)
	oldest := last - int64(window/slotDuration)
	for i := range c.slots {
		t := &c.slots[i]
		if e := t.epoch.Load(); e <= oldest || e > last {
			continue
		}
		n.Answers += t.answers.Load()
		n.Errors += t.errors.Load()
		for j := range latency {
			latency[j] += t.latency[j].Load()
		}
	}
	n.Latency = trimEmptyBuckets(latency[:])
	return n
}

// trimEmptyBuckets copies the buckets without the empty ones at the end, to keep reports small.
func trimEmptyBuckets(buckets []uint64) []uint64 {
	end := len(buckets)
	for end > 0 && buckets[end-1] == 0 {
		end--
	}
	return append([]uint64(nil), buckets[:end]...)
}
