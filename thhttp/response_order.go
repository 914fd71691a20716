package thhttp

import "context"

// How a request may run relative to the others of its connection.
const (
	orderUndecided  = iota // Begin was not called yet: later requests wait
	orderConcurrent        // concurrently with other such requests
	orderExclusive         // after all earlier requests are answered, and before any later one
)

// Begin waits until the request may run. An exclusive one waits until all earlier ones
// of its connection are answered; others only wait for exclusive and undecided ones.
// It returns the error of ctx, or errBroken if the connection broke.
func (r *response) Begin(ctx context.Context, exclusive bool) error {
	c := r.connection
	c.mutex.Lock()
	r.order = orderConcurrent
	if exclusive {
		r.order = orderExclusive
	}
	c.notifyChange()
	for {
		if c.broken || c.disconnected {
			c.mutex.Unlock()
			return errBroken
		}
		if !c.isBlocked(r, exclusive) {
			if !r.running.Swap(true) {
				c.account.running.Add(1)
			}
			c.mutex.Unlock()
			return nil
		}
		changed := c.waitChannel()
		c.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mutex.Lock()
	}
}

// isBlocked reports whether r must wait for an earlier request. The mutex is held.
func (c *connection) isBlocked(r *response, exclusive bool) bool {
	for _, q := range c.queue {
		if q == r {
			return false
		}
		if exclusive || q.order != orderConcurrent {
			return true
		}
	}
	return false
}

// endRunning marks that the backend server has answered, or that the handler has returned.
func (r *response) endRunning() {
	if r.running.Swap(false) {
		r.connection.account.running.Add(-1)
	}
}

// releaseOrder unblocks the requests behind r if its handler returned without calling
// Begin, as after an error.
func (c *connection) releaseOrder(r *response) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r.order == orderUndecided {
		r.order = orderConcurrent
		c.notifyChange()
	}
}
