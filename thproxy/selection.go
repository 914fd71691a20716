package thproxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Bounds of the pause before a call tries a server for the second time.
const (
	minReselectPause = 20 * time.Millisecond
	maxReselectPause = 100 * time.Millisecond
)

// selectServer chooses a server for the next attempt. After the call has tried
// every server of the pool, it fails if all were full and the last one gave a
// retry time. If at least one server failed otherwise, selectServer pauses and
// then chooses among the full servers. Failed servers stay excluded: they have no
// load, so the balancer would prefer them. The pause lets a full server drain its
// queue; it is skipped if the deadline is too close.
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
		t := thclock.OrSystem(c.Clock).NewTimer(pause)
		defer t.Stop()
		select {
		case <-t.Chan():
		case <-c.ctx.Done():
			return nil, contextError(c.ctx)
		}
	}
	return c.choose()
}
