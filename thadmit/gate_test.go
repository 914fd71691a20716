package thadmit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

var background = context.Background()

// warmGate returns a gate whose limit has reached slots at a latency of 5 ms.
func warmGate(t *testing.T, slots int) (*Gate, *clockwork.FakeClock) {
	t.Helper()
	c := clockwork.NewFakeClock()
	g := &Gate{Slots: slots, Clock: c}
	assert.Equal(t, g.Load().Limit, max(1, slots/10))
	assert.Assert(t, g.Load().Cold)
	run(t, g, c, 15*slots, 5*time.Millisecond, true)
	assert.Equal(t, g.Load().Limit, slots)
	assert.Assert(t, !g.Load().Cold)
	return g, c
}

// run sends consecutive calls with the given latency and outcome.
func run(t *testing.T, g *Gate, c *clockwork.FakeClock, calls int, latency time.Duration, ok bool) {
	t.Helper()
	for range calls {
		p, err := g.Enter(background)
		assert.NilError(t, err)
		c.Advance(latency)
		p.Done(latency, ok)
	}
}

// forEachSize runs a test for a small and a large number of slots.
func forEachSize(t *testing.T, f func(t *testing.T, slots int)) {
	t.Helper()
	for _, n := range []int{5, 20} {
		t.Run(fmt.Sprint(n, " slots"), func(t *testing.T) { f(t, n) })
	}
}

// Guards against a limit that never reaches the slots of a warm server.
func TestWarmUp(t *testing.T) {
	forEachSize(t, func(t *testing.T, slots int) { warmGate(t, slots) })
}

// Guards against full load on a server that has suddenly become cold, and against a
// limit that doesn't recover afterwards.
func TestSuddenCold(t *testing.T) {
	forEachSize(t, func(t *testing.T, slots int) {
		g, c := warmGate(t, slots)
		for i := 0; i < 3*slots && !g.Load().Cold; i++ {
			run(t, g, c, 1, 50*time.Millisecond, true)
		}
		assert.Assert(t, g.Load().Cold)
		assert.Equal(t, g.Load().Limit, max(1, slots/10))
		run(t, g, c, 15*slots, 5*time.Millisecond, true)
		assert.Equal(t, g.Load().Limit, slots)
	})
}

// Guards against a limit that stays high while the server fails, and against one
// that drops to the minimum because of a single burst of errors.
func TestErrorsLowerTheLimitOncePerRoundTrip(t *testing.T) {
	forEachSize(t, func(t *testing.T, slots int) {
		g, c := warmGate(t, slots)
		run(t, g, c, 1, time.Second, false)
		after := g.Load().Limit
		assert.Equal(t, after, int(float64(slots)*decreaseFactor))
		run(t, g, c, 5, time.Nanosecond, false)
		assert.Equal(t, g.Load().Limit, after)
		run(t, g, c, 20, 0, false) // not dispatched
		assert.Equal(t, g.Load().Limit, after)
		run(t, g, c, 20, 10*time.Millisecond, false)
		assert.Equal(t, g.Load().Limit, 1)
	})
}

// Guards against a limit that stays at the minimum after the latency of a server has
// increased permanently.
func TestLastingLatencyBecomesBaseline(t *testing.T) {
	forEachSize(t, func(t *testing.T, slots int) {
		g, c := warmGate(t, slots)
		run(t, g, c, 100*slots, 40*time.Millisecond, true)
		assert.Equal(t, g.Load().Limit, slots)
	})
}

