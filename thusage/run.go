package thusage

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	// leaseCheck is the longest time between two checks of the lease while a post is in progress.
	// Timers do not count the time for which the machine is suspended.
	leaseCheck = 250 * time.Millisecond
	// commitTimeout bounds a write, which a client of the store ends earlier.
	commitTimeout = 5 * time.Second
)

// runDuty performs the actions of the holder, one at a time, until ctx ends.
func (r *Reporter) runDuty(ctx context.Context) {
	announced := uint64(0) // token
	for ctx.Err() == nil {
		members := r.Members()
		r.mutex.Lock()
		held, token := r.node.duty.held, r.node.duty.token
		r.mutex.Unlock()
		if held && !r.holds(token) {
			// The tenure is about to begin or to end, or the lease awaits its renewal.
			r.pause(ctx, leaseCheck)
			continue
		}
		if held && token != announced {
			announced = token
			r.announce(members)
		}
		r.mutex.Lock()
		if r.node.duty.held != held || r.node.duty.token != token {
			r.mutex.Unlock()
			continue // a tenure has begun or ended since the lease was checked
		}
		a := r.node.next(members)
		r.mutex.Unlock()
		switch a := a.(type) {
		case wait:
			r.pause(ctx, a.Duration)
		case commit:
			r.commit(ctx, a)
		case post:
			r.post(ctx, a)
		case yield:
			r.Log.Warn("usage: the API can't be reached, yielding the duty", "token", a.token, "time", yieldTime)
			r.lease.Yield(ctx, yieldTime)
			r.mutex.Lock()
			r.node.duty.yielded(a)
			r.mutex.Unlock()
		}
	}
}

func (r *Reporter) pause(ctx context.Context, d time.Duration) {
	timer := r.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wakeDuty:
	case <-timer.Chan():
	}
}

// announce tells all daemons that this one has become the holder, so that they send it their
// counts.
func (r *Reporter) announce(members []thwire.Member) {
	r.mutex.Lock()
	m := &thwire.UsageReply{Now: int64(r.node.clock.now())}
	r.mutex.Unlock()
	r.addHolder(m)
	if m.Holder != r.Name {
		return
	}
	for _, member := range members {
		if member.Name == r.Name {
			continue
		}
		if err := r.Send(member.Name, thwire.TypeUsageReply, m); err != nil {
			r.warn("announce", "start of the duty not announced", "to", member.Name, "error", err)
		}
	}
}

func (r *Reporter) commit(ctx context.Context, a commit) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, commitTimeout)
	err := r.lease.Commit(ctx, a.state, a.rows...)
	cancel()
	r.mutex.Lock()
	r.node.duty.committed(a, err, r.Elapsed())
	r.mutex.Unlock()
	if err != nil {
		r.warn("commit", "usage: windows not stored", "token", a.token, "rows", len(a.rows), "error", err)
	}
}

// post sends a report while the lease holds.
func (r *Reporter) post(ctx context.Context, a post) {
	if !r.holds(a.token) {
		// OnEnd has yet to be called, or the lease is renewed later.
		r.pause(ctx, minPause)
		return
	}
	start := r.Elapsed()
	ctx, end := r.whileHeld(ctx, a.token)
	err := r.API.Post(ctx, r.Name, a.token, a.report)
	end()
	members := r.Members()
	r.mutex.Lock()
	r.node.duty.sent(a, err, r.node.clock.now(), start, r.Elapsed(), members)
	r.mutex.Unlock()
	requests := uint64(0)
	for _, n := range a.report.Counts {
		requests += n
	}
	fields := []any{
		"window", a.report.Window, "accounts", len(a.report.Counts), "requests", requests,
		"token", a.token, "attempt", a.attempt,
	}
	if err != nil {
		r.warn("post", "usage: window not reported", append(fields, "outcome", therror.KindOf(err), "error", err)...)
		return
	}
	r.Log.Info("usage: window reported", append(fields, "outcome", "accepted")...)
}

// holds reports whether the lease of the tenure with the token holds at this moment.
func (r *Reporter) holds(token uint64) bool {
	t, held := r.lease.Held()
	return held && t.Token == token
}

// heldContext is a context that also ends when the lease does. Err checks the lease at the
// moment of the call, which a process that was frozen makes before it notices that its timers
// are due.
type heldContext struct {
	context.Context

	held func() bool
}

func (c heldContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if !c.held() {
		return context.Canceled
	}
	return nil
}

// whileHeld returns a context that is cancelled when the lease ends, at the latest after
// postTimeout. The caller calls the returned function at the end of the post.
func (r *Reporter) whileHeld(parent context.Context, token uint64) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	r.mutex.Lock()
	r.cancel = cancel
	r.mutex.Unlock()
	deadline := r.Elapsed() + postTimeout
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		defer cancel()
		for {
			left := min(r.lease.Valid(), deadline-r.Elapsed(), leaseCheck)
			if left <= 0 || !r.holds(token) {
				return
			}
			timer := r.Clock.NewTimer(left)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.Chan():
			}
		}
	}()
	return heldContext{ctx, func() bool { return r.holds(token) }}, func() {
		cancel()
		<-watched
		r.mutex.Lock()
		r.cancel = nil
		r.mutex.Unlock()
	}
}
