package thproxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/turmerichaven/turmerichaven/thconfig"
	"github.com/turmerichaven/turmerichaven/therror"
	"github.com/turmerichaven/turmerichaven/thwire"
)

const (
	downloadBytes = 90 << 10
	downloadWork  = 140 * time.Millisecond
	downloadGoal  = 800 * time.Millisecond
)

func newDownloads() (*Downloads, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	d := &Downloads{Link: &thwire.Link{Speed: 10, Clock: clock}, Clock: clock}
	d.Observe("download", downloadBytes, downloadWork)
	d.Observe("small", 5<<10, 69*time.Millisecond)
	return d, clock
}

func isDecided(x *Download) bool {
	select {
	case <-x.decided:
		return true
	default:
		return false
	}
}

// downloadOutcome counts what became of the calls of a model.
type downloadOutcome struct{ onTime, late, rejected, largestQueue int }

// playDownloads plays calls at a rate for a minute. Each response is ready after 100 to 180 ms
// and is sent after those that were ready before, beside 26 small ones a second, which come first.
func playDownloads(t *testing.T, limited bool, rate float64) downloadOutcome {
	t.Helper()
	d, clock := newDownloads()
	// Of their own, so that both plays have the same arrivals.
	calls, small, work := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 3))
	type call struct {
		download       *Download
		arrival, ready time.Time
	}
	var waiting, running []*call
	var out downloadOutcome
	next, nextSmall := clock.Now(), clock.Now()
	after := func(r *rand.Rand, rate float64) time.Duration {
		return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
	}
	end := clock.Now().Add(time.Minute)
	for {
		now := clock.Now()
		for ; !nextSmall.After(now) && now.Before(end); nextSmall = nextSmall.Add(after(small, 26)) {
			d.Link.Add(5<<10, false)
		}
		for ; !next.After(now) && now.Before(end); next = next.Add(after(calls, rate)) {
			c := &call{arrival: now}
			if limited {
				x, err := d.enter(&thwire.Open{Route: "download", Goal: int64(downloadGoal)}, now.Add(5*time.Second))
				if err != nil {
					assert.Assert(t, therror.IsNotRun(err))
					assert.Assert(t, therror.RetryAfter(err) > 0)
					out.rejected++
					continue
				}
				c.download = x
			}
			waiting = append(waiting, c)
		}
		if limited {
			d.mutex.Lock()
			d.advance() // the timer runs in a goroutine of its own
			d.mutex.Unlock()
		}
		out.largestQueue = max(out.largestQueue, len(waiting))
		waiting = slices.DeleteFunc(waiting, func(c *call) bool {
			switch {
			case limited && !isDecided(c.download):
				return false
			case limited && c.download.rejection != nil:
				out.rejected++
				return true
			}
			c.ready = now.Add(100*time.Millisecond + time.Duration(work.Int64N(int64(80*time.Millisecond))))
			running = append(running, c)
			return true
		})
		running = slices.DeleteFunc(running, func(c *call) bool {
			if c.ready.After(now) {
				return false
			}
			c.download.Sending()
			d.Link.Add(downloadBytes, true)
			if now.Add(d.Link.Backlog()).Sub(c.arrival) <= downloadGoal {
				out.onTime++
			} else {
				out.late++
			}
			c.download.Done()
			return true
		})
		if !now.Before(end) && len(waiting)+len(running) == 0 {
			break
		}
		clock.Advance(time.Millisecond)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	assert.Equal(t, d.committed, int64(0))
	assert.Equal(t, len(d.queue), 0)
	return out
}

// Load: responses of 90 KB on a link of 10 Mbit/s that can send 12 or 13 a second beside small
// ones: 11.8 and 16 a second. Guards against a link on which all large responses are late, and
// against a limit that leaves the link idle or rejects calls that would be on time.
func TestDownloadsFinishOneAfterTheOther(t *testing.T) {
	for _, rate := range []float64{8, 11.8, 16} {
		before, limited := playDownloads(t, false, rate), playDownloads(t, true, rate)
		t.Logf("%.1f a second: without a limit %+v", rate, before)
		t.Logf("%.1f a second: with the limit  %+v", rate, limited)
		assert.Assert(t, limited.onTime*100 >= before.onTime*97, "fewer are on time")
		assert.Assert(t, limited.late*20 <= limited.onTime, "admitted calls are late")
		if rate > 13 {
			assert.Assert(t, limited.onTime >= 60*11, "the link is idle")
		}
	}
}