// Guards against callers that wait longer than the maximum wait, and against
// rejections without a retry time.
func TestQueueIsBounded(t *testing.T) {
	g, c := warmGate(t, 5)
	for range 5 {
		_, err := g.Enter(background)
		assert.NilError(t, err)
	}
	rejected := make(chan error, 5)
	for range 5 {
		go func() {
			_, err := g.Enter(background)
			rejected <- err
		}()
	}
	assert.NilError(t, c.BlockUntilContext(background, 5))
	_, err := g.Enter(background)
	assert.Equal(t, therror.KindOf(err), therror.Full)
	assert.Assert(t, therror.RetryAfter(err) > 0)
	c.Advance(defaultMaxWait)
	for range 5 {
		assert.Equal(t, therror.KindOf(<-rejected), therror.Full)
	}
	assert.Equal(t, g.Load().Queued, 0)
}

// Guards against new callers that are admitted before queued ones.
func TestQueueKeepsOrder(t *testing.T) {
	c := clockwork.NewFakeClock()
	g := &Gate{Slots: 5, Clock: c}
	first, err := g.Enter(background)
	assert.NilError(t, err)
	order := make(chan int, 4)
	for i := range 4 {
		go func() {
			p, err := g.Enter(background)
			order <- i
			if err == nil {
				p.Release()
			}
		}()
		assert.NilError(t, c.BlockUntilContext(background, i+1))
	}
	first.Release()
	for i := range 4 {
		assert.Equal(t, <-order, i)
	}
}

// Guards against calls that stay queued after the gate is closed, and against a gate
// that can't be reopened.
func TestClosing(t *testing.T) {
	c := clockwork.NewFakeClock()
	g := &Gate{Slots: 5, Clock: c}
	p, err := g.Enter(background)
	assert.NilError(t, err)
	rejected := make(chan error)
	go func() {
		_, err := g.Enter(background)
		rejected <- err
	}()
	assert.NilError(t, c.BlockUntilContext(background, 1))
	g.SetClosed(therror.Leaving)
	assert.Equal(t, therror.KindOf(<-rejected), therror.Leaving)
	_, err = g.Enter(background)
	assert.Equal(t, therror.KindOf(err), therror.Leaving)
	p.Done(time.Millisecond, true)
	assert.Equal(t, g.Load().Active, 0)
	// The gate of a draining daemon stays closed in every state of the backend server.
	g.SetServer(nil)
	g.SetServer(&thwire.Server{Slots: 5, State: thwire.ServerReady})
	_, err = g.Enter(background)
	assert.Equal(t, therror.KindOf(err), therror.Leaving)
	g.SetClosed("")
	g.SetServer(&thwire.Server{Slots: 5, State: thwire.ServerLeaving})
	_, err = g.Enter(background)
	assert.Equal(t, therror.KindOf(err), therror.Leaving)
	g.SetServer(nil)
	_, err = g.Enter(background)
	assert.Equal(t, therror.KindOf(err), therror.Unready)
	g.SetServer(&thwire.Server{Slots: 5, State: thwire.ServerReady})
	_, err = g.Enter(background)
	assert.NilError(t, err)
}

// Guards against a load report that raises the limit, lowers it below half of the
// slots, or is used after reportedLoadTTL.
func TestReportedLoadOnlyLowersLimit(t *testing.T) {
	g, c := warmGate(t, 20)
	g.SetReportedLoad(0)
	assert.Equal(t, g.Load().Limit, 20)
	g.SetReportedLoad(5)
	assert.Equal(t, g.Load().Limit, 15)
	g.SetReportedLoad(1000)
	assert.Equal(t, g.Load().Limit, 10)
	c.Advance(reportedLoadTTL)
	assert.Equal(t, g.Load().Limit, 20)
}

