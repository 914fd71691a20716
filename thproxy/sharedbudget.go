package thproxy

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Parameters of a SharedRetryBudget.
const (
	windowSlots = 20 // time slots of the sliding window
	// ratioFraction is the fraction of the ratio that daemons use for their own
	// retries. The rest is for the nested calls of a retried request: they count as
	// retries at the services that they reach and can't be held back.
	ratioFraction = 0.85
	// slackFraction is the fraction of the slack that daemons use. During a partition
	// into two, the daemons of each side divide the slack among themselves alone, so
	// that both sides together use this fraction twice.
	slackFraction = 0.5
	// lowPriorityFraction is the fraction of the resulting limit that calls of low
	// priority may use: a retry of an urgent or nested call saves more work.
	lowPriorityFraction = 0.5
	lowPriority         = 2 // priority from which calls are of low priority; 0 is the most urgent
)

// SharedRetryBudget is this daemon's part of a retry limit of the whole fleet: in
// each sliding window, the retries at a pool are at most Ratio times the requests
// to it, plus Slack. Daemons need no coordination: each applies the ratio to its own
// requests and uses an equal part of the slack.
type SharedRetryBudget struct {
	Ratio   float64
	Slack   float64 // retries of the fleet per window
	Window  time.Duration
	Daemons func() int // number of live daemons, including this one
	Clock   clockwork.Clock

	mutex sync.Mutex
	pools map[string]*poolCounts
}

// poolCounts holds the counts of a pool by time slot. The arrays are ring buffers.
type poolCounts struct {
	requests, retries [windowSlots]int
	slot              int64 // latest time slot, by thclock.Stamp
}

func (c *poolCounts) advance(slot int64) {
	for n := min(slot-c.slot, windowSlots); n > 0; n-- {
		c.requests[(slot-n+1)%windowSlots], c.retries[(slot-n+1)%windowSlots] = 0, 0
	}
	c.slot = max(c.slot, slot)
}

func (b *SharedRetryBudget) countsFor(pool string) *poolCounts {
	if b.pools == nil {
		b.pools = map[string]*poolCounts{}
	}
	c := b.pools[pool]
	if c == nil {
		c = &poolCounts{}
		b.pools[pool] = c
	}
	c.advance(thclock.Stamp(thclock.OrSystem(b.Clock).Now()) / int64(b.Window/windowSlots))
	return c
}

// CountRequest counts the first attempt of a call to a pool.
func (b *SharedRetryBudget) CountRequest(pool string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.countsFor(pool)
	c.requests[c.slot%windowSlots]++
}

// TakeRetry takes one retry out of the budget; false means that it is exhausted.
func (b *SharedRetryBudget) TakeRetry(pool string, priority int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.countsFor(pool)
	requests, retries := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	limit := ratioFraction*b.Ratio*float64(requests) + slackFraction*b.Slack/float64(max(1, b.Daemons()))
	if priority >= lowPriority {
		limit *= lowPriorityFraction
	}
	if float64(retries+1) > limit {
		return false
	}
	c.retries[c.slot%windowSlots]++
	return true
}

// CountRetry counts a retry that was not taken out of the budget. It always counts,
// even above the limit.
func (b *SharedRetryBudget) CountRetry(pool string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.countsFor(pool)
	c.retries[c.slot%windowSlots]++
}
