package thmove

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
	"github.com/turmerichaven/turmerichaven/thwire"
)

// windows are the sliding windows of the call statistics, shortest first. With many
// responses the first window reveals a bad version within a second; the last window
// collects enough responses at a small traffic share.
var windows = [...]time.Duration{time.Second, 3 * time.Second, longestWindow}

const (
	slotDuration  = 500 * time.Millisecond
	longestWindow = 15 * time.Second
	lastWindow    = len(windows) - 1
	slotCount     = int(longestWindow/slotDuration) + 1 // includes the current, incomplete slot
)

// The upper bounds of the latency buckets grow exponentially from 0.25 ms to about 15 s,
// since calls with a usual latency of several seconds have to be told from slow ones too.
const (
	latencyBuckets    = 43
	firstLatencyBound = 250 * time.Microsecond
	latencyGrowth     = 1.3
)

var latencyBounds = computeLatencyBounds()

func computeLatencyBounds() [latencyBuckets]time.Duration {
	var bounds [latencyBuckets]time.Duration
	for i := range bounds {
		bounds[i] = time.Duration(float64(firstLatencyBound) * math.Pow(latencyGrowth, float64(i)))
	}
	return bounds
}

// latencyBucket returns the first bucket whose upper bound is at least d, or the last
// bucket.
func latencyBucket(d time.Duration) int {
	for i, b := range latencyBounds {
		if d <= b {
			return i
		}
	}
	return latencyBuckets - 1
}

// slidingCounter counts responses in a ring of slots of slotDuration each.
// The zero value is empty. Counting takes no lock: a response that is counted while a
// slot is being cleared may be lost, which the comparison tolerates.
type slidingCounter struct {
	slots [slotCount]counterSlot
}

type counterSlot struct {
	epoch     atomic.Int64  // slot number; tells whether the counts are current
	responses atomic.Uint64 // failures included
	errors    atomic.Uint64
	latency   [latencyBuckets]atomic.Uint64
	cut       [latencyBuckets]atomic.Uint64 // by age, calls that their caller cut off
}

// observe counts one response or failure in the slot of the given time. The latency is
// counted only for a response with timed set.
func (c *slidingCounter) observe(at time.Time, failed, timed bool, latency time.Duration) {
	s := c.slot(at)
	if s == nil {
		return
	}
	s.responses.Add(1)
	switch {
	case failed:
		s.errors.Add(1)
	case timed:
		s.latency[latencyBucket(latency)].Add(1)
	}
}

// observeCut counts a call that its caller cut off at the given age.
func (c *slidingCounter) observeCut(at time.Time, age time.Duration) {
	if s := c.slot(at); s != nil {
		s.cut[latencyBucket(age)].Add(1)
	}
}

// slotNumber returns the number of the slot of a time on this daemon.
func slotNumber(at time.Time) int64 { return thclock.Stamp(at) / int64(slotDuration) }

// slot returns the slot of a time, cleared if it held older counts. It returns nil if the
// slot already holds newer ones.
func (c *slidingCounter) slot(at time.Time) *counterSlot {
	epoch := slotNumber(at)
	s := &c.slots[epoch%int64(slotCount)]
	old := s.epoch.Load()
	if old > epoch {
		return nil
	}
	if old != epoch && s.epoch.CompareAndSwap(old, epoch) {
		s.responses.Store(0)
		s.errors.Store(0)
		for i := range latencyBuckets {
			s.latency[i].Store(0)
			s.cut[i].Store(0)
		}
	}
	return s
}

// count sums the slots of the window that ends at now.
func (c *slidingCounter) count(now time.Time, window time.Duration) thwire.ServerCounts {
	var n thwire.ServerCounts
	var latency, cut [latencyBuckets]uint64
	for i := range c.slots {
		s := &c.slots[i]
		if !inWindow(s.epoch.Load(), now, window) {
			continue
		}
		n.Answers += s.responses.Load()
		n.Errors += s.errors.Load()
		for j := range latency {
			latency[j] += s.latency[j].Load()
			cut[j] += s.cut[j].Load()
		}
	}
	n.Latency, n.Unfinished = trimEmptyBuckets(latency[:]), trimEmptyBuckets(cut[:])
	return n
}

// inWindow reports whether a slot belongs to the window that ends at now.
func inWindow(epoch int64, now time.Time, window time.Duration) bool {
	last := slotNumber(now)
	return epoch <= last && epoch > last-int64(window/slotDuration)
}

// trimEmptyBuckets returns a copy without the empty buckets at the end, which keeps
// reports small.
func trimEmptyBuckets(buckets []uint64) []uint64 {
	end := len(buckets)
	for end > 0 && buckets[end-1] == 0 {
		end--
	}
	return append([]uint64(nil), buckets[:end]...)
}
