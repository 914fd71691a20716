package thsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of requests to the source. A store that fails for a moment may take a request and
// never respond, while its connection stays open and answers keep-alive probes. Only the
// missing response shows that, so the requests of the confirming readers are due early
// enough for the change to be read and distributed within Apply.
const (
	// longPollWait is how long the source may hold the requests of the other readers open.
	longPollWait = 25 * time.Second
	// confirmFraction is the fraction of Apply for which the source may hold the requests of
	// confirming readers open.
	confirmFraction = 0.5
	// responseFraction is the fraction of Apply within which the source responds, in addition
	// to the time for which it holds a request open.
	responseFraction = 0.375
	// Each patientAttempt-th attempt in a series of failures may take maxResponseTimeout, so
	// that a store which responds slowly can be read.
	patientAttempt     = 3
	maxResponseTimeout = 2 * time.Second
	// newsFraction is the fraction of Apply after which a request is abandoned that has
	// returned nothing although another daemon has learned of a newer version since.
	newsFraction = 0.125
)

// Reasons for abandoning a request for changes.
const (
	lostOverdue = "no response in time"
	lostNews    = "another daemon holds a newer version"
)

// longPoll is the request to the source that is in progress. The zero value is ready to use.
type longPoll struct {
	mutex   sync.Mutex
	since   time.Time     // zero while there is no request
	wait    time.Duration // for which the source may hold the request open
	mayWait bool          // the last read has succeeded, so that the source may wait for a change
	cancel  context.CancelFunc
	lost    string // why the request was abandoned
}

// begin notes a request that is sent now and returns its context.
func (p *longPoll) begin(ctx context.Context, now time.Time, wait time.Duration) context.Context {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ctx, p.cancel = context.WithCancel(ctx)
	p.since, p.wait, p.lost = now, wait, ""
	return ctx
}

// end notes that the request has ended and returns why it was abandoned, "" if it was not.
func (p *longPoll) end(succeeded bool) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cancel()
	p.since, p.mayWait = time.Time{}, succeeded
	return p.lost
}

// reset notes that the next request reads everything and does not wait for a change.
func (p *longPoll) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mayWait = false
}

// abandonIf cancels a request in progress that waits for a change if the function returns a
// reason.
func (p *longPoll) abandonIf(reason func(since time.Time, wait time.Duration) string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.since.IsZero() || !p.mayWait || p.lost != "" {
		return
	}
	if p.lost = reason(p.since, p.wait); p.lost != "" {
		p.cancel()
	}
}

// resetSource makes the next request read all orders.
func (f *Follower) resetSource() {
	f.poll.reset()
	f.Source.Reset()
}

// pollWait returns how long the source may hold a request of this daemon open.
func (f *Follower) pollWait() time.Duration {
	if f.cutOff.Load() || f.role().confirms {
		return f.part(confirmFraction)
	}
	return longPollWait
}

// responseTimeout returns the timeout of a request to the source after a number of failed ones.
func (f *Follower) responseTimeout(failures int) time.Duration {
	if failures%patientAttempt == patientAttempt-1 {
		return maxResponseTimeout
	}
	return min(f.part(responseFraction), maxResponseTimeout)
}

// checkPoll abandons a request that may be lost: its wait is that of another role and it
// would be overdue in the current one, or another daemon has learned of a change that it
// should have returned.
func (f *Follower) checkPoll() {
	now := f.Clock.Now()
	f.poll.abandonIf(func(since time.Time, wait time.Duration) string {
		if current := f.pollWait(); current < wait && now.Sub(since) > current+f.part(responseFraction) {
			return lostOverdue
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if len(f.backlog) == 0 {
			return ""
		}
		// The read before the request has not returned what was known before it.
		if known := f.backlog[len(f.backlog)-1].since; known.After(since) && now.Sub(known) >= f.part(newsFraction) {
			return lostNews
		}
		return ""
	})
}

// retryDelay returns the time between a failed request that has taken some time and the next
// one. The backoff counts from the start of the request.
func retryDelay(backoff, taken time.Duration) time.Duration {
	return max(backoff/2+rand.N(backoff)-taken, initialRetryDelay/2+rand.N(initialRetryDelay))
}
