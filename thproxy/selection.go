package thproxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Bounds of the pause before a server is tried again within a call.
const (
	minReselectPause = 20 * time.Millisecond
	maxReselectPause = 100 * time.Millisecond
)

// selectServer chooses a server. When each of the pool has been tried in this call, and
// all were full and said for how long, the call is given up. When at least one of
// them had a fault, there is a pause first. Faulty servers have no load
// and would be preferred to one that was full, so they stay excluded. The pause
// gives the full one time to drain its queue; it is left out where the deadline
// has no room for it.
func (c *call) selectServer() (Choice, error) {
	choice, err := c.choose()
	if err != nil || !slices.Contains(c.excluded, choice.Member().Name) {
		return choice, err
	}
	switch {
	case len(c.failedServers) == 0 && c.retryAfter > 0:
		c.rejectedByAll = true
		return nil, c.lastErr
	case len(c.failedServers) == 0:
		return choice, nil
	}
	c.excluded = append(c.excluded[:0], c.failedServers...)
	pause := min(max(c.retryAfter, minReselectPause), maxReselectPause)
	pause += rand.N(pause / 2)
	if d, ok := c.ctx.Deadline(); ok && time.Until(d) > 2*pause {
		t := thclock.Or(c.Clock).NewTimer(pause)
		defer t.Stop()
		select {
		case <-t.Chan():
		case <-c.ctx.Done():
			return nil, contextError(c.ctx)
		}
	}
	return c.choose()
}
