package thmove

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/therror"
)

// beginServed begins a call that must be allowed.
func beginServed(m *Mover, route, pool string) *ServedCall {
	c, allowed := m.BeginServed(route, pool, false)
	if !allowed {
		panic("call not allowed")
	}
	return c
}

// Guards against a slow version whose calls are never counted: their callers cut them
// off, or they are still running when the versions are compared.
func TestUnfinishedCallsCountAsSlow(t *testing.T) {
	for name, cut := range map[string]bool{"in progress": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1)
			oldServer, newServer := f.movers["otaru-0"], f.movers["otaru-1"]
			for range 100 {
				c := beginServed(oldServer, "slots", "old")
				c.End("", 200, 100*time.Millisecond)
			}
			var calls []*ServedCall
			for range 20 {
				calls = append(calls, beginServed(newServer, "slots", "new"))
			}
			f.clock.Advance(50 * time.Millisecond)
			assert.Assert(t, !compare(f, oldServer, newServer).bad, "young calls tell nothing")
			f.clock.Advance(950 * time.Millisecond)
			if cut {
				for _, c := range calls {
					c.End(therror.Cancelled, 0, time.Second)
				}
			}
			assert.Assert(t, compare(f, oldServer, newServer).bad)
		})
	}
}

// Guards against good versions that are judged bad by responses that take long to stream.
func TestStreamedResponsesAreNotSlow(t *testing.T) {
	f := newFleet(1)
	oldServer, newServer := f.movers["otaru-0"], f.movers["otaru-1"]
	for range 100 {
		beginServed(oldServer, "slots", "old").End("", 200, 100*time.Millisecond)
	}
	for i := range 40 {
		c := beginServed(newServer, "slots", "new")
		c.Responded()
		if i%2 == 0 {
			f.clock.Advance(time.Second)
			c.End(therror.Cancelled, 200, 100*time.Millisecond)
		}
	}
	assert.Assert(t, !compare(f, oldServer, newServer).bad)
}

// Guards against a good version that is judged bad after a burst of calls: the few slow
// ones among them end after the others, when nothing else is in the shortest window.
func TestSlowestCallsOfBurstAreNotJudgedAlone(t *testing.T) {
	f := newFleet(1)
	oldServer, newServer := f.movers["otaru-0"], f.movers["otaru-1"]
	for range 1000 {
		beginServed(oldServer, "slots", "old").End("", 200, 100*time.Millisecond)
	}
	var slow []*ServedCall
	for i := range 500 {
		if c := beginServed(newServer, "slots", "new"); i%100 == 0 {
			slow = append(slow, c)
		} else {
			c.End("", 200, 100*time.Millisecond)
		}
	}
	f.clock.Advance(1500 * time.Millisecond)
	for _, w := range windows {
		assert.Assert(t, !compareIn(f, w, oldServer, newServer).bad, "in progress, window %s", w)
	}
	for _, c := range slow {
		c.End("", 200, 1500*time.Millisecond)
	}
	for _, w := range windows {
		assert.Assert(t, !compareIn(f, w, oldServer, newServer).bad, "ended, window %s", w)
	}
}

// compare returns the verdict on the calls of two servers, one of each version.
func compare(f *fleet, oldServer, newServer *Mover) verdict {
	return compareIn(f, longestWindow, oldServer, newServer)
}

// compareIn is compare for one window of the new version; the old version has a baseline.
func compareIn(f *fleet, window time.Duration, oldServer, newServer *Mover) verdict {
	now := f.clock.Now()
	counts := oldServer.view.Load().byMove["slots-1"].targetCounts(now, longestWindow, "otaru-0")
	counts = append(counts, newServer.view.Load().byMove["slots-1"].targetCounts(now, window, "otaru-1")...)
	return judge(counts, "old", "new", []grouping{{groupOf: serverOf}}, &routeSamples{}, 1)
}

// Guards against a nil call, which BeginServed returns for a route without a move.
func TestCallWithoutMoveIsNotCounted(t *testing.T) {
	c := beginServed(&Mover{}, "slots", "old")
	assert.Assert(t, c == nil)
	c.End("", 200, time.Millisecond)
}
