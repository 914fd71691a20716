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
var windows = [...]time.Duration{time.Second, 3 * time.Second, longest}

const (
	cellSlot   = 500 * time.Millisecond
	longest    = 15 * time.Second
	lastWindow = len(windows) - 1
	cellSlots  = int(longest/cellSlot) + 1 // one more for the slot in progress
)

// Latency buckets grow by latencyGrowth from latencyFirst, about 0.25 ms to 830 ms.
const (
	latencyBuckets = 21
	latencyFirst   = 250 * time.Microsecond
	latencyGrowth  = 1.5
)

var latencyBounds = boundsOf()

func boundsOf() [latencyBuckets]time.Duration {
	var bounds [latencyBuckets]time.Duration
	for i := range bounds {
		bounds[i] = time.Duration(float64(latencyFirst) * math.Pow(latencyGrowth, float64(i)))
	}
	return bounds
}

// bucketOf returns the first bucket whose upper bound is at least d.
func bucketOf(d time.Duration) int {
	for i, b := range latencyBounds {
		if d <= b {
			return i
		}
	}
	return latencyBuckets - 1
}

// cell counts what one daemon saw of one backend server, in slots of cellSlot.
// Its zero value is empty. Counting takes no lock: an answer counted while a
// slot is being cleared may be lost, which the verdict tolerates.
type cell struct {
	slots [cellSlots]tally
}

type tally struct {
	epoch   atomic.Int64 // number of the slot since 1970
	answers atomic.Uint64
	errors  atomic.Uint64
	latency [latencyBuckets]atomic.Uint64
}

// observe counts one answer. Latency counts only where timed is set.
func (c *cell) observe(now time.Time, failed, timed bool, latency time.Duration) {
	epoch := now.UnixNano() / int64(cellSlot)
	t := &c.slots[epoch%int64(cellSlots)]
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
		t.latency[bucketOf(latency)].Add(1)
	}
}

// count sums the slots of the window that ends at now.
func (c *cell) count(now time.Time, window time.Duration) thwire.ServerCounts {
	var n thwire.ServerCounts
	var latency [latencyBuckets]uint64
	last := now.UnixNano() / int64(cellSlot)
	oldest := last - int64(window/cellSlot)
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
	n.Latency = trim(latency[:])
	return n
}

// trim copies the buckets without the empty ones at the end, to keep reports small.
func trim(buckets []uint64) []uint64 {
	end := len(buckets)
	for end > 0 && buckets[end-1] == 0 {
		end--
	}
	return append([]uint64(nil), buckets[:end]...)
}
