package thdaemon

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/turmerichaven/turmerichaven/thwire"
)

// Guards against a separate rebuild of the balancer's view for each of many
// membership changes, and against a change that is never applied.
func TestChangesShareOneUpdate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var runs, seen, changes atomic.Int64
	u := updater{clock: clock, rebuild: func() {
		seen.Store(changes.Load())
		runs.Add(1)
	}}
	for range 1000 {
		changes.Add(1)
		u.schedule()
	}
	assert.Equal(t, runs.Load(), int64(1))
	clock.Advance(minUpdatePause)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if runs.Load() == 2 {
			return poll.Success()
		}
		return poll.Continue("%d runs", runs.Load())
	}, poll.WithTimeout(5*time.Second))
	assert.Equal(t, seen.Load(), int64(1000))
	u.runNow() // a new configuration does not wait
	assert.Equal(t, runs.Load(), int64(3))
	u.stop()
	clock.Advance(time.Second)
	u.schedule()
	u.runNow()
	assert.Equal(t, runs.Load(), int64(3))
}

// Guards against rebuilds that use most of a small share of a core in a large fleet
// whose members change continuously.
func TestLongUpdatesArePaced(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for _, c := range []struct{ takes, pause time.Duration }{
		{time.Millisecond, minUpdatePause}, {10 * time.Millisecond, 200 * time.Millisecond}, {time.Second, maxUpdatePause},
	} {
		var runs atomic.Int64
		u := updater{clock: clock, rebuild: func() {
			runs.Add(1)
			clock.Advance(c.takes)
		}}
		u.schedule()
		u.schedule()
		assert.Equal(t, runs.Load(), int64(1))
		clock.Advance(c.pause - 1)
		assert.Equal(t, runs.Load(), int64(1))
		clock.Advance(1)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if runs.Load() == 2 {
				return poll.Success()
			}
			return poll.Continue("%d runs", runs.Load())
		}, poll.WithTimeout(5*time.Second))
		u.stop()
	}
}

// Guards against a daemon that recovers from a freeze and gets no calls until the
// backoff of the dials that failed during the freeze has passed.
func TestRecoveredMember(t *testing.T) {
	member := func(incarnation uint64, state int) thwire.Member {
		return thwire.Member{Incarnation: incarnation, State: state}
	}
	assert.Assert(t, hasRecovered(thwire.Member{}, member(1, thwire.MemberAlive)))
	assert.Assert(t, hasRecovered(member(1, thwire.MemberLeaving), member(2, thwire.MemberAlive)))
	assert.Assert(t, hasRecovered(member(1, thwire.MemberSuspect), member(1, thwire.MemberAlive)))
	assert.Assert(t, hasRecovered(member(1, thwire.MemberDead), member(1, thwire.MemberAlive)))
	assert.Assert(t, !hasRecovered(member(1, thwire.MemberAlive), member(1, thwire.MemberAlive)))
	assert.Assert(t, !hasRecovered(member(1, thwire.MemberAlive), member(2, thwire.MemberLeaving)))
}
