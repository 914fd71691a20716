package thdaemon

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// minUpdatePause is the least pause between rebuilds of the balancer's view after
// membership changes. With 680 members one rebuild takes 0.9 ms of the 20 ms of
// CPU time per second that the control plane may use.
const minUpdatePause = 50 * time.Millisecond

// The pause after a rebuild is updatePauseFactor times its duration, within
// minUpdatePause and maxUpdatePause. That limits the CPU time of slow rebuilds, as
// in a large fleet with a small share of a core.
const (
	updatePauseFactor = 20
	maxUpdatePause    = 400 * time.Millisecond
)

// updater calls rebuild after changes, and combines changes in quick succession
// into one call.
type updater struct {
	clock   clockwork.Clock
	rebuild func()

	mu      sync.Mutex      // also serialises the calls of rebuild
	last    time.Time       // end of the last rebuild
	pause   time.Duration   // after the last rebuild; zero before the first
	timer   clockwork.Timer // nil unless a rebuild is scheduled
	stopped bool
}

// runNow rebuilds before it returns.
func (u *updater) runNow() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runLocked()
}

// schedule rebuilds immediately, or when the pause after the last rebuild is over.
func (u *updater) schedule() {
	u.mu.Lock()
	defer u.mu.Unlock()
	wait := u.pause - u.clock.Since(u.last)
	switch {
	case u.timer != nil || u.stopped:
	case wait <= 0:
		u.runLocked()
	default:
		u.timer = u.clock.AfterFunc(wait, u.runNow)
	}
}

// runLocked rebuilds and sets the next pause; mu must be locked.
func (u *updater) runLocked() {
	if u.stopped {
		return
	}
	if u.timer != nil {
		u.timer.Stop()
		u.timer = nil
	}
	start := u.clock.Now()
	u.rebuild()
	u.last = u.clock.Now()
	u.pause = min(max(minUpdatePause, updatePauseFactor*u.last.Sub(start)), maxUpdatePause)
}

// stop prevents further rebuilds and waits for one in progress.
func (u *updater) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	if u.timer != nil {
		u.timer.Stop()
	}
}

// hasRecovered reports whether a member has restarted, or is alive again after it
// was suspect or dead, for example after a freeze. The backoff of failed dials to
// it is reset then.
func hasRecovered(before, after thwire.Member) bool {
	return after.State == thwire.MemberAlive && (after.Incarnation > before.Incarnation || before.State != thwire.MemberAlive)
}
