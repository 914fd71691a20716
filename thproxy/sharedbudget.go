package thproxy

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Constants of a SharedRetryBudget.
const (
	windowSlots = 20 // parts of the window
	// ratioFraction is the part of the ratio that the daemons use. Calls that a repeated
	// request makes in turn count as repeats at the services that they reach, and
	// can't be held back.
	ratioFraction = 0.85
	// slackFraction is the part of the slack that the daemons use: each side of a
	// partition into two takes all of it.
	slackFraction = 0.5
	// lowPriorityFraction is the part of that which calls of low priority may use: a repeat
	// of an urgent call or of an inner one saves more work.
	lowPriorityFraction = 0.5
	lowPriority         = 2 // calls of this priority and less urgent ones
)

// SharedRetryBudget is this daemon's part of a limit on repeats that holds for the
// whole fleet in each sliding window: repeats at a pool are at most Ratio of the
// requests to it, plus Slack. No agreement is needed: each daemon keeps the
// ratio for its own requests, and takes an equal part of the slack.
type SharedRetryBudget struct {
	Ratio   float64
	Slack   float64 // repeats in a window, over the fleet
	Window  time.Duration
	Daemons func() int // live daemons, this one included
	Clock   clockwork.Clock

	mutex sync.Mutex
	pools map[string]*poolCounts
}

// poolCounts holds the counts of a pool by part of the window.
type poolCounts struct {
	requests, retries [windowSlots]int
	slot              int64 // latest part, since 1970
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
	c.advance(thclock.Or(b.Clock).Now().UnixNano() / int64(b.Window/windowSlots))
	return c
}

// CountRequest counts a request to a pool.
func (b *SharedRetryBudget) CountRequest(pool string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.countsFor(pool)
	c.requests[c.slot%windowSlots]++
}

// TakeRetry takes one repeat out of the budget; false means that it is spent.
func (b *SharedRetryBudget) TakeRetry(pool string, priority int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.countsFor(pool)
	firsts, repeats := 0, 0
	for i := range c.requests {
		firsts += c.requests[i]
		repeats += c.retries[i]
	}
	limit := ratioFraction*b.Ratio*float64(firsts) + slackFraction*b.Slack/float64(max(1, b.Daemons()))
	if priority >= lowPriority {
		limit *= lowPriorityFraction
	}
	if float64(repeats+1) > limit {
		return false
	}
	c.retries[c.slot%windowSlots]++
	return true
}

// CountRetry counts a repeat that takes no part in the decision.
func (b *SharedRetryBudget) CountRetry(pool string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := b.countsFor(pool)
	c.retries[c.slot%windowSlots]++
}
