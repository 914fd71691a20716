package thdaemon

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// minUpdatePause is the least time between rebuilds of the balancer's view that
// changes of the membership cause. At 680 members one rebuild takes 0.9 ms of
// the 20 ms of a core that the control plane has in each second.
const minUpdatePause = 50 * time.Millisecond

// A rebuild that takes long, as on a small share of a core in a large fleet, is
// followed by a pause of updatePauseFactor times its length, up to maxUpdatePause.
const (
	updatePauseFactor = 20
	maxUpdatePause    = 400 * time.Millisecond
)

// updater runs a function after changes, several of which share one run.
type updater struct {
	clock clockwork.Clock
	run   func()

	mu      sync.Mutex      // serialises the runs too
	last    time.Time       // end of the last run
	pause   time.Duration   // after the last run; zero before the first
	timer   clockwork.Timer // nil unless a run is due
	stopped bool
}

// runNow runs the function before it returns.
func (u *updater) runNow() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runLocked()
}

// schedule runs the function at once, or after the pause that its last run asks for.
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

func (u *updater) runLocked() {
	if u.stopped {
		return
	}
	if u.timer != nil {
		u.timer.Stop()
		u.timer = nil
	}
	start := u.clock.Now()
	u.run()
	u.last = u.clock.Now()
	u.pause = min(max(minUpdatePause, updatePauseFactor*u.last.Sub(start)), maxUpdatePause)
}

// stop prevents further runs and waits for one in progress.
func (u *updater) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	if u.timer != nil {
		u.timer.Stop()
	}
}

// hasRecovered reports whether a member has started again, or was suspect or dead
// and is alive, as after a freeze. Failed dials to it no longer count then.
func hasRecovered(before, now thwire.Member) bool {
	return now.State == thwire.MemberAlive && (now.Incarnation > before.Incarnation || before.State != thwire.MemberAlive)
}