// Guards against more passes than slots, a limit out of range, and passes lost when
// cancellation, rejection, SetClosed and Done run concurrently.
func TestNoPassIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SampledFrom([]int{1, 5, 20}).Draw(t, "slots")
		g := &Gate{Slots: slots, MaxWait: time.Millisecond}
		var held, excess atomic.Int64
		var wg sync.WaitGroup
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			timeout := time.Duration(rapid.IntRange(0, 2000).Draw(t, "timeout")) * time.Microsecond
			latency := time.Duration(rapid.IntRange(0, 300).Draw(t, "latency")) * time.Microsecond
			ok := rapid.Bool().Draw(t, "ok")
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(background, timeout)
				defer cancel()
				p, err := g.Enter(ctx)
				if err != nil {
					return
				}
				if held.Add(1) > int64(slots) {
					excess.Add(1)
				}
				time.Sleep(latency)
				held.Add(-1)
				p.Done(latency, ok)
				p.Done(latency, ok)
			})
			switch {
			case i%17 == 7:
				g.SetClosed(therror.Leaving)
				g.SetClosed("")
			case i%11 == 5:
				g.SetReportedLoad(i)
			}
			if l := g.Load(); l.Limit < 1 || l.Limit > slots || l.Queued > slots {
				t.Fatalf("load out of range: %+v", l)
			}
		}
		wg.Wait()
		l := g.Load()
		if excess.Load() > 0 || l.Active != 0 || l.Queued != 0 {
			t.Fatalf("%d passes beyond %d slots, at the end %+v", excess.Load(), slots, l)
		}
		for range l.Limit {
			if _, err := g.Enter(background); err != nil {
				t.Fatalf("a pass was lost: %v", err)
			}
		}
	})
}

func BenchmarkEnter(b *testing.B) {
	g := &Gate{Slots: 1000}
	b.ReportAllocs()
	for b.Loop() {
		p, _ := g.Enter(background)
		p.Done(time.Millisecond, true)
	}
}

// Guards against a warm server whose limit drops because of failures of a dependency
// or of some requests, while its latency doesn't change.
func TestFewQuickErrorsKeepTheLimit(t *testing.T) {
	forEachSize(t, func(t *testing.T, slots int) {
		for _, percent := range []int{1, 3} {
			g, c := warmGate(t, slots)
			random := rand.New(rand.NewPCG(7, 8))
			sum, calls := 0, 20000
			for range calls {
				run(t, g, c, 1, 5*time.Millisecond, random.IntN(100) >= percent)
				sum += g.Load().Limit
			}
			t.Logf("%d%% errors: average limit %.2f", percent, float64(sum)/float64(calls))
			assert.Assert(t, sum > calls*slots*8/10)
		}
	})
}

// Guards against normal latency variation that is treated as overload or a cold
// server: one call in ten takes fifty times as long.
func TestMixedLatenciesKeepTheLimit(t *testing.T) {
	forEachSize(t, func(t *testing.T, slots int) {
		g, c := warmGate(t, slots)
		random := rand.New(rand.NewPCG(5, 6))
		sum, cold, calls := 0, 0, 20000
		for range calls {
			latency := time.Millisecond
			if random.IntN(10) == 0 {
				latency = 50 * time.Millisecond
			}
			run(t, g, c, 1, latency, true)
			sum += g.Load().Limit
			if g.Load().Cold {
				cold++
			}
		}
		t.Logf("average limit %.2f, %d calls while cold", float64(sum)/float64(calls), cold)
		assert.Assert(t, sum > calls*slots*8/10)
		assert.Assert(t, cold < calls/100)
	})
}

// Guards against a warm server that is limited like a cold one after its daemon has
// restarted, and against a limit of all slots before good rounds have confirmed it.
func TestServerReadyWhenFirstSeen(t *testing.T) {
	for state, want := range map[string]int{thwire.ServerStarting: 2, thwire.ServerReady: 10} {
		g := &Gate{Clock: clockwork.NewFakeClock()}
		g.SetServer(&thwire.Server{Service: "page", Version: "v1", Slots: 20, State: state})
		assert.Equal(t, g.Load().Limit, want, state)
		assert.Equal(t, g.Load().Cold, state == thwire.ServerStarting)
		g.SetServer(&thwire.Server{Service: "page", Version: "v2", Slots: 20, State: thwire.ServerReady})
		assert.Equal(t, g.Load().Limit, 2, "another version starts cold")
	}
}