// Guards against a call that is limited although its responses are small or the speed of the
// link is unknown, and against one that is rejected while the link is idle.
func TestOtherCallsAreNotLimited(t *testing.T) {
	d, clock := newDownloads()
	d.Link.Add(10<<20, true)
	for _, route := range []string{"small", "unknown"} {
		x, err := d.Enter(t.Context(), &thwire.Open{Route: route, Goal: 1})
		assert.NilError(t, err)
		assert.Assert(t, x == nil)
	}
	for _, other := range []*Downloads{nil, {}, {Link: &thwire.Link{}}} {
		other.Observe("download", downloadBytes, downloadWork)
		x, err := other.Enter(t.Context(), &thwire.Open{Route: "download", Goal: 1})
		assert.NilError(t, err)
		assert.Assert(t, x == nil)
		assert.Equal(t, other.LinkTime("download"), time.Duration(0))
		x.Sending()
		x.Done()
	}
	clock.Advance(time.Minute)
	x, err := d.Enter(t.Context(), &thwire.Open{Route: "download", Goal: 1})
	assert.NilError(t, err)
	x.Done()
}

// Guards against a less urgent call that is admitted first, a call without an end in the queue
// after its caller has gone, and room that an ended call does not give back.
func TestQueueOfDownloads(t *testing.T) {
	d, clock := newDownloads()
	enter := func(priority int) *Download {
		x, err := d.enter(&thwire.Open{Route: "download", Priority: priority}, time.Time{})
		assert.NilError(t, err)
		return x
	}
	var admitted []*Download
	x := enter(1)
	for ; isDecided(x); x = enter(1) {
		admitted = append(admitted, x)
		assert.Assert(t, len(admitted) < 10, "no limit")
	}
	// The work of 140 ms and one response of 74 ms: the third finds the link busy for 147 ms.
	assert.Equal(t, len(admitted), 3)
	urgent := enter(0)
	admitted[0].Done() // without a response
	assert.Assert(t, isDecided(urgent))
	assert.Assert(t, !isDecided(x))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := d.Enter(ctx, &thwire.Open{Route: "download"})
	assert.Assert(t, therror.Is(err, therror.Cancelled), "%v", err)
	assert.Equal(t, len(d.queue), 1)

	// The last one is admitted by the timer, when the link has sent enough.
	for _, a := range append(admitted[1:], urgent) {
		d.Link.Add(downloadBytes, true)
		a.Sending()
		a.Done()
	}
	assert.Assert(t, !isDecided(x))
	clock.Advance(d.Link.Transfer(downloadBytes))
	<-x.decided
	assert.NilError(t, x.rejection)
	assert.Assert(t, d.LinkTime("download") > d.LinkTime("small"))
}

// Guards against a target that does not learn the size of responses, does not state the time
// of its link, or keeps the room of calls that have ended.
func TestTargetStatesTheTimeOfItsLink(t *testing.T) {
	m := newMesh(t, thconfig.Route{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
		_, _ = w.Write(make([]byte, downloadBytes))
	}))
	d := &Downloads{Link: &thwire.Link{Speed: 10}}
	m.targets[0].Downloads = d
	for range 3 {
		resp, err := m.client.Get(m.front.URL)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(downloadBytes))
		resp.Body.Close()
	}
	// The ingress records a result after the caller has the response.
	results := func() []Result {
		m.balancer.mutex.Lock()
		defer m.balancer.mutex.Unlock()
		return slices.Clone(m.balancer.results)
	}
	eventually(t, func() bool { return len(results()) == 3 })
	for _, r := range results() {
		assert.Assert(t, r.HasLoad)
		assert.Assert(t, r.Load.LinkTime() >= d.Link.Transfer(downloadBytes), "%s", r.Load.LinkTime())
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	assert.Equal(t, d.committed, int64(0))
}
