package thproxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmerichaven/turmerichaven/thclock"
)

// Bounds of the pause before a server is tried again within a call.
const (
	pauseMin = 20 * time.Millisecond
	pauseMax = 100 * time.Millisecond
)

// again chooses a server. When each of the pool has been tried in this call, and
// all were full and said for how long, the call is given up. When at least one of
// them had a fault, there is a pause first. Faulty servers have no load
// and would be preferred to one that was full, so they stay excluded. The pause
// gives the full one time to drain its queue; it is left out where the deadline
// has no room for it.
func (c *call) again() (Choice, error) {
	choice, err := c.choose()
	if err != nil || !slices.Contains(c.exclude, choice.Member().Name) {
		return choice, err
	}
	switch {
	case len(c.faulty) == 0 && c.wait > 0:
		c.spent = true
		return nil, c.refusal
	case len(c.faulty) == 0:
		return choice, nil
	}
	c.exclude = append(c.exclude[:0], c.faulty...)
	pause := min(max(c.wait, pauseMin), pauseMax)
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
